"""Structured log lines on standard output, bounded and without blocking."""

import os
from time import monotonic

import logbook
import msgspec

# A line costs processor time, and a reader that lags must not hold up calls.
LINES_PER_S = 400.0
LINES_SAVED_UP = 2_000.0
STANDARD_OUTPUT = 1

_encoder = msgspec.json.Encoder(enc_hook=str)


class LineHandler(logbook.Handler):
    """Write records as lines of JSON; what goes past the bound is counted only."""

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        super().__init__(level=logbook.INFO)
        self.dropped = 0
        self._descriptor = descriptor
        self._allowance = LINES_SAVED_UP
        self._refilled_at_s = monotonic()
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        if not self._may_write():
            self.dropped += 1
            return
        line = {"at_s": record.time.timestamp(), "part": record.channel}
        line["event"] = record.message
        if record.level >= logbook.WARNING:
            line["level"] = record.level_name.lower()
        line.update(record.kwargs)
        if record.exc_info:
            line["error"] = str(record.formatted_exception)
        if self.dropped:
            line["lines_dropped"] = self.dropped
        self._write(_encoder.encode(line) + b"\n")

    def _may_write(self) -> bool:
        now_s = monotonic()
        earned = (now_s - self._refilled_at_s) * LINES_PER_S
        self._allowance = min(self._allowance + earned, LINES_SAVED_UP)
        self._refilled_at_s = now_s
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _write(self, line: bytes) -> None:
        # The rest of a line that was cut goes first, or lines would run together.
        data = self._unwritten + line
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads; a log that is lost must not end the process.
            self.dropped += 1
            self._unwritten = b""
            return
        if not written and self._unwritten:
            self.dropped += 1
            return
        self._unwritten = data[written:]
