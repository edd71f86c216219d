"""Messages between instances about requests under which targets have ended."""

import msgspec


class TargetCrash(msgspec.Struct, array_like=True, frozen=True):
    """Report that a target ended `age_ms` ago while it ran a request."""

    target_id: str
    started_at_ms: int
    age_ms: float


class CrashNotice(msgspec.Struct, array_like=True, frozen=True):
    """Report the first targets that ended under a request, by the request's digest.

    `last_age_ms` is the age of the last crash, or of the last attempt of a request that
    is blocked. Crashes before `cleared_age_ms` ago don't count.
    """

    digest: str
    crashes: list[TargetCrash]
    last_age_ms: float | None
    cleared_age_ms: float | None

    def with_added_age(self, added_ms: float) -> "CrashNotice":
        """Return the notice as it is `added_ms` later."""
        crashes = [
            TargetCrash(c.target_id, c.started_at_ms, c.age_ms + added_ms)
            for c in self.crashes
        ]
        return CrashNotice(
            self.digest,
            crashes,
            _add_age(self.last_age_ms, added_ms),
            _add_age(self.cleared_age_ms, added_ms),
        )


class CrashNotices(msgspec.Struct, array_like=True, frozen=True):
    """Pass on crashes of targets, to the reader or from it to all instances."""

    sender: str
    notices: list[CrashNotice]


def _add_age(age_ms: float | None, added_ms: float) -> float | None:
    return None if age_ms is None else age_ms + added_ms
