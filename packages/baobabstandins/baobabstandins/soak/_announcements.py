"""Announcements of targets during a run, and checks of what follows them.

A call's id, as in `SEED-INSTANCE-CALLER-NUMBER`, names the instance that its caller
sent it to. The instance that sent it to the target may be another one, to which it was
handed over; the last byte of its address is its number plus one.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from baobabstandins.checker import Finding
from baobabstandins.usersplatform import (
    ReceivedRequest,
    allowed_requests,
    most_requests_in_window,
)

# A target that is leaving gets no calls from an instance that knew for this long.
DRAIN_S = 2.0
# A target that wants a pause gets hardly any calls from this long after it said so.
PAUSE_TAKES_EFFECT_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2


@dataclass(slots=True)
class AnnouncedLimit:
    """Represent a limit that a target named; times are Unix times."""

    target_id: str
    limit_per_s: float
    from_s: float
    until_s: float = float("inf")


@dataclass(slots=True)
class AnnouncedLeaving:
    """Represent how long a target said that it is leaving, until it ended."""

    target_id: str
    from_s: float
    until_s: float = float("inf")


Announcement = AnnouncedLimit | AnnouncedLeaving


@dataclass(frozen=True, slots=True)
class InstanceTime:
    """Represent since when an instance knows of an announcement."""

    instance: int
    known_since_s: float


def check_announcements(
    target_id: str,
    announcements: Iterable[Announcement],
    requests: Iterable[ReceivedRequest],
    disturbed_instances: frozenset[int],
) -> list[Finding]:
    """Return the violations of what a target asked for.

    Instances that a fault disturbed are excused from what each instance has to keep.
    """
    calls = [request for request in requests if not request.is_probe]
    counted = [call for call in calls if _sender_of(call) not in disturbed_instances]
    findings = _check_pauses(target_id, counted)
    for announcement in announcements:
        if announcement.target_id != target_id:
            continue
        if isinstance(announcement, AnnouncedLimit):
            findings += _check_limit(announcement, calls)
        else:
            findings += _check_leaving(announcement, counted)
    return findings


def _check_limit(limit: AnnouncedLimit, calls: list[ReceivedRequest]) -> list[Finding]:
    most = most_requests_in_window(
        [call.received_at_s for call in calls], limit.from_s, limit.until_s
    )
    allowed = allowed_requests(limit.limit_per_s)
    if most <= allowed:
        return []
    problem = f"{most} calls in 4 s at {limit.limit_per_s} a second, allowed {allowed}"
    return [Finding("limits of targets hold", limit.target_id, problem)]


def _check_leaving(
    leaving: AnnouncedLeaving, calls: list[ReceivedRequest]
) -> list[Finding]:
    during = [c for c in calls if leaving.from_s <= c.received_at_s < leaving.until_s]
    findings = []
    for known in _first_calls(during):
        late_s = max(
            (
                call.received_at_s - known.known_since_s
                for call in during
                if _sender_of(call) == known.instance
            ),
            default=0.0,
        )
        if late_s > DRAIN_S:
            problem = f"a call from instance {known.instance} {late_s:.2f} s later"
            findings.append(
                Finding("leaving targets get no calls", leaving.target_id, problem)
            )
    return findings


def _check_pauses(target_id: str, calls: list[ReceivedRequest]) -> list[Finding]:
    findings = []
    for refused in (call for call in calls if call.stated_pause is not None):
        begin_s = refused.received_at_s + PAUSE_TAKES_EFFECT_S
        end_s = refused.received_at_s + float(refused.stated_pause)
        count = sum(
            begin_s <= call.received_at_s < end_s
            and call.started_at_ms == refused.started_at_ms
            and _sender_of(call) == _sender_of(refused)
            for call in calls
        )
        if count > MAX_REQUESTS_IN_PAUSE:
            problem = f"{count} calls in a pause of {refused.stated_pause} s"
            findings.append(Finding("pauses hold", target_id, problem))
    return findings


def _first_calls(calls: list[ReceivedRequest]) -> list[InstanceTime]:
    """Return when each instance got its first response, or passed it on."""
    first: dict[int, float] = {}
    for call in calls:
        first.setdefault(_sender_of(call), call.received_at_s)
        first.setdefault(_receiver_of(call), call.received_at_s)
    return [InstanceTime(instance, at_s) for instance, at_s in first.items()]


def _receiver_of(call: ReceivedRequest) -> int:
    """Return the instance that the caller sent a call to."""
    return int(call.call_id.split("-")[1])


def _sender_of(call: ReceivedRequest) -> int:
    """Return the instance that sent a call to the target."""
    if call.sender_ip is None:
        return _receiver_of(call)
    return int(call.sender_ip.rpartition(".")[2]) - 1
