"""Configuration, targets and calls of an entry instance.

Types that instances send to each other are msgspec structs, encoded as arrays.
"""

from dataclasses import dataclass

import msgspec


class WeightedService(msgspec.Struct, array_like=True, frozen=True):
    """Assign a service a relative weight among the services of a route."""

    service_id: str
    weight: float


class EntryRoute(msgspec.Struct, array_like=True, frozen=True):
    """Define the services and limits for the calls of one host and path prefix.

    A lower `priority` is more urgent. `attempt_limit` is the maximum number of
    targets to which one call is sent.
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
    """Define the health check path and the limits of the targets of one service."""

    service_id: str
    health_path: str
    connection_limit: int
    cold_calls_per_s: float


class CallerLimits(msgspec.Struct, array_like=True, frozen=True):
    """Limit the size and duration of requests and the idle time of connections."""

    header_limit_bytes: int = 16_384
    body_limit_bytes: int = 67_108_864
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class EntryConfiguration(msgspec.Struct, array_like=True, frozen=True):
    """Represent one version of the configuration that operators publish."""

    version: int = 0
    routes: tuple[EntryRoute, ...] = ()
    services: dict[str, EntryService] = msgspec.field(default_factory=dict)
    limits: CallerLimits = msgspec.field(default_factory=CallerLimits)


class EntryTarget(msgspec.Struct, array_like=True, frozen=True):
    """Represent the registration of one target.

    `started_at_ms` is the Unix time of the target's start and `sequence` the number
    of registrations since then. Together they order the registrations of a target.
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

    def is_equivalent_to(self, other: "EntryTarget") -> bool:
        """Return whether both are equal apart from id, `sequence` and `cold_ms`."""
        return (
            self.started_at_ms == other.started_at_ms
            and self.draining == other.draining
            and self.address == other.address
            and self.service_id == other.service_id
            and self.slots == other.slots
            and self.zone == other.zone
        )


class LastRegistration(msgspec.Struct, array_like=True, frozen=True):
    """Identify the last registration of a target that was removed."""

    target_id: str
    started_at_ms: int
    sequence: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Represent the load that a target reports.

    `slowdown` is the current processing time relative to that at normal speed.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class EntryCall:
    """Represent one caller's request, its route and its time limits.

    `deadline_s` is the time at which the caller or the route gives up. A
    response is worth most until `goal_at_s`, when the latency goal is exceeded.
    """

    call_id: str
    route: EntryRoute
    service_id: str
    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    arrived_at_s: float
    deadline_s: float
    goal_at_s: float
