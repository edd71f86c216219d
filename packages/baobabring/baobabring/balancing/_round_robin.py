"""Policy that chooses the targets in turn."""

from collections.abc import Sequence
from random import Random

from baobabring.balancing._candidate import Candidate
from baobabring.balancing._policy import POLICIES, TargetPolicy


@POLICIES.register("round-robin")
class RoundRobinPolicy(TargetPolicy):
    """Choose the targets in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, candidates: Sequence[Candidate], now_s: float, rng: Random
    ) -> Candidate:
        """Return the next candidate in turn."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]
