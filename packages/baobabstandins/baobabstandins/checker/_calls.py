"""Check the history of callers against the journals of targets."""

from collections import defaultdict

from baobabstandins.checker._findings import Finding
from baobabstandins.fleet import (
    CallEvent,
    Invoked,
    Left,
    Lost,
    Returned,
    StatedOutcome,
)
from baobabstandins.target import JournalEntry

STATED = frozenset(StatedOutcome)
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


def check_runs_at_most_once(entries: list[JournalEntry]) -> list[Finding]:
    """Find keys, or requests that change something, that ran more than once."""
    runs: dict[str, list[str]] = defaultdict(list)
    for entry in entries:
        if entry.key or entry.method not in IDEMPOTENT_METHODS:
            runs[entry.key or entry.request_id].append(entry.request_id)
    return [
        Finding("at most once", f"key {key}", f"ran {len(ids)} times: {ids}")
        for key, ids in runs.items()
        if len(ids) > 1
    ]


def check_not_run_is_true(
    history: list[CallEvent], entries: list[JournalEntry]
) -> list[Finding]:
    """Find calls that ran though the caller was told that they did not."""
    ran_ids = {entry.request_id for entry in entries}
    ran_keys = {entry.key for entry in entries if entry.key}
    refused = [event for event in _returned(history) if _is(event, "not-run")]
    findings = [
        Finding("not run is true", f"call {event.call_id}", f"{event.request_id} ran")
        for event in refused
        if event.request_id in ran_ids
    ]
    return findings + _refused_keys_that_ran(history, ran_keys)


def check_own_whole_answers(history: list[CallEvent]) -> list[Finding]:
    """Find answers that are not whole, another caller's, or differ on a repeat."""
    completed = [event for event in _returned(history) if _is(event, "completed")]
    findings = [
        Finding("own whole answers", f"call {event.call_id}", event.problem)
        for event in completed
        if event.problem is not None
    ]
    digests: dict[str, set[str]] = defaultdict(set)
    keys = _keys(history)
    for event in completed:
        if keys[event.call_id]:
            digests[event.call_id].add(event.answer_digest)
    return findings + [
        Finding("own whole answers", f"call {call_id}", "repeats got different answers")
        for call_id, seen in digests.items()
        if len(seen) > 1
    ]


def check_every_call_stated(history: list[CallEvent]) -> list[Finding]:
    """Find calls of which no try ended in a stated outcome, and answers without one."""
    stated = {e.call_id for e in _returned(history) if e.outcome in STATED}
    findings = [
        Finding("every call stated", f"call {call_id}", "no try has a stated outcome")
        for call_id in _keys(history)
        if call_id not in stated
    ]
    return findings + [
        Finding(
            "every call stated",
            f"call {event.call_id}",
            f"status {event.status} came with the outcome {event.outcome!r}",
        )
        for event in _returned(history)
        if event.outcome not in STATED
    ]


def check_no_call_cut_off(
    history: list[CallEvent], excused_instances: frozenset[str]
) -> list[Finding]:
    """Find tries that got no answer from instances that nobody disturbed."""
    return [
        Finding(
            "no call cut off",
            f"call {event.call_id} at {event.instance_id}",
            event.problem,
        )
        for event in history
        if isinstance(event, Lost) and event.instance_id not in excused_instances
    ]


def check_share_completed(
    history: list[CallEvent], least_share: float
) -> list[Finding]:
    """Find that too few calls were completed for the other checks to mean much."""
    calls = _keys(history)
    done = {e.call_id for e in _returned(history) if _is(e, "completed")}
    if calls and len(done) >= least_share * len(calls):
        return []
    problem = f"{len(done)} of {len(calls)} calls; at least {least_share:.0%} expected"
    return [Finding("share completed", "all calls", problem)]


def _refused_keys_that_ran(
    history: list[CallEvent], ran_keys: set[str]
) -> list[Finding]:
    """Find keys that ran though each try of theirs ended as not run."""
    ends: dict[str, list[CallEvent]] = defaultdict(list)
    for event in history:
        if isinstance(event, Returned | Lost | Left):
            ends[event.call_id].append(event)
    keys = _keys(history)
    return [
        Finding("not run is true", f"call {call_id}", f"key {keys[call_id]} ran")
        for call_id, events in ends.items()
        if keys[call_id] in ran_keys
        and all(isinstance(e, Returned) and _is(e, "not-run") for e in events)
    ]


def _keys(history: list[CallEvent]) -> dict[str, str]:
    """Return the key of each call that was sent."""
    return {event.call_id: event.key for event in history if isinstance(event, Invoked)}


def _returned(history: list[CallEvent]) -> list[Returned]:
    return [event for event in history if isinstance(event, Returned)]


def _is(event: Returned, outcome: str) -> bool:
    return event.outcome == outcome
