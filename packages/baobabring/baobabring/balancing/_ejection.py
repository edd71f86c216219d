"""Outlier ejection of targets that fail or are far slower than their service."""

from dataclasses import dataclass

from baobabring.balancing._settings import BalancingSettings

FAILURE_LATENCY_RATIO = 5.0
GOOD_RESPONSES_TO_RESET = 20
SUSPECT_FAILURES = 3
MAX_SUSPECT_SHARE = 0.5


@dataclass(slots=True)
class _TargetHealth:
    """Represent the health of a target; `failures` counts consecutive failures."""

    failures: int = 0
    unreachable: bool = False
    good_responses: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0


class OutlierEjection:
    """Eject the worst targets of one service for a limited time.

    At most a share of the targets is ejected at once. If most targets are suspect,
    the fault is likely at this instance, and all ejections are lifted.
    """

    def __init__(self, settings: BalancingSettings) -> None:
        self._settings = settings
        self._health: dict[str, _TargetHealth] = {}

    def configure(self, target_ids: set[str]) -> None:
        """Set the targets in use, and keep the state of those that remain."""
        for target_id in target_ids:
            self._health.setdefault(target_id, _TargetHealth())
        for target_id in self._health.keys() - target_ids:
            del self._health[target_id]

    def record_success(
        self, target_id: str, latency_ratio: float, now_s: float
    ) -> bool:
        """Record a good response; return whether the set of ejected targets changed.

        `latency_ratio` is the target's latency divided by the service's mean.
        """
        health = self._health.get(target_id)
        if health is None:
            return False
        if latency_ratio > FAILURE_LATENCY_RATIO:
            return self._add_failure(health, False, now_s)
        health.failures = 0
        health.good_responses += 1
        if health.good_responses >= GOOD_RESPONSES_TO_RESET:
            health.ejections = 0
        return False

    def record_failure(self, target_id: str, unreachable: bool, now_s: float) -> bool:
        """Record a failure; return whether the set of ejected targets changed."""
        health = self._health.get(target_id)
        if health is None:
            return False
        return self._add_failure(health, unreachable, now_s)

    def eject_draining(self, target_id: str, now_s: float) -> bool:
        """Eject a target that reports draining; return whether it was ejected now."""
        health = self._health.get(target_id)
        if health is None or health.ejected_until_s > now_s:
            return False
        if not self._can_eject(now_s):
            return False
        health.unreachable = False
        health.ejected_until_s = now_s + self._settings.ejection_base_s
        return True

    def is_ejected(self, target_id: str, now_s: float) -> bool:
        """Return whether the target is ejected and takes no new calls."""
        health = self._health.get(target_id)
        return health is not None and health.ejected_until_s > now_s

    def was_unreachable(self, target_id: str) -> bool:
        """Return whether the last failure was a lost or refused connection."""
        health = self._health.get(target_id)
        return health is not None and health.unreachable

    def get_next_return_at_s(self, now_s: float) -> float:
        """Return when the next ejection ends; infinity if no target is ejected."""
        ends = [health.ejected_until_s for health in self._health.values()]
        return min((end for end in ends if end > now_s), default=float("inf"))

    def _add_failure(
        self, health: _TargetHealth, unreachable: bool, now_s: float
    ) -> bool:
        health.good_responses = 0
        health.failures += 1
        health.unreachable = unreachable
        if health.ejected_until_s > now_s:
            return False
        if health.failures < self._settings.ejection_failures:
            return False
        if self._count_suspects(now_s) > MAX_SUSPECT_SHARE * len(self._health):
            return self._return_all()
        if not self._can_eject(now_s):
            return False
        self._eject(health, now_s)
        return True

    def _eject(self, health: _TargetHealth, now_s: float) -> None:
        duration_s = self._settings.ejection_base_s * 2.0**health.ejections
        duration_s = min(duration_s, self._settings.ejection_limit_s)
        health.ejected_until_s = now_s + duration_s
        health.ejections = min(health.ejections + 1, 30)
        # One failure after the return ejects the target again.
        health.failures = self._settings.ejection_failures - 1

    def _count_suspects(self, now_s: float) -> int:
        return sum(
            health.failures >= SUSPECT_FAILURES or health.ejected_until_s > now_s
            for health in self._health.values()
        )

    def _can_eject(self, now_s: float) -> bool:
        ejected = sum(
            health.ejected_until_s > now_s for health in self._health.values()
        )
        return ejected + 1 <= self._settings.ejection_share * len(self._health)

    def _return_all(self) -> bool:
        changed = False
        for health in self._health.values():
            changed = changed or health.ejected_until_s > 0.0
            health.ejected_until_s = 0.0
            health.failures = 0
            health.unreachable = False
        return changed
