"""Choice of the targets of a service that one instance uses."""

from collections.abc import Sequence

import xxhash

from baobabring.entry._model import EntryTarget

# An instance that uses more targets than it has calls for keeps no connection to
# them open; with fewer, it seldom finds an idle one.
SUBSET_TARGETS = 16
LOCAL_TARGETS = 10


def choose_subset(
    instance_id: str, zone: str, targets: Sequence[EntryTarget]
) -> list[EntryTarget]:
    """Return the targets that an instance uses, most of them in its own zone.

    The order of a hash of both ids decides, so that instances spread evenly over the
    targets, and one that comes or goes changes few choices.
    """
    if len(targets) <= SUBSET_TARGETS:
        return list(targets)
    ranked = sorted(targets, key=lambda target: _rank(instance_id, target))
    local = [target for target in ranked if target.zone == zone]
    remote = [target for target in ranked if target.zone != zone]
    remote_count = SUBSET_TARGETS - min(len(local), LOCAL_TARGETS)
    chosen_remote = remote[:remote_count]
    return local[: SUBSET_TARGETS - len(chosen_remote)] + chosen_remote


def _rank(instance_id: str, target: EntryTarget) -> int:
    return xxhash.xxh64_intdigest(f"{instance_id}/{target.target_id}".encode())
