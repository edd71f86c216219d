"""Entry program that can be disturbed by signals.

Its wall clock jumps by one hour on each SIGUSR1, and SIGUSR2 changes its links to
targets.
"""

import os
import runpy
import signal
import time
from pathlib import Path

from baobabring.platform.node_settings import SETTINGS_VARIABLE

from baobabstandins.usersplatform.cut_entry import CuttableLinks

CLOCK_JUMP_S = 3_600.0


class ShiftedTime:
    """Wall clock that jumps alternately forwards and back."""

    def __init__(self) -> None:
        self._system_time = time.time
        self._offset_s = 0.0

    def get_time_s(self) -> float:
        """Return the shifted time."""
        return self._system_time() + self._offset_s

    def jump(self, *_: object) -> None:
        """Jump forwards, or back if the last jump was forwards."""
        self._offset_s = 0.0 if self._offset_s else CLOCK_JUMP_S


if __name__ == "__main__":
    shifted = ShiftedTime()
    time.time = shifted.get_time_s
    signal.signal(signal.SIGUSR1, shifted.jump)
    CuttableLinks(Path(os.environ[SETTINGS_VARIABLE])).install()
    runpy.run_module("baobabring.program.entry", run_name="__main__")
