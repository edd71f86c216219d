"""Clock of an instance."""

import time


class Clock:
    """Tell Unix time in seconds that never goes back.

    Steps of the system's clock after the start are not followed.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now_s(self) -> float:
        """Return the time now."""
        return time.monotonic() + self._offset_s
