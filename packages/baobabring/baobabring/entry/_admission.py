"""Decision to send a call, to let it wait or to refuse it."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from baobabring.entry._choice import Offer
from baobabring.entry._model import EntryCall

# Calls that wait here longer than this part of their latency goal are better off if
# their caller comes back.
WAIT_SHARE_OF_GOAL = 0.125
PROBE_AGAIN_S = 0.012
LEAST_RETRY_AFTER_S = 0.03
# Callers wait at most a third of their time before they come back.
RETRY_SHARE_OF_TIME_LEFT = 0.3
# Work often takes longer than expected; a call that would just make its deadline had
# better come back than run in vain.
DEADLINE_MARGIN = 1.25
# Less urgent calls leave room in the targets' queues for more urgent ones.
GOAL_SHARE_BY_PRIORITY = (0.95, 0.85, 0.75, 0.65)


@dataclass(frozen=True, slots=True)
class SendCall:
    """Tell to send a call to a target."""

    target_id: str
    finish_ms: float


@dataclass(frozen=True, slots=True)
class ProbeAgain:
    """Tell to probe targets again, not before `at_s`."""

    at_s: float


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Tell to refuse a call, which may come back at `retry_at_s`."""

    retry_at_s: float
    reason: str


Decision = SendCall | ProbeAgain | RefuseCall


class Admission:
    """Decide by the offers of targets what becomes of a call."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng

    def decide(
        self,
        call: EntryCall,
        offers: Sequence[Offer],
        others_left: bool,
        now_s: float,
    ) -> Decision:
        """Decide by the offers, best first; `others_left` tells of others to probe."""
        free = next((offer for offer in offers if offer.free_slot), None)
        best = min(offers, key=lambda offer: offer.finish_ms, default=None)
        if free is not None and self._can_be_served(free, call, now_s):
            return SendCall(_best_of(offers, free).target_id, free.finish_ms)
        if others_left:
            return ProbeAgain(now_s)
        if best is not None:
            if self._in_time(best, self._queue_until_s(call), now_s):
                return SendCall(best.target_id, best.finish_ms)
            if not self._can_be_served(best, call, now_s):
                return self.refuse(call, best.finish_ms / 2, "too-late", now_s)
        if now_s < self._wait_until_s(call):
            return ProbeAgain(now_s + PROBE_AGAIN_S * self.rng.uniform(0.7, 1.3))
        finish_ms = best.finish_ms if best is not None else call.route.latency_goal_ms
        return self.refuse(call, finish_ms / 2, "overload", now_s)

    def refuse(
        self, call: EntryCall, after_ms: float, reason: str, now_s: float
    ) -> RefuseCall:
        """Return a refusal with a time to come back that is spread."""
        left_s = max(0.0, call.answer_by_s - now_s)
        after_s = after_ms / 1_000 * self.rng.uniform(0.5, 1.5)
        after_s = min(after_s, left_s * RETRY_SHARE_OF_TIME_LEFT)
        after_s = max(after_s, LEAST_RETRY_AFTER_S)
        return RefuseCall(now_s + after_s, reason)

    def _can_be_served(self, offer: Offer, call: EntryCall, now_s: float) -> bool:
        return now_s + DEADLINE_MARGIN * offer.finish_ms / 1_000 <= call.answer_by_s

    def _in_time(self, offer: Offer, until_s: float, now_s: float) -> bool:
        return now_s + offer.finish_ms / 1_000 <= until_s

    def _queue_until_s(self, call: EntryCall) -> float:
        last = len(GOAL_SHARE_BY_PRIORITY) - 1
        share = GOAL_SHARE_BY_PRIORITY[min(call.route.priority, last)]
        return call.arrived_at_s + share * (call.goal_at_s - call.arrived_at_s)

    def _wait_until_s(self, call: EntryCall) -> float:
        goal_s = call.goal_at_s - call.arrived_at_s
        return call.arrived_at_s + WAIT_SHARE_OF_GOAL * goal_s


def _best_of(offers: Sequence[Offer], free: Offer) -> Offer:
    """Return the offer of the least cost, which may be that of a queue."""
    return min(offers[0], free, key=lambda offer: offer.cost_ms)
