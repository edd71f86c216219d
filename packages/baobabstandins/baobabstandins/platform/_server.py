"""HTTP API of the platform stand-in."""

import asyncio
import base64
import time

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

from baobabstandins._faults import merge_faults
from baobabstandins._serving import MAX_BODY_BYTES, close_without_response
from baobabstandins.platform._faults import PlatformFaults
from baobabstandins.platform._instances import InstanceEntry, LaggedInstanceList
from baobabstandins.platform._log import Log, Record, TokenBucket

INSTANCE_HEADER = "Baobab-Instance"
RETRY_AFTER = {"Retry-After": "1"}
MAX_PAGE_RECORDS = 1000
MAX_WAIT_MS = 60_000


class _RecordReply(msgspec.Struct):
    offset: int
    appended_at_s: float
    payload: str


class _PageReply(msgspec.Struct):
    earliest_offset: int
    next_offset: int
    records: list[_RecordReply]


class _AppendReply(msgspec.Struct):
    offset: int


class _ListReply(msgspec.Struct):
    instances: list[InstanceEntry]


class PlatformServer:
    """Serve one log and one instance list.

    Parameters
    ----------
    faults : PlatformFaults
        Initial faults.
    instances : LaggedInstanceList
        Instance list to serve.
    """

    def __init__(self, faults: PlatformFaults, instances: LaggedInstanceList) -> None:
        self.faults = faults
        self.instances = instances
        self.log = Log()
        self._bucket = TokenBucket()
        self._appended = asyncio.Event()
        self._frozen_entries: list[InstanceEntry] = []

    def create_app(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(
            middlewares=[self._drop_cut_requests], client_max_size=MAX_BODY_BYTES
        )
        app.router.add_post("/log/{stream}", self._append)
        app.router.add_get("/log/{stream}", self._read)
        app.router.add_get("/instances", self._list_instances)
        app.router.add_put("/instances/{instance_id}", self._announce)
        app.router.add_get("/-/faults", self._get_faults)
        app.router.add_put("/-/faults", self._put_faults)
        return app

    @web.middleware
    async def _drop_cut_requests(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if self._is_cut(request):
            return close_without_response(request)
        response = await handler(request)
        if self._is_cut(request):
            return close_without_response(request)
        return response

    def _is_cut(self, request: web.Request) -> bool:
        return request.headers.get(INSTANCE_HEADER) in self.faults.cut_instances

    async def _append(self, request: web.Request) -> web.Response:
        payload = await request.read()
        await self._apply_delay()
        if self.faults.outage:
            return web.Response(status=503, headers=RETRY_AFTER)
        now_s = time.time()
        if not self._bucket.take(self.faults.appends_per_s, now_s):
            return web.Response(status=429, headers=RETRY_AFTER)
        offset = self.log.append(request.match_info["stream"], payload, now_s)
        self._notify_readers()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return close_without_response(request)
        return _json_response(_AppendReply(offset), status=201)

    async def _read(self, request: web.Request) -> web.Response:
        try:
            from_offset = _parse_number(request, "from", 0)
            wait_ms = min(_parse_number(request, "wait_ms", 0), MAX_WAIT_MS)
            limit = min(
                _parse_number(request, "max", MAX_PAGE_RECORDS), MAX_PAGE_RECORDS
            )
        except ValueError as error:
            return web.Response(status=400, text=str(error))
        await self._apply_delay()
        stream = request.match_info["stream"]
        await self._wait_for_record(stream, from_offset, wait_ms)
        if self.faults.outage:
            return web.Response(status=503, headers=RETRY_AFTER)
        self.log.expire(time.time() - self.faults.retention_ms / 1000)
        records = self.log.read(stream, from_offset, limit)
        reply = _PageReply(
            self.log.get_earliest_offset(stream),
            self.log.get_next_offset(stream),
            [_create_record_reply(record) for record in records],
        )
        return _json_response(reply)

    async def _wait_for_record(
        self, stream: str, from_offset: int, wait_ms: int
    ) -> None:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_ms / 1000
        while (
            not self.faults.outage and self.log.get_next_offset(stream) <= from_offset
        ):
            time_left_s = deadline_s - loop.time()
            if time_left_s <= 0:
                return
            try:
                await asyncio.wait_for(self._appended.wait(), time_left_s)
            except TimeoutError:
                return

    async def _list_instances(self, request: web.Request) -> web.Response:
        if self.faults.list_frozen:
            return _json_response(_ListReply(self._frozen_entries))
        return _json_response(_ListReply(self.instances.get_entries(time.time())))

    async def _announce(self, request: web.Request) -> web.Response:
        try:
            entry = msgspec.json.decode(await request.read(), type=InstanceEntry)
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        if entry.instance_id != request.match_info["instance_id"]:
            return web.Response(
                status=400,
                text="instance_id in the body differs from the one in the path",
            )
        self.instances.announce(entry, time.time())
        return web.Response(status=204)

    async def _get_faults(self, request: web.Request) -> web.Response:
        return _json_response(self.faults)

    async def _put_faults(self, request: web.Request) -> web.Response:
        try:
            changed = merge_faults(self.faults, await request.read())
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        if changed.list_frozen and not self.faults.list_frozen:
            self._frozen_entries = self.instances.get_entries(time.time())
        self.faults = changed
        self._notify_readers()
        return _json_response(changed)

    async def _apply_delay(self) -> None:
        if self.faults.delay_ms > 0:
            await asyncio.sleep(self.faults.delay_ms / 1000)

    def _notify_readers(self) -> None:
        self._appended.set()
        self._appended = asyncio.Event()


def create_platform(
    faults: PlatformFaults, list_lag_ms: float, list_expiry_ms: float
) -> PlatformServer:
    """Return a platform stand-in without records and instances."""
    instances = LaggedInstanceList(list_lag_ms / 1000, list_expiry_ms / 1000)
    return PlatformServer(faults, instances)


def _parse_number(request: web.Request, name: str, default: int) -> int:
    text = request.query.get(name, str(default))
    if not text.isdecimal():
        raise ValueError(f"{name} must be an integer >= 0, got {text!r}")
    return int(text)


def _create_record_reply(record: Record) -> _RecordReply:
    payload = base64.b64encode(record.payload).decode()
    return _RecordReply(record.offset, record.appended_at_s, payload)


def _json_response(reply: msgspec.Struct, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(reply),
        content_type="application/json",
    )
