"""Decision to send a call, to keep it waiting or to refuse it."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from baobabring.entry._model import EntryCall
from baobabring.entry._target_ranker import Offer

# Maximum wait at this instance as a share of the latency goal. A caller that
# would wait longer is better served by a retry.
MAX_WAIT_SHARE_OF_GOAL = 0.125
MS_PER_S = 1_000
PROBE_RETRY_DELAY_S = 0.012
MIN_RETRY_AFTER_S = 0.03
# Retry time while targets have free slots, so that the goal can still be met.
RETRY_SOON_MS = 40.0
# Callers wait at most this share of their remaining time before a retry.
MAX_RETRY_SHARE_OF_TIME_LEFT = 0.3
# Factor on the expected duration, since work often takes longer than expected. A call
# that would barely meet its deadline should be retried rather than run in vain.
DEADLINE_MARGIN = 1.25
# Latest expected completion of a queued call as a share of its latency goal, by
# priority. Less urgent calls leave room in the queues of targets for urgent ones.
QUEUE_SHARE_OF_GOAL_BY_PRIORITY = (0.95, 0.85, 0.75, 0.65)


@dataclass(frozen=True, slots=True)
class SendCall:
    """Represent the decision to send a call to a target."""

    target_id: str
    finish_ms: float


@dataclass(frozen=True, slots=True)
class ProbeAgain:
    """Represent the decision to probe targets again, not before `at_s`."""

    at_s: float


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Represent the decision to refuse a call, with a retry allowed at `retry_at_s`."""

    retry_at_s: float
    reason: str


Decision = SendCall | ProbeAgain | RefuseCall


class Admission:
    """Decide whether to send, delay or refuse a call based on the offers of targets."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng

    def decide(
        self,
        call: EntryCall,
        offers: Sequence[Offer],
        can_probe_others: bool,
        now_s: float,
    ) -> Decision:
        """Return the decision for a call based on its offers, which are sorted by cost.

        `can_probe_others` is set if targets are left that may be probed now.
        """
        free = next((offer for offer in offers if offer.has_free_slot), None)
        best = min(offers, key=lambda offer: offer.finish_ms, default=None)
        if free is not None and self._can_meet_deadline(free, call, now_s):
            chosen = _cheapest_of(offers, free)
            in_time = self._finishes_by(chosen, call.goal_at_s, now_s)
            if in_time or not can_probe_others:
                return SendCall(chosen.target_id, chosen.finish_ms)
        if can_probe_others:
            return ProbeAgain(now_s)
        if best is not None:
            if self._finishes_by(best, self._queue_until_s(call), now_s):
                return SendCall(best.target_id, best.finish_ms)
            others_may_serve = free is not None and self._could_meet_deadline(
                free, call, now_s
            )
            if not others_may_serve and not self._can_meet_deadline(best, call, now_s):
                return self.refuse(call, best.finish_ms / 2, "too-late", now_s)
        if now_s < self._wait_until_s(call):
            return ProbeAgain(now_s + PROBE_RETRY_DELAY_S * self.rng.uniform(0.7, 1.3))
        if free is not None:
            return self.refuse(call, RETRY_SOON_MS, "too-late", now_s)
        finish_ms = best.finish_ms if best is not None else call.route.latency_goal_ms
        return self.refuse(call, finish_ms / 2, "overload", now_s)

    def refuse(
        self, call: EntryCall, after_ms: float, reason: str, now_s: float
    ) -> RefuseCall:
        """Return a refusal whose retry time is randomly spread around `after_ms`."""
        left_s = max(0.0, call.deadline_s - now_s)
        after_s = after_ms / 1_000 * self.rng.uniform(0.5, 1.5)
        after_s = min(after_s, left_s * MAX_RETRY_SHARE_OF_TIME_LEFT)
        after_s = max(after_s, MIN_RETRY_AFTER_S)
        return RefuseCall(now_s + after_s, reason)

    def refuse_limited(
        self, call: EntryCall, opening_at_s: float, now_s: float
    ) -> RefuseCall | None:
        """Return the refusal of a call that all targets are closed for by their word.

        Return None if the call can wait until one of them takes calls, at
        `opening_at_s`.
        """
        if opening_at_s <= max(now_s, self._wait_until_s(call)):
            return None
        after_ms = (opening_at_s - now_s) * MS_PER_S
        return self.refuse(call, after_ms, "targets-limited", now_s)

    def refuse_after_target(
        self, call: EntryCall, offer: Offer, now_s: float
    ) -> RefuseCall:
        """Return the refusal of a call that a target refused to run.

        If the target had a free slot, others are not full, and the caller may retry
        soon.
        """
        after_ms = call.route.latency_goal_ms / 2
        if offer.has_free_slot:
            after_ms = min(after_ms, RETRY_SOON_MS)
        return self.refuse(call, after_ms, "targets-refused", now_s)

    def _can_meet_deadline(self, offer: Offer, call: EntryCall, now_s: float) -> bool:
        return now_s + DEADLINE_MARGIN * offer.finish_ms / 1_000 <= call.deadline_s

    def _could_meet_deadline(self, offer: Offer, call: EntryCall, now_s: float) -> bool:
        """Return whether a target of normal speed would meet the deadline."""
        finish_ms = offer.finish_ms / max(offer.slowdown, 1.0)
        return now_s + DEADLINE_MARGIN * finish_ms / 1_000 <= call.deadline_s

    def _finishes_by(self, offer: Offer, until_s: float, now_s: float) -> bool:
        return now_s + offer.finish_ms / 1_000 <= until_s

    def _queue_until_s(self, call: EntryCall) -> float:
        last = len(QUEUE_SHARE_OF_GOAL_BY_PRIORITY) - 1
        share = QUEUE_SHARE_OF_GOAL_BY_PRIORITY[min(call.route.priority, last)]
        return call.arrived_at_s + share * (call.goal_at_s - call.arrived_at_s)

    def _wait_until_s(self, call: EntryCall) -> float:
        goal_s = call.goal_at_s - call.arrived_at_s
        return call.arrived_at_s + MAX_WAIT_SHARE_OF_GOAL * goal_s


def _cheapest_of(offers: Sequence[Offer], free: Offer) -> Offer:
    """Return the cheaper of `free` and the first offer, which may require queueing."""
    return min(offers[0], free, key=lambda offer: offer.cost_ms)
