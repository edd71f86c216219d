"""Requests under which targets have ended, and when they may be sent again."""

from collections.abc import Iterable
from math import isfinite

from baobabring.entry._crash_messages import CrashNotice
from baobabring.entry._crash_suspect import (
    MS_PER_S,
    RESEND_INTERVAL_S,
    CrashSuspect,
    TargetStart,
)

# From this many crashes on, a request is attempted once at a time at an instance, and
# not again after a failure.
CAUTION_CRASHES = 2
# Pause between the instances that may send a blocked request again.
TRIAL_STAGGER_S = 1.0
MAX_SUSPECTS = 1_000
# Callers of a request that is being attempted may return after this time.
IN_PROGRESS_RETRY_S = 0.2
# Instances that start learn all within this time.
REPEAT_INTERVAL_S = 2.0
MAX_REPEATED_NOTICES = 32


class CrashSuspects:
    """Decide when requests that crashed targets may be sent, for the whole fleet.

    Instances tell each other the crashes that they see, by digests of the requests.
    A request that is served, at any instance, is cleared.
    """

    def __init__(self) -> None:
        self._suspects: dict[str, CrashSuspect] = {}
        self._repeated_at_s = float("-inf")

    def __len__(self) -> int:
        return len(self._suspects)

    def crash_count(self, digest: str) -> int:
        """Return how many targets ended under a request since it was served last."""
        suspect = self._suspects.get(digest)
        return 0 if suspect is None else len(suspect.crashes)

    def crashes(self, digest: str) -> list[tuple[TargetStart, float]]:
        """Return the targets that ended under a request, and when."""
        suspect = self._suspects.get(digest)
        return [] if suspect is None else list(suspect.crashes.items())

    def needs_caution(self, digest: str) -> bool:
        """Return whether a request is to be attempted once at a time only."""
        return self.crash_count(digest) >= CAUTION_CRASHES

    def is_blocked(self, digest: str) -> bool:
        """Return whether a request has crashed too many targets."""
        suspect = self._suspects.get(digest)
        return suspect is not None and suspect.is_blocked

    def blocked(self) -> list[tuple[str, float]]:
        """Return the requests that are blocked, and when they were last attempted."""
        return [
            (digest, suspect.last_at_s)
            for digest, suspect in self._suspects.items()
            if suspect.is_blocked
        ]

    def build_notice(self, digest: str, now_s: float) -> CrashNotice:
        """Return what is known of a request."""
        return self._suspects[digest].build_notice(digest, now_s)

    def refused_until_s(self, digest: str, rank: int, now_s: float) -> float | None:
        """Return until when a request must not be sent here, None if it may be sent.

        Of all instances, the one whose `rank` is lowest is the first that may send a
        blocked request again.
        """
        suspect = self._suspects.get(digest)
        if suspect is None or len(suspect.crashes) < CAUTION_CRASHES:
            return None
        if suspect.is_blocked:
            until_s = suspect.blocked_until_s()
            if now_s < until_s + rank * TRIAL_STAGGER_S:
                return max(until_s, now_s + IN_PROGRESS_RETRY_S)
        return now_s + IN_PROGRESS_RETRY_S if suspect.running else None

    def begin_attempt(self, digest: str, now_s: float) -> None:
        """Count an attempt; one of a blocked request keeps it blocked elsewhere."""
        suspect = self._suspects.get(digest)
        if suspect is None:
            return
        suspect.running += 1
        if suspect.is_blocked:
            suspect.last_at_s = now_s
            suspect.changed_at_s = now_s

    def end_attempt(self, digest: str) -> None:
        """Count the end of an attempt."""
        suspect = self._suspects.get(digest)
        if suspect is not None:
            suspect.running = max(0, suspect.running - 1)

    def record_crash(self, digest: str, target: TargetStart, at_s: float) -> bool:
        """Record that a target ended under a request; return whether that is new."""
        suspect = self._get_or_add(digest)
        added = suspect.add_crash(target, at_s)
        suspect.changed_at_s = max(suspect.changed_at_s, at_s)
        return added

    def record_success(self, digest: str, at_s: float) -> bool:
        """Record that a request was served; return whether that clears crashes."""
        suspect = self._suspects.get(digest)
        if suspect is None or not suspect.crashes:
            return False
        suspect.changed_at_s = at_s
        return suspect.clear(at_s)

    def expire(self, now_s: float) -> None:
        """Forget requests whose crashes were long ago."""
        for digest, suspect in list(self._suspects.items()):
            if suspect.expires_at_s() <= now_s and not suspect.running:
                del self._suspects[digest]

    # Exchange with peers

    def pop_notices(self, passes_on: bool, now_s: float) -> list[CrashNotice]:
        """Return what peers are to be told now.

        The instance that passes on what others tell repeats all now and then.
        """
        due = [
            (digest, suspect)
            for digest, suspect in self._suspects.items()
            if suspect.is_due(now_s)
        ]
        if passes_on and now_s - self._repeated_at_s >= REPEAT_INTERVAL_S:
            self._repeated_at_s = now_s
            due = self._newest()
        for _, suspect in due:
            suspect.sent_at_s = now_s
        return [suspect.build_notice(digest, now_s) for digest, suspect in due]

    def build_notices(self, now_s: float) -> list[CrashNotice]:
        """Return what an instance that has just started is to be told."""
        newest = self._newest()
        return [suspect.build_notice(digest, now_s) for digest, suspect in newest]

    def apply_notice(self, notice: CrashNotice, passes_on: bool, now_s: float) -> bool:
        """Record what a peer tells of a request; return whether anything is new."""
        if not _has_valid_ages(notice):
            return False
        suspect = self._get_or_add(notice.digest)
        last_before_s = suspect.last_at_s
        changed = False
        if notice.cleared_age_ms is not None:
            changed = suspect.clear(now_s - notice.cleared_age_ms / MS_PER_S)
        for crash in sorted(notice.crashes, key=lambda crash: -crash.age_ms):
            target = (crash.target_id, crash.started_at_ms)
            changed |= suspect.add_crash(target, now_s - crash.age_ms / MS_PER_S)
        if suspect.crashes and notice.last_age_ms is not None:
            last_at_s = now_s - notice.last_age_ms / MS_PER_S
            suspect.last_at_s = max(suspect.last_at_s, last_at_s)
        # The age of a known time differs a little with each message.
        changed |= suspect.last_at_s > last_before_s + RESEND_INTERVAL_S
        if changed and passes_on:
            suspect.changed_at_s = now_s
        return changed

    def _newest(self) -> list[tuple[str, CrashSuspect]]:
        """Return the requests that are blocked or suspected, the newest ones only."""
        suspected = [item for item in self._suspects.items() if item[1].crashes]
        suspected.sort(key=lambda item: item[1].last_at_s)
        return suspected[-MAX_REPEATED_NOTICES:]

    def _get_or_add(self, digest: str) -> CrashSuspect:
        suspect = self._suspects.get(digest)
        if suspect is None:
            suspect = self._suspects[digest] = CrashSuspect()
            if len(self._suspects) > MAX_SUSPECTS:
                self._remove_least_important(self._suspects.keys() - {digest})
        return suspect

    def _remove_least_important(self, digests: Iterable[str]) -> None:
        def importance(digest: str) -> tuple[bool, float]:
            suspect = self._suspects[digest]
            return (suspect.is_blocked, suspect.last_at_s)

        del self._suspects[min(digests, key=importance)]


def _has_valid_ages(notice: CrashNotice) -> bool:
    ages_ms = [crash.age_ms for crash in notice.crashes]
    ages_ms += [notice.last_age_ms or 0.0, notice.cleared_age_ms or 0.0]
    return all(isfinite(age_ms) and age_ms >= 0 for age_ms in ages_ms)
