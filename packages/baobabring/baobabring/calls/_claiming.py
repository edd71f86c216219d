"""Translation between claims of idempotency keys and outcomes of calls."""

from baobabring.calls._state import (
    CallState,
    fingerprint_call,
    outcome_from_kept_response,
)
from baobabring.claims import (
    ClaimCoordinator,
    ClaimEvent,
    ClaimLost,
    ClaimRefused,
    ClaimReplayed,
    ClaimUnknown,
)
from baobabring.model import Call, CallOutcome, Completed, NotRun, Unknown

UNKNOWN_RETRY_AFTER_S = 1.0


def request_claim(claims: ClaimCoordinator, call: Call, now_s: float) -> ClaimEvent:
    """Request the exclusive right to run a call."""
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


def outcome_from_claim(event: ClaimEvent, now_s: float) -> CallOutcome | None:
    """Return the outcome of a call by its claim, or None while the call waits."""
    if isinstance(event, ClaimReplayed):
        return outcome_from_kept_response(event.response)
    if isinstance(event, ClaimUnknown):
        return Unknown(event.reason, now_s + UNKNOWN_RETRY_AFTER_S)
    if isinstance(event, ClaimRefused):
        return NotRun(event.reason, event.retry_at_s)
    # The call waits for the holder's result, at most until its own deadline.
    assert isinstance(event, ClaimLost)
    return None


def finish_claim(
    claims: ClaimCoordinator, state: CallState, outcome: CallOutcome, now_s: float
) -> None:
    """Record the outcome of a call with its claim."""
    call_id = state.call.call_id
    if not state.claimed:
        claims.cancel(call_id, now_s)
    elif isinstance(outcome, Completed):
        claims.finish_with_result(call_id, outcome.response, now_s)
    elif isinstance(outcome, NotRun):
        claims.finish_as_not_run(call_id, now_s)
    else:
        claims.finish_as_undetermined(call_id, now_s)
