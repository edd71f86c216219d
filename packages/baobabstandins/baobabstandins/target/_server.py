"""HTTP API of a target stand-in."""

import asyncio
import random
import time

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

from baobabstandins._faults import merge_faults
from baobabstandins._serving import MAX_BODY_BYTES, close_without_response
from baobabstandins.target._cold_start import ColdStart
from baobabstandins.target._faults import TargetFaults
from baobabstandins.target._journal import Counters, Journal, JournalEntry
from baobabstandins.target._response import compute_body_digest, create_response_body
from baobabstandins.target._settings import TargetSettings
from baobabstandins.target._slots import Slots

COLD_SLOWDOWN_FACTOR = 10.0
CONTROL_PATHS = ("/-/faults", "/-/journal", "/-/counters")


class TargetServer:
    """Serve one target.

    Parameters
    ----------
    settings : TargetSettings
        Id, capacity and timing of the target.
    """

    def __init__(self, settings: TargetSettings) -> None:
        self.settings = settings
        self.faults = TargetFaults()
        self.counters = Counters()
        self.journal = Journal()
        self._slots = Slots(settings.slots, settings.queue_limit)
        self._cold_start = ColdStart(settings.cold_calls, settings.cold_ms / 1000)
        self._random = random.Random(f"{settings.seed}/{settings.target_id}")
        self._connections: set[object] = set()
        self._silenced_connections: set[object] = set()

    def create_app(self) -> web.Application:
        """Return the aiohttp application."""
        if self.settings.cold_at_start:
            self._cold_start.begin(time.time())
        app = web.Application(
            middlewares=[self._withhold_silenced_responses],
            client_max_size=MAX_BODY_BYTES,
        )
        app.router.add_get("/-/health", self._handle_probe)
        app.router.add_get("/-/faults", self._get_faults)
        app.router.add_put("/-/faults", self._put_faults)
        app.router.add_get("/-/journal", self._get_journal)
        app.router.add_get("/-/counters", self._get_counters)
        app.router.add_route("*", "/{path:.*}", self._handle_call)
        return app

    @web.middleware
    async def _withhold_silenced_responses(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path in CONTROL_PATHS:
            return await handler(request)
        self._connections.add(request.protocol)
        response = await handler(request)
        if request.protocol in self._silenced_connections:
            await asyncio.Event().wait()
        return response

    async def _handle_call(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        self.counters.calls += 1
        if self.faults.close_before_run > 0:
            self.faults.close_before_run -= 1
            return close_without_response(request)
        if self.faults.draining or self._slots.is_full or _is_past_deadline(request):
            return self._shed()
        slowdown = self._record_cold_violation()
        await self._slots.acquire()
        try:
            if _is_past_deadline(request):
                return self._shed()
            status = await self._run(request, body, slowdown)
        finally:
            self._slots.release()
        return await self._send_response(request, body, status)

    async def _run(self, request: web.Request, body: bytes, slowdown: float) -> int:
        """Process a call and return the HTTP status of its response."""
        self._update_max_concurrent()
        entry = self.journal.start(_create_journal_entry(request, body))
        started_s = time.monotonic()
        completed = False
        try:
            if self.faults.fail_fast:
                completed = True
                return 500
            await asyncio.sleep(self._draw_service_time_s() * slowdown)
            completed = True
        finally:
            self.journal.end(entry, time.time(), completed)
            self.counters.busy_ms += (time.monotonic() - started_s) * 1000
        self._cold_start.record_served_call()
        return 200

    async def _send_response(
        self, request: web.Request, body: bytes, status: int
    ) -> web.StreamResponse:
        request_id = request.headers.get("Baobab-Request-Id", "")
        response_body = create_response_body(
            request.method,
            request.path_qs,
            request_id,
            body,
            self.settings.padding_bytes,
        )
        if self.faults.reset_after_run > 0:
            self.faults.reset_after_run -= 1
            return await self._send_partial_response(request, response_body)
        return web.Response(
            status=status,
            body=response_body,
            content_type="application/json",
            headers={"Baobab-Load": self._format_load()},
        )

    async def _send_partial_response(
        self, request: web.Request, response_body: bytes
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Baobab-Load": self._format_load()})
        response.content_length = len(response_body)
        await response.prepare(request)
        await response.write(response_body[: len(response_body) // 2])
        if request.transport is not None:
            request.transport.close()
        return response

    async def _handle_probe(self, request: web.Request) -> web.Response:
        self.counters.probes += 1
        self.counters.probe_busy_ms += self.settings.probe_ms
        await asyncio.sleep(self.settings.probe_ms / 1000)
        return web.Response(headers={"Baobab-Load": self._format_load()})

    async def _get_faults(self, request: web.Request) -> web.Response:
        return _json_response(self.faults)

    async def _put_faults(self, request: web.Request) -> web.Response:
        try:
            changed = merge_faults(self.faults, await request.read())
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        self.faults = changed
        if changed.cold:
            self._cold_start.begin(time.time())
            self.faults.cold = False
        if changed.silent:
            self._silenced_connections |= self._connections
            self._connections.clear()
            self.faults.silent = False
        return _json_response(self.faults)

    async def _get_journal(self, request: web.Request) -> web.Response:
        return _json_response(self.journal.entries)

    async def _get_counters(self, request: web.Request) -> web.Response:
        return _json_response(self.counters)

    def _shed(self) -> web.Response:
        self.counters.shed += 1
        headers = {"Baobab-Not-Run": "1", "Baobab-Load": self._format_load()}
        return web.Response(status=503, headers=headers)

    def _record_cold_violation(self) -> float:
        """Record a call beyond the cold limit; return the slowdown factor of a call."""
        now_s = time.time()
        is_over_limit = self._slots.in_flight >= self.settings.cold_limit
        if not is_over_limit or not self._cold_start.is_cold(now_s):
            return 1.0
        self.counters.cold_violations += 1
        self.counters.cold_violations_at_s.append(now_s)
        return COLD_SLOWDOWN_FACTOR

    def _update_max_concurrent(self) -> None:
        running = self._slots.running
        self.counters.max_concurrent = max(self.counters.max_concurrent, running)

    def _draw_service_time_s(self) -> float:
        factor = self._random.lognormvariate(0.0, self.settings.service_sigma)
        if time.time() < self.faults.slow_until_s:
            factor *= self.faults.slow_factor
        return self.settings.service_ms * factor / 1000

    def _format_load(self) -> str:
        in_flight = 0 if self.faults.lying else self._slots.in_flight
        cold = int(self._cold_start.is_cold(time.time()))
        draining = int(self.faults.draining)
        return (
            f"in_flight={in_flight};slots={self.settings.slots};"
            f"cold={cold};draining={draining}"
        )


def create_target(settings: TargetSettings) -> TargetServer:
    """Return a target stand-in with an empty journal."""
    return TargetServer(settings)


def _is_past_deadline(request: web.Request) -> bool:
    deadline_unix_ms = request.headers.get("Baobab-Deadline-Unix-Ms")
    return deadline_unix_ms is not None and time.time() * 1000 > float(deadline_unix_ms)


def _create_journal_entry(request: web.Request, body: bytes) -> JournalEntry:
    return JournalEntry(
        request_id=request.headers.get("Baobab-Request-Id", ""),
        key=request.headers.get("Idempotency-Key", ""),
        method=request.method,
        path=request.path_qs,
        tenant=request.headers.get("Baobab-Tenant", ""),
        body_digest=compute_body_digest(body),
        started_at_s=time.time(),
    )


def _json_response(reply: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(reply), content_type="application/json"
    )
