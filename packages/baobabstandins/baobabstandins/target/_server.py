"""Serve the target's HTTP API."""

import asyncio
import random
import time

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

from baobabstandins._faults import merge_faults
from baobabstandins._serving import BODY_LIMIT_BYTES, close_without_answer
from baobabstandins.target._answer import answer_body, body_digest
from baobabstandins.target._cold_start import ColdStart
from baobabstandins.target._faults import TargetFaults
from baobabstandins.target._journal import Counters, Journal, JournalEntry
from baobabstandins.target._settings import TargetSettings
from baobabstandins.target._slots import Slots

COLD_SLOWDOWN = 10.0
CONTROL_PATHS = ("/-/faults", "/-/journal", "/-/counters")


class TargetServer:
    """Serve one target.

    Parameters
    ----------
    settings : TargetSettings
        What the target is like.
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
        self._silent: set[object] = set()

    def make_app(self) -> web.Application:
        """Return the aiohttp application."""
        if self.settings.cold_at_start:
            self._cold_start.begin(time.time())
        app = web.Application(
            middlewares=[self._apply_silence], client_max_size=BODY_LIMIT_BYTES
        )
        app.router.add_get("/-/health", self._probe)
        app.router.add_get("/-/faults", self._show_faults)
        app.router.add_put("/-/faults", self._put_faults)
        app.router.add_get("/-/journal", self._show_journal)
        app.router.add_get("/-/counters", self._show_counters)
        app.router.add_route("*", "/{path:.*}", self._call)
        return app

    @web.middleware
    async def _apply_silence(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path in CONTROL_PATHS:
            return await handler(request)
        self._connections.add(request.protocol)
        response = await handler(request)
        if request.protocol in self._silent:
            await asyncio.Event().wait()
        return response

    async def _call(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        self.counters.calls += 1
        if self.faults.close_before_run > 0:
            self.faults.close_before_run -= 1
            return close_without_answer(request)
        if self.faults.draining or self._slots.full or _is_late(request):
            return self._shed()
        slowdown = self._count_cold_load()
        await self._slots.acquire()
        try:
            if _is_late(request):
                return self._shed()
            answered = await self._run(request, body, slowdown)
        finally:
            self._slots.release()
        return await self._answer(request, body, answered)

    async def _run(self, request: web.Request, body: bytes, slowdown: float) -> int:
        """Do the work and return the status of the answer."""
        self._count_concurrent()
        entry = self.journal.start(_journal_entry(request, body))
        started_s = time.monotonic()
        completed = False
        try:
            if self.faults.fail_fast:
                completed = True
                return 500
            await asyncio.sleep(self._service_s() * slowdown)
            completed = True
        finally:
            self.journal.end(entry, time.time(), completed)
            self.counters.busy_ms += (time.monotonic() - started_s) * 1000
        self._cold_start.note_served()
        return 200

    async def _answer(
        self, request: web.Request, body: bytes, status: int
    ) -> web.StreamResponse:
        request_id = request.headers.get("Baobab-Request-Id", "")
        answer = answer_body(
            request.method,
            request.path_qs,
            request_id,
            body,
            self.settings.padding_bytes,
        )
        if self.faults.reset_after_run > 0:
            self.faults.reset_after_run -= 1
            return await self._send_half(request, answer)
        return web.Response(
            status=status,
            body=answer,
            content_type="application/json",
            headers={"Baobab-Load": self._load()},
        )

    async def _send_half(
        self, request: web.Request, answer: bytes
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Baobab-Load": self._load()})
        response.content_length = len(answer)
        await response.prepare(request)
        await response.write(answer[: len(answer) // 2])
        if request.transport is not None:
            request.transport.close()
        return response

    async def _probe(self, request: web.Request) -> web.Response:
        self.counters.probes += 1
        self.counters.probe_busy_ms += self.settings.probe_ms
        await asyncio.sleep(self.settings.probe_ms / 1000)
        return web.Response(headers={"Baobab-Load": self._load()})

    async def _show_faults(self, request: web.Request) -> web.Response:
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
            self._silent |= self._connections
            self._connections.clear()
            self.faults.silent = False
        return _json_response(self.faults)

    async def _show_journal(self, request: web.Request) -> web.Response:
        return _json_response(self.journal.entries)

    async def _show_counters(self, request: web.Request) -> web.Response:
        return _json_response(self.counters)

    def _shed(self) -> web.Response:
        self.counters.shed += 1
        headers = {"Baobab-Not-Run": "1", "Baobab-Load": self._load()}
        return web.Response(status=503, headers=headers)

    def _count_cold_load(self) -> float:
        """Count a call too many in cold start; return how much slower it runs."""
        now_s = time.time()
        overloaded = self._slots.present >= self.settings.cold_limit
        if not overloaded or not self._cold_start.is_cold(now_s):
            return 1.0
        self.counters.cold_violations += 1
        self.counters.cold_violations_at_s.append(now_s)
        return COLD_SLOWDOWN

    def _count_concurrent(self) -> None:
        running = self._slots.running
        self.counters.max_concurrent = max(self.counters.max_concurrent, running)

    def _service_s(self) -> float:
        factor = self._random.lognormvariate(0.0, self.settings.service_sigma)
        if time.time() < self.faults.slow_until_s:
            factor *= self.faults.slow_factor
        return self.settings.service_ms * factor / 1000

    def _load(self) -> str:
        in_flight = 0 if self.faults.lying else self._slots.present
        cold = int(self._cold_start.is_cold(time.time()))
        draining = int(self.faults.draining)
        return (
            f"in_flight={in_flight};slots={self.settings.slots};"
            f"cold={cold};draining={draining}"
        )


def make_target(settings: TargetSettings) -> TargetServer:
    """Return a target stand-in without history."""
    return TargetServer(settings)


def _is_late(request: web.Request) -> bool:
    deadline_unix_ms = request.headers.get("Baobab-Deadline-Unix-Ms")
    return deadline_unix_ms is not None and time.time() * 1000 > float(deadline_unix_ms)


def _journal_entry(request: web.Request, body: bytes) -> JournalEntry:
    return JournalEntry(
        request_id=request.headers.get("Baobab-Request-Id", ""),
        key=request.headers.get("Idempotency-Key", ""),
        method=request.method,
        path=request.path_qs,
        tenant=request.headers.get("Baobab-Tenant", ""),
        body_digest=body_digest(body),
        started_at_s=time.time(),
    )


def _json_response(reply: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(reply), content_type="application/json"
    )
