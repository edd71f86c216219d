"""Rate limits that targets announce in their responses."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from math import isfinite

from baobabring.entry._messages import LimitNotice
from baobabring.entry._model import EntryTarget

MS_PER_S = 1_000
# A limit that nothing has confirmed for this long may have ended unnoticed.
LIMIT_LIFETIME_S = 30.0
# Unchanged limits are reported to peers again after this time, so that an instance that
# may not use the target keeps them.
CONFIRMATION_INTERVAL_S = 10.0
# A limit that was not confirmed for this long may be asked for with a probe.
RECHECK_AGE_S = 2.0


class ResponseKind(StrEnum):
    """Represent the kinds of requests whose responses can have announcements."""

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
    """Represent the limit of one start of a target; no rate after the limit ended.

    `named_in` are the kinds of responses that named it.
    """

    target_id: str
    started_at_ms: int
    requests_per_s: float | None
    heard_at_s: float
    named_in: set[ResponseKind] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class LimitChange:
    """Report a changed limit; a rate of None means that there is none."""

    target_id: str
    before_per_s: float | None
    after_per_s: float | None


class TargetLimits:
    """Maintain the limits that targets announce, for as long as they announce them.

    A limit belongs to one start of a target, and holds whether the target is registered
    or not. An unreadable announcement sets none, but keeps the one before. What is
    heard is passed on to peers, since instances that may not use a target would not
    learn that its limit has ended.
    """

    def __init__(self) -> None:
        self._limits: dict[str, TargetLimit] = {}
        self._unreported: set[str] = set()
        self._reported_at_s: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._limits)

    def __contains__(self, target_id: str) -> bool:
        limit = self._limits.get(target_id)
        return limit is not None and limit.requests_per_s is not None

    def __iter__(self) -> Iterator[TargetLimit]:
        """Iterate over the limits in force."""
        return (limit for id_, limit in self._limits.items() if id_ in self)

    def requests_per_s(self, target: EntryTarget) -> float | None:
        """Return the limit of a target, None if it has none."""
        limit = self._known(target.target_id, target.started_at_ms)
        return limit.requests_per_s if limit is not None else None

    def is_recheck_due(self, target: EntryTarget, now_s: float) -> bool:
        """Return whether a probe should find out whether a limit still holds."""
        limit = self._known(target.target_id, target.started_at_ms)
        if limit is None or ResponseKind.PROBE not in limit.named_in:
            return False
        return now_s - limit.heard_at_s > RECHECK_AGE_S

    def record(
        self,
        target: EntryTarget,
        announcement: LimitAnnouncement,
        response_kind: ResponseKind,
        sent_at_s: float,
        now_s: float,
    ) -> LimitChange | None:
        """Apply what a response says about the limit; return the change, if any.

        `sent_at_s` is the time at which the request was sent.
        """
        known_per_s = self.requests_per_s(target)
        heard = TargetLimit(target.target_id, target.started_at_ms, None, now_s)
        match announcement:
            case LimitNamed(requests_per_s):
                heard.requests_per_s = requests_per_s
                heard.named_in = {response_kind}
            case LimitUnreadable() if known_per_s is not None:
                # The target still has a limit, whichever it is.
                heard.requests_per_s = known_per_s
            case LimitAbsent() if self._has_ended(target, response_kind, sent_at_s):
                pass
            case _:
                return None
        return self._replace(heard, now_s, report=True)

    def apply_notice(
        self, notice: LimitNotice, pass_on: bool, now_s: float
    ) -> LimitChange | None:
        """Apply what a peer heard later than this instance; return the change, if any.

        With `pass_on`, the notice is reported to peers in turn.
        """
        heard_at_s = now_s - max(0.0, notice.age_ms) / MS_PER_S
        known = self._limits.get(notice.target_id)
        if known is not None and not _is_newer(notice, heard_at_s, known):
            return None
        if not _is_valid(notice) or now_s - heard_at_s > LIMIT_LIFETIME_S:
            return None
        heard = TargetLimit(
            notice.target_id,
            notice.started_at_ms,
            notice.requests_per_s,
            heard_at_s,
            {kind for kind in ResponseKind if kind.value in notice.named_in},
        )
        return self._replace(heard, now_s, report=pass_on)

    def pop_notices(self, now_s: float) -> list[LimitNotice]:
        """Return what peers have not been told yet, and mark it as told."""
        unreported = [self._limits[target_id] for target_id in self._unreported]
        for limit in unreported:
            self._mark_reported(limit.target_id, now_s)
        return [
            LimitNotice(
                limit.target_id,
                limit.started_at_ms,
                limit.requests_per_s,
                (now_s - limit.heard_at_s) * MS_PER_S,
                sorted(limit.named_in),
            )
            for limit in unreported
        ]

    def expire(self, now_s: float) -> list[LimitChange]:
        """Remove what was not confirmed for long; return the changes."""
        expired = [
            limit
            for limit in self._limits.values()
            if now_s - limit.heard_at_s > LIMIT_LIFETIME_S
        ]
        for limit in expired:
            del self._limits[limit.target_id]
            self._unreported.discard(limit.target_id)
            self._reported_at_s.pop(limit.target_id, None)
        return [
            LimitChange(limit.target_id, limit.requests_per_s, None)
            for limit in expired
            if limit.requests_per_s is not None
        ]

    def _known(self, target_id: str, started_at_ms: int) -> TargetLimit | None:
        limit = self._limits.get(target_id)
        if limit is None or limit.started_at_ms != started_at_ms:
            return None
        return limit

    def _has_ended(
        self, target: EntryTarget, response_kind: ResponseKind, sent_at_s: float
    ) -> bool:
        """Return whether a response that names no limit shows that one has ended.

        Only a response of a kind that named it does, and none to an earlier request,
        which can be older than the announcement.
        """
        limit = self._known(target.target_id, target.started_at_ms)
        if limit is None or limit.requests_per_s is None:
            return False
        return response_kind in limit.named_in and sent_at_s >= limit.heard_at_s

    def _replace(
        self, heard: TargetLimit, now_s: float, report: bool
    ) -> LimitChange | None:
        known = self._known(heard.target_id, heard.started_at_ms)
        before_per_s = known.requests_per_s if known is not None else None
        if known is not None:
            heard.named_in |= known.named_in
        is_change = before_per_s != heard.requests_per_s
        self._limits[heard.target_id] = heard
        if not report:
            self._mark_reported(heard.target_id, now_s)
        elif is_change or self._is_report_due(heard.target_id, now_s):
            self._unreported.add(heard.target_id)
        if not is_change:
            return None
        return LimitChange(heard.target_id, before_per_s, heard.requests_per_s)

    def _is_report_due(self, target_id: str, now_s: float) -> bool:
        reported_at_s = self._reported_at_s.get(target_id, float("-inf"))
        return now_s - reported_at_s >= CONFIRMATION_INTERVAL_S

    def _mark_reported(self, target_id: str, now_s: float) -> None:
        self._unreported.discard(target_id)
        self._reported_at_s[target_id] = now_s


def _is_newer(notice: LimitNotice, heard_at_s: float, known: TargetLimit) -> bool:
    """Return whether a notice is newer than what is known of the target."""
    order = (notice.started_at_ms, heard_at_s)
    return order > (known.started_at_ms, known.heard_at_s)


def _is_valid(notice: LimitNotice) -> bool:
    per_s = notice.requests_per_s
    return per_s is None or (isfinite(per_s) and per_s >= 0)
