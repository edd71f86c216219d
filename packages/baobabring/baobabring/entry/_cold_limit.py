"""Limit of the calls to targets in cold start, kept by the whole fleet."""

from collections.abc import Collection
from math import ceil

import xxhash

# Part of what a cold target bears that the fleet plans to send it.
PLANNED_SHARE = 0.8


class ColdLimit:
    """Divide what each cold target bears among the instances.

    Where a target bears less than one call a second for each instance, only some
    instances may use it. They are chosen by rendezvous hashing, so that all views of
    the fleet that are alike choose the same ones without a message.
    """

    def __init__(self, instance_id: str) -> None:
        self.instance_id = instance_id
        self._instances: tuple[str, ...] = (instance_id,)
        self._next_at_s: dict[str, float] = {}

    def set_instances(self, instance_ids: Collection[str]) -> None:
        """Take the instances that share the limits."""
        self._instances = tuple(sorted({*instance_ids, self.instance_id}))

    def may_send(self, target_id: str, calls_per_s: float, now_s: float) -> bool:
        """Tell whether this instance may send a cold target one more call."""
        if now_s < self._next_at_s.get(target_id, 0.0):
            return False
        return self._interval_s(target_id, calls_per_s) is not None

    def sent(self, target_id: str, calls_per_s: float, now_s: float) -> None:
        """Record that a call went to a cold target."""
        interval_s = self._interval_s(target_id, calls_per_s)
        self._next_at_s[target_id] = now_s + (interval_s or 1.0)

    def forget(self, target_ids: Collection[str]) -> None:
        """Drop what is known of targets that have gone."""
        for target_id in target_ids:
            self._next_at_s.pop(target_id, None)

    def _interval_s(self, target_id: str, calls_per_s: float) -> float | None:
        """Return the time between two calls of this instance, None for never."""
        planned_per_s = calls_per_s * PLANNED_SHARE
        if planned_per_s <= 0:
            return None
        own_per_s = planned_per_s / len(self._instances)
        if own_per_s >= 1:
            return 1 / own_per_s
        users = min(len(self._instances), ceil(planned_per_s))
        ranked = sorted(
            self._instances,
            key=lambda instance: xxhash.xxh64_intdigest(
                f"{instance}/{target_id}".encode()
            ),
        )
        if self.instance_id not in ranked[:users]:
            return None
        return max(1.0, users / planned_per_s)
