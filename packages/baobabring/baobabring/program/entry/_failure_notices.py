"""Failures of targets that instances tell each other through the reader."""

from baobabring.entry import TargetTable
from baobabring.utils import Clock

Counts = dict[str, int]


class FailureNotices:
    """Gather failed calls by target, and take in what the whole fleet saw.

    Own failures count at once; the reader's totals contain them again later, so that
    only what goes beyond them is added then.
    """

    def __init__(self, target_table: TargetTable, clock: Clock) -> None:
        self.target_table = target_table
        self.clock = clock
        self._unsent: Counts = {}
        self._sent: Counts = {}
        self._collected: Counts = {}

    def add(self, target_id: str) -> None:
        """Count a failure that this instance saw."""
        self._unsent[target_id] = self._unsent.get(target_id, 0) + 1
        self._record(target_id, 1)

    def take_unsent(self) -> Counts:
        """Return what the reader has not been told yet."""
        counts, self._unsent = self._unsent, {}
        _add(self._sent, counts)
        return counts

    def collect(self, counts: Counts) -> None:
        """Take in, as the reader, what an instance saw."""
        _add(self._collected, counts)

    def take_collected(self) -> Counts:
        """Return, as the reader, what all instances saw since the last time."""
        self.collect(self.take_unsent())
        counts, self._collected = self._collected, {}
        self.heard_totals(counts)
        return counts

    def heard_totals(self, counts: Counts) -> None:
        """Take in what all instances saw."""
        for target_id, count in counts.items():
            own = min(count, self._sent.get(target_id, 0))
            if own:
                self._sent[target_id] -= own
            if count > own:
                self._record(target_id, count - own)

    def _record(self, target_id: str, count: int) -> None:
        record = self.target_table.get_record(target_id)
        if record is not None:
            record.record_failures(self.clock.now_s(), count)


def _add(total: Counts, counts: Counts) -> None:
    for target_id, count in counts.items():
        total[target_id] = total.get(target_id, 0) + count
