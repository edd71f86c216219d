"""Taking up of a settings file that changed."""

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

# The file may change without a signal.
CHECK_INTERVAL_S = 1.0


class SettingsTask:
    """Read the settings file again when it changed, and keep the old if it is faulty.

    Parameters
    ----------
    path : Path
        The settings file.
    settings : EntrySettings
        The settings in force.
    apply : callable
        Called with new settings.
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
        """Look for changes until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            stamp = self._read_stamp()
            if stamp != self._stamp:
                self._stamp = stamp
                self.reload("file changed")

    def reload(self, cause: str) -> None:
        """Read the file and apply what it says."""
        try:
            settings = read_node_settings(self.path)
        except InvalidNodeSettingsError as error:
            problems = [str(finding) for finding in error.findings]
            LOG.error("reload failed", cause=cause, problems=problems)
            return
        changed = settings != self.settings
        LOG.info("reload", cause=cause, changed=changed)
        if changed:
            self.settings = settings
            self.apply(settings)

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            status = self.path.stat()
        except OSError:
            # A file that is being replaced is there again at the next check.
            return None
        return status.st_mtime_ns, status.st_size
