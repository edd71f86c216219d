"""Reloading of the settings file."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import logbook

from baobabring.entry import EntrySettings
from baobabring.platform.node_settings import (
    InvalidNodeSettingsError,
    read_node_settings,
)

LOG = logbook.Logger("settings")

# The file is checked for changes because it may be replaced without a signal.
CHECK_INTERVAL_S = 1.0


class SettingsTask:
    """Reload the settings file when it changes; keep the old settings if it is invalid.

    Parameters
    ----------
    path : Path
        The settings file.
    settings : EntrySettings
        The current settings.
    apply : callable
        Called with the new settings after a change.
    """

    def __init__(
        self,
        path: Path,
        settings: EntrySettings,
        apply: Callable[[EntrySettings], None],
    ) -> None:
        self.path = path
        self.settings = settings
        self.apply = apply
        self._stamp = self._read_stamp()

    async def run(self) -> None:
        """Check the file for changes until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            stamp = self._read_stamp()
            if stamp != self._stamp:
                self._stamp = stamp
                self.reload("file changed")

    def reload(self, cause: str) -> None:
        """Read the file and apply its settings if they are valid and changed."""
        try:
            settings = read_node_settings(self.path)
        except InvalidNodeSettingsError as error:
            problems = [str(finding) for finding in error.findings]
            LOG.error("settings reload failed", cause=cause, problems=problems)
            return
        changed = settings != self.settings
        LOG.info("settings reloaded", cause=cause, changed=changed)
        if changed:
            self.settings = settings
            self.apply(settings)

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            status = self.path.stat()
        except OSError:
            # A file that is being replaced exists again at the next check.
            return None
        return status.st_mtime_ns, status.st_size
