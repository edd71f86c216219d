"""In-memory fake of the control plane."""

from dataclasses import dataclass, field

from baobabring.claims import Settlement, UnknownOutcome
from baobabring.configuration import Accepted, Change
from baobabring.model import Configuration
from baobabring.operators import (
    ControlPlane,
    InstanceStatus,
    Settled,
    SettlementOutcome,
)
from baobabring.publication import ProposalOutcome


@dataclass
class Proposal:
    """Represent the arguments of one proposal."""

    base_revision: int
    change: Change
    deadline_s: float
    change_id: str | None


@dataclass
class FakeControlPlane(ControlPlane):
    """Return preset results and record proposals and settlements."""

    outcome: ProposalOutcome = field(default_factory=lambda: Accepted(1))
    settlement_outcome: SettlementOutcome = field(default_factory=Settled)
    current_configuration: Configuration = field(default_factory=Configuration)
    statuses: tuple[InstanceStatus, ...] = ()
    unknown: tuple[UnknownOutcome, ...] = ()
    proposals: list[Proposal] = field(default_factory=list)
    settlements: list[Settlement] = field(default_factory=list)

    async def propose(
        self,
        base_revision: int,
        change: Change,
        deadline_s: float,
        change_id: str | None = None,
    ) -> ProposalOutcome:
        self.proposals.append(Proposal(base_revision, change, deadline_s, change_id))
        return self.outcome

    def get_configuration(self) -> Configuration:
        return self.current_configuration

    def get_instances(self) -> tuple[InstanceStatus, ...]:
        return self.statuses

    def get_unknown_outcomes(self) -> tuple[UnknownOutcome, ...]:
        return self.unknown

    async def settle(
        self, service_id: str, key: str, settlement: Settlement, deadline_s: float
    ) -> SettlementOutcome:
        self.settlements.append(settlement)
        return self.settlement_outcome
