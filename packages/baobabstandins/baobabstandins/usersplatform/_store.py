"""Stand-in for the platform's store of keyed records."""

import asyncio
import base64
import struct
from dataclasses import dataclass

from aiohttp import web

POLL_INTERVAL_S = 0.01
READ_HEADER = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")


@dataclass(frozen=True, slots=True)
class _Record:
    """Represent one record of a topic."""

    key: str
    value: bytes


StoreCopy = dict[str, list[_Record]]


class StandinStore:
    """Serve keyed topics over HTTP, with faults.

    If `down`, every request gets a 503. Requests for `silent_topics` get no
    response while the topic is in the set. The next read of each topic in
    `expired_topics` gets a 410, as if its history had been deleted. `era` rises
    with each return from an older copy; it is named in all responses, unless it is 0.
    """

    def __init__(self) -> None:
        self.down = False
        self.silent_topics: set[str] = set()
        self.expired_topics: set[str] = set()
        self.era = 0
        self.requests: list[tuple[str, str]] = []
        self.address = ""
        self._topics: dict[str, list[_Record]] = {}
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Serve on a free loopback port."""
        app = web.Application()
        app.on_response_prepare.append(self._name_era)
        app.router.add_get("/log-newest", self._handle_newest)
        app.router.add_get("/log-read", self._handle_read)
        app.router.add_post("/log-append", self._handle_append)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop serving."""
        await self._runner.cleanup()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record, as operators and targets do."""
        self._topics.setdefault(topic, []).append(_Record(key, value))

    def take_copy(self) -> StoreCopy:
        """Return a copy of all topics as they are now."""
        return {topic: list(records) for topic, records in self._topics.items()}

    def return_from_copy(self, copy: StoreCopy) -> None:
        """Lose what was appended since the copy was taken; the era rises."""
        self._topics = {topic: list(records) for topic, records in copy.items()}
        self.era += 1

    async def _name_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.era:
            response.headers["Store-Era"] = str(self.era)

    async def _apply_faults(self, request: web.Request) -> web.Response | None:
        topic = request.query["topic"]
        self.requests.append((request.path, topic))
        while topic in self.silent_topics:
            await asyncio.sleep(POLL_INTERVAL_S)
        return web.Response(status=503) if self.down else None

    async def _handle_newest(self, request: web.Request) -> web.Response:
        fault_response = await self._apply_faults(request)
        if fault_response is not None:
            return fault_response
        records = self._topics.get(request.query["topic"], [])
        newest = {record.key: (offset, record) for offset, record in enumerate(records)}
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": offset,
            }
            for offset, record in newest.values()
            if record.value
        ]
        return web.json_response({"items": items, "more": False, "end": len(records)})

    async def _handle_read(self, request: web.Request) -> web.Response:
        fault_response = await self._apply_faults(request)
        if fault_response is not None:
            return fault_response
        topic = request.query["topic"]
        start = int(request.query["from"])
        if topic in self.expired_topics:
            self.expired_topics.discard(topic)
            return self._refuse_missing_records(topic)
        if start > len(self._topics.get(topic, [])):
            return self._refuse_missing_records(topic)
        polls_left = int(request.query.get("wait-ms", "0")) / 1_000 / POLL_INTERVAL_S
        while polls_left > 0 and len(self._topics.get(topic, [])) <= start:
            polls_left -= 1
            await asyncio.sleep(POLL_INTERVAL_S)
        if self.down:
            return web.Response(status=503)
        records = self._topics.get(topic, [])
        if start > len(records):
            return self._refuse_missing_records(topic)
        body = READ_HEADER.pack(len(records), 0)
        for record in records[start:]:
            key = record.key.encode()
            content = bytes([len(key)]) + key + record.value
            body += RECORD_LENGTH.pack(len(content)) + content
        return web.Response(body=body)

    def _refuse_missing_records(self, topic: str) -> web.Response:
        first = len(self._topics.get(topic, []))
        return web.json_response({"first": first}, status=410)

    async def _handle_append(self, request: web.Request) -> web.Response:
        fault_response = await self._apply_faults(request)
        if fault_response is not None:
            return fault_response
        data = await request.read()
        key_end = RECORD_LENGTH.size + 1 + data[RECORD_LENGTH.size]
        key = data[RECORD_LENGTH.size + 1 : key_end].decode()
        topic = request.query["topic"]
        self.put(topic, key, data[key_end:])
        end = len(self._topics[topic])
        return web.json_response({"offset": end - 1, "end": end})
