"""Cold start of a target."""


class ColdStart:
    """Track a cold start that lasts for a number of calls and a minimum time.

    Parameters
    ----------
    calls : int
        Number of calls that must be served before it ends.
    duration_s : float
        Minimum duration.
    """

    def __init__(self, calls: int, duration_s: float) -> None:
        self.calls = calls
        self.duration_s = duration_s
        self._calls_left = 0
        self._until_s = 0.0

    def begin(self, now_s: float) -> None:
        """Start or restart the cold start."""
        self._calls_left = self.calls
        self._until_s = now_s + self.duration_s

    def record_served_call(self) -> None:
        """Record one served call."""
        self._calls_left = max(0, self._calls_left - 1)

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target is cold at `now_s`."""
        return self._calls_left > 0 or now_s < self._until_s
