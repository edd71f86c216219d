"""Rendezvous hashing of targets to the instances that probe them."""

from collections.abc import Iterable

import xxhash


def ranked_probers(target_id: str, instance_ids: Iterable[str]) -> list[str]:
    """Return the instances in the order in which they are to probe the target."""

    seed = xxhash.xxh3_64_intdigest(target_id.encode())

    def weight(instance_id: str) -> tuple[int, str]:
        digest = xxhash.xxh3_64_intdigest(instance_id.encode(), seed)
        return digest, instance_id

    return sorted(instance_ids, key=weight, reverse=True)
