"""Entry point of `python -m baobabring.program.entry`."""

import gc
import importlib

from baobabring.program.entry._early_listener import open_early_listener


def _run() -> None:
    listener = open_early_listener()
    # Imported modules stay, so searching them for garbage only delays the start.
    gc.disable()
    importlib.import_module("baobabring.program.entry._main").run(listener)


if __name__ == "__main__":
    _run()
