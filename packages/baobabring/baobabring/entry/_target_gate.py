"""Times from which targets take probes and calls, by what they say of themselves."""

from collections.abc import Iterable

from baobabring.entry._model import EntryTarget
from baobabring.entry._target_pauses import TargetPauses
from baobabring.entry._target_rate_limiter import TargetRateLimiter
from baobabring.entry._target_table import TargetRecord


class TargetGate:
    """Combine the limits and the pauses of targets."""

    def __init__(self, rate_limiter: TargetRateLimiter, pauses: TargetPauses) -> None:
        self.rate_limiter = rate_limiter
        self.pauses = pauses

    def connect_at_s(self, target: EntryTarget, now_s: float) -> float:
        """Return when a target may be probed or connected to for a call."""
        limited_until_s = self.rate_limiter.next_connect_at_s(target, now_s)
        return max(limited_until_s, self.pauses.end_s(target))

    def can_probe(self, target: EntryTarget, now_s: float) -> bool:
        """Return whether a target may be probed, rather than only connected to."""
        return self.rate_limiter.can_probe(target, now_s)

    def can_call(self, target: EntryTarget, now_s: float) -> bool:
        """Return whether a call may be sent to a target now."""
        if self.rate_limiter.next_call_at_s(target, now_s) > now_s:
            return False
        return self.pauses.end_s(target) <= now_s

    def keep_open(
        self, records: list[TargetRecord], now_s: float
    ) -> list[TargetRecord]:
        """Return the records of targets that may be probed now."""
        if self._is_unrestricted():
            return records
        return [r for r in records if self.connect_at_s(r.target, now_s) <= now_s]

    def keep_one_limited(self, records: list[TargetRecord]) -> list[TargetRecord]:
        """Return the records without all but the first that have a limit.

        Only one target gets the call, and connections to the others would be unused.
        """
        if self._is_unrestricted():
            return records
        limited = [r for r in records if self.rate_limiter.is_limited(r.target)]
        surplus = {record.target.target_id for record in limited[1:]}
        return [r for r in records if r.target.target_id not in surplus]

    def next_opening_at_s(self, records: Iterable[TargetRecord], now_s: float) -> float:
        """Return when the first of some targets may be probed.

        That is now if there are none, and infinity if none of them ever may.
        """
        if self._is_unrestricted():
            return now_s
        times_s = [self.connect_at_s(record.target, now_s) for record in records]
        return max(now_s, min(times_s, default=now_s))

    def _is_unrestricted(self) -> bool:
        return not self.rate_limiter.has_limits and not self.pauses.has_any
