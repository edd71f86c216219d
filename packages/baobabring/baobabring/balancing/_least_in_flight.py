"""Choice by the fewest own calls in flight."""

from collections.abc import Sequence
from random import Random

from baobabring.balancing._candidate import Candidate
from baobabring.balancing._policy import POLICIES, TargetPolicy, pick


@POLICIES.register("least-in-flight")
class LeastInFlightPolicy(TargetPolicy):
    """Take a target with the fewest own calls in flight."""

    def choose(
        self, candidates: Sequence[Candidate], now_s: float, rng: Random
    ) -> Candidate:
        """Return a least loaded candidate; equal ones are drawn from at random."""
        least = min(c.own_in_flight for c in candidates)
        return pick([c for c in candidates if c.own_in_flight == least], rng)
