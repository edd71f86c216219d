"""Record of what a case sent, got and ran, and the exit status of the case."""

import asyncio
import json
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
CASE_LIMIT_S = 110.0


class Record:
    """Write one line an event, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at_s

    def write(self, event: str, **fields) -> None:
        """Write an event."""
        text = json.dumps(fields, ensure_ascii=True)
        self._file.write(f"{self.now_s():9.4f} {event} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def run_case(
    folder: Path, play: Callable[[Record, bool], Awaitable[bool]], has_trouble: bool
) -> None:
    """Play a case and exit: 0 if the rule held, 1 if not, 2 if it couldn't run.

    `play` gets the record and whether the disruption takes place, and returns whether
    the rule held.
    """
    record = Record(folder / "record.txt")
    try:
        held = asyncio.run(asyncio.wait_for(play(record, has_trouble), CASE_LIMIT_S))
        status = EXIT_HELD if held else EXIT_BROKEN
    except Exception:
        record.write("case could not run", error=traceback.format_exc())
        traceback.print_exc()
        status = EXIT_NOT_RUN
    record.write("exit", status=status, trouble=has_trouble)
    record.close()
    print(f"{folder.name}: trouble={has_trouble} exit={status}")
    sys.exit(status)
