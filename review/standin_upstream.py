"""Stand-in for an upstream, which is sound unless a case changes it."""

import asyncio
import json
import time
from dataclasses import dataclass, field

from standin_http import (
    STREAM_LIMIT_BYTES,
    IncompleteMessageError,
    Message,
    encode,
    read_body,
    read_head,
)
from standin_record import Record
from standin_store import SERVER_TOPIC, Store

ATTEMPT_ID = "x-baobabring-attempt-id"
DEADLINE_MS = "x-baobabring-deadline-ms"
TARGET_INSTANCE = "x-baobabring-target-instance"
HEALTH_PATH = "/health"
HEARTBEAT_S = 1.5
QUEUED_REQUESTS = 4
MS_PER_S = 1_000
REASONS = {
    200: "OK",
    400: "Bad Request",
    421: "Misdirected Request",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass(slots=True)
class Connection:
    """Represent a connection to the upstream; `memory` is for faults of a case."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    memory: dict = field(default_factory=dict)


class Upstream:
    """Serve one request at a time on each connection, and register in the store."""

    def __init__(
        self,
        upstream_id: str,
        service: str,
        store: Store,
        record: Record,
        work_s: float = 0.05,
        slots: int = 2,
        zone: str = "zone-a",
    ) -> None:
        self.upstream_id = upstream_id
        self.service = service
        self.store = store
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.zone = zone
        self.state = "ready"
        self.address = ""
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[str] = []
        self.refusals = 0
        self.running = 0
        self.waiting = 0
        self._sequence = 0
        self._born_ms = int(time.time() * MS_PER_S)
        self._slots = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._heartbeat: asyncio.Task | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Serve on a free loopback port, and register."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=STREAM_LIMIT_BYTES
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._heartbeat = asyncio.ensure_future(self._beat())

    async def stop(self) -> None:
        """Stop serving, and close all connections."""
        self._heartbeat.cancel()
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def register(self) -> None:
        """Write the entry to the store."""
        self._sequence += 1
        entry = {
            "address": self.address,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "max-concurrency": self.slots,
            },
            "status": {
                "state": self.state,
                "seq": self._sequence,
                "warmup-left": "0ms",
            },
            "born": self._born_ms,
        }
        value = json.dumps(entry).encode()
        self.store.append(SERVER_TOPIC, self.upstream_id, value)

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        connection = Connection(reader, writer)
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request, until_close=False)
                if not await self.handle(connection, request):
                    break
                await writer.drain()
        except (IncompleteMessageError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def handle(self, connection: Connection, request: Message) -> bool:
        """Answer a request; return False if the connection ends with it."""
        if request.path == HEALTH_PATH:
            status = 200 if self.state == "ready" else 503
            self.answer(
                connection, status, {"X-Baobabring-Instance-Id": self.upstream_id}
            )
            return True
        attempt_id = request.headers.get(ATTEMPT_ID)
        if request.headers.get(TARGET_INSTANCE, self.upstream_id) != self.upstream_id:
            headers = {"X-Baobabring-Instance-Id": self.upstream_id}
            self.answer(connection, 421, headers)
            return True
        if attempt_id is None:
            self.answer(connection, 400, {"X-Baobabring-Not-Executed": "1"})
            return True
        self.arrivals.append((self.record.now_s(), attempt_id))
        echo = {"X-Baobabring-Attempt-Id": attempt_id}
        if self.waiting >= QUEUED_REQUESTS:
            self.refusals += 1
            self.record.write("refused", id=attempt_id, upstream=self.upstream_id)
            self.answer(connection, 503, {**echo, "X-Baobabring-Not-Executed": "1"})
            return True
        return await self.run(connection, request, echo)

    async def run(
        self, connection: Connection, request: Message, echo: dict[str, str]
    ) -> bool:
        """Run a request in a slot; return False if the connection ends with it."""
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.write_run(request)
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self._slots.release()
        return self.finish(connection, request, echo)

    def write_run(self, request: Message) -> None:
        """Record that the upstream begins to work on a request."""
        self.runs.append(request.headers[ATTEMPT_ID])
        self.record.write(
            "runs",
            id=request.headers[ATTEMPT_ID],
            path=request.path,
            upstream=self.upstream_id,
            service=self.service,
        )

    def finish(
        self, connection: Connection, request: Message, echo: dict[str, str]
    ) -> bool:
        """Answer a request that has run; return False if the connection ends."""
        body = f"{request.headers[ATTEMPT_ID]} run by {self.upstream_id}".encode()
        self.answer(connection, 200, {**echo, **self.signature()}, body)
        return True

    def signature(self) -> dict[str, str]:
        """Return the header that only an upstream sets."""
        return {"X-Baobabring-Upstream-Signature": f"{self.upstream_id}.signed"}

    def answer(
        self,
        connection: Connection,
        status: int,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> None:
        """Write a whole answer with a length."""
        load = f"{self.running},{self.waiting},{self.slots}"
        all_headers = {
            **headers,
            "X-Baobabring-Upstream-Load": load,
            "Keep-Alive": "timeout=10",
            "Content-Length": str(len(body)),
        }
        start_line = f"HTTP/1.1 {status} {REASONS[status]}"
        connection.writer.write(encode(start_line, all_headers, body))
