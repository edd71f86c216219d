"""Policies that choose the better of two random targets."""

from collections.abc import Sequence
from math import exp
from random import Random

from baobabring.balancing._candidate import PEAK_DECAY_S, Candidate
from baobabring.balancing._policy import POLICIES, TargetPolicy, pick_random


@POLICIES.register("two-choices")
class TwoChoicesPolicy(TargetPolicy):
    """Choose the one of two random targets with fewer own calls in flight."""

    def choose(
        self, candidates: Sequence[Candidate], now_s: float, rng: Random
    ) -> Candidate:
        """Return the one of two random candidates with fewer own calls in flight."""
        first = pick_random(candidates, rng)
        second = pick_random(candidates, rng)
        if second.own_in_flight < first.own_in_flight:
            return second
        return first


@POLICIES.register("two-choices-peak")
class TwoChoicesPeakPolicy(TargetPolicy):
    """Choose the one of two random targets with the lower cost by peak latency."""

    def choose(
        self, candidates: Sequence[Candidate], now_s: float, rng: Random
    ) -> Candidate:
        """Return the one of two random candidates with the lower cost."""
        first = pick_random(candidates, rng)
        second = pick_random(candidates, rng)
        if _peak_cost(second, now_s) < _peak_cost(first, now_s):
            return second
        return first


def _peak_cost(candidate: Candidate, now_s: float) -> float:
    # Without decay, a target that was slow once would never be chosen again.
    age_s = max(0.0, now_s - candidate.latency_at_s)
    latency_ms = candidate.peak_latency_ms * exp(-age_s / PEAK_DECAY_S)
    return latency_ms * (candidate.own_in_flight + 1)
