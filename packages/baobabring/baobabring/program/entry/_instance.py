"""Entry instance: its parts, its tasks and its graceful shutdown."""

import asyncio
import contextlib
import signal
import socket
from dataclasses import replace
from pathlib import Path
from random import Random

import logbook

from baobabring.connections import BodyMemory, ConnectionPool
from baobabring.entry import (
    Admission,
    CallerLimits,
    ColdStartLimiter,
    CrashSuspects,
    EntrySettings,
    FleetRetryBudget,
    FleetShares,
    HandoverPeers,
    ProbeRateBudget,
    RankerSettings,
    ReadSchedule,
    ServiceReachability,
    SharedView,
    TargetGate,
    TargetLimits,
    TargetPauses,
    TargetRanker,
    TargetRateLimiter,
    TargetTable,
    WorkEstimates,
)
from baobabring.peers import create_peer_transport
from baobabring.platform.store import StoreClient
from baobabring.program._peer_link import PeerLink
from baobabring.program.entry._announcements import Announcements
from baobabring.program.entry._app import (
    create_caller_app,
    create_metrics_app,
    create_ready_app,
)
from baobabring.program.entry._attempt_runner import AttemptRunner
from baobabring.program.entry._blocked_request_records import BlockedRequestRecords
from baobabring.program.entry._call_runner import CallRunner
from baobabring.program.entry._crash_exchange import CrashExchange
from baobabring.program.entry._crash_guard import CrashGuard
from baobabring.program.entry._crash_observer import CrashObserver
from baobabring.program.entry._failure_counts import FailureCounts
from baobabring.program.entry._forwarder import Forwarder
from baobabring.program.entry._handover_client import HandoverClient
from baobabring.program.entry._handover_peer_finder import HandoverPeerFinder
from baobabring.program.entry._handover_server import HandoverServer
from baobabring.program.entry._limit_exchange import LimitExchange
from baobabring.program.entry._limit_observer import LimitObserver
from baobabring.program.entry._lost_service_prober import LostServiceProber
from baobabring.program.entry._metrics import (
    BODY_BYTES,
    REQUEST_BODY_BYTES,
    TARGETS,
    VIEW_AGE,
)
from baobabring.program.entry._peer_messages import ENTRY_MESSAGES
from baobabring.program.entry._peer_task import PeerTask
from baobabring.program.entry._reachability_observer import ReachabilityObserver
from baobabring.program.entry._server import HttpServer
from baobabring.program.entry._settings_task import SettingsTask
from baobabring.program.entry._supervision import supervise
from baobabring.program.entry._target_chooser import TargetChooser
from baobabring.program.entry._target_observer import TargetObserver
from baobabring.program.entry._view_task import ViewTask
from baobabring.serving import RequestMemory
from baobabring.utils import BoottimeClock

LOG = logbook.Logger("instance")

METRICS_PORT = 9_100
HOUSEKEEPING_INTERVAL_S = 1.0
# The platform's load balancer sends connections until two readiness checks have failed.
BALANCER_LAG_S = 3.0
SHUTDOWN_MARGIN_S = 0.8
# Callers that connect during the start are better served late than refused at once.
MAX_ACCEPT_DELAY_S = 0.5
SHUTDOWN_POLL_S = 0.05
# Answers are written and sent within this time.
LAST_ANSWERS_S = 0.1
IDLE_TIMEOUT_MARGIN_S = 3.0
MS_PER_S = 1_000
SESSION_BITS = 48


class EntryInstance:
    """Create the parts of an entry instance and run its tasks."""

    def __init__(
        self,
        settings: EntrySettings,
        path: Path,
        rng: Random,
        listener: socket.socket | None = None,
    ) -> None:
        self.settings = settings
        self.settings_task = SettingsTask(path, settings, self._apply_settings)
        self.clock = BoottimeClock()
        self.link = PeerLink(
            create_peer_transport(settings.peer_address, None), ENTRY_MESSAGES
        )
        now_s = self.clock.now_s()
        self.shared_view = SharedView(settings.instance_id, settings.peer_address)
        self.schedule = ReadSchedule(settings.instance_id, now_s)
        self.store = StoreClient(settings.store_address, ConnectionPool())
        self.target_table = TargetTable(settings.instance_id, settings.zone)
        self.failure_counts = FailureCounts(self.target_table, self.clock)
        self.probe_budget = ProbeRateBudget(settings.limits.probes_per_target_s)
        announcements = Announcements(
            settings.instance_id, settings.peer_address, self.store, self.clock
        )
        self.peer_task = PeerTask(
            settings.instance_id,
            settings.peer_address,
            announcements,
            self.link,
            self.probe_budget,
            self.failure_counts,
            self.clock,
        )
        self.peer_task.is_reader = lambda: self.schedule.is_reader
        self.view_task = ViewTask(
            self.shared_view,
            self.schedule,
            self.store,
            self.link,
            self.peer_task,
            self.clock,
        )
        self.shares = FleetShares(settings.instance_id)
        self.cold_start_limiter = ColdStartLimiter(self.shares)
        target_limits = TargetLimits()
        self.rate_limiter = TargetRateLimiter(target_limits, self.shares)
        self.pauses = TargetPauses(rng)
        self.ranker = TargetRanker(
            settings.zone,
            RankerSettings(),
            self.target_table,
            WorkEstimates(),
            self.cold_start_limiter,
            TargetGate(self.rate_limiter, self.pauses),
            rng,
        )
        self.limit_observer = LimitObserver(target_limits, self.clock)
        self.limit_exchange = LimitExchange(
            self.limit_observer, self.peer_task, self.link, self.clock
        )
        target_observer = TargetObserver(self.limit_observer, self.pauses, self.clock)
        self.reachability = ServiceReachability()
        reachability_observer = ReachabilityObserver(
            self.reachability, self.target_table, self.clock
        )
        self.retry_budget = FleetRetryBudget(settings.limits)
        self.pool = ConnectionPool()
        crash_guard = CrashGuard(CrashSuspects(), self.shares, self.clock)
        self.crash_exchange = CrashExchange(
            crash_guard, self.peer_task, self.link, self.clock
        )
        self.view_task.before_view = self.crash_exchange.send_all
        self.blocked_requests = BlockedRequestRecords(
            crash_guard, self.shared_view, self.peer_task, self.store, self.clock
        )
        self.view_task.beside_first_read = self.blocked_requests.read_at_start
        admission = Admission(rng)
        body_memory = BodyMemory(settings.body_memory_bytes)
        BODY_BYTES.set_function(lambda: body_memory.held_bytes)
        session = rng.getrandbits(SESSION_BITS)
        self.handover_peers = HandoverPeers(settings.zone, rng)
        handover_peer_finder = HandoverPeerFinder(
            settings.instance_id,
            settings.peer_address,
            self.handover_peers,
            self.reachability,
            self.link,
            self.clock,
        )
        self.handover_client = HandoverClient(
            settings.instance_id,
            settings.peer_address,
            session,
            handover_peer_finder,
            self.pauses,
            body_memory,
            self.link,
            self.clock,
        )
        chooser = TargetChooser(
            self.ranker,
            admission,
            self.probe_budget,
            target_observer,
            reachability_observer,
            self.pool,
            self.clock,
        )
        self.lost_service_prober = LostServiceProber(
            self.reachability,
            self.ranker,
            chooser.prober,
            self.probe_budget,
            self.clock,
        )
        forwarder = Forwarder(
            chooser,
            AttemptRunner(
                self.ranker,
                self.failure_counts,
                target_observer,
                reachability_observer,
                CrashObserver(
                    self.pool,
                    self.pauses,
                    self.reachability,
                    crash_guard,
                    self.clock,
                ),
                self.pool,
                body_memory,
                self.clock,
            ),
            self.handover_client,
            admission,
            self.retry_budget,
            crash_guard,
            self.clock,
        )
        self.call_runner = CallRunner(self.shared_view, forwarder, self.clock, rng)
        self.handover_server = HandoverServer(
            settings.instance_id,
            settings.zone,
            session,
            self.call_runner,
            self.reachability,
            self.target_table,
            self.pauses,
            self.link,
            self.clock,
        )
        request_memory = RequestMemory(settings.request_memory_bytes)
        REQUEST_BODY_BYTES.set_function(lambda: request_memory.held_bytes)
        self.caller_server = HttpServer(
            create_caller_app(self.call_runner, request_memory),
            settings.caller_address,
            listener,
        )
        self.ready_server = HttpServer(
            create_ready_app(self.call_runner), settings.ready_address
        )
        self.metrics_server = HttpServer(
            create_metrics_app(), f"{settings.metrics_host}:{METRICS_PORT}"
        )
        self._shutdown_requested = asyncio.Event()
        self._view_complete = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._shutdown_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.settings_task.reload, "signal")
        self.link.start()
        self.view_task.add_listener(self._on_view_changed)
        self.peer_task.add_listener(self._on_instances_changed)
        self.caller_server.listen()
        for server in (self.ready_server, self.metrics_server):
            await server.start()
        LOG.info(
            "started",
            instance=self.settings.instance_id,
            zone=self.settings.zone,
            callers=self.settings.caller_address,
            store=self.settings.store_address,
        )
        tasks = asyncio.ensure_future(self._run_tasks())
        shutdown = asyncio.ensure_future(self._shutdown_requested.wait())
        await asyncio.wait((tasks, shutdown), return_when=asyncio.FIRST_COMPLETED)
        if tasks.done():
            tasks.result()
        await self._shut_down()
        tasks.cancel()
        await asyncio.gather(tasks, return_exceptions=True)
        LOG.info("stopped", instance=self.settings.instance_id)

    async def _run_tasks(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self.view_task.run())
            for name, run in (
                ("peers", self.peer_task.run),
                ("settings", self.settings_task.run),
                ("housekeeping", self._run_housekeeping),
                ("handovers", self.handover_client.run),
                ("crash exchange", self.crash_exchange.run),
                ("blocked requests", self.blocked_requests.run),
                ("lost services", self.lost_service_prober.run),
            ):
                group.create_task(supervise(name, run))
            group.create_task(self._start_accepting())

    async def _start_accepting(self) -> None:
        """Accept callers once the view is complete, or can't be had soon."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._view_complete.wait(), MAX_ACCEPT_DELAY_S)
        if not self._shutdown_requested.is_set():
            await self.caller_server.start()

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self.pool.close_expired()
            self.limit_observer.tick()
            self.rate_limiter.remove_unlimited()
            self.pauses.remove_ended(self.clock.now_s())
            self.limit_exchange.send_notices()
            if self.shared_view.confirmed_at_s is not None:
                VIEW_AGE.set(self.clock.now_s() - self.shared_view.confirmed_at_s)

    def _on_view_changed(self) -> None:
        view = self.shared_view.view
        now_s = self.clock.now_s()
        if self.ranker.configuration is not view.configuration:
            self.ranker.configuration = view.configuration
            self.call_runner.set_configuration(view.configuration)
            self.handover_client.configuration_version = view.configuration.version
            self._apply_caller_limits(view.configuration.limits)
            self.reachability.keep_services(view.configuration.services)
        removed = self.target_table.set_targets(
            view.targets.values(), view.zones_out, now_s
        )
        self.cold_start_limiter.remove_targets(removed)
        self.shares.remove_targets(removed)
        TARGETS.set(len(view.targets))
        self.probe_budget.set_target_count(len(view.targets))
        self._update_readiness()

    def _apply_caller_limits(self, limits: CallerLimits) -> None:
        idle_s = limits.idle_timeout_ms / MS_PER_S
        self.caller_server.set_keep_alive(idle_s + IDLE_TIMEOUT_MARGIN_S)
        self.caller_server.header_limits.limit_bytes = limits.header_limit_bytes
        self.caller_server.header_limits.timeout_s = limits.header_timeout_ms / MS_PER_S

    def _on_instances_changed(self) -> None:
        instances = self.peer_task.live_addresses()
        self.handover_peers.set_instances(
            {i: a for i, a in instances.items() if i != self.settings.instance_id}
        )
        self.ranker.instance_count = len(instances)
        self.schedule.set_instances(instances)
        # Peers that are only unreachable still use their shares of the fleet's limits.
        known = self.peer_task.known_ids()
        self.shares.set_instances(known)
        self.retry_budget.limits = self.settings.limits
        self.retry_budget.instance_count = len(known)

    def _update_readiness(self) -> None:
        if self.shared_view.is_complete:
            self._view_complete.set()
        ready = self.shared_view.is_complete and not self._shutdown_requested.is_set()
        if ready != self.call_runner.ready:
            self.call_runner.ready = ready
            LOG.info(
                "readiness changed",
                ready=ready,
                targets=len(self.shared_view.view.targets),
            )

    def _apply_settings(self, settings: EntrySettings) -> None:
        """Apply changed limits; the instance id, zone and addresses stay."""
        self.settings = replace(self.settings, limits=settings.limits)
        self.probe_budget.probes_per_target_s = settings.limits.probes_per_target_s
        self._on_instances_changed()

    async def _shut_down(self) -> None:
        started_at_s = self.clock.now_s()
        limit_s = self.settings.limits.shutdown_ms / MS_PER_S - SHUTDOWN_MARGIN_S
        ends_at_s = started_at_s + limit_s
        self.call_runner.start_drain(ends_at_s)
        self._update_readiness()
        LOG.info("shutting down", calls=self.call_runner.in_progress)
        self.peer_task.announce_leaving()
        await asyncio.sleep(min(BALANCER_LAG_S, limit_s / 2))
        self.caller_server.close_listener()
        while self.clock.now_s() < ends_at_s:
            if (
                not self.call_runner.in_progress
                and not self.caller_server.connection_count
            ):
                break
            self.caller_server.close_idle()
            await asyncio.sleep(SHUTDOWN_POLL_S)
        LOG.info("drain ended", calls=self.call_runner.in_progress)
        await self._end_calls()

    async def _end_calls(self) -> None:
        """End the calls in progress, and write their outcomes to callers."""
        if self.call_runner.in_progress:
            await self.call_runner.end_calls()
            await asyncio.sleep(LAST_ANSWERS_S)
