"""Fakes shared by several tests."""

import asyncio


class StepClock:
    """Fake clock whose time tests set."""

    def __init__(self) -> None:
        self.at_s = 100.0

    def now_s(self) -> float:
        """Return the time that was set."""
        return self.at_s


class LoopClock:
    """Clock with the time of the event loop and a lead over it."""

    def __init__(self, lead_s: float = 0.0) -> None:
        self.lead_s = lead_s

    def now_s(self) -> float:
        """Return the loop's time and the lead."""
        return asyncio.get_running_loop().time() + self.lead_s
