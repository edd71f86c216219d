"""Client of the platform's store."""

import asyncio
import base64
import struct
from dataclasses import dataclass

import msgspec

from baobabring.connections import (
    ConnectError,
    ConnectionPool,
    ExchangeError,
    HttpConnection,
    HttpResponse,
)
from baobabring.platform.records import KeyedRecord

CALL_TIMEOUT_S = 0.8
STATUS_OK = 200
STATUS_GONE = 410
KEY_LENGTH_BYTES = 1
READ_HEAD = struct.Struct(">QQ")
RECORD_HEAD = struct.Struct(">I")
# The store sends no header that names a call.
NO_ID_HEADER = b"x-baobabring-attempt-id"


@dataclass(frozen=True, slots=True)
class Newest:
    """Hold the newest record of each key, and where to read on."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


@dataclass(frozen=True, slots=True)
class Records:
    """Hold consecutive records, and where to read on."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """Tell that the records asked for have been deleted."""


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """Tell that a call to the store failed."""

    problem: str


class _Item(msgspec.Struct):
    key: str
    offset: int
    value: str = ""


class _NewestPage(msgspec.Struct):
    items: list[_Item]
    more: bool
    end: int


_pages = msgspec.json.Decoder(_NewestPage)


class StoreClient:
    """Read and append keyed records of the platform's store.

    Parameters
    ----------
    address : str
        Where the store is.
    pool : ConnectionPool
        Connections to it.
    """

    def __init__(self, address: str, pool: ConnectionPool) -> None:
        self.address = address
        self.pool = pool
        self.calls = 0

    async def newest(self, topic: str) -> Newest | StoreFailed:
        """Return the newest record of each key of a topic."""
        records: list[KeyedRecord] = []
        end = None
        after = ""
        while True:
            answer = await self._call(
                "GET", f"/log-newest?topic={topic}&part=0{after}", CALL_TIMEOUT_S
            )
            if isinstance(answer, StoreFailed):
                return answer
            if answer.status != STATUS_OK:
                return _refused(answer)
            try:
                page = _pages.decode(answer.body)
                records += [_decode_item(item) for item in page.items]
            except (msgspec.MsgspecError, ValueError) as error:
                return StoreFailed(f"unreadable page of {topic}: {error}")
            # Pages are no snapshot: reading goes on from the end of the first one.
            end = page.end if end is None else end
            if not page.more or not page.items:
                return Newest(tuple(records), end)
            after = f"&after={page.items[-1].key}"

    async def read(
        self, topic: str, from_offset: int, wait_ms: int
    ) -> Records | HistoryGone | StoreFailed:
        """Return the records from an offset on, waiting for the first one."""
        path = f"/log-read?topic={topic}&part=0&from={from_offset}&wait-ms={wait_ms}"
        answer = await self._call("GET", path, CALL_TIMEOUT_S + wait_ms / 1_000)
        if isinstance(answer, StoreFailed):
            return answer
        if answer.status == STATUS_GONE:
            return HistoryGone()
        if answer.status != STATUS_OK:
            return _refused(answer)
        try:
            return _decode_records(bytes(answer.body), from_offset)
        except (struct.error, ValueError) as error:
            return StoreFailed(f"unreadable records of {topic}: {error}")

    async def put(self, topic: str, key: str, value: bytes) -> StoreFailed | None:
        """Append a record of a key; without a value the key is dropped."""
        name = key.encode()
        content = bytes([len(name)]) + name + value
        body = RECORD_HEAD.pack(len(content)) + content
        path = f"/log-append?topic={topic}&part=0"
        answer = await self._call("POST", path, CALL_TIMEOUT_S, body)
        if isinstance(answer, StoreFailed):
            return answer
        return None if answer.status == STATUS_OK else _refused(answer)

    async def _call(
        self, method: str, path: str, timeout_s: float, body: bytes = b""
    ) -> HttpResponse | StoreFailed:
        self.calls += 1
        head = f"{method} {path} HTTP/1.1\r\nhost: {self.address}\r\n"
        if method == "POST":
            head += f"content-length: {len(body)}\r\n"
        request = head.encode() + b"\r\n" + body
        connection: HttpConnection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self.pool.acquire(self.address)
                answer = await connection.exchange(request, NO_ID_HEADER, None)
        except (TimeoutError, ConnectError, ExchangeError) as error:
            return StoreFailed(f"{method} {path}: {error!r}")
        finally:
            # A connection on which an answer was lost gives nothing more.
            if connection is not None and connection.busy:
                connection.abandon()
        self.pool.return_connection(self.address, connection)
        return answer


def _refused(answer: HttpResponse) -> StoreFailed:
    return StoreFailed(f"status {answer.status}")


def _decode_item(item: _Item) -> KeyedRecord:
    return KeyedRecord(item.key, base64.b64decode(item.value), item.offset)


def _decode_records(data: bytes, from_offset: int) -> Records:
    READ_HEAD.unpack_from(data)
    position = READ_HEAD.size
    offset = from_offset
    records = []
    while position < len(data):
        (length,) = RECORD_HEAD.unpack_from(data, position)
        position += RECORD_HEAD.size
        content = data[position : position + length]
        if len(content) < length:
            raise ValueError("a record is cut short")
        position += length
        records.append(_decode_keyed(content, offset))
        offset += 1
    return Records(tuple(records), offset)


def _decode_keyed(content: bytes, offset: int) -> KeyedRecord:
    """Split a record into key and value; one without a key concerns nobody."""
    key_length = content[0] if content else 0
    value_start = KEY_LENGTH_BYTES + key_length
    key = content[KEY_LENGTH_BYTES:value_start].decode("utf-8", "replace")
    return KeyedRecord(key, content[value_start:], offset)
