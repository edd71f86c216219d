"""Pace of appends within the fleet's budget."""

# Unix times resolve no better than a fraction of a microsecond.
_TOLERANCE_APPENDS = 1e-3


class AppendPacer:
    """Grant appends from a token bucket filled with one instance's share.

    Parameters
    ----------
    budget_appends_per_s : float
        Appends that the whole fleet may make in a second.
    burst_appends : float
        Appends that an instance which was idle may make at once, at least 1.
    """

    def __init__(self, budget_appends_per_s: float, burst_appends: float) -> None:
        self.budget_appends_per_s = budget_appends_per_s
        self.burst_appends = burst_appends
        self._rate_per_s = budget_appends_per_s
        self._tokens = burst_appends
        self._filled_at_s: float | None = None

    def set_live_instances(self, live_instances: int, now_s: float) -> None:
        """Take an equal share of the budget from now on."""
        if live_instances < 1:
            raise ValueError(f"live_instances must be at least 1, got {live_instances}")
        self._fill(now_s)
        self._rate_per_s = self.budget_appends_per_s / live_instances

    def take(self, now_s: float) -> bool:
        """Take one append if the budget allows it."""
        self._fill(now_s)
        if self._tokens < 1 - _TOLERANCE_APPENDS:
            return False
        self._tokens -= 1
        return True

    def next_at_s(self, now_s: float) -> float:
        """Return when the next append will be granted."""
        self._fill(now_s)
        return now_s + max(0.0, 1 - self._tokens) / self._rate_per_s

    def _fill(self, now_s: float) -> None:
        if self._filled_at_s is None:
            self._filled_at_s = now_s
        elapsed_s = max(0.0, now_s - self._filled_at_s)
        self._tokens = min(
            self.burst_appends, self._tokens + elapsed_s * self._rate_per_s
        )
        self._filled_at_s = max(self._filled_at_s, now_s)
