"""Rate limits that targets announce in their responses."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from baobabring.entry._model import EntryTarget

# A limit that nothing has confirmed for this long may have ended unnoticed.
LIMIT_LIFETIME_S = 30.0


class LimitSource(StrEnum):
    """Represent where an instance learned of a limit."""

    CALL = "call"
    PROBE = "probe"


@dataclass(frozen=True, slots=True)
class LimitNamed:
    """Report that a response names the rate that the target takes from all callers."""

    requests_per_s: float


@dataclass(frozen=True, slots=True)
class LimitAbsent:
    """Report that a response names no limit."""


@dataclass(frozen=True, slots=True)
class LimitUnreadable:
    """Report that a response names a limit that is no valid rate."""

    value: str


LimitAnnouncement = LimitNamed | LimitAbsent | LimitUnreadable


@dataclass(slots=True)
class TargetLimit:
    """Represent the limit of a target and the kinds of responses that named it."""

    target_id: str
    started_at_ms: int
    requests_per_s: float
    heard_at_s: float
    sources: set[LimitSource] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class LimitChange:
    """Report a changed limit; a rate of None means that there is none."""

    target_id: str
    before_per_s: float | None
    after_per_s: float | None


class TargetLimits:
    """Maintain the limits that targets announce, for as long as they announce them.

    A limit belongs to one start of a target, and holds whether the target is registered
    or not. An unreadable announcement neither sets nor lifts a limit.
    """

    def __init__(self) -> None:
        self._limits: dict[str, TargetLimit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def __contains__(self, target_id: str) -> bool:
        return target_id in self._limits

    def __iter__(self) -> Iterator[TargetLimit]:
        return iter(self._limits.values())

    def requests_per_s(self, target: EntryTarget) -> float | None:
        """Return the limit of a target, None if it has none."""
        limit = self._limits.get(target.target_id)
        if limit is None or limit.started_at_ms != target.started_at_ms:
            return None
        return limit.requests_per_s

    def record(
        self,
        target: EntryTarget,
        announcement: LimitAnnouncement,
        source: LimitSource,
        sent_at_s: float,
        now_s: float,
    ) -> LimitChange | None:
        """Apply what a response says about the limit; return the change, if any.

        `sent_at_s` is the time at which the request was sent.
        """
        if isinstance(announcement, LimitNamed):
            return self._name(target, announcement.requests_per_s, source, now_s)
        if isinstance(announcement, LimitAbsent):
            return self._lift(target, source, sent_at_s)
        return None

    def expire(self, now_s: float) -> list[LimitChange]:
        """Remove the limits that were not confirmed for long; return the changes."""
        expired = [
            limit
            for limit in self._limits.values()
            if now_s - limit.heard_at_s > LIMIT_LIFETIME_S
        ]
        return [self._remove(limit) for limit in expired]

    def _name(
        self, target: EntryTarget, per_s: float, source: LimitSource, now_s: float
    ) -> LimitChange | None:
        before_per_s = self.requests_per_s(target)
        if before_per_s is None:
            self._limits[target.target_id] = TargetLimit(
                target.target_id, target.started_at_ms, per_s, now_s
            )
        limit = self._limits[target.target_id]
        limit.requests_per_s = per_s
        limit.heard_at_s = now_s
        limit.sources.add(source)
        if before_per_s == per_s:
            return None
        return LimitChange(target.target_id, before_per_s, per_s)

    def _lift(
        self, target: EntryTarget, source: LimitSource, sent_at_s: float
    ) -> LimitChange | None:
        """Remove a limit that responses of the same kind named before."""
        limit = self._limits.get(target.target_id)
        if limit is None or limit.started_at_ms != target.started_at_ms:
            return None
        # The response to an earlier request can be older than the announcement.
        if source not in limit.sources or sent_at_s < limit.heard_at_s:
            return None
        return self._remove(limit)

    def _remove(self, limit: TargetLimit) -> LimitChange:
        del self._limits[limit.target_id]
        return LimitChange(limit.target_id, limit.requests_per_s, None)
