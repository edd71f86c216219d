"""Calls that crash the targets that run them, and the check of what follows."""

import asyncio
import random
import time
from collections.abc import Iterable

import aiohttp

from baobabstandins.checker import Finding
from baobabstandins.soak._checks import Disturbance
from baobabstandins.soak._fleet import SoakFleet
from baobabstandins.usersplatform import ReceivedRequest, StandinTarget

CALL_INTERVAL_S = 0.1
DEADLINE_MS = 800
CALL_TIMEOUT_S = 2.0
CRASHES_BEFORE_BLAME = 3
# Instances that are not disturbed must know of the third crash after this time.
SETTLE_S = 3.0
MAX_SENDS_AFTER_SETTLING = 3


async def send_crashing_calls(
    fleet: SoakFleet, path: str, duration_s: float, seed: int
) -> None:
    """Send calls with a path to random instances for some time."""
    rng = random.Random(seed)
    until_s = time.monotonic() + duration_s
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        asyncio.TaskGroup() as group,
    ):
        while time.monotonic() < until_s:
            instance = rng.choice(fleet.instances)
            call_id = f"{path}-{time.time()}"
            group.create_task(_send(session, f"{instance.url}{path}", call_id))
            await asyncio.sleep(CALL_INTERVAL_S)


async def _send(session: aiohttp.ClientSession, url: str, call_id: str) -> None:
    headers = {
        "Host": "school.example",
        "X-Baobabring-Attempt-Id": call_id,
        "X-Baobabring-Deadline-Ms": str(DEADLINE_MS),
    }
    try:
        async with session.get(url, headers=headers) as response:
            await response.read()
    except (aiohttp.ClientError, TimeoutError):
        # Its outcome is of no interest.
        return


def check_crashes(
    path: str,
    targets: Iterable[StandinTarget],
    crashed_at_s: list[float],
    disturbances: Iterable[Disturbance],
) -> list[Finding]:
    """Return a finding if a request goes on crashing targets after its third crash."""
    if len(crashed_at_s) < CRASHES_BEFORE_BLAME:
        return []
    settled_at_s = sorted(crashed_at_s)[CRASHES_BEFORE_BLAME - 1] + SETTLE_S
    late = [
        request
        for target in targets
        for request in target.requests
        if (request.call_id or "").startswith(f"{path}-")
        and request.received_at_s > settled_at_s
        and not _is_disturbed(request, disturbances)
    ]
    if len(late) <= MAX_SENDS_AFTER_SETTLING:
        return []
    problem = f"sent {len(late)} times later than {SETTLE_S} s after its third crash"
    return [Finding("crashing requests stop", path, problem)]


def _is_disturbed(
    request: ReceivedRequest, disturbances: Iterable[Disturbance]
) -> bool:
    """Return whether the instance that sent a request was disturbed shortly before."""
    instance = int(request.sender_ip.rpartition(".")[2]) - 1
    return any(
        disturbance.instance == instance
        and disturbance.from_s <= request.received_at_s <= disturbance.to_s + SETTLE_S
        for disturbance in disturbances
    )
