"""Caller that repeats calls with the same idempotency key and records a history."""

import asyncio
import hashlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
import uuid_utils

from baobabstandins.fleet._history import (
    CallerDisconnected,
    CallEvent,
    Invoked,
    Lost,
    ReportedOutcome,
    Returned,
)
from baobabstandins.fleet._members import InstanceMember
from baobabstandins.target import check_response

# Time after the deadline until a caller stops waiting for the response.
RESPONSE_MARGIN_S = 2.0
REPEAT_DELAY_S = 0.5
DISCONNECT_AFTER_S = 0.03
ROTATION_POLL_INTERVAL_S = 0.05

Rotation = Callable[[], list[InstanceMember]]


@dataclass(frozen=True, slots=True)
class Call:
    """Represent one call; `key` is empty if the call is sent without one."""

    call_id: str
    method: str
    path: str
    body: bytes
    key: str
    tenant: str
    deadline_ms: int


def create_call(
    prefix: str,
    *,
    idempotent: bool,
    send_key: bool = True,
    tenant: str = "default",
    deadline_ms: int = 3000,
) -> Call:
    """Return a call with a unique id and path; POST calls also get a key and a body."""
    call_id = str(uuid_utils.uuid7())
    return Call(
        call_id=call_id,
        method="GET" if idempotent else "POST",
        path=f"{prefix}/{call_id}",
        body=b"" if idempotent else call_id.encode(),
        key=str(uuid_utils.uuid7()) if send_key and not idempotent else "",
        tenant=tenant,
        deadline_ms=deadline_ms,
    )


class HistoryCaller:
    """Send calls and record each attempt and its result in `history`.

    Parameters
    ----------
    rotation : callable
        Returns the instances that may be called.
    seed : int
        Seed for choosing instances.
    """

    def __init__(self, rotation: Rotation, seed: int) -> None:
        self.rotation = rotation
        self.history: list[CallEvent] = []
        self._random = random.Random(seed)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "HistoryCaller":
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        self._session = aiohttp.ClientSession(connector=connector)
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._session.close()

    async def call(
        self, call: Call, repeats: int, *, disconnects: bool = False
    ) -> None:
        """Send a call and repeat it up to `repeats` times until it is completed.

        If `disconnects`, the caller closes the first attempt's connection early.
        """
        used_ids: set[str] = set()
        for attempt in range(repeats + 1):
            instance = await self._choose_instance(used_ids)
            used_ids.add(instance.instance_id)
            disconnect = disconnects and attempt == 0
            event = await self._send_attempt(call, attempt, instance, disconnect)
            self.history.append(event)
            if _is_completed(event):
                return
            if not isinstance(event, CallerDisconnected):
                await asyncio.sleep(REPEAT_DELAY_S)

    async def call_concurrently(self, call: Call, repeats: int) -> None:
        """Send a call through two instances at once, then repeat it until completed."""
        first = await self._choose_instance(set())
        second = await self._choose_instance({first.instance_id})
        events = await asyncio.gather(
            self._send_attempt(call, 0, first, False),
            self._send_attempt(call, 1, second, False),
        )
        self.history.extend(events)
        for attempt in range(2, repeats + 1):
            if any(_is_completed(event) for event in events):
                return
            await asyncio.sleep(REPEAT_DELAY_S)
            instance = await self._choose_instance(set())
            events = [await self._send_attempt(call, attempt, instance, False)]
            self.history.extend(events)

    async def _choose_instance(self, used_ids: set[str]) -> InstanceMember:
        while not (members := self.rotation()):
            await asyncio.sleep(ROTATION_POLL_INTERVAL_S)
        unused = [member for member in members if member.instance_id not in used_ids]
        return self._random.choice(unused or members)

    async def _send_attempt(
        self, call: Call, attempt: int, instance: InstanceMember, disconnects: bool
    ) -> CallEvent:
        attempt_fields = (call.call_id, attempt, instance.instance_id)
        self.history.append(
            Invoked(*attempt_fields, call.method, call.path, call.key, time.time())
        )
        url = f"http://{instance.caller_address}{call.path}"
        timeout_s = (
            DISCONNECT_AFTER_S
            if disconnects
            else call.deadline_ms / 1000 + RESPONSE_MARGIN_S
        )
        try:
            async with self._session.request(
                call.method,
                url,
                data=call.body or None,
                headers=_build_request_headers(call),
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                middlewares=(_SendOnceMiddleware(),),
            ) as response:
                body = await response.read()
        except TimeoutError:
            if disconnects:
                return CallerDisconnected(*attempt_fields, time.time())
            return Lost(
                *attempt_fields, f"no response within {timeout_s} s", time.time()
            )
        except aiohttp.ClientError as error:
            return Lost(*attempt_fields, repr(error), time.time())
        return _create_returned(call, attempt, instance, response, body)


class _SendOnceMiddleware:
    """Prevent aiohttp from resending an idempotent request on its own."""

    def __init__(self) -> None:
        self._sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        if self._sent:
            raise aiohttp.ServerDisconnectedError(
                "no response; the request is not sent again"
            )
        self._sent = True
        return await handler(request)


def _build_request_headers(call: Call) -> dict[str, str]:
    headers = {
        "Baobab-Deadline-Ms": str(call.deadline_ms),
        "Baobab-Tenant": call.tenant,
    }
    if call.key:
        headers["Idempotency-Key"] = call.key
    return headers


def _create_returned(
    call: Call,
    attempt: int,
    instance: InstanceMember,
    response: aiohttp.ClientResponse,
    body: bytes,
) -> Returned:
    outcome = response.headers.get("Baobab-Outcome", "")
    problem = None
    if outcome == ReportedOutcome.COMPLETED:
        problem = check_response(body, call.method, call.path, call.body)
    return Returned(
        call_id=call.call_id,
        attempt=attempt,
        instance_id=instance.instance_id,
        status=response.status,
        outcome=outcome,
        reason=response.headers.get("Baobab-Reason", ""),
        request_id=response.headers.get("Baobab-Request-Id", ""),
        response_digest=hashlib.sha256(body).hexdigest(),
        problem=problem,
        at_s=time.time(),
    )


def _is_completed(event: CallEvent) -> bool:
    return isinstance(event, Returned) and event.outcome == ReportedOutcome.COMPLETED
