"""Tell whether a target is in cold start."""


class ColdStart:
    """Keep a target cold until it has served some calls for some time.

    Parameters
    ----------
    calls : int
        How many calls it must have served.
    duration_s : float
        How long the cold start lasts at least.
    """

    def __init__(self, calls: int, duration_s: float) -> None:
        self.calls = calls
        self.duration_s = duration_s
        self._calls_left = 0
        self._until_s = 0.0

    def begin(self, now_s: float) -> None:
        """Turn cold."""
        self._calls_left = self.calls
        self._until_s = now_s + self.duration_s

    def note_served(self) -> None:
        """Count one served call."""
        self._calls_left = max(0, self._calls_left - 1)

    def is_cold(self, now_s: float) -> bool:
        """Tell whether the target is cold now."""
        return self._calls_left > 0 or now_s < self._until_s
