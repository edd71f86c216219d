"""Entry point of `python -m baobabring.program.entry`."""

import gc
import importlib
import signal

from baobabring.program.entry._early_listener import open_early_listener


def _run() -> None:
    # The settings are read after the imports, so a reload has nothing to do until then.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    listener = open_early_listener()
    # Imported modules stay, so searching them for garbage only delays the start.
    gc.disable()
    importlib.import_module("baobabring.program.entry._main").run(listener)


if __name__ == "__main__":
    _run()
