"""Configuration that operators publish, as the decision logic sees it."""

from dataclasses import dataclass, field
from enum import StrEnum


class KeyRule(StrEnum):
    """Define whether a request may repeat and whether it needs an idempotency key."""

    NONE = "none"
    OPTIONAL = "optional"
    REQUIRED = "required"


class TargetState(StrEnum):
    """State of a target, set by operators."""

    ACTIVE = "active"
    DRAINING = "draining"


class ZoneState(StrEnum):
    """State of an availability zone, set by operators."""

    IN = "in"
    OUT = "out"


@dataclass(frozen=True, slots=True)
class Rule:
    """Define how requests that match a method and a path are handled."""

    method: str
    path_pattern: str
    key_rule: KeyRule
    deadline_limit_ms: int
    request_class: str
    priority: int

    @property
    def idempotent(self) -> bool:
        """Return whether the requests may run more than once."""
        return self.key_rule is KeyRule.NONE


@dataclass(frozen=True, slots=True)
class Target:
    """Describe one back end of a service."""

    target_id: str
    address: str
    zone: str
    slots: int
    state: TargetState = TargetState.ACTIVE


@dataclass(frozen=True, slots=True)
class Service:
    """Describe a service, its rules and its targets."""

    service_id: str
    path_prefix: str
    rules: tuple[Rule, ...]
    targets: tuple[Target, ...]
    cold_limit: int = 1


@dataclass(frozen=True, slots=True)
class Configuration:
    """Represent everything that operators published, as of one revision."""

    revision: int = 0
    services: dict[str, Service] = field(default_factory=dict)
    zones_out: frozenset[str] = frozenset()

    def get_zone_state(self, zone: str) -> ZoneState:
        """Return the state of an availability zone."""
        return ZoneState.OUT if zone in self.zones_out else ZoneState.IN
