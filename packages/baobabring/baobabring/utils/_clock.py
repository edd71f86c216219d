"""Clock of an instance."""

import time


class Clock:
    """Tell Unix time in seconds that never goes back.

    The system's clock is followed forwards: after a suspension, which the monotonic
    clock doesn't count, an instance must see that its deadlines have passed.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now_s(self) -> float:
        """Return the time now."""
        running_s = time.monotonic()
        self._offset_s = max(self._offset_s, time.time() - running_s)
        return running_s + self._offset_s


class RunningClock(Clock):
    """Tell seconds since the machine's start, suspensions included.

    Steps of the time of day don't move it, so that they end no deadline early.
    """

    def __init__(self) -> None:
        pass

    def now_s(self) -> float:
        """Return the time now."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
