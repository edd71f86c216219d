"""Responses to callers, with the outcome of the call in their headers."""

import math
from dataclasses import dataclass

import falcon

from baobabring.model import CallOutcome, Completed, NotRun, Reason

BODY_KEPT_HEADER = "Baobab-Body-Kept"
OUTCOME_HEADER = "Baobab-Outcome"
REASON_HEADER = "Baobab-Reason"
REPLAYED_HEADER = "Baobab-Replayed"
REQUEST_ID_HEADER = "Baobab-Request-Id"
RETRY_AFTER_MS_HEADER = "Baobab-Retry-After-Ms"
TRIED_TARGETS_HEADER = "Baobab-Tries"

MS_PER_S = 1_000

NOT_RUN_STATUSES = {
    Reason.BAD_REQUEST: 400,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_INVALID: 400,
    Reason.NO_SERVICE: 404,
    Reason.TOO_LARGE: 413,
    Reason.KEY_REUSED: 422,
    Reason.OVERLOAD: 429,
}
DEFAULT_NOT_RUN_STATUS = 503
UNKNOWN_STATUSES = {Reason.IN_PROGRESS: 409}
DEFAULT_UNKNOWN_STATUS = 504

# A retry gets the same refusal, so these have no Retry-After header.
FINAL_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.KEY_REQUIRED,
        Reason.KEY_INVALID,
        Reason.KEY_REUSED,
        Reason.NO_SERVICE,
        Reason.TOO_LARGE,
    }
)


@dataclass(frozen=True, slots=True)
class CallResult:
    """Represent the final outcome of a call and its tried targets, in order."""

    call_id: str
    outcome: CallOutcome
    tried_targets: tuple[str, ...] = ()


def get_outcome_name(outcome: CallOutcome) -> str:
    """Return the name that the outcome header and the metrics use."""
    if isinstance(outcome, Completed):
        return "completed"
    return "not-run" if isinstance(outcome, NotRun) else "unknown"


def write_response(response: falcon.Response, result: CallResult, now_s: float) -> None:
    """Set the status, headers and body of the response to a caller."""
    outcome = result.outcome
    response.set_header(OUTCOME_HEADER, get_outcome_name(outcome))
    response.set_header(REQUEST_ID_HEADER, result.call_id)
    if result.tried_targets:
        response.set_header(TRIED_TARGETS_HEADER, ",".join(result.tried_targets))
    if isinstance(outcome, Completed):
        _write_completed(response, outcome)
    else:
        _write_uncompleted(response, outcome, now_s)


def _write_completed(response: falcon.Response, outcome: Completed) -> None:
    response.status = outcome.response.status
    response.content_type = None
    for name, value in outcome.response.headers:
        if name.lower() == "content-type":
            response.content_type = value
        else:
            response.append_header(name, value)
    if outcome.replayed:
        response.set_header(REPLAYED_HEADER, "1")
    if not outcome.body_kept:
        response.set_header(BODY_KEPT_HEADER, "0")
    response.data = outcome.response.body


def _write_uncompleted(response: falcon.Response, outcome, now_s: float) -> None:
    reason = outcome.reason
    if isinstance(outcome, NotRun):
        response.status = NOT_RUN_STATUSES.get(reason, DEFAULT_NOT_RUN_STATUS)
    else:
        response.status = UNKNOWN_STATUSES.get(reason, DEFAULT_UNKNOWN_STATUS)
    response.set_header(REASON_HEADER, reason.value)
    if reason not in FINAL_REASONS:
        wait_s = max(outcome.retry_at_s - now_s, 0.0)
        response.set_header("Retry-After", str(math.ceil(wait_s)))
        response.set_header(RETRY_AFTER_MS_HEADER, str(math.ceil(wait_s * MS_PER_S)))
    response.media = {"outcome": get_outcome_name(outcome), "reason": reason.value}
