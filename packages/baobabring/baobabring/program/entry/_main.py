"""Command line of the entry program."""

import gc
import logging
import os
import socket
import sys
from functools import partial
from pathlib import Path
from random import Random

import uvloop
from absl import app, flags
from logbook.compat import RedirectLoggingHandler

from baobabring.entry import EntrySettings
from baobabring.platform.node_settings import (
    SETTINGS_VARIABLE,
    InvalidNodeSettingsError,
    read_node_settings,
)
from baobabring.program.entry._instance import EntryInstance
from baobabring.program.entry._line_log import JsonLineHandler
from baobabring.program.entry._metrics import LINES_DROPPED

EXIT_OK = 0
EXIT_INVALID_SETTINGS = 2

CHECK = flags.DEFINE_bool("check", False, "Check the settings and exit.")


def _main(argv: list[str], listener: socket.socket | None = None) -> int:
    name = argv[1] if len(argv) > 1 else os.environ.get(SETTINGS_VARIABLE)
    if name is None:
        usage = "usage: python -m baobabring.program.entry [--check] FILE; or set "
        print(usage + SETTINGS_VARIABLE, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    try:
        path = Path(name)
        settings = read_node_settings(path)
    except InvalidNodeSettingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if CHECK.value:
        print(f"{name}: valid")
        return EXIT_OK
    logging.getLogger().handlers = [RedirectLoggingHandler()]
    handler = JsonLineHandler()
    LINES_DROPPED.set_function(lambda: handler.dropped)
    with handler.applicationbound():
        uvloop.run(_serve(settings, path, listener))
    return EXIT_OK


async def _serve(
    settings: EntrySettings, path: Path, listener: socket.socket | None
) -> None:
    instance = EntryInstance(settings, path, Random(), listener)
    # Exempts the objects created so far, which live as long as the process, from
    # garbage collection.
    gc.freeze()
    gc.enable()
    await instance.run()


def run(listener: socket.socket | None = None) -> None:
    """Run the entry program, with the listener for callers if it is open already."""
    app.run(partial(_main, listener=listener))
