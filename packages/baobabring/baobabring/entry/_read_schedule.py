"""Decision of which instance reads the store, and when."""

from collections.abc import Collection

import xxhash

READ_INTERVAL_S = 0.7
# Instances that all start at once step in by turns, too.
FIRST_READ_STEP_S = 0.06
# A reader that lives tells its view to an instance that joins within this time.
FIRST_VIEW_WAIT_S = 0.08
FIRST_READ_STEPS_LIMIT = 20
# Instances of a new fleet learn of each other before one of them reads.
SETTLE_S = 0.4
# A reader that is silent for this long is replaced, by one instance after the other.
TAKEOVER_S = 1.0
TAKEOVER_STEP_S = 0.12
TAKEOVER_STEPS_LIMIT = 8
FAILURE_PAUSE_S = 0.4
FAILURE_PAUSE_LIMIT_S = 2.0


class ReadSchedule:
    """Let one instance read for all, and others when it falls silent.

    Whoever read last goes on reading. No instance needs to know which others live:
    a view that nobody confirms grows old, and the instances step in by turns.
    """

    def __init__(self, instance_id: str, now_s: float) -> None:
        self.instance_id = instance_id
        self.is_reader = False
        self._confirmed_at_s = now_s
        self._not_before_s = now_s
        self._failures = 0
        self._rank = 0
        self._ever_confirmed = False
        self._settled_at_s = now_s

    def set_instances(self, instance_ids: Collection[str]) -> None:
        """Take the instances among which readers are found."""
        ordered = sorted({*instance_ids, self.instance_id}, key=reader_order)
        self._rank = ordered.index(self.instance_id)

    def settle(self, now_s: float) -> None:
        """Put the first read off, since others of a new fleet are starting."""
        self._not_before_s = max(self._not_before_s, now_s + SETTLE_S)
        self._settled_at_s = self._not_before_s

    def next_read_at_s(self) -> float:
        """Return when this instance is to read unless it hears of another one."""
        if self.is_reader:
            return max(self._not_before_s, self._confirmed_at_s + READ_INTERVAL_S)
        if not self._ever_confirmed:
            steps = min(self._rank, FIRST_READ_STEPS_LIMIT)
            first_s = self._settled_at_s + FIRST_VIEW_WAIT_S + steps * FIRST_READ_STEP_S
            return max(self._not_before_s, first_s)
        steps = min(self._rank, TAKEOVER_STEPS_LIMIT)
        takeover_s = TAKEOVER_S + steps * TAKEOVER_STEP_S
        return max(self._not_before_s, self._confirmed_at_s + takeover_s)

    def read_succeeded(self, at_s: float) -> None:
        """Record that this instance has read the store."""
        self.is_reader = True
        self._ever_confirmed = True
        self._failures = 0
        self._confirmed_at_s = max(at_s, self._confirmed_at_s)

    def read_failed(self, now_s: float) -> None:
        """Record that the store did not answer this instance."""
        pause_s = FAILURE_PAUSE_S * 2**self._failures
        self._failures = min(self._failures + 1, 8)
        self._not_before_s = now_s + min(pause_s, FAILURE_PAUSE_LIMIT_S)

    def confirmed_by_peer(self, peer_id: str, at_s: float, now_s: float) -> None:
        """Record that a peer has read the store."""
        tells_nothing_new = at_s <= self._confirmed_at_s and self._ever_confirmed
        if tells_nothing_new and not self.is_reader:
            return
        self._ever_confirmed = True
        fresh = now_s - at_s < TAKEOVER_S
        # Of two readers the one that comes first goes on.
        if self.is_reader and fresh:
            own_age_s = now_s - self._confirmed_at_s
            if own_age_s > TAKEOVER_S or reader_order(peer_id) < reader_order(
                self.instance_id
            ):
                self.is_reader = False
        self._confirmed_at_s = max(at_s, self._confirmed_at_s)


def reader_order(instance_id: str) -> int:
    """Return by what instances are ordered when one of them is to read."""
    return xxhash.xxh64_intdigest(instance_id.encode())
