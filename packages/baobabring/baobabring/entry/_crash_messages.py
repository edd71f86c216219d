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


class CrashNotices(msgspec.Struct, array_like=True, frozen=True):
    """Pass on crashes of targets, to the reader or from it to all instances."""

    sender: str
    notices: list[CrashNotice]
