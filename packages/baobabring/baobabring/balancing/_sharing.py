"""Exchange of in-flight counts between instances."""

from collections.abc import Iterable

from baobabring.balancing._candidate import Candidate
from baobabring.balancing._cold_start import ColdStartGuard
from baobabring.balancing._peers import PeerLoad
from baobabring.balancing._settings import BalancingSettings
from baobabring.balancing._updates import (
    ColdNotice,
    InFlightUpdate,
    TargetCount,
    target_key,
)

# Assumed encoded sizes of an update and of its parts, charged to the budget.
UPDATE_BYTES = 48
COUNT_BYTES = 7
NOTICE_BYTES = 40
BUDGET_BURST_S = 0.5
SEQUENCES_PER_S = 1_000_000


class InFlightSharing:
    """Send own calls in flight to peers, and apply the updates of peers.

    Parameters
    ----------
    peers : PeerLoad
        Stores the counts of peers.
    cold_start : ColdStartGuard
        Provides the cold notices to send, and applies those of peers.
    shares_counts : bool
        Whether to send counts besides cold notices; some policies don't use them.
    """

    def __init__(
        self,
        instance_id: str,
        settings: BalancingSettings,
        peers: PeerLoad,
        cold_start: ColdStartGuard,
        shares_counts: bool = True,
    ) -> None:
        self._instance_id = instance_id
        self._settings = settings
        self._peers = peers
        self._cold_start = cold_start
        self._shares_counts = shares_counts
        self._sequence = -1
        self._counts: dict[str, int] = {}
        self._sent_counts: dict[str, int] = {}
        self._changed_targets: set[str] = set()
        self._urgent = False
        self._sent_at_s = 0.0
        self._full_sent_at_s = 0.0
        self._budget_bytes = BUDGET_BURST_S * settings.share_bytes_per_s
        self._budget_at_s = 0.0

    def apply(self, update: InFlightUpdate, now_s: float) -> bool:
        """Apply a peer's update; return False if it is late or a duplicate."""
        if update.sender == self._instance_id:
            return False
        for notice in update.notices:
            self._cold_start.apply_notice(notice.target_id, notice.cold_epoch, now_s)
        return self._peers.apply(update, now_s)

    def remove_peer(self, sender: str) -> None:
        """Remove the counts of a peer that is no longer live."""
        self._peers.remove_peer(sender)

    def retain_peers(self, peer_ids: frozenset[str]) -> None:
        """Remove the counts of all peers except these."""
        for sender in self._peers.get_senders() - peer_ids:
            self._peers.remove_peer(sender)

    def record_count(self, candidate: Candidate) -> None:
        """Record the own calls in flight to a target after a change."""
        if not self._shares_counts:
            return
        target_id = candidate.target_id
        in_flight = candidate.own_in_flight
        if in_flight:
            self._counts[target_id] = in_flight
        else:
            self._counts.pop(target_id, None)
        sent = self._sent_counts.get(target_id, 0)
        if sent == in_flight:
            self._changed_targets.discard(target_id)
            return
        self._changed_targets.add(target_id)
        # A target with many free slots hardly affects the choices of peers.
        load = max(sent, in_flight) + candidate.peers_in_flight
        if load > 0.5 * candidate.slots:
            self._urgent = True

    def pop_due_update(self, now_s: float) -> InFlightUpdate | None:
        """Return the update to send to peers now, if any; it counts as sent."""
        self._refill_budget(now_s)
        notices = self._cold_start.pop_notices()
        full = self._is_full_update_due(now_s)
        if not notices and not full and not self._is_due(now_s):
            return None
        target_ids = set(self._counts) if full else self._changed_targets
        size_bytes = (
            UPDATE_BYTES + COUNT_BYTES * len(target_ids) + NOTICE_BYTES * len(notices)
        )
        if not notices and size_bytes > self._budget_bytes:
            return None
        self._budget_bytes -= size_bytes
        return self._build_update(now_s, full, target_ids, notices)

    def _build_update(
        self,
        now_s: float,
        full: bool,
        target_ids: Iterable[str],
        notices: tuple[ColdNotice, ...],
    ) -> InFlightUpdate:
        counts = tuple(
            TargetCount(target_key(target_id), self._counts.get(target_id, 0))
            for target_id in sorted(target_ids)
        )
        # Starting at the current time makes the sequence higher than before a restart.
        if self._sequence < 0:
            self._sequence = int(now_s * SEQUENCES_PER_S)
        self._sequence += 1
        self._sent_counts = dict(self._counts)
        self._changed_targets = set()
        self._urgent = False
        self._sent_at_s = now_s
        if full:
            self._full_sent_at_s = now_s
        return InFlightUpdate(
            self._instance_id, self._sequence, now_s, full, counts, notices
        )

    def _is_full_update_due(self, now_s: float) -> bool:
        if not self._counts and not self._sent_counts:
            return False
        return now_s - self._full_sent_at_s >= self._settings.share_refresh_ms / 1000.0

    def _is_due(self, now_s: float) -> bool:
        since_ms = 1000.0 * (now_s - self._sent_at_s)
        if self._counts and since_ms >= self._settings.share_renew_ms:
            return True
        if not self._changed_targets:
            return False
        interval_ms = self._settings.share_interval_ms
        if not self._urgent or self._is_short_of_budget():
            interval_ms *= self._settings.share_idle_factor
        return since_ms >= interval_ms

    def _is_short_of_budget(self) -> bool:
        bucket_bytes = BUDGET_BURST_S * self._settings.share_bytes_per_s
        return self._budget_bytes < 0.5 * bucket_bytes

    def _refill_budget(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._budget_at_s)
        rate = self._settings.share_bytes_per_s
        self._budget_at_s = now_s
        self._budget_bytes = min(
            BUDGET_BURST_S * rate, self._budget_bytes + elapsed_s * rate
        )
