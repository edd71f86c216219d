"""HTTP clients of the platform's log and list of instances."""

import asyncio
import base64
from http import HTTPStatus

import aiohttp
import msgspec

from baobabring.platform._base import (
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnconfirmed,
    EventLog,
    InstanceInfo,
    InstanceState,
    LogRecord,
    Page,
    PlatformInstanceList,
    ReadFailed,
    ReadOutcome,
)
from baobabring.utils import DECODE_ERRORS, Clock

READ_TIMEOUT_S = 2.0
LIST_TIMEOUT_S = 2.0
DEFAULT_RETRY_AFTER_S = 0.2
MAX_PAGE_RECORDS = 1_000
INSTANCE_HEADER = "Baobab-Instance"

REQUEST_ERRORS = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
    *DECODE_ERRORS,
)


class _AppendReply(msgspec.Struct):
    offset: int


class _RecordReply(msgspec.Struct):
    offset: int
    appended_at_s: float
    payload: str


class _PageReply(msgspec.Struct):
    earliest_offset: int
    next_offset: int
    records: list[_RecordReply]


class _InstanceEntry(msgspec.Struct):
    instance_id: str
    zone: str
    peer_address: str
    state: InstanceState


class _ListReply(msgspec.Struct):
    instances: list[_InstanceEntry]


def create_platform_session(instance_id: str) -> aiohttp.ClientSession:
    """Return the session for both clients; the caller must close it."""
    return aiohttp.ClientSession(headers={INSTANCE_HEADER: instance_id})


class HttpEventLog(EventLog):
    """Append to and read from the platform's log over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, url: str, clock: Clock) -> None:
        self.session = session
        self.url = url
        self.clock = clock

    async def append(
        self, stream: str, payload: bytes, deadline_s: float
    ) -> AppendOutcome:
        """Append one record; failures of the log are returned, not raised."""
        timeout_s = max(deadline_s - self.clock.now_s(), 0.001)
        try:
            async with self.session.post(
                f"{self.url}/log/{stream}",
                data=payload,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                if response.status == HTTPStatus.CREATED:
                    body = await response.read()
                    reply = msgspec.json.decode(body, type=_AppendReply)
                    return Appended(reply.offset)
                return self._get_failure_outcome(response)
        except aiohttp.ClientConnectorError:
            return AppendRefused(self.clock.now_s() + DEFAULT_RETRY_AFTER_S)
        except REQUEST_ERRORS:
            return AppendUnconfirmed()

    def _get_failure_outcome(self, response: aiohttp.ClientResponse) -> AppendOutcome:
        # Only these two statuses guarantee that the record was not appended.
        not_appended_statuses = (
            HTTPStatus.TOO_MANY_REQUESTS,
            HTTPStatus.SERVICE_UNAVAILABLE,
        )
        if response.status not in not_appended_statuses:
            return AppendUnconfirmed()
        return AppendRefused(self.clock.now_s() + _retry_after_s(response))

    async def read(self, stream: str, from_offset: int, wait_ms: int) -> ReadOutcome:
        """Read from an offset on; wait up to `wait_ms` for the first record."""
        timeout_s = READ_TIMEOUT_S + wait_ms / 1_000
        query = {"from": from_offset, "wait_ms": wait_ms, "max": MAX_PAGE_RECORDS}
        try:
            async with self.session.get(
                f"{self.url}/log/{stream}",
                params=query,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                body = await response.read()
                if response.status != HTTPStatus.OK:
                    return ReadFailed(f"status {response.status}")
                return _to_page(msgspec.json.decode(body, type=_PageReply))
        except REQUEST_ERRORS as error:
            return ReadFailed(f"{type(error).__name__}: {error}")


def _retry_after_s(response: aiohttp.ClientResponse) -> float:
    try:
        return float(response.headers["Retry-After"])
    except (KeyError, ValueError):
        return DEFAULT_RETRY_AFTER_S


def _to_page(reply: _PageReply) -> Page:
    records = tuple(
        LogRecord(r.offset, r.appended_at_s, base64.b64decode(r.payload))
        for r in reply.records
    )
    return Page(reply.earliest_offset, reply.next_offset, records)


class HttpInstanceList(PlatformInstanceList):
    """Read and update the platform's list of instances over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url
        self._timeout = aiohttp.ClientTimeout(total=LIST_TIMEOUT_S)

    async def read(self) -> tuple[InstanceInfo, ...] | ReadFailed:
        """Return the platform's current list."""
        try:
            async with self.session.get(
                f"{self.url}/instances", timeout=self._timeout
            ) as response:
                body = await response.read()
                if response.status != HTTPStatus.OK:
                    return ReadFailed(f"status {response.status}")
                reply = msgspec.json.decode(body, type=_ListReply)
        except REQUEST_ERRORS as error:
            return ReadFailed(f"{type(error).__name__}: {error}")
        return tuple(
            InstanceInfo(e.instance_id, e.zone, e.peer_address, e.state)
            for e in reply.instances
        )

    async def announce(self, instance: InstanceInfo) -> bool:
        """Renew this instance's entry; return whether the platform accepted it."""
        entry = _InstanceEntry(
            instance.instance_id,
            instance.zone,
            instance.peer_address,
            instance.state,
        )
        try:
            async with self.session.put(
                f"{self.url}/instances/{instance.instance_id}",
                data=msgspec.json.encode(entry),
                timeout=self._timeout,
            ) as response:
                return response.status == HTTPStatus.NO_CONTENT
        except REQUEST_ERRORS:
            return False
