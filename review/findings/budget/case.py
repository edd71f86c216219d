"""Restarts of single processes make the fleet send a crashing request again."""

import asyncio
import itertools
import random
import time
from pathlib import Path

from standins.client import Client
from standins.deployment import LIMITS, Deployment, build_rule
from standins.http import STREAM_LIMIT_BYTES, Message
from standins.record import Record, run_case
from standins.store import Store
from standins.upstream import ATTEMPT_ID, MS_PER_S, Connection, Upstream

HOST = "school.example"
MACHINES = 4
MENU_UPSTREAMS = 8
FEE_UPSTREAMS = 4
USUAL_CLIENTS = 8
DEADLINE_MS = 1_200
POISON_PATH = "/menu/crash"
POISON_INTERVAL_S = 0.02
POISON_AT_S = 3.0
CRASH_DELAYS_S = (0.005, 0.04, 0.11)
DOWN_S = (2.0, 4.0)
FIRST_KILL_S = 6.0
KILL_INTERVAL_S = 14.0
RESTART_S = 0.3
TRAFFIC_S = 98.0
# Bound of the deployment.
STABILITY_WINDOW_S = 3.0
BLAMED_CRASHES = 3
ALLOWED_SENDS = 3


class CrashingUpstream(Upstream):
    """Crash while a certain request runs, and come back after some seconds."""

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.crashed_at_s: list[float] = []
        self.poisoned: list[tuple[float, str]] = []
        self._restarts: set[asyncio.Task] = set()

    async def run(
        self, connection: Connection, request: Message, echo: dict[str, str]
    ) -> bool:
        """Run a request; one with the path of the crashing request ends all."""
        if request.path != POISON_PATH:
            return await super().run(connection, request, echo)
        self.write_run(request)
        self.poisoned.append((self.record.now_s(), request.headers[ATTEMPT_ID]))
        await asyncio.sleep(random.choice(CRASH_DELAYS_S))
        self._crash()
        return False

    def _crash(self) -> None:
        if not self._server.is_serving():
            return
        self.crashed_at_s.append(self.record.now_s())
        self.record.write("crashes", upstream=self.upstream_id)
        port = self._server.sockets[0].getsockname()[1]
        self._heartbeat.cancel()
        self._server.close()
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()
        restart = asyncio.ensure_future(self._come_back(port))
        self._restarts.add(restart)

    async def _come_back(self, port: int) -> None:
        """Start again under the same id, with a later start and counts anew."""
        await asyncio.sleep(random.uniform(*DOWN_S))
        self._born_ms = int(time.time() * MS_PER_S)
        self._sequence = 0
        self._slots = asyncio.Semaphore(self.slots)
        self.running = self.waiting = 0
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=STREAM_LIMIT_BYTES
        )
        self._heartbeat = asyncio.ensure_future(self._beat())
        self.record.write("is back", upstream=self.upstream_id)


class Players:
    """Send the usual requests and the crashing one, and kill processes by turns."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.until_s = self.record.now_s() + TRAFFIC_S
        # Machine and time of each crashing request, and times of starts and kills.
        self.sent_to: dict[str, str] = {}
        self.disturbed_at_s: dict[str, list[float]] = {}

    def _client(self) -> Client:
        machine = random.choice(self.deployment.machines)
        return Client(machine.front, HOST, self.record, fresh=True)

    async def send_usual(self) -> int:
        """Send requests that nothing is wrong with; return how many were served."""
        served = 0
        while self.record.now_s() < self.until_s:
            number = random.randrange(1_000_000)
            method, path = random.choice(
                (("GET", f"/menu/{number}"), ("POST", f"/fee/{number}"))
            )
            seen = await self._client().request(method, path, DEADLINE_MS)
            served += seen.status == 200
            await asyncio.sleep(0.2)
        return served

    async def send_crashing(self) -> None:
        """Send the crashing request again and again, at any machine."""
        await asyncio.sleep(POISON_AT_S)
        while self.record.now_s() < self.until_s:
            client = self._client()
            seen = await client.request("GET", POISON_PATH, DEADLINE_MS)
            self.sent_to[seen.attempt_id] = client.address
            await asyncio.sleep(POISON_INTERVAL_S)

    async def kill_by_turns(self) -> None:
        """Kill one process at a time; the platform starts it again."""
        await asyncio.sleep(FIRST_KILL_S)
        for machine in itertools.cycle(self.deployment.machines):
            if self.record.now_s() >= self.until_s - KILL_INTERVAL_S:
                return
            times_s = self.disturbed_at_s.setdefault(machine.front, [])
            times_s.append(self.record.now_s())
            await self.deployment.kill(machine)
            await asyncio.sleep(RESTART_S)
            await self.deployment.start(machine)
            times_s.append(self.record.now_s())
            await asyncio.sleep(KILL_INTERVAL_S)


async def _play(record: Record, has_trouble: bool) -> bool:
    store = Store()
    await store.start()
    services = ["menus"] * MENU_UPSTREAMS + ["fees"] * FEE_UPSTREAMS
    upstreams = [
        CrashingUpstream(f"i-{n:08x}", service, store, record)
        for n, service in enumerate(services)
    ]
    for upstream in upstreams:
        await upstream.start()
    async with Deployment(store, record, count=MACHINES) as deployment:
        rules = [
            build_rule("menu", "menus", "safe"),
            build_rule("fee", "fees", "unsafe"),
        ]
        deployment.publish(rules, ["menus", "fees"], LIMITS)
        await deployment.start_all()
        players = Players(deployment)
        tasks = [players.send_usual() for _ in range(USUAL_CLIENTS)]
        tasks.append(players.send_crashing())
        if has_trouble:
            tasks.append(players.kill_by_turns())
        results = await asyncio.gather(*tasks)
    for upstream in upstreams:
        await upstream.stop()
    await store.stop()
    if not sum(results[:USUAL_CLIENTS]):
        raise RuntimeError("no usual request was served")
    return _judge(record, upstreams, players)


def _judge(record: Record, upstreams: list[CrashingUpstream], players: Players) -> bool:
    """Return whether machines in touch sent the request three times more at most."""
    crashed_at_s = sorted(at_s for u in upstreams for at_s in u.crashed_at_s)
    if len(crashed_at_s) < BLAMED_CRASHES:
        raise RuntimeError("the request crashed too few upstreams")
    from_s = crashed_at_s[BLAMED_CRASHES - 1] + STABILITY_WINDOW_S
    late = sorted(
        (at_s, attempt_id)
        for upstream in upstreams
        for at_s, attempt_id in upstream.poisoned
        if at_s > from_s
    )
    in_touch = []
    for at_s, attempt_id in late:
        machine = players.sent_to.get(attempt_id)
        times_s = players.disturbed_at_s.get(machine, [])
        is_disturbed = any(at_s - STABILITY_WINDOW_S <= t <= at_s for t in times_s)
        if machine is not None and not is_disturbed:
            in_touch.append(round(at_s, 2))
    record.write(
        "result",
        crashed_in_all=len(crashed_at_s),
        third_crash_s=round(crashed_at_s[BLAMED_CRASHES - 1], 2),
        sends_later_than_window=len(late),
        of_these_by_machines_in_touch=in_touch,
    )
    return len(in_touch) <= ALLOWED_SENDS


if __name__ == "__main__":
    run_case(Path(__file__).parent, _play)
