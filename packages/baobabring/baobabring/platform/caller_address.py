"""Address for callers, read from the settings file ahead of all other settings.

This module imports little, since a restarted instance needs the address first.
"""

import tomllib


def read_caller_address(path: str) -> tuple[str, int] | None:
    """Return host and port for callers, None if the file does not have them."""
    try:
        with open(path, "rb") as file:
            tables = tomllib.load(file)
        host, _, port = tables["network"]["listen"]["front"].rpartition(":")
        return host, int(port)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        # The program reads the file again and reports what is wrong with it.
        return None
