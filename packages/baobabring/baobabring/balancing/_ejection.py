"""Ejection of targets that behave far worse than the others of their service."""

from dataclasses import dataclass

from baobabring.balancing._settings import BalancingSettings

LATENCY_RATIO_LIMIT = 5.0
GOOD_ANSWERS_TO_FORGIVE = 20
SUSPECT_FAILURES = 3
OBSERVER_SUSPECT_SHARE = 0.5


@dataclass(slots=True)
class _Record:
    """Hold what a target showed; `failures` counts bad attempts in a row."""

    failures: int = 0
    unreachable: bool = False
    good_answers: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0


class OutlierEjection:
    """Eject the worst targets of one service for a while.

    Never more than a share of the targets are out. When most of them look bad the
    fault is likely the observer's, and all targets are used again.
    """

    def __init__(self, settings: BalancingSettings) -> None:
        self._settings = settings
        self._records: dict[str, _Record] = {}

    def configure(self, target_ids: set[str]) -> None:
        """Take the targets in use; what is known of those that stay is kept."""
        for target_id in target_ids:
            self._records.setdefault(target_id, _Record())
        for target_id in self._records.keys() - target_ids:
            del self._records[target_id]

    def succeeded(self, target_id: str, latency_ratio: float, now_s: float) -> bool:
        """Take in a good answer and its latency over the service's mean.

        Returns whether the set of ejected targets changed.
        """
        record = self._records.get(target_id)
        if record is None:
            return False
        if latency_ratio > LATENCY_RATIO_LIMIT:
            return self._add_failure(record, False, now_s)
        record.failures = 0
        record.good_answers += 1
        if record.good_answers >= GOOD_ANSWERS_TO_FORGIVE:
            record.ejections = 0
        return False

    def failed(self, target_id: str, unreachable: bool, now_s: float) -> bool:
        """Take in a failed attempt; return whether the set of ejected changed."""
        record = self._records.get(target_id)
        if record is None:
            return False
        return self._add_failure(record, unreachable, now_s)

    def set_aside(self, target_id: str, now_s: float) -> bool:
        """Eject a target that says it is draining; return whether that changed."""
        record = self._records.get(target_id)
        if record is None or record.ejected_until_s > now_s:
            return False
        if not self._may_eject_one_more(now_s):
            return False
        record.unreachable = False
        record.ejected_until_s = now_s + self._settings.ejection_base_s
        return True

    def is_ejected(self, target_id: str, now_s: float) -> bool:
        """Tell whether the target takes no new calls."""
        record = self._records.get(target_id)
        return record is not None and record.ejected_until_s > now_s

    def was_unreachable(self, target_id: str) -> bool:
        """Tell whether the last failure was a lost connection or a refused one."""
        record = self._records.get(target_id)
        return record is not None and record.unreachable

    def next_return_s(self, now_s: float) -> float:
        """Return when the next ejected target comes back; infinity if none is out."""
        ends = [r.ejected_until_s for r in self._records.values()]
        return min((end for end in ends if end > now_s), default=float("inf"))

    def _add_failure(self, record: _Record, unreachable: bool, now_s: float) -> bool:
        record.good_answers = 0
        record.failures += 1
        record.unreachable = unreachable
        if record.ejected_until_s > now_s:
            return False
        if record.failures < self._settings.ejection_failures:
            return False
        if self._suspects(now_s) > OBSERVER_SUSPECT_SHARE * len(self._records):
            return self._take_all_back()
        if not self._may_eject_one_more(now_s):
            return False
        self._eject(record, now_s)
        return True

    def _eject(self, record: _Record, now_s: float) -> None:
        length_s = self._settings.ejection_base_s * 2.0**record.ejections
        length_s = min(length_s, self._settings.ejection_limit_s)
        record.ejected_until_s = now_s + length_s
        record.ejections = min(record.ejections + 1, 30)
        # One more failure after the return is enough.
        record.failures = self._settings.ejection_failures - 1

    def _suspects(self, now_s: float) -> int:
        return sum(
            record.failures >= SUSPECT_FAILURES or record.ejected_until_s > now_s
            for record in self._records.values()
        )

    def _may_eject_one_more(self, now_s: float) -> bool:
        ejected = sum(r.ejected_until_s > now_s for r in self._records.values())
        return ejected + 1 <= self._settings.ejection_share * len(self._records)

    def _take_all_back(self) -> bool:
        changed = False
        for record in self._records.values():
            changed = changed or record.ejected_until_s > 0.0
            record.ejected_until_s = 0.0
            record.failures = 0
            record.unreachable = False
        return changed
