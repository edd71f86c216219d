"""Observation of the rate limits that targets announce, and of their use."""

from collections import Counter

import logbook

from baobabring.connections import HttpResponse
from baobabring.entry import (
    LIMIT_LIFETIME_S,
    EntryTarget,
    LimitAnnouncement,
    LimitChange,
    LimitNotice,
    LimitUnreadable,
    ResponseKind,
    TargetLimits,
)
from baobabring.platform.wire import parse_limit
from baobabring.program.entry._metrics import (
    LIMIT_ANNOUNCEMENTS,
    LIMITED_REQUESTS,
    LIMITED_TARGETS,
)
from baobabring.utils import Clock

LOG = logbook.Logger("limits")

MS_PER_S = 1_000


class LimitObserver:
    """Record the limits in the responses of targets, and log what changes.

    It also counts the calls and probes that are sent to targets with a limit.
    """

    def __init__(self, limits: TargetLimits, clock: Clock) -> None:
        self.limits = limits
        self.clock = clock
        self._calls: Counter[str] = Counter()
        self._probes: Counter[str] = Counter()
        self._unreadable: dict[str, str] = {}

    def observe(
        self,
        target: EntryTarget,
        response: HttpResponse,
        response_kind: ResponseKind,
        sent_at_s: float,
    ) -> None:
        """Record what a response of a target says about its limit."""
        now_s = self.clock.now_s()
        announcement = parse_limit(response)
        change = self.limits.record(
            target, announcement, response_kind, sent_at_s, now_s
        )
        if isinstance(announcement, LimitUnreadable):
            self._log_unreadable(target, announcement, response_kind)
        if change is not None:
            self._log_change(change, response_kind, now_s - sent_at_s)

    def apply_notice(self, notice: LimitNotice, pass_on: bool) -> None:
        """Record what a peer heard of a target's limit; with `pass_on`, tell others."""
        now_s = self.clock.now_s()
        change = self.limits.apply_notice(notice, pass_on, now_s)
        if change is not None:
            self._log_change(change, "peer", notice.age_ms / MS_PER_S)

    def count_call(self, target: EntryTarget) -> None:
        """Count a call that is sent to a target."""
        self._count(target, self._calls, ResponseKind.CALL)

    def count_probe(self, target: EntryTarget) -> None:
        """Count a probe that is sent to a target."""
        self._count(target, self._probes, ResponseKind.PROBE)

    def tick(self) -> None:
        """Expire limits, and log what was sent to the limited targets since."""
        now_s = self.clock.now_s()
        for change in self.limits.expire(now_s):
            self._log_change(change, "expiry", LIMIT_LIFETIME_S)
        for limit in self.limits:
            LOG.info(
                "target limit in force",
                target=limit.target_id,
                per_s=limit.requests_per_s,
                age_ms=round((now_s - limit.heard_at_s) * MS_PER_S),
                calls=self._calls.pop(limit.target_id, 0),
                probes=self._probes.pop(limit.target_id, 0),
            )
        self._calls.clear()
        self._probes.clear()

    def _count(
        self, target: EntryTarget, counter: Counter[str], request_kind: ResponseKind
    ) -> None:
        if self.limits.requests_per_s(target) is None:
            return
        counter[target.target_id] += 1
        LIMITED_REQUESTS.labels(request_kind.value).inc()

    def _log_change(
        self,
        change: LimitChange,
        source: str,
        age_s: float,
    ) -> None:
        LIMIT_ANNOUNCEMENTS.labels(_kind_of(change)).inc()
        LIMITED_TARGETS.set(sum(1 for _ in self.limits))
        LOG.info(
            "target limit changed",
            target=change.target_id,
            before_per_s=change.before_per_s,
            per_s=change.after_per_s,
            source=source,
            age_ms=round(age_s * MS_PER_S, 1),
        )

    def _log_unreadable(
        self,
        target: EntryTarget,
        announcement: LimitAnnouncement,
        response_kind: ResponseKind,
    ) -> None:
        LIMIT_ANNOUNCEMENTS.labels("unreadable").inc()
        if self._unreadable.get(target.target_id) == announcement.value:
            return
        self._unreadable[target.target_id] = announcement.value
        LOG.warning(
            "target limit is unreadable, the one before stays in force",
            target=target.target_id,
            value=announcement.value,
            source=response_kind,
            per_s=self.limits.requests_per_s(target),
        )


def _kind_of(change: LimitChange) -> str:
    if change.after_per_s is None:
        return "ended"
    return "named" if change.before_per_s is None else "changed"
