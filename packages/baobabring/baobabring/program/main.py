"""Command line of the instance program."""

import sys
from pathlib import Path

import uvloop
from absl import app, flags

from baobabring.program._instance import AddressError, run_instance
from baobabring.program._logs import create_log_handler
from baobabring.program._plugins import find_unknown_plugins
from baobabring.settings import InvalidSettings, Settings, read_settings

EXIT_OK = 0
EXIT_INVALID_SETTINGS = 2
EXIT_UNUSABLE_ADDRESS = 3

SETTINGS = flags.DEFINE_string("settings", None, "Path of the INI settings file.")
CHECK = flags.DEFINE_bool("check", False, "Check the settings and exit.")


def _read_checked_settings(path: Path) -> Settings | InvalidSettings:
    settings = read_settings(path)
    if isinstance(settings, InvalidSettings):
        return settings
    findings = find_unknown_plugins(path, settings)
    return InvalidSettings(findings) if findings else settings


def _main(argv: list[str]) -> int:
    positional = argv[1:]
    name = SETTINGS.value or (positional[0] if positional else None)
    if name is None:
        print("usage: baobabring [--check] --settings FILE", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    settings = _read_checked_settings(Path(name))
    if isinstance(settings, InvalidSettings):
        for finding in settings.findings:
            print(finding, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if CHECK.value:
        print(f"{name}: valid")
        return EXIT_OK
    handler = create_log_handler(settings.logging.format, settings.logging.level)
    with handler.applicationbound():
        try:
            uvloop.run(run_instance(settings))
        except AddressError as error:
            print(f"{name}: {error}", file=sys.stderr)
            return EXIT_UNUSABLE_ADDRESS
    return EXIT_OK


def run() -> None:
    """Run the program `baobabring`."""
    app.run(_main)
