"""Implementation of the operators' calls by an instance."""

import asyncio

from baobabring.claims import (
    ClaimCoordinator,
    Settlement,
    SettlementRequested,
    SettlementState,
    UnknownOutcome,
)
from baobabring.configuration import Change
from baobabring.membership import Member
from baobabring.model import Configuration
from baobabring.operators import (
    ControlPlane,
    InstanceStatus,
    NotSettleable,
    ReportedState,
    Settled,
    SettlementOutcome,
)
from baobabring.program._claims_task import ClaimsTask
from baobabring.program._membership_task import MembershipTask
from baobabring.publication import (
    ConfigurationPublisher,
    ProposalOutcome,
    Unconfirmed,
)
from baobabring.utils import Clock

MS_PER_S = 1_000
SETTLEMENT_POLL_INTERVAL_S = 0.02
# The schema reports ages as uint32.
MAX_AGE_MS = 2**32 - 1


class InstanceControlPlane(ControlPlane):
    """Execute the operators' calls with the parts of this instance."""

    def __init__(
        self,
        publisher: ConfigurationPublisher,
        membership: MembershipTask,
        claims: ClaimCoordinator,
        claims_task: ClaimsTask,
        clock: Clock,
    ) -> None:
        self.publisher = publisher
        self.membership = membership
        self.claims = claims
        self.claims_task = claims_task
        self.clock = clock

    async def propose(
        self,
        base_revision: int,
        change: Change,
        deadline_s: float,
        change_id: str | None = None,
    ) -> ProposalOutcome:
        """Publish a change; a change sent again with its id is applied once."""
        return await self.publisher.propose(
            base_revision, change, deadline_s, change_id
        )

    def get_configuration(self) -> Configuration:
        """Return the newest configuration known to this instance."""
        return self.publisher.reader.configuration

    def get_instances(self) -> tuple[InstanceStatus, ...]:
        """Return all known instances, including this one."""
        own = InstanceStatus(
            instance_id=self.membership.info.instance_id,
            zone=self.membership.info.zone,
            state=ReportedState(self.membership.state.value),
            revision=self.get_configuration().revision,
            heartbeat_age_ms=0,
            confirmed_age_ms=self._age_ms(self.membership.tracker.confirmed_at_s),
        )
        peers = [self._peer_status(member) for member in self.membership.get_members()]
        return (own, *sorted(peers, key=lambda peer: peer.instance_id))

    def _peer_status(self, member: Member) -> InstanceStatus:
        heartbeat = member.heartbeat
        return InstanceStatus(
            instance_id=member.instance_id,
            zone=member.zone,
            state=ReportedState(member.state.value),
            revision=heartbeat.revision if heartbeat else 0,
            heartbeat_age_ms=self._age_ms(member.last_heartbeat_at_s or 0.0),
            confirmed_age_ms=self._age_ms(
                heartbeat.confirmed_at_s if heartbeat else 0.0
            ),
        )

    def _age_ms(self, at_s: float) -> int:
        age_ms = int((self.clock.now_s() - at_s) * MS_PER_S)
        return min(max(age_ms, 0), MAX_AGE_MS)

    def get_unknown_outcomes(self) -> tuple[UnknownOutcome, ...]:
        """Return the unknown outcomes that this instance has read from the log."""
        return tuple(self.claims.get_unknown_outcomes(self.clock.now_s()))

    async def settle(
        self, service_id: str, key: str, settlement: Settlement, deadline_s: float
    ) -> SettlementOutcome:
        """Record whether a call with an unknown outcome ran."""
        requested = self.claims.settle(service_id, key, settlement, self.clock.now_s())
        if not isinstance(requested, SettlementRequested):
            return NotSettleable(requested.reason.value)
        while self.clock.now_s() < deadline_s:
            self.claims_task.flush()
            state = self.claims.get_settlement_state(requested.settlement_id)
            if state is SettlementState.ACCEPTED:
                return Settled()
            if state is SettlementState.REJECTED:
                return NotSettleable("the outcome was settled otherwise meanwhile")
            await asyncio.sleep(SETTLEMENT_POLL_INTERVAL_S)
        return Unconfirmed(
            requested.settlement_id.hex(), "the log did not confirm in time"
        )
