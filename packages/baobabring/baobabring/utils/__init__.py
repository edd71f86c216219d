"""Utilities shared by several packages."""

from baobabring.utils._clock import BoottimeClock, Clock
from baobabring.utils._decoding import DECODE_ERRORS

__all__ = ["DECODE_ERRORS", "BoottimeClock", "Clock"]
