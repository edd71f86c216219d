"""Configuration, targets and calls as an entry instance sees them.

What travels between instances unchanged is of msgspec's structs, as arrays.
"""

from dataclasses import dataclass

import msgspec


class WeightedService(msgspec.Struct, array_like=True, frozen=True):
    """Name a service and the relative share of a route's calls that it gets."""

    service_id: str
    weight: float


class EntryRoute(msgspec.Struct, array_like=True, frozen=True):
    """Say where the calls of one host and path prefix go, and how to treat them.

    A lower `priority` is more urgent. `attempt_limit` bounds the targets that one
    call may be sent to.
    """

    route_id: str
    host: str
    path_prefix: str
    idempotent: bool
    services: tuple[WeightedService, ...]
    timeout_ms: float
    latency_goal_ms: float
    attempt_limit: int
    priority: int


class EntryService(msgspec.Struct, array_like=True, frozen=True):
    """Describe what the targets of one service bear."""

    service_id: str
    health_path: str
    connection_limit: int
    cold_calls_per_s: float


class CallerLimits(msgspec.Struct, array_like=True, frozen=True):
    """Bound what a caller may send and how long a connection may stay idle."""

    header_limit_bytes: int = 16_384
    body_limit_bytes: int = 67_108_864
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class EntryConfiguration(msgspec.Struct, array_like=True, frozen=True):
    """Hold everything that operators published, as of one version."""

    version: int = 0
    routes: tuple[EntryRoute, ...] = ()
    services: dict[str, EntryService] = msgspec.field(default_factory=dict)
    limits: CallerLimits = msgspec.field(default_factory=CallerLimits)


class EntryTarget(msgspec.Struct, array_like=True, frozen=True):
    """Describe one target as it registered itself.

    `started_at_ms` is the Unix time of its start and `sequence` the number of its
    registrations since then; both order what different registrations say.
    """

    target_id: str
    service_id: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    sequence: int = 0
    started_at_ms: int = 0
    cold_ms: float = 0.0

    def same_use(self, other: "EntryTarget") -> bool:
        """Tell whether both registrations let the target be used in the same way."""
        return (
            self.started_at_ms == other.started_at_ms
            and self.draining == other.draining
            and self.address == other.address
            and self.service_id == other.service_id
            and self.slots == other.slots
            and self.zone == other.zone
        )


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold what a target said of its own load.

    `slowdown` is the time that work takes there now, relative to the usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class EntryCall:
    """Hold one caller's request with all that decisions need.

    `answer_by_s` is when the caller or its route gives up, `goal_at_s` until when an
    answer is worth most.
    """

    call_id: str
    route: EntryRoute
    service_id: str
    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    arrived_at_s: float
    answer_by_s: float
    goal_at_s: float
