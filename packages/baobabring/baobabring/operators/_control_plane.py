"""Interface between the operators' calls and the rest of an instance."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from baobabring.claims import Settlement, UnknownOutcome
from baobabring.configuration import Change
from baobabring.model import Configuration
from baobabring.publication import ProposalOutcome, Unconfirmed


class ReportedState(StrEnum):
    """State of an instance as another instance sees it."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Describe an instance as the answering instance sees it."""

    instance_id: str
    zone: str
    state: ReportedState
    revision: int
    heartbeat_age_ms: int
    confirmed_age_ms: int


@dataclass(frozen=True, slots=True)
class Settled:
    """Tell that the settlement was recorded."""


@dataclass(frozen=True, slots=True)
class NotSettleable:
    """Tell why the outcome cannot be settled."""

    reason: str


SettlementOutcome = Settled | NotSettleable | Unconfirmed


class ControlPlane(ABC):
    """Carry out the operators' calls."""

    @abstractmethod
    async def propose(
        self,
        base_revision: int,
        change: Change,
        deadline_s: float,
        change_id: str | None = None,
    ) -> ProposalOutcome:
        """Publish a change; with the id of an earlier try, it is applied once."""

    @abstractmethod
    def configuration(self) -> Configuration:
        """Return the newest configuration known here."""

    @abstractmethod
    def instances(self) -> tuple[InstanceStatus, ...]:
        """Return the instances known here, this one included."""

    @abstractmethod
    def unknown_outcomes(self) -> tuple[UnknownOutcome, ...]:
        """Return the unknown outcomes known here."""

    @abstractmethod
    async def settle(
        self, service_id: str, key: str, settlement: Settlement, deadline_s: float
    ) -> SettlementOutcome:
        """Record what became of a call whose outcome is unknown."""
