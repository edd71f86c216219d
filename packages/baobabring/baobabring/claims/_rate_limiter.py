"""Rate limiter that keeps appends to the log within the fleet's budget."""

# Floats represent Unix times only to a fraction of a microsecond, so a token that is
# due can come out slightly smaller than 1.
_TOLERANCE_APPENDS = 1e-3


class AppendRateLimiter:
    """Limit appends with a token bucket that refills at one instance's share.

    Parameters
    ----------
    budget_appends_per_s : float
        Appends per second that the whole fleet may make.
    burst_appends : float
        Size of the bucket: appends that an idle instance may make at once, at
        least 1.
    """

    def __init__(self, budget_appends_per_s: float, burst_appends: float) -> None:
        self.budget_appends_per_s = budget_appends_per_s
        self.burst_appends = burst_appends
        self._rate_per_s = budget_appends_per_s
        self._tokens = burst_appends
        self._refilled_at_s: float | None = None

    def set_live_instances(self, live_instances: int, now_s: float) -> None:
        """Set the rate to an equal share of the budget; raise ValueError below 1."""
        if live_instances < 1:
            raise ValueError(f"live_instances must be at least 1, got {live_instances}")
        self._refill_tokens(now_s)
        self._rate_per_s = self.budget_appends_per_s / live_instances

    def try_acquire(self, now_s: float) -> bool:
        """Use one token if available; return whether the append is allowed."""
        self._refill_tokens(now_s)
        if self._tokens < 1 - _TOLERANCE_APPENDS:
            return False
        self._tokens -= 1
        return True

    def next_grant_at_s(self, now_s: float) -> float:
        """Return the Unix time at which the next append will be allowed."""
        self._refill_tokens(now_s)
        return now_s + max(0.0, 1 - self._tokens) / self._rate_per_s

    def _refill_tokens(self, now_s: float) -> None:
        if self._refilled_at_s is None:
            self._refilled_at_s = now_s
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._tokens = min(
            self.burst_appends, self._tokens + elapsed_s * self._rate_per_s
        )
        self._refilled_at_s = max(self._refilled_at_s, now_s)
