"""Interface and registry of the policies that choose a target."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from random import Random
from typing import ClassVar

from baobabring.balancing._candidate import Candidate
from baobabring.base import Registry


class TargetPolicy(ABC):
    """Choose one of the targets that may take a call.

    `uses_peers` states whether peers' calls in flight count against a target's
    slots; policies that use only own calls leave it False.
    """

    uses_peers: ClassVar[bool] = False

    @abstractmethod
    def choose(
        self, candidates: Sequence[Candidate], now_s: float, rng: Random
    ) -> Candidate:
        """Return one of the candidates; there must be at least one."""


POLICIES: Registry[TargetPolicy] = Registry("target policy")


def pick_random(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Return any candidate with equal probability."""
    return candidates[int(rng.random() * len(candidates))]
