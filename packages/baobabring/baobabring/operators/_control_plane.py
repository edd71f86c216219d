"""Interface between the operators' gRPC service and the rest of an instance."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from baobabring.claims import Settlement, UnknownOutcome
from baobabring.configuration import Change
from baobabring.model import Configuration
from baobabring.publication import ProposalOutcome, Unconfirmed


class ReportedState(StrEnum):
    """Represent the state of an instance as known to another instance."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Represent the status of an instance as known to the instance that replies."""

    instance_id: str
    zone: str
    state: ReportedState
    revision: int
    heartbeat_age_ms: int
    confirmed_age_ms: int


@dataclass(frozen=True, slots=True)
class Settled:
    """Represent a settlement that was recorded."""


@dataclass(frozen=True, slots=True)
class NotSettleable:
    """Represent the reason why an outcome cannot be settled."""

    reason: str


SettlementOutcome = Settled | NotSettleable | Unconfirmed


class ControlPlane(ABC):
    """Execute the requests of operators."""

    @abstractmethod
    async def propose(
        self,
        base_revision: int,
        change: Change,
        deadline_s: float,
        change_id: str | None = None,
    ) -> ProposalOutcome:
        """Publish a change; a retry with the same `change_id` is applied only once."""

    @abstractmethod
    def get_configuration(self) -> Configuration:
        """Return the newest configuration known to this instance."""

    @abstractmethod
    def get_instances(self) -> tuple[InstanceStatus, ...]:
        """Return the instances known to this instance, including itself."""

    @abstractmethod
    def get_unknown_outcomes(self) -> tuple[UnknownOutcome, ...]:
        """Return the calls whose outcome is unknown, as known to this instance."""

    @abstractmethod
    async def settle(
        self, service_id: str, key: str, settlement: Settlement, deadline_s: float
    ) -> SettlementOutcome:
        """Record whether a call whose outcome is unknown has run."""
