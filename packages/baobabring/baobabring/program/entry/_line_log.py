"""Structured log lines on standard output, rate-limited and non-blocking."""

import os
from time import monotonic

import logbook
import msgspec

# Log lines cost processor time, and a slow log reader must not delay calls.
MAX_LINES_PER_S = 400.0
LINE_BURST = 2_000.0
STDOUT_DESCRIPTOR = 1

_encoder = msgspec.json.Encoder(enc_hook=str)


class JsonLineHandler(logbook.Handler):
    """Write records as lines of JSON, and only count those above the rate limit."""

    def __init__(self, descriptor: int = STDOUT_DESCRIPTOR) -> None:
        super().__init__(level=logbook.INFO)
        self.dropped = 0
        self._descriptor = descriptor
        self._tokens = LINE_BURST
        self._refilled_at_s = monotonic()
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        if not self._take_token():
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

    def _take_token(self) -> bool:
        now_s = monotonic()
        refill = (now_s - self._refilled_at_s) * MAX_LINES_PER_S
        self._tokens = min(self._tokens + refill, LINE_BURST)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write(self, line: bytes) -> None:
        # The rest of a partly written line goes first, or the lines would mix.
        data = self._unwritten + line
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The output is no longer read, which must not end the process.
            self.dropped += 1
            self._unwritten = b""
            return
        if not written and self._unwritten:
            self.dropped += 1
            return
        self._unwritten = data[written:]
