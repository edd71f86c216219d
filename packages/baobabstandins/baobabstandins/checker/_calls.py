"""Check the history of calls against the journals of targets."""

from collections import defaultdict

from baobabstandins.checker._findings import Finding
from baobabstandins.fleet import (
    CallerDisconnected,
    CallEvent,
    Invoked,
    Lost,
    ReportedOutcome,
    Returned,
)
from baobabstandins.target import JournalEntry

REPORTED_OUTCOMES = frozenset(ReportedOutcome)
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


def check_runs_at_most_once(entries: list[JournalEntry]) -> list[Finding]:
    """Find idempotency keys and non-idempotent requests that ran more than once."""
    runs: dict[str, list[str]] = defaultdict(list)
    for entry in entries:
        if entry.key or entry.method not in IDEMPOTENT_METHODS:
            runs[entry.key or entry.request_id].append(entry.request_id)
    return [
        Finding("at most once", f"key {key}", f"ran {len(ids)} times: {ids}")
        for key, ids in runs.items()
        if len(ids) > 1
    ]


def check_not_run_outcomes(
    history: list[CallEvent], entries: list[JournalEntry]
) -> list[Finding]:
    """Find calls that ran although they were reported to the caller as not run."""
    ran_ids = {entry.request_id for entry in entries}
    ran_keys = {entry.key for entry in entries if entry.key}
    not_run = [
        event for event in _get_returned(history) if _has_outcome(event, "not-run")
    ]
    findings = [
        Finding("not run is true", f"call {event.call_id}", f"{event.request_id} ran")
        for event in not_run
        if event.request_id in ran_ids
    ]
    return findings + _find_not_run_keys_that_ran(history, ran_keys)


def check_response_integrity(history: list[CallEvent]) -> list[Finding]:
    """Find responses that are incomplete, to another request, or differ on a repeat."""
    completed = [
        event for event in _get_returned(history) if _has_outcome(event, "completed")
    ]
    findings = [
        Finding("own whole answers", f"call {event.call_id}", event.problem)
        for event in completed
        if event.problem is not None
    ]
    digests: dict[str, set[str]] = defaultdict(set)
    keys = _get_key_by_call_id(history)
    for event in completed:
        if keys[event.call_id]:
            digests[event.call_id].add(event.response_digest)
    return findings + [
        Finding(
            "own whole answers", f"call {call_id}", "repeats got different responses"
        )
        for call_id, call_digests in digests.items()
        if len(call_digests) > 1
    ]


def check_every_call_has_outcome(history: list[CallEvent]) -> list[Finding]:
    """Find calls without a reported outcome, and responses without an outcome."""
    reported = {
        e.call_id for e in _get_returned(history) if e.outcome in REPORTED_OUTCOMES
    }
    findings = [
        Finding(
            "every call stated", f"call {call_id}", "no attempt has a reported outcome"
        )
        for call_id in _get_key_by_call_id(history)
        if call_id not in reported
    ]
    return findings + [
        Finding(
            "every call stated",
            f"call {event.call_id}",
            f"response with status {event.status} has outcome {event.outcome!r}",
        )
        for event in _get_returned(history)
        if event.outcome not in REPORTED_OUTCOMES
    ]


def check_no_call_lost(
    history: list[CallEvent], excluded_instances: frozenset[str]
) -> list[Finding]:
    """Find attempts that got no complete response from undisturbed instances."""
    return [
        Finding(
            "no call cut off",
            f"call {event.call_id} at {event.instance_id}",
            event.problem,
        )
        for event in history
        if isinstance(event, Lost) and event.instance_id not in excluded_instances
    ]


def check_share_completed(history: list[CallEvent], min_share: float) -> list[Finding]:
    """Report when too few calls were completed for the other checks to mean much."""
    calls = _get_key_by_call_id(history)
    completed_ids = {
        e.call_id for e in _get_returned(history) if _has_outcome(e, "completed")
    }
    if calls and len(completed_ids) >= min_share * len(calls):
        return []
    problem = (
        f"{len(completed_ids)} of {len(calls)} calls; expected at least {min_share:.0%}"
    )
    return [Finding("share completed", "all calls", problem)]


def _find_not_run_keys_that_ran(
    history: list[CallEvent], ran_keys: set[str]
) -> list[Finding]:
    """Find keys that ran although each of their attempts was reported as not run."""
    ends: dict[str, list[CallEvent]] = defaultdict(list)
    for event in history:
        if isinstance(event, Returned | Lost | CallerDisconnected):
            ends[event.call_id].append(event)
    keys = _get_key_by_call_id(history)
    return [
        Finding("not run is true", f"call {call_id}", f"key {keys[call_id]} ran")
        for call_id, events in ends.items()
        if keys[call_id] in ran_keys
        and all(isinstance(e, Returned) and _has_outcome(e, "not-run") for e in events)
    ]


def _get_key_by_call_id(history: list[CallEvent]) -> dict[str, str]:
    """Return the idempotency key of each call that was sent."""
    return {event.call_id: event.key for event in history if isinstance(event, Invoked)}


def _get_returned(history: list[CallEvent]) -> list[Returned]:
    return [event for event in history if isinstance(event, Returned)]


def _has_outcome(event: Returned, outcome: str) -> bool:
    return event.outcome == outcome
