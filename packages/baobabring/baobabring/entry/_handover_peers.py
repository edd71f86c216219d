"""Choice of the peers to which calls are handed over."""

from collections.abc import Collection, Mapping
from random import Random

from baobabring.entry._handover_messages import HandoverStatus

# A peer that has not answered for this long gets no more calls.
STATUS_MAX_AGE_S = 1.0
# A peer that could not serve a call gets none of the same service for this long.
REFUSAL_PAUSE_S = 0.5
# Usable peers to know for each lost service, so that its calls are spread.
WANTED_PEERS = 4
# Peers that are asked at once while too few are known.
MAX_NEW_CHECKS = 8
# Compared with calls in flight.
REMOTE_ZONE_PENALTY = 2


class HandoverPeer:
    """Represent a peer that answered, and the calls that it takes."""

    def __init__(self, address: str, status: HandoverStatus, now_s: float) -> None:
        self.instance_id = status.sender
        self.address = address
        self.in_flight = 0
        self.apply(status, now_s)

    def apply(self, status: HandoverStatus, now_s: float) -> None:
        """Apply the peer's latest answer."""
        self.status = status
        self.answered_at_s = now_s
        self._clock_offset_s = status.clock_s - now_s

    def to_peer_time_s(self, at_s: float) -> float:
        """Return a time in the peer's clock, rather too early than too late."""
        return at_s + self._clock_offset_s

    def takes(self, service_id: str, now_s: float) -> bool:
        """Return whether the peer said lately that it takes calls of a service."""
        if now_s - self.answered_at_s > STATUS_MAX_AGE_S:
            return False
        return self.status.accepts and service_id not in self.status.lost_services


class HandoverPeers:
    """Maintain which peers take calls, and choose among them."""

    def __init__(self, zone: str, rng: Random) -> None:
        self.zone = zone
        self.rng = rng
        self._addresses: dict[str, str] = {}
        self._peers: dict[str, HandoverPeer] = {}
        self._refused_until_s: dict[tuple[str, str], float] = {}

    def set_instances(self, addresses: Mapping[str, str]) -> None:
        """Set the addresses of all other instances, by id."""
        self._addresses = dict(addresses)
        for instance_id, peer in list(self._peers.items()):
            if self._addresses.get(instance_id) != peer.address:
                del self._peers[instance_id]
        for key in list(self._refused_until_s):
            if key[0] not in self._addresses:
                del self._refused_until_s[key]

    def get(self, instance_id: str) -> HandoverPeer | None:
        """Return a peer that answered at any time, None if it is unknown."""
        return self._peers.get(instance_id)

    def record_status(self, status: HandoverStatus, now_s: float) -> bool:
        """Record a peer's answer; return whether its process is another one now."""
        address = self._addresses.get(status.sender)
        if address is None:
            return False
        known = self._peers.get(status.sender)
        if known is None:
            self._peers[status.sender] = HandoverPeer(address, status, now_s)
            return False
        restarted = known.status.session != status.session
        known.apply(status, now_s)
        return restarted

    def record_refusal(self, instance_id: str, service_id: str, now_s: float) -> None:
        """Record that a peer could not serve calls of a service."""
        self._refused_until_s[instance_id, service_id] = now_s + REFUSAL_PAUSE_S

    def is_any_usable(self, service_ids: Collection[str], now_s: float) -> bool:
        """Return whether any peer takes calls of any of the services."""
        return any(self._usable_peers(service_id, now_s) for service_id in service_ids)

    def peers_to_check(
        self, service_ids: Collection[str], now_s: float
    ) -> dict[str, str]:
        """Return the addresses of the peers to ask now, by id.

        These are the peers in use, and others while too few are usable for a service.
        """
        in_use = {peer.instance_id for peer in self._peers.values() if peer.in_flight}
        has_too_few = False
        for service_id in service_ids:
            usable = sorted(self._usable_peers(service_id, now_s), key=self._rank)
            in_use |= {peer.instance_id for peer in usable[:WANTED_PEERS]}
            has_too_few |= len(usable) < WANTED_PEERS
        if has_too_few:
            others = sorted(self._addresses.keys() - in_use)
            count = min(MAX_NEW_CHECKS, len(others))
            in_use |= set(self.rng.sample(others, count))
        return {i: self._addresses[i] for i in in_use if i in self._addresses}

    def choose(
        self,
        service_id: str,
        configuration_version: int,
        excluded_ids: Collection[str],
        now_s: float,
    ) -> HandoverPeer | None:
        """Return the less busy one of two usable peers, None if there is none.

        Peers with an older configuration than the call's are not usable.
        """
        usable = [
            peer
            for peer in self._usable_peers(service_id, now_s)
            if peer.instance_id not in excluded_ids
            and peer.status.configuration_version >= configuration_version
        ]
        if not usable:
            return None
        usable.sort(key=lambda peer: peer.instance_id)
        candidates = self.rng.sample(usable, min(2, len(usable)))
        return min(candidates, key=self._rank)

    def _usable_peers(self, service_id: str, now_s: float) -> list[HandoverPeer]:
        return [
            peer
            for peer in self._peers.values()
            if peer.takes(service_id, now_s)
            and self._refused_until_s.get((peer.instance_id, service_id), 0.0) <= now_s
        ]

    def _rank(self, peer: HandoverPeer) -> int:
        return peer.in_flight + REMOTE_ZONE_PENALTY * (peer.status.zone != self.zone)
