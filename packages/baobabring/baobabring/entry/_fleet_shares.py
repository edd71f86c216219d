"""Division of a target's rate limit among the instances of the fleet."""

from collections.abc import Collection

import xxhash


class FleetShares:
    """Choose the instances that may use a target of limited rate.

    They are chosen by rendezvous hashing, so that instances with the same view of the
    fleet agree on them without exchanging messages. Subsets of targets are chosen by
    the same hash, so the chosen instances are likely to use the target.
    """

    def __init__(self, instance_id: str) -> None:
        self.instance_id = instance_id
        self._instances: tuple[str, ...] = (instance_id,)
        self._ranks: dict[str, int] = {}

    @property
    def instance_count(self) -> int:
        """Return the number of instances that share the limits."""
        return len(self._instances)

    def set_instances(self, instance_ids: Collection[str]) -> None:
        """Set the instances that share the limits."""
        self._instances = tuple(sorted({*instance_ids, self.instance_id}))
        self._ranks = {}

    def remove_targets(self, target_ids: Collection[str]) -> None:
        """Remove the state of targets that no longer exist."""
        for target_id in target_ids:
            self._ranks.pop(target_id, None)

    def rank(self, target_id: str) -> int:
        """Return the position of this instance among those that may use a target."""
        rank = self._ranks.get(target_id)
        if rank is None:
            rank = self.count_instances_before(target_id)
            self._ranks[target_id] = rank
        return rank

    def count_instances_before(self, key: str) -> int:
        """Return how many instances come before this one in the order for a key."""
        own_hash = _hash(self.instance_id, key)
        return sum(_hash(instance, key) < own_hash for instance in self._instances)


def _hash(instance_id: str, key: str) -> int:
    return xxhash.xxh64_intdigest(f"{instance_id}/{key}".encode())
