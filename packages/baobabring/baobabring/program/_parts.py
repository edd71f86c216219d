"""Construction of the parts of an instance from its settings."""

import random
import secrets
from dataclasses import dataclass

import aiohttp

from baobabring.admission import AdmissionSettings, create_admission_queue
from baobabring.balancing import Balancer, BalancingSettings, create_balancer
from baobabring.calls import CallEngine
from baobabring.claims import (
    ClaimCoordinator,
    ClaimSettings,
    create_claim_coordinator,
)
from baobabring.membership import create_confirmation_tracker, create_membership
from baobabring.peers import create_peer_transport, read_curve_keys
from baobabring.platform import EventLog, InstanceInfo, InstanceState
from baobabring.platform.http import (
    HttpEventLog,
    HttpInstanceList,
    create_platform_session,
)
from baobabring.probing import ProbeSettings, create_probe_scheduler
from baobabring.program._claims_task import ClaimsTask
from baobabring.program._cold_start_task import ColdStartTask
from baobabring.program._dispatcher import Dispatcher
from baobabring.program._membership_task import MembershipTask
from baobabring.program._peer_link import PeerLink
from baobabring.program._peer_messages import INSTANCE_MESSAGES
from baobabring.program._probe_task import ProbeTask
from baobabring.program._sharing_task import SharingTask
from baobabring.program._state_exchange import StateExchange
from baobabring.publication import ConfigurationPublisher, ConfigurationReader
from baobabring.retries import (
    RetrySettings,
    create_hedge_policy,
    create_retry_budget,
)
from baobabring.settings import Settings
from baobabring.targets import TargetClient, create_target_client
from baobabring.utils import Clock

CONNECTIONS_PER_TARGET = 12
MS_PER_S = 1_000
SEED_BITS = 128


@dataclass(frozen=True, slots=True)
class Parts:
    """Represent the parts that an instance runs."""

    clock: Clock
    session: aiohttp.ClientSession
    client: TargetClient
    link: PeerLink
    balancer: Balancer
    claims: ClaimCoordinator
    dispatcher: Dispatcher
    reader: ConfigurationReader
    publisher: ConfigurationPublisher
    membership: MembershipTask
    exchange: StateExchange
    claims_task: ClaimsTask
    cold_start_task: ColdStartTask
    sharing_task: SharingTask
    probe_task: ProbeTask


def create_parts(settings: Settings) -> Parts:
    """Create the parts of an instance; raises OSError, ValueError for its key file."""
    clock = Clock()
    rng = random.Random(secrets.randbits(SEED_BITS))
    session = create_platform_session(settings.instance.id)
    log = HttpEventLog(session, settings.platform.url, clock)
    link = _create_link(settings)
    client = create_target_client(
        CONNECTIONS_PER_TARGET, settings.callers.body_limit_bytes, clock
    )
    balancer = create_balancer(
        settings.instance.id,
        settings.instance.zone,
        _create_balancing_settings(settings),
        rng,
    )
    claims = create_claim_coordinator(
        settings.instance.id,
        settings.claims.partitions,
        _create_claim_settings(settings),
        rng,
    )
    scheduler = create_probe_scheduler(
        settings.instance.id, _create_probe_settings(settings)
    )
    engine = _create_engine(settings, balancer, claims, rng)
    reader = ConfigurationReader(log, clock, settings.platform.log_retention_s, rng)
    membership = _create_membership_task(settings, session, link, clock)
    return Parts(
        clock=clock,
        session=session,
        client=client,
        link=link,
        balancer=balancer,
        claims=claims,
        dispatcher=Dispatcher(settings.instance.id, engine, client, scheduler, clock),
        reader=reader,
        publisher=ConfigurationPublisher(log, reader, clock),
        membership=membership,
        exchange=StateExchange(reader, membership, balancer.cold_start, link, clock),
        claims_task=ClaimsTask(claims, settings.claims.partitions, log, clock),
        cold_start_task=_create_cold_start_task(balancer, log, clock),
        sharing_task=SharingTask(balancer, link, clock),
        probe_task=ProbeTask(scheduler, balancer, client, link, clock),
    )


def _create_link(settings: Settings) -> PeerLink:
    key_file = settings.peers.key_file
    keys = None if key_file is None else read_curve_keys(key_file)
    transport = create_peer_transport(settings.peers.address, keys)
    return PeerLink(transport, INSTANCE_MESSAGES)


def _create_engine(
    settings: Settings,
    balancer: Balancer,
    claims: ClaimCoordinator,
    rng: random.Random,
) -> CallEngine:
    admission = AdmissionSettings(
        tenant_limit=settings.admission.waiting_per_tenant,
        wait_limit_s=settings.admission.wait_limit_ms / MS_PER_S,
    )
    return CallEngine(
        balancer=balancer,
        queue=create_admission_queue(settings.admission.queue, admission, rng),
        claims=claims,
        retry_budget=create_retry_budget(
            RetrySettings(retry_share=settings.retries.share)
        ),
        hedge_policy=create_hedge_policy(settings.retries.hedge),
        attempt_timeout_s=settings.retries.attempt_timeout_ms / MS_PER_S,
        rng=rng,
    )


def _create_membership_task(
    settings: Settings,
    session: aiohttp.ClientSession,
    link: PeerLink,
    clock: Clock,
) -> MembershipTask:
    info = InstanceInfo(
        settings.instance.id,
        settings.instance.zone,
        settings.peers.announced_address or settings.peers.address,
        InstanceState.LIVE,
    )
    return MembershipTask(
        info=info,
        membership=create_membership(settings.instance.id),
        tracker=create_confirmation_tracker(),
        instance_list=HttpInstanceList(session, settings.platform.url),
        link=link,
        clock=clock,
        heartbeat_interval_s=settings.peers.heartbeat_interval_ms / MS_PER_S,
    )


def _create_cold_start_task(
    balancer: Balancer, log: EventLog, clock: Clock
) -> ColdStartTask:
    return ColdStartTask(balancer.cold_start, log, clock)


def _create_balancing_settings(settings: Settings) -> BalancingSettings:
    section = settings.balancing
    return BalancingSettings(
        policy=section.policy,
        oversubscription=section.oversubscription,
        share_interval_ms=section.share_interval_ms,
        share_bytes_per_s=section.share_bytes_per_s,
        ejection_share=section.ejection_share,
    )


def _create_claim_settings(settings: Settings) -> ClaimSettings:
    window_s = settings.claims.window_s
    return ClaimSettings(
        window_s=window_s,
        unresolved_window_s=max(window_s, settings.platform.log_retention_s),
        budget_appends_per_s=settings.platform.log_appends_per_s,
        body_limit_bytes=settings.claims.replay_limit_bytes,
    )


def _create_probe_settings(settings: Settings) -> ProbeSettings:
    return ProbeSettings(
        probe_budget_ms_per_s=settings.probing.budget_ms_per_s,
        probe_cost_ms=settings.probing.cost_ms,
    )
