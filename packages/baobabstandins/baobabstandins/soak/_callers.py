"""Callers that keep their connections open and record their calls."""

import asyncio
import time
from dataclasses import dataclass

import aiohttp

from baobabstandins.soak._fleet import SoakFleet

CALL_INTERVAL_S = 0.06
DEADLINE_MS = 1_500
# Time after the deadline until a caller stops waiting for the response.
RESPONSE_MARGIN_S = 1.5
RECONNECT_DELAY_S = 0.1
STATUS_OK = 200
STATUS_NOT_RUN = 503


@dataclass(frozen=True, slots=True)
class CallRecord:
    """Represent one call as its caller saw it.

    `status` is None if the caller got no complete response.
    """

    caller: str
    call_id: str
    method: str
    instance: int
    sent_at_s: float
    ended_at_s: float
    connected: bool
    status: int | None = None
    body: bytes = b""

    @property
    def is_at_most_once(self) -> bool:
        """Return whether the call may run at most once."""
        return self.method == "POST"


class Caller:
    """Call one instance repeatedly, alternating between GET and POST."""

    def __init__(self, fleet: SoakFleet, name: str, instance: int) -> None:
        self.fleet = fleet
        self.name = name
        self.instance = instance
        self.records: list[CallRecord] = []

    async def run(self, until_s: float) -> None:
        """Call until a time of the monotonic clock."""
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1_000 + RESPONSE_MARGIN_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while time.monotonic() < until_s:
                record = await self._call(session)
                self.records.append(record)
                await asyncio.sleep(
                    CALL_INTERVAL_S if record.connected else RECONNECT_DELAY_S
                )

    async def _call(self, session: aiohttp.ClientSession) -> CallRecord:
        number = len(self.records)
        call_id = f"{self.name}-{number}"
        method, path = ("POST", "fees") if number % 2 else ("GET", "menu")
        url = f"{self.fleet.instances[self.instance].url}/{path}/{number}"
        headers = {
            "Host": "school.example",
            "X-Baobabring-Deadline-Ms": str(DEADLINE_MS),
            "X-Baobabring-Attempt-Id": call_id,
        }
        sent_at_s = time.time()
        status, body, connected = None, b"", True
        try:
            async with session.request(method, url, headers=headers) as response:
                body = await response.read()
                status = response.status
        except aiohttp.ClientConnectorError:
            connected = False
        except (aiohttp.ClientError, TimeoutError):
            status = None
        return CallRecord(
            self.name,
            call_id,
            method,
            self.instance,
            sent_at_s,
            time.time(),
            connected,
            status,
            body,
        )
