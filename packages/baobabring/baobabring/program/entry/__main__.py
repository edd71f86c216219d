"""Entry point of `python -m baobabring.program.entry`."""

import gc
import importlib


def _run() -> None:
    # Imported modules stay, so searching them for garbage only delays the start.
    gc.disable()
    importlib.import_module("baobabring.program.entry._main").run()


if __name__ == "__main__":
    _run()
