"""Caller that repeats calls with the same key and keeps a history."""

import asyncio
import hashlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
import uuid_utils

from baobabstandins.fleet._history import (
    CallEvent,
    Invoked,
    Left,
    Lost,
    Returned,
    StatedOutcome,
)
from baobabstandins.fleet._members import InstanceMember
from baobabstandins.target import check_answer

ANSWER_SLACK_S = 2.0
REPEAT_WAIT_S = 0.5
LEAVE_AFTER_S = 0.03
ROTATION_POLL_S = 0.05

Rotation = Callable[[], list[InstanceMember]]


@dataclass(frozen=True, slots=True)
class Call:
    """Describe one call; the key is empty if it may run more than once."""

    call_id: str
    method: str
    path: str
    body: bytes
    key: str
    tenant: str
    deadline_ms: int


def make_call(
    prefix: str,
    *,
    idempotent: bool,
    key_sent: bool = True,
    tenant: str = "default",
    deadline_ms: int = 3000,
) -> Call:
    """Return a call that differs from every other one in id, key, path and body."""
    call_id = str(uuid_utils.uuid7())
    return Call(
        call_id=call_id,
        method="GET" if idempotent else "POST",
        path=f"{prefix}/{call_id}",
        body=b"" if idempotent else call_id.encode(),
        key=str(uuid_utils.uuid7()) if key_sent and not idempotent else "",
        tenant=tenant,
        deadline_ms=deadline_ms,
    )


class HistoryCaller:
    """Send calls and keep what was sent and what came back.

    Parameters
    ----------
    rotation : callable
        Returns the instances to choose from.
    seed : int
        Seed of the choice of instances.
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

    async def call(self, call: Call, repeats: int, *, leaves: bool = False) -> None:
        """Send a call, up to `repeats` times more until it is completed.

        If `leaves`, the caller gives up the first try after a moment.
        """
        used: set[str] = set()
        for attempt in range(repeats + 1):
            instance = await self._pick(used)
            used.add(instance.instance_id)
            left = leaves and attempt == 0
            event = await self._try(call, attempt, instance, left)
            self.history.append(event)
            if _is_completed(event):
                return
            if not isinstance(event, Left):
                await asyncio.sleep(REPEAT_WAIT_S)

    async def call_twice_at_once(self, call: Call, repeats: int) -> None:
        """Send a call through two instances at the same time."""
        first = await self._pick(set())
        second = await self._pick({first.instance_id})
        events = await asyncio.gather(
            self._try(call, 0, first, False), self._try(call, 1, second, False)
        )
        self.history.extend(events)
        for attempt in range(2, repeats + 1):
            if any(_is_completed(event) for event in events):
                return
            await asyncio.sleep(REPEAT_WAIT_S)
            instance = await self._pick(set())
            events = [await self._try(call, attempt, instance, False)]
            self.history.extend(events)

    async def _pick(self, used: set[str]) -> InstanceMember:
        while not (members := self.rotation()):
            await asyncio.sleep(ROTATION_POLL_S)
        unused = [member for member in members if member.instance_id not in used]
        return self._random.choice(unused or members)

    async def _try(
        self, call: Call, attempt: int, instance: InstanceMember, leaves: bool
    ) -> CallEvent:
        where = (call.call_id, attempt, instance.instance_id)
        self.history.append(
            Invoked(*where, call.method, call.path, call.key, time.time())
        )
        url = f"http://{instance.caller_address}{call.path}"
        total_s = LEAVE_AFTER_S if leaves else call.deadline_ms / 1000 + ANSWER_SLACK_S
        try:
            async with self._session.request(
                call.method,
                url,
                data=call.body or None,
                headers=_headers(call),
                timeout=aiohttp.ClientTimeout(total=total_s),
                middlewares=(_SendOnce(),),
            ) as response:
                answer = await response.read()
        except TimeoutError:
            if leaves:
                return Left(*where, time.time())
            return Lost(*where, f"no answer in {total_s} s", time.time())
        except aiohttp.ClientError as error:
            return Lost(*where, repr(error), time.time())
        return _returned(call, attempt, instance, response, answer)


class _SendOnce:
    """Keep the library from sending an idempotent request again by itself."""

    def __init__(self) -> None:
        self._sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        if self._sent:
            raise aiohttp.ServerDisconnectedError("no answer to the first send")
        self._sent = True
        return await handler(request)


def _headers(call: Call) -> dict[str, str]:
    headers = {
        "Baobab-Deadline-Ms": str(call.deadline_ms),
        "Baobab-Tenant": call.tenant,
    }
    if call.key:
        headers["Idempotency-Key"] = call.key
    return headers


def _returned(
    call: Call,
    attempt: int,
    instance: InstanceMember,
    response: aiohttp.ClientResponse,
    answer: bytes,
) -> Returned:
    outcome = response.headers.get("Baobab-Outcome", "")
    problem = None
    if outcome == StatedOutcome.COMPLETED:
        problem = check_answer(answer, call.method, call.path, call.body)
    return Returned(
        call_id=call.call_id,
        attempt=attempt,
        instance_id=instance.instance_id,
        status=response.status,
        outcome=outcome,
        reason=response.headers.get("Baobab-Reason", ""),
        request_id=response.headers.get("Baobab-Request-Id", ""),
        answer_digest=hashlib.sha256(answer).hexdigest(),
        problem=problem,
        at_s=time.time(),
    )


def _is_completed(event: CallEvent) -> bool:
    return isinstance(event, Returned) and event.outcome == StatedOutcome.COMPLETED
