"""Policy that excludes targets with many calls in flight, then chooses by latency."""

from collections.abc import Sequence
from random import Random

from baobabring.balancing._candidate import Candidate
from baobabring.balancing._policy import POLICIES, TargetPolicy, pick_random

SAMPLE_SIZE = 5
HOT_QUANTILE = 0.8
LOAD_REPORT_MAX_AGE_S = 0.1


@POLICIES.register("hot-cold")
class HotColdPolicy(TargetPolicy):
    """Apply the hot/cold rule of Prequal to a random sample.

    Targets above a quantile of calls in flight are hot. The fastest sampled target
    that isn't hot is chosen; if all are hot, the one with the fewest calls is.
    """

    def choose(
        self, candidates: Sequence[Candidate], now_s: float, rng: Random
    ) -> Candidate:
        """Return the sampled candidate with the lowest latency that isn't hot."""
        loads = sorted(_load(c, now_s) for c in candidates)
        threshold = loads[int(HOT_QUANTILE * (len(loads) - 1))]
        size = min(SAMPLE_SIZE, len(candidates))
        sample = [pick_random(candidates, rng) for _ in range(size)]
        not_hot = [c for c in sample if _load(c, now_s) <= threshold]
        if not_hot:
            return min(not_hot, key=lambda c: c.latency_ms)
        return min(sample, key=lambda c: _load(c, now_s))


def _load(candidate: Candidate, now_s: float) -> int:
    if now_s - candidate.probe_at_s < LOAD_REPORT_MAX_AGE_S:
        return max(candidate.own_in_flight, candidate.probe_in_flight)
    return candidate.own_in_flight
