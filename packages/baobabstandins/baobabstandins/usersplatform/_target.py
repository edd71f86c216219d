"""Stand-in of a target on the users' platform."""

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass, field
from enum import StrEnum

from baobabstandins.usersplatform._store import StandinStore

TARGET_TOPIC = "keyed.servers"
SPLIT_BYTES = b"\r\n\r\n"


class TargetFault(StrEnum):
    """Say what a target does wrong with its next calls."""

    NONE = "none"
    RESET_AFTER_RUN = "reset-after-run"
    EXTRA_ANSWER_FIRST = "extra-answer-first"
    CUT_SHORT = "cut-short"
    SHED = "shed"
    FAIL = "fail"


@dataclass(frozen=True, slots=True)
class Run:
    """Record one call that a target began to work on."""

    call_id: str
    path: str
    body: bytes
    started_at_s: float
    time_left_ms: float


@dataclass(slots=True)
class StandinTarget:
    """Serve calls and probes for health on bare connections."""

    target_id: str
    service_id: str
    zone: str = "north"
    slots: int = 2
    work_s: float = 0.02
    fault: TargetFault = TargetFault.NONE
    cold_ms: float = 0.0
    runs: list[Run] = field(default_factory=list)
    cancelled: int = 0
    address: str = ""
    running: int = 0
    sequence: int = 0
    born_ms: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Begin to serve on a free port of the loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self.born_ms = int(time.time() * 1_000)

    async def stop(self) -> None:
        """End serving and drop all connections, as a crash does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def register(self, store: StandinStore, state: str = "ready") -> None:
        """Write the target's registration."""
        self.sequence += 1
        entry = {
            "address": self.address,
            "info": {
                "service": self.service_id,
                "version": "v1",
                "zone": self.zone,
                "max-concurrency": self.slots,
            },
            "status": {
                "state": state,
                "seq": self.sequence,
                "warmup-left": f"{int(self.cold_ms)}ms",
            },
            "born": self.born_ms,
        }
        store.put(TARGET_TOPIC, self.target_id, json.dumps(entry).encode())

    def remove(self, store: StandinStore) -> None:
        """Remove the target's registration."""
        store.put(TARGET_TOPIC, self.target_id, b"")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self._serve_one(reader, writer):
                    pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(SPLIT_BYTES)).decode("latin-1")
        lines = head.split("\r\n")
        method, path, _ = lines[0].split(" ")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if path == "/health":
            self._answer(writer, 200, {"X-Baobabring-Instance-Id": self.target_id})
            return True
        expected = headers["x-baobabring-target-instance"]
        if expected != self.target_id:
            self._answer(writer, 421, {"X-Baobabring-Instance-Id": self.target_id})
            return True
        call_id = headers["x-baobabring-attempt-id"]
        own = {"X-Baobabring-Attempt-Id": call_id}
        full = self.running >= self.slots
        if full or self.fault is TargetFault.SHED:
            self._answer(writer, 503, {**own, "X-Baobabring-Not-Executed": "1"})
            return True
        left_ms = float(headers["x-baobabring-deadline-ms"])
        self.runs.append(Run(call_id, path, body, time.time(), left_ms))
        if not await self._work(reader):
            return False
        return self._end(writer, own, method)

    async def _work(self, reader: asyncio.StreamReader) -> bool:
        """Work; return False if the caller closed the connection meanwhile."""
        self.running += 1
        try:
            async with asyncio.timeout(self.work_s):
                await reader.read(1)
            self.cancelled += 1
            return False
        except TimeoutError:
            return True
        finally:
            self.running -= 1

    def _end(self, writer: asyncio.StreamWriter, own: dict, method: str) -> bool:
        if self.fault is TargetFault.RESET_AFTER_RUN:
            writer.transport.abort()
            return False
        proof = {**own, "X-Baobabring-Upstream-Signature": f"s.{self.target_id}"}
        call_id = own["X-Baobabring-Attempt-Id"]
        body = f"{method} {call_id} by {self.target_id}".encode()
        if self.fault is TargetFault.FAIL:
            self._answer(writer, 500, proof, body)
            return True
        if self.fault is TargetFault.CUT_SHORT:
            self._answer(writer, 200, proof, body, length=len(body) + 10)
            return False
        if self.fault is TargetFault.EXTRA_ANSWER_FIRST:
            other = {**proof, "X-Baobabring-Attempt-Id": "another"}
            self._answer(writer, 200, other, b"of another call")
        self._answer(writer, 200, proof, body)
        return True

    def _answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes = b"",
        length: int | None = None,
    ) -> None:
        lines = [f"HTTP/1.1 {status} S"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"X-Baobabring-Upstream-Load: {self.running},0,{self.slots},100")
        if self.cold_ms:
            lines.append(f"X-Baobabring-Warmup-Ms: {int(self.cold_ms)}")
        lines.append("Keep-Alive: timeout=10")
        lines.append(f"Content-Length: {len(body) if length is None else length}")
        writer.write("\r\n".join(lines).encode() + SPLIT_BYTES + body)
