"""Policy that chooses a target with the fewest own calls in flight."""

from collections.abc import Sequence
from random import Random

from baobabring.balancing._candidate import Candidate
from baobabring.balancing._policy import POLICIES, TargetPolicy, pick_random


@POLICIES.register("least-in-flight")
class LeastInFlightPolicy(TargetPolicy):
    """Choose a target with the fewest own calls in flight."""

    def choose(
        self, candidates: Sequence[Candidate], now_s: float, rng: Random
    ) -> Candidate:
        """Return a random one of the candidates with the fewest own calls in flight."""
        least = min(c.own_in_flight for c in candidates)
        return pick_random([c for c in candidates if c.own_in_flight == least], rng)
