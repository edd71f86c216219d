"""Stand-in for the platform's store: keyed topics on a log."""

import asyncio
import base64
import json
import struct
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from standin_http import (
    STREAM_LIMIT_BYTES,
    IncompleteMessageError,
    Message,
    encode,
    read_body,
    read_head,
)

OPERATOR_TOPIC = "keyed.op"
SERVER_TOPIC = "keyed.servers"
ANSWER_S = 0.004
PAGE_ITEMS = 500
MS_PER_S = 1_000
READ_PREFIX = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")
REASONS = {200: "OK", 404: "Not Found", 410: "Gone"}


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """Represent one record of a keyed topic."""

    key: str
    value: bytes


class Store:
    """Serve reads and appends; it keeps all records and is always sound."""

    def __init__(self) -> None:
        self.address = ""
        self._topics: dict[str, list[StoredRecord]] = {}
        self._appended = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Serve on a free loopback port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=STREAM_LIMIT_BYTES
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop serving."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def append(self, topic: str, key: str, value: bytes) -> int:
        """Append a record and return its offset; this is the store's ack."""
        records = self._topics.setdefault(topic, [])
        records.append(StoredRecord(key, value))
        self._appended.set()
        self._appended = asyncio.Event()
        return len(records) - 1

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request, until_close=False)
                status, body = await self._answer(request)
                await asyncio.sleep(ANSWER_S)
                start_line = f"HTTP/1.1 {status} {REASONS[status]}"
                headers = {"Content-Length": str(len(body))}
                writer.write(encode(start_line, headers, body))
                await writer.drain()
        except (IncompleteMessageError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, bytes]:
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        records = self._topics.setdefault(query.get("topic", ""), [])
        if url.path == "/log-newest":
            return 200, _build_page(records, query.get("after"))
        if url.path == "/log-read":
            offset = int(query["from"])
            await self._wait_for(records, offset, float(query.get("wait-ms", "0")))
            if offset > len(records):
                return 410, json.dumps({"first": 0}).encode()
            return 200, _encode_records(records, offset)
        if url.path == "/log-append":
            for record in _decode_records(request.body):
                offset = self.append(query["topic"], record.key, record.value)
            return 200, json.dumps({"offset": offset, "end": len(records)}).encode()
        return 404, b""

    async def _wait_for(
        self, records: list[StoredRecord], offset: int, wait_ms: float
    ) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_ms / MS_PER_S
        while len(records) <= offset and loop.time() < until_s:
            try:
                async with asyncio.timeout(until_s - loop.time()):
                    await self._appended.wait()
            except TimeoutError:
                return


def _build_page(records: list[StoredRecord], after: str | None) -> bytes:
    newest = {record.key: (offset, record) for offset, record in enumerate(records)}
    rows = [
        {
            "key": key,
            "value": base64.b64encode(record.value).decode(),
            "offset": offset,
        }
        for key, (offset, record) in sorted(newest.items())
        if record.value and (after is None or key > after)
    ]
    page = {
        "items": rows[:PAGE_ITEMS],
        "more": len(rows) > PAGE_ITEMS,
        "end": len(records),
    }
    return json.dumps(page).encode()


def _encode_records(records: list[StoredRecord], offset: int) -> bytes:
    parts = [READ_PREFIX.pack(len(records), 0)]
    for record in records[offset:]:
        key = record.key.encode()
        content = bytes([len(key)]) + key + record.value
        parts.append(RECORD_LENGTH.pack(len(content)) + content)
    return b"".join(parts)


def _decode_records(data: bytes) -> list[StoredRecord]:
    records = []
    position = 0
    while position < len(data):
        (length_bytes,) = RECORD_LENGTH.unpack_from(data, position)
        position += RECORD_LENGTH.size
        content = data[position : position + length_bytes]
        position += length_bytes
        key_end = 1 + content[0]
        records.append(StoredRecord(content[1:key_end].decode(), content[key_end:]))
    return records
