"""Counts of failed calls by target, which the reader collects and sends to all.

The reader is the instance that reads the store for the fleet.
"""

from baobabring.entry import TargetTable
from baobabring.utils import Clock

Counts = dict[str, int]


class FailureCounts:
    """Count the failed calls of this instance and of the whole fleet by target.

    Own failures count at once. The reader's totals include them later, so only the
    part of a total that exceeds the own failures is added.
    """

    def __init__(self, target_table: TargetTable, clock: Clock) -> None:
        self.target_table = target_table
        self.clock = clock
        self._unsent: Counts = {}
        self._sent: Counts = {}
        self._totals: Counts = {}

    def count_failure(self, target_id: str) -> None:
        """Count a failed call of this instance."""
        self._unsent[target_id] = self._unsent.get(target_id, 0) + 1
        self._record(target_id, 1)

    def drain_unsent(self) -> Counts:
        """Return the counts not yet sent to the reader, and mark them as sent."""
        counts, self._unsent = self._unsent, {}
        _add_to(self._sent, counts)
        return counts

    def add_counts(self, counts: Counts) -> None:
        """Add the counts of an instance to the totals, as the reader."""
        _add_to(self._totals, counts)

    def drain_totals(self) -> Counts:
        """Return the totals since the last time and apply them, as the reader."""
        self.add_counts(self.drain_unsent())
        counts, self._totals = self._totals, {}
        self.apply_totals(counts)
        return counts

    def apply_totals(self, counts: Counts) -> None:
        """Record the failures of all instances, own ones only once."""
        for target_id, count in counts.items():
            own = min(count, self._sent.get(target_id, 0))
            if own > 0:
                self._sent[target_id] -= own
            if count > max(0, own):
                self._record(target_id, count - own)

    def _record(self, target_id: str, count: int) -> None:
        record = self.target_table.get_record(target_id)
        if record is not None:
            record.record_failures(self.clock.now_s(), count)


def _add_to(total: Counts, counts: Counts) -> None:
    for target_id, count in counts.items():
        total[target_id] = total.get(target_id, 0) + max(0, count)
