"""Client of the platform's store."""

import asyncio
import base64
import struct
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from baobabring.connections import (
    ConnectError,
    ConnectionPool,
    ExchangeError,
    HttpConnection,
    HttpResponse,
)
from baobabring.platform.records import KeyedRecord
from baobabring.utils import DECODE_ERRORS

CALL_TIMEOUT_S = 0.8
STATUS_OK = 200
STATUS_GONE = 410
KEY_LENGTH_BYTES = 1
# Two numbers ahead of the records; their values are not used.
READ_RESPONSE_PREFIX = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")
# Several times what the store returns at most.
RESPONSE_LIMIT_BYTES = 8 * 1024 * 1024
# Rises each time that the store comes back from an older copy.
ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 15
# Era of a store that has never come back from an older copy.
FIRST_ERA = 0
# A connection requires the name of an id header; the store sends none.
UNUSED_CALL_ID_HEADER = b"x-baobabring-attempt-id"


@dataclass(frozen=True, slots=True)
class Newest:
    """Represent the newest record of each key and the offset of the next read.

    `store_era` is None if the response names an era that can't be read.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    store_era: int | None


@dataclass(frozen=True, slots=True)
class Records:
    """Represent consecutive records and the offset of the next read."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    store_era: int | None


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """Represent a read of records that the store does not have."""

    store_era: int | None


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """Represent a failed call to the store."""

    problem: str


class _NewestItem(msgspec.Struct):
    key: str
    offset: int
    value: str = ""


class _NewestPage(msgspec.Struct):
    items: list[_NewestItem]
    more: bool
    end: int


_newest_page_decoder = msgspec.json.Decoder(_NewestPage)


class StoreClient:
    """Read and append keyed records of the platform's store.

    Parameters
    ----------
    address : str
        Host and port of the store.
    pool : ConnectionPool
        Connections to the store.
    """

    def __init__(self, address: str, pool: ConnectionPool) -> None:
        self.address = address
        self.pool = pool
        self.call_count = 0

    async def read_newest(self, topic: str) -> Newest | StoreFailed:
        """Return the newest record of each key of a topic."""
        records: list[KeyedRecord] = []
        end = None
        store_era = None
        after_parameter = ""
        while True:
            response = await self._call(
                "GET",
                f"/log-newest?topic={topic}&part=0{after_parameter}",
                CALL_TIMEOUT_S,
            )
            if isinstance(response, StoreFailed):
                return response
            if response.status != STATUS_OK:
                return _create_status_failure(response)
            try:
                page = _newest_page_decoder.decode(response.body)
                records += [_decode_item(item) for item in page.items]
            except DECODE_ERRORS as error:
                return StoreFailed(f"unreadable page of {topic}: {error}")
            # Records may change between two pages, so the next read starts at the end
            # offset of the first page.
            if end is None:
                end = page.end
                store_era = _read_era(response)
            elif _read_era(response) != store_era:
                return StoreFailed(f"era changed between pages of {topic}")
            if not page.more or not page.items:
                return Newest(tuple(records), end, store_era)
            last_key = quote(page.items[-1].key, safe="")
            after_parameter = f"&after={last_key}"

    async def read(
        self, topic: str, from_offset: int, wait_ms: int
    ) -> Records | HistoryGone | StoreFailed:
        """Return the records from an offset on; wait up to `wait_ms` for the first."""
        path = f"/log-read?topic={topic}&part=0&from={from_offset}&wait-ms={wait_ms}"
        response = await self._call("GET", path, CALL_TIMEOUT_S + wait_ms / 1_000)
        if isinstance(response, StoreFailed):
            return response
        if response.status == STATUS_GONE:
            return HistoryGone(_read_era(response))
        if response.status != STATUS_OK:
            return _create_status_failure(response)
        try:
            records = _decode_records(bytes(response.body), from_offset)
        except (struct.error, ValueError) as error:
            return StoreFailed(f"unreadable records of {topic}: {error}")
        next_offset = from_offset + len(records)
        return Records(records, next_offset, _read_era(response))

    async def put(self, topic: str, key: str, value: bytes) -> StoreFailed | None:
        """Append a record of a key; an empty value removes the key."""
        key_bytes = key.encode()
        content = bytes([len(key_bytes)]) + key_bytes + value
        body = RECORD_LENGTH.pack(len(content)) + content
        path = f"/log-append?topic={topic}&part=0"
        response = await self._call("POST", path, CALL_TIMEOUT_S, body)
        if isinstance(response, StoreFailed):
            return response
        return (
            None if response.status == STATUS_OK else _create_status_failure(response)
        )

    async def _call(
        self, method: str, path: str, timeout_s: float, body: bytes = b""
    ) -> HttpResponse | StoreFailed:
        self.call_count += 1
        head = f"{method} {path} HTTP/1.1\r\nhost: {self.address}\r\n"
        if method == "POST":
            head += f"content-length: {len(body)}\r\n"
        request = head.encode() + b"\r\n" + body
        connection: HttpConnection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self.pool.acquire(self.address)
                response = await connection.exchange(
                    request,
                    UNUSED_CALL_ID_HEADER,
                    None,
                    body_limit_bytes=RESPONSE_LIMIT_BYTES,
                )
        except (TimeoutError, ConnectError, ExchangeError) as error:
            return StoreFailed(f"{method} {path}: {error!r}")
        finally:
            # A connection with an outstanding response can't be used again.
            if connection is not None and connection.busy:
                connection.abandon()
        self.pool.return_connection(self.address, connection)
        return response


def _create_status_failure(response: HttpResponse) -> StoreFailed:
    return StoreFailed(f"status {response.status}")


def _read_era(response: HttpResponse) -> int | None:
    """Return the era of a response, `FIRST_ERA` if it names none."""
    value = response.header(ERA_HEADER)
    if value is None:
        return FIRST_ERA
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        return None
    return int(value)


def _decode_item(item: _NewestItem) -> KeyedRecord:
    return KeyedRecord(item.key, base64.b64decode(item.value), item.offset)


def _decode_records(data: bytes, from_offset: int) -> tuple[KeyedRecord, ...]:
    READ_RESPONSE_PREFIX.unpack_from(data)
    position = READ_RESPONSE_PREFIX.size
    offset = from_offset
    records = []
    while position < len(data):
        (length,) = RECORD_LENGTH.unpack_from(data, position)
        position += RECORD_LENGTH.size
        content = data[position : position + length]
        if len(content) < length:
            raise ValueError("record is truncated")
        position += length
        records.append(_decode_keyed_record(content, offset))
        offset += 1
    return tuple(records)


def _decode_keyed_record(content: bytes, offset: int) -> KeyedRecord:
    """Split a record into key and value; the key may be empty."""
    key_length = content[0] if content else 0
    value_start = KEY_LENGTH_BYTES + key_length
    key = content[KEY_LENGTH_BYTES:value_start].decode("utf-8", "replace")
    return KeyedRecord(key, content[value_start:], offset)
