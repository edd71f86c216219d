"""Peers' calls in flight, as received in their updates."""

from dataclasses import dataclass, field
from math import exp

from baobabring.balancing._candidate import Candidate
from baobabring.balancing._updates import InFlightUpdate, target_key

# Share of the lateness by which an update raises the clock offset, so that the offset
# follows clocks that drift apart.
CLOCK_DRIFT_PER_UPDATE = 0.001
REBASE_AFTER_DECAYS = 20.0


@dataclass(slots=True, eq=False)
class DecayScale:
    """Weight the counts of one service by exponential decay relative to a base time.

    Each count enters a sum multiplied by `exp((counted_at - base) / decay)`, so that
    one multiplication by `factor(now_s)` gives the decayed sum as of now.
    """

    base_s: float
    decay_s: float

    def weight(self, counted_at_s: float) -> float:
        """Return the factor by which a count is multiplied in a scaled sum."""
        return exp((counted_at_s - self.base_s) / self.decay_s)

    def factor(self, now_s: float) -> float:
        """Return the factor that converts a scaled sum into the sum as of now."""
        return exp(min(0.0, (self.base_s - now_s) / self.decay_s))

    def is_stale(self, now_s: float) -> bool:
        """Return whether the base is so old that weights lose precision."""
        return now_s - self.base_s > REBASE_AFTER_DECAYS * self.decay_s


@dataclass(slots=True, eq=False)
class PeerCounts:
    """Represent the latest counts of one peer.

    `counted_at_s` is on this instance's clock: the time of receipt minus the delay
    of the update beyond the fastest updates of this peer.
    """

    sequence: int = -1
    clock_offset_s: float | None = None
    counted_at_s: float = 0.0
    counts: dict[int, int] = field(default_factory=dict)

    def apply_update(self, update: InFlightUpdate, now_s: float) -> None:
        """Replace the counts that an update names."""
        # Counts that the update doesn't name may have changed in a lost update.
        if update.full or update.sequence != self.sequence + 1:
            self.counts.clear()
        self.sequence = update.sequence
        self.counted_at_s = now_s - self._measure_lateness_s(now_s - update.sent_at_s)
        for count in update.counts:
            if count.in_flight > 0:
                self.counts[count.target_key] = count.in_flight
            else:
                self.counts.pop(count.target_key, None)

    def _measure_lateness_s(self, offset_s: float) -> float:
        """Return the delay beyond the fastest update, and update the clock offset.

        Only differences are used, so the clocks of the two instances need not agree.
        """
        fastest_s = self.clock_offset_s
        if fastest_s is None or offset_s < fastest_s:
            self.clock_offset_s = offset_s
            return 0.0
        lateness_s = offset_s - fastest_s
        self.clock_offset_s = fastest_s + CLOCK_DRIFT_PER_UPDATE * lateness_s
        return lateness_s


class PeerLoad:
    """Maintain each target's sum of peers' calls in flight, weighted by age."""

    def __init__(self) -> None:
        self._peers: dict[str, PeerCounts] = {}
        self._targets: dict[int, tuple[Candidate, DecayScale]] = {}
        self._scales: list[DecayScale] = []

    def set_targets(self, targets: list[tuple[Candidate, DecayScale]]) -> None:
        """Replace the targets whose sums are maintained."""
        self._targets = {target_key(c.target_id): (c, s) for c, s in targets}
        self._scales = list({id(s): s for _, s in targets}.values())
        self._recompute_sums()

    def apply(self, update: InFlightUpdate, now_s: float) -> bool:
        """Apply an update; return False if it is late or a duplicate."""
        peer = self._peers.setdefault(update.sender, PeerCounts())
        if update.sequence <= peer.sequence:
            return False
        self.rebase(now_s)
        self._add(peer, -1)
        peer.apply_update(update, now_s)
        self._add(peer, 1)
        return True

    def get_senders(self) -> set[str]:
        """Return the ids of the peers whose counts are stored."""
        return set(self._peers)

    def remove_peer(self, sender: str) -> None:
        """Remove the counts of a peer that is no longer live."""
        peer = self._peers.pop(sender, None)
        if peer is not None:
            self._add(peer, -1)

    def rebase(self, now_s: float) -> None:
        """Move the base of stale scales to now."""
        stale = [s for s in self._scales if s.is_stale(now_s)]
        if not stale:
            return
        for scale in stale:
            scale.base_s = now_s
        self._recompute_sums()

    def set_decay(self, scale: DecayScale, decay_s: float, now_s: float) -> None:
        """Set the time constant by which counts of a service decay."""
        scale.decay_s = decay_s
        scale.base_s = now_s
        self._recompute_sums()

    def _add(self, peer: PeerCounts, sign: int) -> None:
        for key, in_flight in peer.counts.items():
            tracked = self._targets.get(key)
            if tracked is None:
                continue
            candidate, scale = tracked
            candidate.scaled_peers_in_flight += (
                sign * in_flight * scale.weight(peer.counted_at_s)
            )

    def _recompute_sums(self) -> None:
        for candidate, _ in self._targets.values():
            candidate.scaled_peers_in_flight = 0.0
        for peer in self._peers.values():
            self._add(peer, 1)
