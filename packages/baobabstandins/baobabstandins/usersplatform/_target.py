"""Stand-in for a target of the users' platform."""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from enum import StrEnum

from baobabstandins.usersplatform._store import StandinStore

TARGET_TOPIC = "keyed.servers"
HEADER_END = b"\r\n\r\n"
DOWNLOAD_PART_BYTES = 16 * 1024
# Pause before the second copy of a response.
SECOND_ANSWER_DELAY_S = 0.03
# Longer than any call waits.
STALL_S = 5.0


class TargetFault(StrEnum):
    """Represent how a target fails its calls."""

    NONE = "none"
    RESET_AFTER_RUN = "reset-after-run"
    EXTRA_ANSWER_FIRST = "extra-answer-first"
    SECOND_ANSWER_LATE = "second-answer-late"
    CUT_SHORT = "cut-short"
    SHED = "shed"
    SHED_WITHOUT_PROOF = "shed-without-proof"
    # The body of a refusal breaks off, or does not come at all.
    SHED_CUT_SHORT = "shed-cut-short"
    SHED_STALLED = "shed-stalled"
    FAIL = "fail"
    # Bytes that are no response come until the caller closes, to probes as well.
    ENDLESS_HEAD = "endless-head"
    ENDLESS_BODY = "endless-body"
    # Bytes come without end after calls have run; probes get their responses.
    ENDLESS_FAILURE = "endless-failure"
    ENDLESS_SUCCESS = "endless-success"


ENDLESS_BEGINNINGS = {
    TargetFault.ENDLESS_HEAD: b"HTTP/1.1 200 OK\r\nX-Padding: ",
    TargetFault.ENDLESS_BODY: b"HTTP/1.1 500 Error\r\n\r\n",
    TargetFault.ENDLESS_FAILURE: b"HTTP/1.1 500 Error\r\n\r\n",
    TargetFault.ENDLESS_SUCCESS: (
        b"HTTP/1.1 200 OK\r\nX-Baobabring-Upstream-Signature: s\r\n\r\n"
    ),
}
FAULTS_OF_PROBES = frozenset({TargetFault.ENDLESS_HEAD, TargetFault.ENDLESS_BODY})
ENDLESS_PART = b"y" * 16_384
REFUSING_FAULTS = frozenset(
    {
        TargetFault.SHED,
        TargetFault.SHED_WITHOUT_PROOF,
        TargetFault.SHED_CUT_SHORT,
        TargetFault.SHED_STALLED,
    }
)
# Length that a refusal states whose body does not arrive whole.
BROKEN_REFUSAL_BYTES = 100


@dataclass(frozen=True, slots=True)
class CallRun:
    """Represent one call that a target started to run."""

    call_id: str
    path: str
    body: bytes
    started_at_s: float
    time_left_ms: float


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Represent a call, whether it was run or refused, or a health probe.

    `started_at_ms` identifies the start of the target, and `stated_pause` is the wait
    time stated with a refusal. `sender_ip` is the address that it came from.
    """

    received_at_s: float
    started_at_ms: int
    call_id: str | None = None
    stated_pause: str | None = None
    sender_ip: str | None = None

    @property
    def is_probe(self) -> bool:
        """Return whether it is a health probe."""
        return self.call_id is None


@dataclass(slots=True)
class StandinTarget:
    """Serve calls and health probes on plain TCP connections."""

    target_id: str
    service_id: str
    zone: str = "north"
    slots: int = 2
    service_time_s: float = 0.02
    fault: TargetFault = TargetFault.NONE
    warmup_left_ms: float = 0.0
    # Value of the header that names the rate the target takes, in all responses.
    limit: str | None = None
    # Value of the header by which it says in all responses that it is leaving.
    leaving: str | None = None
    # Value of the header that it adds when it refuses a call.
    retry_after: str | None = None
    # Paths of calls that crash the target while it runs them, after some time.
    crashing_paths: Collection[str] = frozenset()
    crash_delay_s: float = 0.03
    on_crash: Callable[[], None] = lambda: None
    # Paths of calls whose responses are lost with their connections.
    losing_paths: frozenset[str] = frozenset()
    # Size of the bodies that are sent in parts, and the pause before each part.
    download_bytes: int = 0
    part_interval_s: float = 0.0
    sent_parts: int = 0
    runs: list[CallRun] = field(default_factory=list)
    requests: list[ReceivedRequest] = field(default_factory=list)
    cancelled_calls: int = 0
    address: str = ""
    running_calls: int = 0
    sequence: int = 0
    started_at_ms: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, port: int = 0) -> None:
        """Serve on a loopback port, a free one if it is 0."""
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self.started_at_ms = int(time.time() * 1_000)

    async def stop(self) -> None:
        """Stop serving and abort all connections, as a crash does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def is_serving(self) -> bool:
        """Return whether the target takes connections."""
        return self._server is not None and self._server.is_serving()

    async def crash(self) -> None:
        """Stop serving, unless that has happened already."""
        if self.is_serving:
            await self.stop()
            self.on_crash()

    def register(self, store: StandinStore, state: str = "ready") -> None:
        """Write the registration of the target to the store."""
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
                "warmup-left": f"{int(self.warmup_left_ms)}ms",
            },
            "born": self.started_at_ms,
        }
        store.put(TARGET_TOPIC, self.target_id, json.dumps(entry).encode())

    def unregister(self, store: StandinStore) -> None:
        """Remove the registration of the target from the store."""
        store.put(TARGET_TOPIC, self.target_id, b"")

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self._handle_request(reader, writer):
                    pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(HEADER_END)).decode("latin-1")
        lines = head.split("\r\n")
        method, path, _ = lines[0].split(" ")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if self.fault in FAULTS_OF_PROBES:
            return await self._send_without_end(writer)
        if path == "/health":
            self._record_request(writer)
            self._write_response(
                writer, 200, {"X-Baobabring-Instance-Id": self.target_id}
            )
            return True
        expected_id = headers["x-baobabring-target-instance"]
        if expected_id != self.target_id:
            self._write_response(
                writer, 421, {"X-Baobabring-Instance-Id": self.target_id}
            )
            return True
        call_id = headers.get("x-baobabring-attempt-id")
        if call_id is None:
            self._write_response(writer, 400, {"X-Baobabring-Not-Executed": "1"})
            return True
        call_headers = {"X-Baobabring-Attempt-Id": call_id}
        is_full = self.running_calls >= self.slots
        is_refused = is_full or self.fault in REFUSING_FAULTS
        stated_pause = self.retry_after if is_refused else None
        self._record_request(writer, call_id, stated_pause)
        if is_refused:
            refusal_headers = dict(call_headers)
            if self.fault is not TargetFault.SHED_WITHOUT_PROOF:
                refusal_headers["X-Baobabring-Not-Executed"] = "1"
            if self.retry_after is not None:
                refusal_headers["Retry-After"] = self.retry_after
            return await self._refuse(writer, refusal_headers)
        time_left_ms = float(headers["x-baobabring-deadline-ms"])
        self.runs.append(CallRun(call_id, path, body, time.time(), time_left_ms))
        if path in self.crashing_paths:
            await self._crash_during(writer, call_headers)
            return False
        if not await self._run_call(reader):
            return False
        if self.fault in ENDLESS_BEGINNINGS:
            return await self._send_without_end(writer)
        if path in self.losing_paths:
            writer.transport.abort()
            return False
        if self.download_bytes:
            return await self._send_download(writer, call_headers)
        return self._finish_call(writer, call_headers, method)

    async def _crash_during(
        self, writer: asyncio.StreamWriter, call_headers: dict[str, str]
    ) -> None:
        """Crash while a call runs, halfway through its body if that is long."""
        await asyncio.sleep(self.crash_delay_s)
        if self.download_bytes:
            self.fault = TargetFault.CUT_SHORT
            await self._send_download(writer, call_headers)
        await self.crash()

    async def _send_without_end(self, writer: asyncio.StreamWriter) -> bool:
        writer.write(ENDLESS_BEGINNINGS[self.fault])
        while True:
            await asyncio.sleep(self.part_interval_s)
            writer.write(ENDLESS_PART)
            await writer.drain()
            self.sent_parts += 1

    async def _refuse(
        self, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> bool:
        """Refuse a call; return False if the connection ends with it."""
        if self.fault is TargetFault.SHED_CUT_SHORT:
            self._write_response(writer, 503, headers, length=BROKEN_REFUSAL_BYTES)
            return False
        if self.fault is TargetFault.SHED_STALLED:
            self._write_response(writer, 503, headers, length=BROKEN_REFUSAL_BYTES)
            await asyncio.sleep(STALL_S)
            return False
        self._write_response(writer, 503, headers)
        return True

    def _record_request(
        self,
        writer: asyncio.StreamWriter,
        call_id: str | None = None,
        stated_pause: str | None = None,
    ) -> None:
        sender_ip = writer.get_extra_info("peername")[0]
        self.requests.append(
            ReceivedRequest(
                time.time(), self.started_at_ms, call_id, stated_pause, sender_ip
            )
        )

    async def _run_call(self, reader: asyncio.StreamReader) -> bool:
        """Wait for the service time; return False if the caller disconnects."""
        self.running_calls += 1
        try:
            async with asyncio.timeout(self.service_time_s):
                await reader.read(1)
            self.cancelled_calls += 1
            return False
        except TimeoutError:
            return True
        finally:
            self.running_calls -= 1

    async def _send_download(
        self, writer: asyncio.StreamWriter, call_headers: dict
    ) -> bool:
        """Send a long body in parts; one that is cut short ends halfway."""
        signature = {"X-Baobabring-Upstream-Signature": f"s.{self.target_id}"}
        headers = {**call_headers, **signature}
        self._write_response(writer, 200, headers, length=self.download_bytes)
        cut_short = self.fault is TargetFault.CUT_SHORT
        left_bytes = self.download_bytes // 2 if cut_short else self.download_bytes
        while left_bytes:
            await asyncio.sleep(self.part_interval_s)
            part_bytes = min(left_bytes, DOWNLOAD_PART_BYTES)
            writer.write(b"d" * part_bytes)
            await writer.drain()
            self.sent_parts += 1
            left_bytes -= part_bytes
        return not cut_short

    def _finish_call(
        self, writer: asyncio.StreamWriter, call_headers: dict, method: str
    ) -> bool:
        if self.fault is TargetFault.RESET_AFTER_RUN:
            writer.transport.abort()
            return False
        signed_headers = {
            **call_headers,
            "X-Baobabring-Upstream-Signature": f"s.{self.target_id}",
        }
        call_id = call_headers["X-Baobabring-Attempt-Id"]
        body = f"{method} {call_id} by {self.target_id}".encode()
        if self.fault is TargetFault.FAIL:
            self._write_response(writer, 500, signed_headers, body)
            return True
        if self.fault is TargetFault.CUT_SHORT:
            self._write_response(
                writer, 200, signed_headers, body, length=len(body) + 10
            )
            return False
        if self.fault is TargetFault.EXTRA_ANSWER_FIRST:
            other_headers = {**signed_headers, "X-Baobabring-Attempt-Id": "another"}
            self._write_response(writer, 200, other_headers, b"of another call")
        self._write_response(writer, 200, signed_headers, body)
        if self.fault is TargetFault.SECOND_ANSWER_LATE:
            asyncio.get_running_loop().call_later(
                SECOND_ANSWER_DELAY_S,
                self._write_response,
                writer,
                200,
                signed_headers,
                body,
            )
        return True

    def _write_response(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes = b"",
        length: int | None = None,
    ) -> None:
        lines = [f"HTTP/1.1 {status} S"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(
            f"X-Baobabring-Upstream-Load: {self.running_calls},0,{self.slots},100"
        )
        if self.limit is not None:
            lines.append(f"Server-Limit: {self.limit}")
        if self.leaving is not None:
            lines.append(f"Server-Leaving: {self.leaving}")
        if self.warmup_left_ms:
            lines.append(f"X-Baobabring-Warmup-Ms: {int(self.warmup_left_ms)}")
        lines.append("Keep-Alive: timeout=10")
        lines.append(f"Content-Length: {len(body) if length is None else length}")
        writer.write("\r\n".join(lines).encode() + HEADER_END + body)
