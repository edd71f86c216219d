"""Utilities shared by several packages."""

from baobabring.utils._clock import BoottimeClock, Clock

__all__ = ["Clock", "BoottimeClock"]
