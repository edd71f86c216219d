"""Uploads within the manifest's limit take a machine over its memory limit."""

import asyncio
import random
from pathlib import Path

from standins.client import Client, Seen
from standins.deployment import LIMITS, Deployment, Machine, build_rule
from standins.record import Record, run_case
from standins.store import Store
from standins.upstream import Upstream

HOST = "school.example"
MACHINES = 2
UPSTREAMS = 6
WORK_S = 0.29
CLIENTS = 12
DEADLINE_MS = 2_000
UPLOAD_DEADLINE_MS = 10_000
UPLOAD_TIMEOUT_MS = 10_000
BEFORE_S = 4.0
ROUNDS = 4
ROUND_S = 4.0
UPLOADS = 3
# Within `max-body-bytes` of the manifest, 67,108,864.
UPLOAD_BYTES = 60_000_000
SMALL_UPLOAD_BYTES = 7_200
# `memory-mb` of the settings.
MEMORY_BYTES = 300_000_000
MEMORY_CHECK_S = 0.01
KIB = 1_024
# A machine may close so many kept connections before the rule judges.
ALLOWED_LOST = 3


def _read_memory_bytes(machine: Machine) -> int:
    """Return the memory that a machine's process holds."""
    status = Path(f"/proc/{machine.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) * KIB


class MemoryWatch:
    """Kill processes over their memory limit, and start them again."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.peak_bytes = 0
        self.ends: list[str] = []

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            for machine in self.deployment.machines:
                await self._check(machine)
            await asyncio.sleep(MEMORY_CHECK_S)

    async def _check(self, machine: Machine) -> None:
        if not machine.is_running:
            return
        held_bytes = _read_memory_bytes(machine)
        self.peak_bytes = max(self.peak_bytes, held_bytes)
        if held_bytes <= MEMORY_BYTES:
            return
        self.deployment.record.write(
            "memory over the limit", machine=machine.name, held_bytes=held_bytes
        )
        self.ends.append(machine.name)
        await self.deployment.kill(machine)
        await self.deployment.start(machine)


async def _play_client(machine: str, record: Record, until_s: float) -> list[Seen]:
    """Send requests on a kept connection, and open a new one where it was lost."""
    client = Client(machine, HOST, record)
    seen = []
    while record.now_s() < until_s:
        seen.append(await client.request("POST", "/fee/pay", DEADLINE_MS, b"x" * 1_200))
        await asyncio.sleep(random.uniform(0.02, 0.1))
    client.close()
    return seen


async def _upload(machine: Machine, record: Record, size_bytes: int) -> Seen:
    client = Client(machine.front, HOST, record, fresh=True)
    body = b"u" * size_bytes
    return await client.request("PUT", "/upload/all", UPLOAD_DEADLINE_MS, body)


async def _upload_in_rounds(deployment: Deployment, size_bytes: int) -> list[Seen]:
    seen = []
    for number in range(ROUNDS):
        machine = deployment.machines[number % len(deployment.machines)]
        uploads = [
            _upload(machine, deployment.record, size_bytes) for _ in range(UPLOADS)
        ]
        seen += await asyncio.gather(*uploads)
        await asyncio.sleep(ROUND_S)
    return seen


async def _play(record: Record, has_trouble: bool) -> bool:
    store = Store()
    await store.start()
    upstreams = [
        Upstream(f"i-{n:08x}", service, store, record, WORK_S, slots=4)
        for n in range(UPSTREAMS)
        for service in (("fees", "uploads")[n % 2],)
    ]
    for upstream in upstreams:
        await upstream.start()
    async with Deployment(store, record, count=MACHINES) as deployment:
        rules = [
            build_rule("fee", "fees", "unsafe", 1_200, 800),
            build_rule("upload", "uploads", "unsafe", UPLOAD_TIMEOUT_MS, 5_000),
        ]
        deployment.publish(rules, ["fees", "uploads"], LIMITS)
        await deployment.start_all()
        watch = MemoryWatch(deployment)
        watching = asyncio.ensure_future(watch.run())
        until_s = record.now_s() + BEFORE_S + ROUNDS * ROUND_S
        fronts = [machine.front for machine in deployment.machines]
        clients = asyncio.gather(
            *(
                _play_client(fronts[number % len(fronts)], record, until_s)
                for number in range(CLIENTS)
            )
        )
        await asyncio.sleep(BEFORE_S)
        size_bytes = UPLOAD_BYTES if has_trouble else SMALL_UPLOAD_BYTES
        uploads = await _upload_in_rounds(deployment, size_bytes)
        seen = [one for some in await clients for one in some]
        watching.cancel()
    for upstream in upstreams:
        await upstream.stop()
    await store.stop()
    ran = {attempt_id for u in upstreams for _, attempt_id in u.arrivals}
    lost = [one for one in seen if one.status is None and one.attempt_id in ran]
    record.write(
        "result",
        requests=len(seen),
        status_200=sum(one.status == 200 for one in seen),
        uploads=len(uploads),
        uploads_status_200=sum(one.status == 200 for one in uploads),
        passed_on_and_closed_without_answer=len(lost),
        ends_by_memory=watch.ends,
        peak_bytes=watch.peak_bytes,
    )
    return len(lost) <= ALLOWED_LOST


if __name__ == "__main__":
    run_case(Path(__file__).parent, _play)
