"""Announcements of instances in the store, by which they discover each other."""

from collections.abc import Collection, Mapping

import logbook

from baobabring.platform.records import INSTANCE_TOPIC
from baobabring.platform.store import Newest, StoreClient, StoreFailed
from baobabring.program.entry._metrics import count_store_call
from baobabring.utils import Clock

LOG = logbook.Logger("peers")

# Longer than network partitions between regions last. An instance that was silent
# for longer announces itself again.
STALE_AFTER_S = 2 * 3_600.0
# Each write is a call to the store, so they are spread over several reads.
WRITES_PER_READ = 8


class Announcements:
    """Read announcements, write this instance's own and remove stale ones."""

    def __init__(
        self, instance_id: str, address: str, store: StoreClient, clock: Clock
    ) -> None:
        self.instance_id = instance_id
        self.address = address
        self.store = store
        self.clock = clock
        self.newly_announced = False
        self._silent_since_s: dict[str, float] = {}

    async def read(self) -> dict[str, str] | StoreFailed:
        """Return the addresses of all announced instances, by id."""
        newest = await self.store.read_newest(INSTANCE_TOPIC)
        count_store_call(newest)
        if not isinstance(newest, Newest):
            return newest
        return {
            record.key: record.value.decode("latin-1")
            for record in newest.records
            if record.value
        }

    async def announce(self, announced: Mapping[str, str]) -> StoreFailed | None:
        """Announce this instance unless `announced` has its current address."""
        if announced.get(self.instance_id) == self.address:
            return None
        self.newly_announced = True
        return await self._put(self.instance_id, self.address.encode())

    async def remove_stale(
        self, announced: Mapping[str, str], live: Collection[str]
    ) -> None:
        """Remove announced instances that were not live for `STALE_AFTER_S`."""
        now_s = self.clock.now_s()
        self._silent_since_s = {
            instance_id: self._silent_since_s.get(instance_id, now_s)
            for instance_id in announced
            if instance_id not in live
        }
        stale = [
            instance_id
            for instance_id, since_s in self._silent_since_s.items()
            if now_s - since_s >= STALE_AFTER_S
        ]
        for instance_id in stale[:WRITES_PER_READ]:
            failure = await self._put(instance_id, b"")
            if failure is not None:
                LOG.info("announcement not removed", problem=failure.problem)
                return
            LOG.info("announcement removed", instance=instance_id)

    async def restore_missing(
        self, announced: Mapping[str, str], live: Mapping[str, str]
    ) -> int | StoreFailed:
        """Announce some live instances that are missing; return how many remain."""
        missing = sorted(live.keys() - announced.keys())
        for instance_id in missing[:WRITES_PER_READ]:
            failure = await self._put(instance_id, live[instance_id].encode())
            if failure is not None:
                return failure
            LOG.info("announcement restored", instance=instance_id)
        return len(missing[WRITES_PER_READ:])

    async def _put(self, instance_id: str, value: bytes) -> StoreFailed | None:
        failure = await self.store.put(INSTANCE_TOPIC, instance_id, value)
        count_store_call(failure)
        return failure
