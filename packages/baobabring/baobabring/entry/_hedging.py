"""Timing of hedged attempts of idempotent calls."""

from baobabring.entry._model import EntryCall

# A call that exceeds its estimated duration by this factor is at a slow target.
HEDGE_DELAY_FACTOR = 1.5
MIN_HEDGE_DELAY_MS = 20.0


def hedge_at_s(
    call: EntryCall, sent_at_s: float, finish_ms: float, attempts_made: int
) -> float | None:
    """Return when to send a hedged attempt, None if it is not allowed or too late."""
    if not call.route.idempotent or attempts_made >= call.route.attempt_limit:
        return None
    at_s = sent_at_s + max(finish_ms * HEDGE_DELAY_FACTOR, MIN_HEDGE_DELAY_MS) / 1_000
    return at_s if at_s < call.deadline_s else None
