"""One instance's share of the fleet's budget for probes."""

MS_PER_S = 1000.0


class ProbeBudget:
    """Limit the target time that one instance spends on probes, by a token bucket.

    The bucket starts empty and holds at most `depth_ms`.

    Parameters
    ----------
    fleet_ms_per_s : float
        Target time that the whole fleet may spend on probes.
    min_instances : int
        Smallest number of instances by which the budget is divided.
    depth_ms : float
        Depth of the bucket: target time that one instance can accumulate.
    settle_s : float
        Time without refills after the fleet's size is first known.
    """

    def __init__(
        self,
        fleet_ms_per_s: float,
        min_instances: int,
        depth_ms: float,
        settle_s: float,
    ) -> None:
        self.fleet_ms_per_s = fleet_ms_per_s
        self.min_instances = min_instances
        self.depth_ms = depth_ms
        self.settle_s = settle_s
        self.tokens_ms = 0.0
        self._instances: int | None = None
        self._refilled_at_s = 0.0

    def set_instances(self, instances: int, now_s: float) -> None:
        """Divide the budget by this many instances from now on."""
        if self._instances is None:
            self._refilled_at_s = now_s + self.settle_s
        self._refill(now_s)
        self._instances = max(instances, self.min_instances)

    def available_ms(self, now_s: float) -> float:
        """Return the target time that may be spent now."""
        self._refill(now_s)
        return self.tokens_ms

    def spend(self, spent_ms: float) -> None:
        """Remove target time; a negative balance delays the next probe."""
        self.tokens_ms -= spent_ms

    def _refill(self, now_s: float) -> None:
        # The bucket isn't refilled before the fleet's size is known.
        if self._instances is None or now_s <= self._refilled_at_s:
            return
        rate_ms_per_s = self.fleet_ms_per_s / self._instances
        earned_ms = (now_s - self._refilled_at_s) * rate_ms_per_s
        self._refilled_at_s = now_s
        self.tokens_ms = min(self.depth_ms, self.tokens_ms + earned_ms)
