"""What several parts of the shell share."""

from baobabring.utils._clock import Clock, RunningClock

__all__ = ["Clock", "RunningClock"]
