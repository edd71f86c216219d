"""Records of blocked requests in the store, which outlive a restart of the fleet."""

import asyncio
import time

import logbook
import msgspec

from baobabring.entry import CrashNotice, SharedView
from baobabring.platform.records import BLOCKED_REQUEST_TOPIC, KeyedRecord
from baobabring.platform.store import StoreClient, StoreFailed
from baobabring.program.entry._crash_guard import CrashGuard
from baobabring.program.entry._metrics import IGNORED_RECORDS, count_store_call
from baobabring.program.entry._peer_task import PeerTask
from baobabring.utils import DECODE_ERRORS, Clock

LOG = logbook.Logger("crashes")

CHECK_INTERVAL_S = 1.0
MS_PER_S = 1_000


class BlockedRequestRecord(msgspec.Struct, array_like=True, frozen=True):
    """Store a blocked request, with ages as of `written_at_ms` in Unix time."""

    written_at_ms: int
    notice: CrashNotice


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(BlockedRequestRecord)


class BlockedRequestRecords:
    """Read the records once when this instance becomes the reader, then write changes.

    The reader is the instance that reads the store for the fleet.
    """

    def __init__(
        self,
        guard: CrashGuard,
        shared_view: SharedView,
        peer_task: PeerTask,
        store: StoreClient,
        clock: Clock,
    ) -> None:
        self.guard = guard
        self.shared_view = shared_view
        self.peer_task = peer_task
        self.store = store
        self.clock = clock
        self._were_read = False
        self._era: int | None = None
        # Times of the last attempts, as written, by digest.
        self._written: dict[str, float] = {}

    async def run(self) -> None:
        """Read and write records while this instance is the reader."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self.peer_task.is_reader():
                self._were_read = False
                continue
            failure = await self.update()
            if failure is not None:
                LOG.info("blocked requests not stored", problem=failure.problem)

    async def read_at_start(self) -> None:
        """Read the records, before calls are sent by a view that no peer has sent."""
        failure = await self._read()
        self._were_read = failure is None
        if failure is not None:
            LOG.info("blocked requests not read", problem=failure.problem)

    async def update(self) -> StoreFailed | None:
        """Read the records unless that was done, and write what has changed."""
        if not self._were_read:
            failure = await self._read()
            if failure is not None:
                return failure
            self._were_read = True
        if self.shared_view.store_era != self._era:
            # The store may have lost what was written.
            self._era = self.shared_view.store_era
            self._written.clear()
        return await self._write_changes()

    async def _read(self) -> StoreFailed | None:
        newest = await self.store.read_newest(BLOCKED_REQUEST_TOPIC)
        count_store_call(newest)
        if isinstance(newest, StoreFailed):
            return newest
        self._era = self.shared_view.store_era
        self._written = {
            record.key: float("-inf")
            for record in newest.records
            if self._apply(record)
        }
        for digest, last_at_s in self.guard.suspects.blocked():
            if digest in self._written:
                self._written[digest] = last_at_s
        return None

    def _apply(self, record: KeyedRecord) -> bool:
        """Apply a record; return whether it could be read."""
        try:
            stored = _decoder.decode(record.value)
        except DECODE_ERRORS as error:
            IGNORED_RECORDS.labels(BLOCKED_REQUEST_TOPIC).inc()
            LOG.warning(
                "record ignored",
                topic=BLOCKED_REQUEST_TOPIC,
                key=record.key,
                offset=record.offset,
                problem=str(error),
            )
            return False
        since_ms = max(0.0, time.time() * MS_PER_S - stored.written_at_ms)
        notice = stored.notice.with_added_age(since_ms)
        self.guard.apply_notice(notice, "store", passes_on=True)
        return True

    async def _write_changes(self) -> StoreFailed | None:
        blocked = dict(self.guard.suspects.blocked())
        for digest, last_at_s in blocked.items():
            if self._written.get(digest) == last_at_s:
                continue
            failure = await self._put(digest, self._encode(digest))
            if failure is not None:
                return failure
            self._written[digest] = last_at_s
        for digest in self._written.keys() - blocked.keys():
            failure = await self._put(digest, b"")
            if failure is not None:
                return failure
            del self._written[digest]
        return None

    def _encode(self, digest: str) -> bytes:
        notice = self.guard.suspects.build_notice(digest, self.clock.now_s())
        written_at_ms = int(time.time() * MS_PER_S)
        return _encoder.encode(BlockedRequestRecord(written_at_ms, notice))

    async def _put(self, digest: str, value: bytes) -> StoreFailed | None:
        failure = await self.store.put(BLOCKED_REQUEST_TOPIC, digest, value)
        count_store_call(failure)
        return failure
