"""Times at which an instance reads the store, by its rank and its peers' reads."""

from collections.abc import Collection

import xxhash

READ_INTERVAL_S = 0.7
# Delay between successive instances for the first read when all start at once.
FIRST_READ_STAGGER_S = 0.02
# A running reader sends its view to a joining instance within this time.
FIRST_VIEW_WAIT_S = 0.03
MAX_FIRST_READ_STEPS = 60
# Instances of a new fleet get this time to discover each other before the first read.
NEW_FLEET_READ_DELAY_S = 0.4
# A reader that is silent for this long is considered failed: other instances try to
# take over, and any instance that knows the view sends it to joining ones.
READER_TIMEOUT_S = 1.0
# Instances try to take over one after another, with this delay between them.
TAKEOVER_STAGGER_S = 0.12
MAX_TAKEOVER_STEPS = 8
MIN_FAILURE_PAUSE_S = 0.4
MAX_FAILURE_PAUSE_S = 2.0


class ReadSchedule:
    """Schedule reads so that one instance reads for all, with takeover on failure.

    The last instance that read the store remains the reader. Failure detection needs
    no list of live instances: when the view is no longer confirmed, the instances
    take over one after another.
    """

    def __init__(self, instance_id: str, now_s: float) -> None:
        self.instance_id = instance_id
        self.is_reader = False
        self._confirmed_at_s = now_s
        self._not_before_s = now_s
        self._failures = 0
        self._rank = 0
        self._ever_confirmed = False
        self._first_read_not_before_s = now_s

    def set_instances(self, instance_ids: Collection[str]) -> None:
        """Set the known instances, and from them the rank that staggers own reads."""
        ordered = sorted({*instance_ids, self.instance_id}, key=reader_sort_key)
        self._rank = ordered.index(self.instance_id)

    def delay_first_read(self, now_s: float) -> None:
        """Delay the first read because other instances of a new fleet are starting."""
        self._not_before_s = max(self._not_before_s, now_s + NEW_FLEET_READ_DELAY_S)
        self._first_read_not_before_s = self._not_before_s

    def next_read_at_s(self) -> float:
        """Return when this instance is to read unless a peer reads the store first."""
        if self.is_reader:
            return max(self._not_before_s, self._confirmed_at_s + READ_INTERVAL_S)
        if not self._ever_confirmed:
            steps = min(self._rank, MAX_FIRST_READ_STEPS)
            first_s = (
                self._first_read_not_before_s
                + FIRST_VIEW_WAIT_S
                + steps * FIRST_READ_STAGGER_S
            )
            return max(self._not_before_s, first_s)
        steps = min(self._rank, MAX_TAKEOVER_STEPS)
        takeover_s = READER_TIMEOUT_S + steps * TAKEOVER_STAGGER_S
        return max(self._not_before_s, self._confirmed_at_s + takeover_s)

    def record_read(self, at_s: float) -> None:
        """Record that this instance has read the store."""
        self.is_reader = True
        self._ever_confirmed = True
        self._failures = 0
        self._confirmed_at_s = max(at_s, self._confirmed_at_s)

    def record_read_failure(self, now_s: float) -> None:
        """Record a failed read and back off exponentially."""
        pause_s = MIN_FAILURE_PAUSE_S * 2**self._failures
        self._failures = min(self._failures + 1, 8)
        self._not_before_s = now_s + min(pause_s, MAX_FAILURE_PAUSE_S)

    def record_peer_read(self, peer_id: str, at_s: float, now_s: float) -> None:
        """Record that a peer has read the store."""
        is_outdated = at_s <= self._confirmed_at_s and self._ever_confirmed
        if is_outdated and not self.is_reader:
            return
        self._ever_confirmed = True
        fresh = now_s - at_s < READER_TIMEOUT_S
        # Of two readers, the one that sorts first remains the reader.
        if self.is_reader and fresh:
            own_age_s = now_s - self._confirmed_at_s
            if own_age_s > READER_TIMEOUT_S or reader_sort_key(
                peer_id
            ) < reader_sort_key(self.instance_id):
                self.is_reader = False
        self._confirmed_at_s = max(at_s, self._confirmed_at_s)


def reader_sort_key(instance_id: str) -> int:
    """Return the sort key that ranks instances for reading; the lowest goes first."""
    return xxhash.xxh64_intdigest(instance_id.encode())
