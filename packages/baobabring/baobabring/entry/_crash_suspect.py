"""One request under which targets have ended."""

from dataclasses import dataclass, field

from baobabring.entry._crash_messages import CrashNotice, TargetCrash

# A request under which this many targets have ended is sent to one more only now and
# then.
MAX_CRASHES = 3
MIN_BLOCK_S = 10.0
# Each wait is this many times the time since the request was blocked.
BLOCK_GROWTH = 10
SUSPECT_LIFETIME_S = 60.0
BLOCK_LIFETIME_S = 24 * 3_600.0
# What changed is sent again for some time, since the instance that passes it on may
# have failed.
RESEND_INTERVAL_S = 1.0
RESEND_FOR_S = 5.0
MS_PER_S = 1_000

# Id of a target and Unix milliseconds of its start.
TargetStart = tuple[str, int]


@dataclass(slots=True)
class CrashSuspect:
    """Represent a request and the first targets that ended while they ran it.

    `last_at_s` is the time of the last crash, or of the last attempt while the request
    was blocked. Crashes until `cleared_at_s` don't count: the request was served then.
    """

    crashes: dict[TargetStart, float] = field(default_factory=dict)
    last_at_s: float = float("-inf")
    cleared_at_s: float = float("-inf")
    running: int = 0
    changed_at_s: float = float("-inf")
    sent_at_s: float = float("-inf")

    @property
    def is_blocked(self) -> bool:
        """Return whether the request has crashed too many targets."""
        return len(self.crashes) >= MAX_CRASHES

    def blocked_until_s(self) -> float:
        """Return until when a blocked request is not sent."""
        blocked_at_s = max(self.crashes.values())
        wait_s = max(MIN_BLOCK_S, BLOCK_GROWTH * (self.last_at_s - blocked_at_s))
        return self.last_at_s + wait_s

    def add_crash(self, target: TargetStart, at_s: float) -> bool:
        """Add a crash unless it is known or cleared; return whether it was added.

        The first ones are kept: instances that learn them in another order agree on
        when the request was blocked.
        """
        if at_s <= self.cleared_at_s:
            return False
        self.last_at_s = max(self.last_at_s, at_s)
        if target in self.crashes:
            return False
        if self.is_blocked:
            latest = max(self.crashes, key=self.crashes.__getitem__)
            if at_s >= self.crashes[latest]:
                return False
            del self.crashes[latest]
        self.crashes[target] = at_s
        return True

    def clear(self, at_s: float) -> bool:
        """Forget the crashes until `at_s`; return whether there were any."""
        if at_s <= self.cleared_at_s:
            return False
        self.cleared_at_s = at_s
        kept = {t: crash_s for t, crash_s in self.crashes.items() if crash_s > at_s}
        had_crashes = len(kept) < len(self.crashes)
        self.crashes = kept
        return had_crashes

    def expires_at_s(self) -> float:
        """Return when the request may be forgotten."""
        if self.is_blocked:
            return self.last_at_s + BLOCK_LIFETIME_S
        return max(self.last_at_s, self.cleared_at_s) + SUSPECT_LIFETIME_S

    def is_due(self, now_s: float) -> bool:
        """Return whether peers are to be told, for the first time or again."""
        if self.changed_at_s > self.sent_at_s:
            return True
        is_recent = now_s - self.changed_at_s < RESEND_FOR_S
        return is_recent and now_s - self.sent_at_s >= RESEND_INTERVAL_S

    def build_notice(self, digest: str, now_s: float) -> CrashNotice:
        """Return what peers are told of the request with this digest."""
        return CrashNotice(
            digest=digest,
            crashes=[
                TargetCrash(target_id, started_at_ms, (now_s - at_s) * MS_PER_S)
                for (target_id, started_at_ms), at_s in self.crashes.items()
            ],
            last_age_ms=_age_ms(self.last_at_s, now_s),
            cleared_age_ms=_age_ms(self.cleared_at_s, now_s),
        )


def _age_ms(at_s: float, now_s: float) -> float | None:
    return None if at_s == float("-inf") else (now_s - at_s) * MS_PER_S
