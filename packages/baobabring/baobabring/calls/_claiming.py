"""What claims of idempotency keys mean for calls."""

from baobabring.calls._state import CallState, fingerprint_call, replay_answer
from baobabring.claims import (
    ClaimCoordinator,
    ClaimEvent,
    ClaimLost,
    ClaimRefused,
    ClaimReplayed,
    ClaimUnknown,
)
from baobabring.model import Call, CallOutcome, Completed, NotRun, Unknown

UNKNOWN_RETRY_S = 1.0


def request_claim(claims: ClaimCoordinator, call: Call, now_s: float) -> ClaimEvent:
    """Ask for the sole right to run a call."""
    return claims.request(
        call_id=call.call_id,
        service_id=call.service_id,
        key=call.key,
        fingerprint=fingerprint_call(call),
        tenant=call.tenant,
        method=call.method,
        path=call.path,
        deadline_s=call.deadline_s,
        now_s=now_s,
    )


def outcome_of_claim(event: ClaimEvent, now_s: float) -> CallOutcome | None:
    """Return the outcome that a claim brings a call, None if it waits for another."""
    if isinstance(event, ClaimReplayed):
        return replay_answer(event.answer)
    if isinstance(event, ClaimUnknown):
        return Unknown(event.reason, now_s + UNKNOWN_RETRY_S)
    if isinstance(event, ClaimRefused):
        return NotRun(event.reason, event.retry_at_s)
    # The holder's result is on its way; the call's deadline bounds the wait.
    assert isinstance(event, ClaimLost)
    return None


def finish_claim(
    claims: ClaimCoordinator, state: CallState, outcome: CallOutcome, now_s: float
) -> None:
    """Tell the claims how a call ended."""
    call_id = state.call.call_id
    if not state.claimed:
        claims.cancel(call_id, now_s)
    elif isinstance(outcome, Completed):
        claims.finish_with_result(call_id, outcome.answer, now_s)
    elif isinstance(outcome, NotRun):
        claims.finish_as_not_run(call_id, now_s)
    else:
        claims.finish_as_undetermined(call_id, now_s)
