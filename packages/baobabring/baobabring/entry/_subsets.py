"""Subsetting: selection of the targets of a service that one instance uses."""

from collections.abc import Sequence

import xxhash

from baobabring.entry._model import EntryTarget

# With more targets, an instance has too few calls to keep connections to all of them
# open; with fewer, it seldom finds an idle target.
SUBSET_SIZE = 16
# Targets of the instance's own zone, or more if the other zones have too few.
LOCAL_TARGETS = 10


def choose_subset(
    instance_id: str, zone: str, targets: Sequence[EntryTarget]
) -> list[EntryTarget]:
    """Return the targets that an instance uses, most of them in its own zone.

    Targets are chosen by rendezvous hashing of both ids, so that instances spread
    evenly over the targets and an added or removed target changes few subsets.
    """
    if len(targets) <= SUBSET_SIZE:
        return list(targets)
    ranked = sorted(targets, key=lambda target: _rank(instance_id, target))
    local = [target for target in ranked if target.zone == zone]
    remote = [target for target in ranked if target.zone != zone]
    remote_count = SUBSET_SIZE - min(len(local), LOCAL_TARGETS)
    chosen_remote = remote[:remote_count]
    return local[: SUBSET_SIZE - len(chosen_remote)] + chosen_remote


def _rank(instance_id: str, target: EntryTarget) -> int:
    return xxhash.xxh64_intdigest(f"{instance_id}/{target.target_id}".encode())
