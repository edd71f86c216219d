"""Failures of targets, told to all instances."""

from baobabring.entry import TargetBook, TargetFailures
from baobabring.program._peer_link import PeerLink
from baobabring.utils import Clock


class FailureNotices:
    """Gather failures for a moment and tell them in one message."""

    def __init__(
        self, instance_id: str, link: PeerLink, book: TargetBook, clock: Clock
    ) -> None:
        self.instance_id = instance_id
        self.link = link
        self.book = book
        self.clock = clock
        self._counts: dict[str, int] = {}
        link.subscribe(TargetFailures, self._heard)

    def add(self, target_id: str) -> None:
        """Count a failure that this instance saw."""
        self._counts[target_id] = self._counts.get(target_id, 0) + 1

    def flush(self) -> None:
        """Tell the failures counted since the last time."""
        if self._counts:
            self.link.broadcast(TargetFailures(self.instance_id, self._counts))
            self._counts = {}

    def _heard(self, message: TargetFailures) -> None:
        now_s = self.clock.now_s()
        for target_id, count in message.counts.items():
            record = self.book.record(target_id)
            if record is not None:
                record.add_failure(now_s, count)
