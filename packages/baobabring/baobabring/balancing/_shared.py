"""Policy that chooses by own and peers' calls in flight."""

from collections.abc import Sequence
from math import exp
from random import Random

from baobabring.balancing._candidate import Candidate
from baobabring.balancing._policy import POLICIES, TargetPolicy

SAMPLE_SIZE = 4
MAX_JITTER_CALLS = 0.3
LATENCY_WEIGHT_CALLS = 0.25
MAX_LATENCY_RATIO = 4.0
LATENCY_MAX_AGE_S = 1.0
FAILURE_DECAY_S = 2.0
REMOTE_ZONE_COST_CALLS = 0.02
REFERENCE_SLOTS = 2.0


@POLICIES.register("shared")
class SharedPolicy(TargetPolicy):
    """Choose the least loaded of a few random targets by the fleet's calls in flight.

    Sampling and jitter keep instances with the same counts from all choosing one
    target. Failures add cost, so that a target that fails fast doesn't look idle.
    """

    uses_peers = True

    def choose(
        self, candidates: Sequence[Candidate], now_s: float, rng: Random
    ) -> Candidate:
        """Return the sampled candidate with the lowest cost."""
        random = rng.random
        count = len(candidates)
        best = candidates[int(random() * count)]
        if count == 1:
            return best
        best_cost = self._cost(best, now_s) + MAX_JITTER_CALLS * random()
        for _ in range(min(SAMPLE_SIZE, count) - 1):
            other = candidates[int(random() * count)]
            cost = self._cost(other, now_s) + MAX_JITTER_CALLS * random()
            if cost < best_cost:
                best = other
                best_cost = cost
        return best

    def _cost(self, candidate: Candidate, now_s: float) -> float:
        cost = candidate.own_in_flight + candidate.peers_in_flight
        if candidate.failure_cost:
            age_s = now_s - candidate.failure_at_s
            cost += candidate.failure_cost * exp(-age_s / FAILURE_DECAY_S)
        if not candidate.local_zone:
            cost += REMOTE_ZONE_COST_CALLS
        if now_s - candidate.latency_at_s < LATENCY_MAX_AGE_S:
            ratio = min(candidate.latency_ratio, MAX_LATENCY_RATIO)
            cost += LATENCY_WEIGHT_CALLS * ratio
        return cost * REFERENCE_SLOTS / candidate.slots
