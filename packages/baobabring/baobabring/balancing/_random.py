"""Policy that chooses a target at random."""

from collections.abc import Sequence
from random import Random

from baobabring.balancing._candidate import Candidate
from baobabring.balancing._policy import POLICIES, TargetPolicy, pick_random


@POLICIES.register("random")
class RandomPolicy(TargetPolicy):
    """Choose a target at random."""

    def choose(
        self, candidates: Sequence[Candidate], now_s: float, rng: Random
    ) -> Candidate:
        """Return any candidate with equal probability."""
        return pick_random(candidates, rng)
