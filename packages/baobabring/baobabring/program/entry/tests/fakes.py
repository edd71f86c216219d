"""Fakes shared by several tests."""


class StepClock:
    """Fake clock whose time tests set."""

    def __init__(self) -> None:
        self.at_s = 100.0

    def now_s(self) -> float:
        """Return the time that was set."""
        return self.at_s
