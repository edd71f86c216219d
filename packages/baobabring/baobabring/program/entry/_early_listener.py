"""Listener for callers that is opened before the program is imported.

Callers that connect while the instance starts wait in the listener's queue. Without it
their connections would be reset, and after a restart of all instances their retries as
well.
"""

import os
import socket
import sys

from baobabring.platform.caller_address import read_caller_address

# Named here too, since the module of the settings imports much.
SETTINGS_VARIABLE = "BAOBABRING_SETTINGS"
BACKLOG_CONNECTIONS = 512


def open_early_listener() -> socket.socket | None:
    """Return a listener if the program was started to serve, None if it can't bind."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None or len(sys.argv) > 1:
        return None
    address = read_caller_address(path)
    if address is None:
        return None
    try:
        return socket.create_server(address, backlog=BACKLOG_CONNECTIONS)
    except OSError:
        # The server of callers tries again and reports the failure.
        return None
