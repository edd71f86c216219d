"""Errors of decoders, for whatever bytes they get."""

import msgspec

# Decoders go as deep as what they read, also in fields that they don't know.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)
