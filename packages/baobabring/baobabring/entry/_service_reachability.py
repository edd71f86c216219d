"""Services whose targets this instance cannot connect to."""

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum

# Enough targets to suspect the links of this instance rather than each target.
MAX_FAILED_TARGETS = 6


class ProbeFailure(StrEnum):
    """Represent the reasons why a probe has no response from its target."""

    NOT_CONNECTED = "not-connected"
    CONNECTION_LOST = "connection-lost"
    NO_RESPONSE = "no-response"
    OTHER_TARGET = "other-target"
    INTERNAL = "internal"


@dataclass(slots=True)
class _ServiceLinks:
    """Represent the targets of a service to which no connection could be opened.

    Only the failures since the last response of any target count.
    """

    failed_targets: set[str] = field(default_factory=set)
    lost_at_s: float | None = None


@dataclass(frozen=True, slots=True)
class ServiceLost:
    """Report that no connection to a service's targets can be opened any more."""

    service_id: str
    failed_targets: int


@dataclass(frozen=True, slots=True)
class ServiceRegained:
    """Report that a target of a lost service responded again."""

    service_id: str
    lost_for_s: float


class ServiceReachability:
    """Record which services this instance reaches.

    A service is lost once connections to several of its targets, or to all of them,
    could not be opened since any of its targets responded. A target that accepts
    connections but does not respond is reached: it may only be full.
    """

    def __init__(self) -> None:
        self._links: dict[str, _ServiceLinks] = {}
        self._service_ids: frozenset[str] = frozenset()

    def has_lost_all(self) -> bool:
        """Return whether no target of any service can be reached."""
        return bool(self._service_ids) and all(map(self.is_lost, self._service_ids))

    def is_lost(self, service_id: str) -> bool:
        """Return whether no target of a service can be reached."""
        links = self._links.get(service_id)
        return links is not None and links.lost_at_s is not None

    def is_doubtful(self, service_id: str) -> bool:
        """Return whether a connection failed since any target responded."""
        return service_id in self._links

    def lost_services(self) -> list[str]:
        """Return the services that are lost."""
        return [service_id for service_id in self._links if self.is_lost(service_id)]

    def record_failure(
        self,
        service_id: str,
        target_id: str,
        failure: ProbeFailure,
        usable_targets: Collection[str],
        now_s: float,
    ) -> ServiceLost | None:
        """Record a failed probe; return the loss of the service if it follows."""
        if failure is not ProbeFailure.NOT_CONNECTED or not usable_targets:
            return None
        links = self._links.setdefault(service_id, _ServiceLinks())
        links.failed_targets.add(target_id)
        links.failed_targets.intersection_update(usable_targets)
        if links.lost_at_s is not None:
            return None
        if len(links.failed_targets) < min(MAX_FAILED_TARGETS, len(usable_targets)):
            return None
        links.lost_at_s = now_s
        return ServiceLost(service_id, len(links.failed_targets))

    def record_response(self, service_id: str, now_s: float) -> ServiceRegained | None:
        """Record a response of any target; return that its service was regained."""
        links = self._links.pop(service_id, None)
        if links is None or links.lost_at_s is None:
            return None
        return ServiceRegained(service_id, now_s - links.lost_at_s)

    def keep_services(self, service_ids: Collection[str]) -> None:
        """Set the configured services and forget all others."""
        self._service_ids = frozenset(service_ids)
        for service_id in self._links.keys() - self._service_ids:
            del self._links[service_id]
