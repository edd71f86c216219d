"""Exchange of the requests that crashed targets, by way of the store's reader."""

import asyncio

from baobabring.entry import CrashNotices
from baobabring.program._peer_link import PeerLink
from baobabring.program.entry._crash_guard import CrashGuard
from baobabring.program.entry._peer_task import PeerTask
from baobabring.utils import Clock

# Crashes in quick succession are sent together.
SEND_INTERVAL_S = 0.1


class CrashExchange:
    """Send what this instance saw to the reader, which passes it on to all."""

    def __init__(
        self, guard: CrashGuard, peer_task: PeerTask, link: PeerLink, clock: Clock
    ) -> None:
        self.guard = guard
        self.peer_task = peer_task
        self.link = link
        self.clock = clock
        self._has_suspects = asyncio.Event()
        guard.on_suspicion = self._has_suspects.set
        link.subscribe(CrashNotices, self._on_notices)

    async def run(self) -> None:
        """Send notices until cancelled, while any request is suspected."""
        while True:
            await self._has_suspects.wait()
            await asyncio.sleep(SEND_INTERVAL_S)
            self.guard.expire()
            self._send_notices()
            if not len(self.guard.suspects):
                self._has_suspects.clear()

    def send_all(self, address: str) -> None:
        """Tell a peer all suspected requests, as it may have just started."""
        notices = self.guard.suspects.build_notices(self.clock.now_s())
        if notices:
            message = CrashNotices(self.peer_task.instance_id, notices)
            self.link.send(address, message)

    def _send_notices(self) -> None:
        if not self.peer_task.can_tell_all():
            return
        passes_on = self.peer_task.is_reader()
        notices = self.guard.suspects.pop_notices(passes_on, self.clock.now_s())
        if notices:
            message = CrashNotices(self.peer_task.instance_id, notices)
            self.peer_task.tell_all(message)

    def _on_notices(self, message: CrashNotices) -> None:
        passes_on = self.peer_task.is_reader()
        for notice in message.notices:
            self.guard.apply_notice(notice, message.sender, passes_on)
