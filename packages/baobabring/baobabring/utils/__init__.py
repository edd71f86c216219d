"""What several parts of the shell share."""

from baobabring.utils._clock import Clock

__all__ = ["Clock"]
