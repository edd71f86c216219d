"""Clocks of an instance."""

import time


class Clock:
    """Measure Unix time in seconds that never decreases.

    Forward steps of the system clock are followed: after a suspension, which the
    monotonic clock does not count, an instance must see that its deadlines passed.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now_s(self) -> float:
        """Return the current time in seconds."""
        monotonic_s = time.monotonic()
        self._offset_s = max(self._offset_s, time.time() - monotonic_s)
        return monotonic_s + self._offset_s


class BoottimeClock(Clock):
    """Measure seconds since the machine's start, including suspensions.

    Steps of the system clock do not affect it, so no deadline ends early by them.
    """

    def __init__(self) -> None:
        pass

    def now_s(self) -> float:
        """Return the current time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
