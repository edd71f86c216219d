"""Peers' calls in flight, as told by their updates."""

from dataclasses import dataclass, field
from math import exp

from baobabring.balancing._candidate import Candidate
from baobabring.balancing._updates import InFlightUpdate, target_key

CLOCK_DRIFT_PER_UPDATE = 0.001
REBASE_AFTER_DECAYS = 20.0


@dataclass(slots=True, eq=False)
class AgeScale:
    """Weigh counts of one service by age with one factor for all of its targets.

    A sum of counts is kept times `exp((counted_at - base) / decay)` each, so that
    one multiplication by `factor(now_s)` brings it up to date.
    """

    base_s: float
    decay_s: float

    def weight(self, counted_at_s: float) -> float:
        """Return the factor with which a count goes into a scaled sum."""
        return exp((counted_at_s - self.base_s) / self.decay_s)

    def factor(self, now_s: float) -> float:
        """Return the factor that turns a scaled sum into the sum as of now."""
        return exp(min(0.0, (self.base_s - now_s) / self.decay_s))

    def is_stale(self, now_s: float) -> bool:
        """Tell whether the base is so old that weights lose precision."""
        return now_s - self.base_s > REBASE_AFTER_DECAYS * self.decay_s


@dataclass(slots=True, eq=False)
class PeerCounts:
    """Hold what one peer told last.

    `counted_at_s` is on this instance's clock: the time of receipt less the time
    by which the update was later than the quickest ones of this peer.
    """

    sequence: int = -1
    clock_offset_s: float | None = None
    counted_at_s: float = 0.0
    counts: dict[int, int] = field(default_factory=dict)

    def take(self, update: InFlightUpdate, now_s: float) -> None:
        """Replace the counts that the update names."""
        # Unnamed counts may have changed in an update that was lost.
        if update.full or update.sequence != self.sequence + 1:
            self.counts.clear()
        self.sequence = update.sequence
        self.counted_at_s = now_s - self._lateness_s(now_s - update.sent_at_s)
        for count in update.counts:
            if count.in_flight > 0:
                self.counts[count.target_key] = count.in_flight
            else:
                self.counts.pop(count.target_key, None)

    def _lateness_s(self, offset_s: float) -> float:
        """Return the delay beyond the quickest update; clocks needn't agree."""
        quickest_s = self.clock_offset_s
        if quickest_s is None or offset_s < quickest_s:
            self.clock_offset_s = offset_s
            return 0.0
        lateness_s = offset_s - quickest_s
        self.clock_offset_s = quickest_s + CLOCK_DRIFT_PER_UPDATE * lateness_s
        return lateness_s


class PeerLoad:
    """Keep each target's sum of peers' calls in flight, weighted by age."""

    def __init__(self) -> None:
        self._peers: dict[str, PeerCounts] = {}
        self._targets: dict[int, tuple[Candidate, AgeScale]] = {}
        self._scales: list[AgeScale] = []

    def track(self, targets: list[tuple[Candidate, AgeScale]]) -> None:
        """Replace the targets whose sums are kept."""
        self._targets = {target_key(c.target_id): (c, s) for c, s in targets}
        self._scales = list({id(s): s for _, s in targets}.values())
        self._sum_again()

    def apply(self, update: InFlightUpdate, now_s: float) -> bool:
        """Take in an update; return False for one that is late or repeated."""
        peer = self._peers.setdefault(update.sender, PeerCounts())
        if update.sequence <= peer.sequence:
            return False
        self.rebase(now_s)
        self._add(peer, -1)
        peer.take(update, now_s)
        self._add(peer, 1)
        return True

    def senders(self) -> set[str]:
        """Return the peers whose counts are held."""
        return set(self._peers)

    def forget(self, sender: str) -> None:
        """Drop the counts of a peer that has gone."""
        peer = self._peers.pop(sender, None)
        if peer is not None:
            self._add(peer, -1)

    def rebase(self, now_s: float) -> None:
        """Move old bases of scales to now."""
        stale = [s for s in self._scales if s.is_stale(now_s)]
        if not stale:
            return
        for scale in stale:
            scale.base_s = now_s
        self._sum_again()

    def set_decay(self, scale: AgeScale, decay_s: float, now_s: float) -> None:
        """Change how fast counts of a service lose weight."""
        scale.decay_s = decay_s
        scale.base_s = now_s
        self._sum_again()

    def _add(self, peer: PeerCounts, sign: int) -> None:
        for key, in_flight in peer.counts.items():
            tracked = self._targets.get(key)
            if tracked is None:
                continue
            candidate, scale = tracked
            candidate.peers_scaled += sign * in_flight * scale.weight(peer.counted_at_s)

    def _sum_again(self) -> None:
        for candidate, _ in self._targets.values():
            candidate.peers_scaled = 0.0
        for peer in self._peers.values():
            self._add(peer, 1)
