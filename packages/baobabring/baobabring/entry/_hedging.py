"""Decision of when an idempotent call is tried at a second target."""

from baobabring.entry._model import EntryCall

# A call that takes longer than this times its estimate has met a slow target.
LATE_FACTOR = 1.5
LEAST_WAIT_MS = 20.0


def hedge_at_s(
    call: EntryCall, sent_at_s: float, finish_ms: float, tries: int
) -> float | None:
    """Return when to try a second target, None if that must not or can't help."""
    if not call.route.idempotent or tries >= call.route.attempt_limit:
        return None
    at_s = sent_at_s + max(finish_ms * LATE_FACTOR, LEAST_WAIT_MS) / 1_000
    return at_s if at_s < call.answer_by_s else None
