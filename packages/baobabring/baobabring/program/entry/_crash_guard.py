"""Refusal of requests that crash the targets that run them."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import logbook

from baobabring.entry import (
    CallProblem,
    CrashNotice,
    CrashSuspects,
    EntryCall,
    EntryTarget,
    FleetShares,
    RefuseCall,
    digest_request,
)
from baobabring.program.entry._metrics import BLOCKED_REQUESTS, REQUEST_CRASHES
from baobabring.program.entry._progress import CallProgress
from baobabring.utils import Clock

LOG = logbook.Logger("crashes")

MS_PER_S = 1_000


class CrashGuard:
    """Check calls against the requests that crashed targets, and log what changes."""

    def __init__(
        self, suspects: CrashSuspects, shares: FleetShares, clock: Clock
    ) -> None:
        self.suspects = suspects
        self.shares = shares
        self.clock = clock
        BLOCKED_REQUESTS.set_function(lambda: len(suspects.blocked()))
        # Called when something may have to be told to peers.
        self.on_suspicion: Callable[[], None] = lambda: None

    def check(self, progress: CallProgress) -> RefuseCall | None:
        """Return the refusal of a call that must not be sent now, else None."""
        digest = self._get_digest(progress)
        if digest is None or not self.suspects.crash_count(digest):
            return None
        now_s = self.clock.now_s()
        until_s = self.suspects.refused_until_s(digest, 0, now_s)
        if until_s is None and self.suspects.is_blocked(digest):
            # The rank takes a hash for each instance, and matters for few calls.
            rank = self.shares.count_instances_before(digest)
            until_s = self.suspects.refused_until_s(digest, rank, now_s)
        if until_s is None:
            return None
        return RefuseCall(until_s, CallProblem.CRASHES_TARGETS)

    def needs_caution(self, progress: CallProgress) -> bool:
        """Return whether a call must be attempted once only, without a hedge."""
        digest = self._get_digest(progress)
        return digest is not None and self.suspects.needs_caution(digest)

    @contextmanager
    def attempt(self, progress: CallProgress) -> Iterator[None]:
        """Count an attempt of a call while it is in progress."""
        digest = self._get_digest(progress)
        if digest is None or not self.suspects.crash_count(digest):
            yield
            return
        if self.suspects.is_blocked(digest):
            LOG.warning(
                "blocked request sent again",
                call=progress.call.call_id,
                request=digest,
                path=progress.call.path,
            )
        self.suspects.begin_attempt(digest, self.clock.now_s())
        try:
            yield
        finally:
            self.suspects.end_attempt(digest)

    def record_crash(
        self, call: EntryCall, target: EntryTarget, crashed_at_s: float
    ) -> None:
        """Record that a target ended while it ran a call."""
        digest = digest_request(call)
        start = (target.target_id, target.started_at_ms)
        self.on_suspicion()
        was_blocked = self.suspects.is_blocked(digest)
        if not self.suspects.record_crash(digest, start, crashed_at_s):
            return
        REQUEST_CRASHES.inc()
        if self.suspects.is_blocked(digest) and not was_blocked:
            self._log_blocked(digest, "own call", path=call.path)

    def record_success(self, progress: CallProgress) -> None:
        """Record that a call was served, so that its request is not to blame."""
        digest = self._get_digest(progress)
        if digest is None:
            return
        was_blocked = self.suspects.is_blocked(digest)
        if self.suspects.record_success(digest, self.clock.now_s()) and was_blocked:
            self._log_unblocked(digest, "own call")

    def apply_notice(self, notice: CrashNotice, sender: str, passes_on: bool) -> None:
        """Record what a peer tells of a request; with `passes_on`, tell others."""
        self.on_suspicion()
        was_blocked = self.suspects.is_blocked(notice.digest)
        self.suspects.apply_notice(notice, passes_on, self.clock.now_s())
        is_blocked = self.suspects.is_blocked(notice.digest)
        if is_blocked and not was_blocked:
            self._log_blocked(notice.digest, sender)
        elif was_blocked and not is_blocked:
            self._log_unblocked(notice.digest, sender)

    def expire(self) -> None:
        """Forget requests whose crashes were long ago."""
        self.suspects.expire(self.clock.now_s())

    def _get_digest(self, progress: CallProgress) -> str | None:
        """Return the digest of a call's request, None while nothing is suspected."""
        if not len(self.suspects):
            return None
        if progress.request_digest is None:
            progress.request_digest = digest_request(progress.call)
        return progress.request_digest

    def _log_blocked(self, digest: str, source: str, path: str | None = None) -> None:
        now_s = self.clock.now_s()
        LOG.warning(
            "request blocked",
            request=digest,
            path=path,
            source=source,
            crashes=[
                (target_id, started_at_ms, round((now_s - at_s) * MS_PER_S))
                for (target_id, started_at_ms), at_s in self.suspects.crashes(digest)
            ],
        )

    def _log_unblocked(self, digest: str, source: str) -> None:
        LOG.warning("request no longer blocked", request=digest, source=source)
