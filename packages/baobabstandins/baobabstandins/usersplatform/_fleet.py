"""Fleet of entry processes that uses stand-ins for the users' platform."""

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from baobabstandins.usersplatform._store import StandinStore
from baobabstandins.usersplatform._target import StandinTarget

OPERATOR_TOPIC = "keyed.op"
FRONT_PORT = 8381
READY_PORT = 8388
ENTRY_PROGRAM = "baobabring.program.entry"
PEER_PORTS = (7200, 7215)
STARTUP_TIMEOUT_S = 20.0
READINESS_POLL_INTERVAL_S = 0.05
EXIT_TIMEOUT_S = 15.0

SETTINGS_TEMPLATE = """
[local-node]
node = "{name}"
role = "entry"
ip = "{ip}"
zone = "{zone}"
[network]
internal-ports = [{first_port}, {last_port}]
[network.listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
[platform.platform]
address = "{store}"
[terms.bounds]
grace = "6s"
budget-ratio = 0.2
budget-window = "10s"
budget-slack = 56
probes-per-s = 60
"""


@dataclass(slots=True)
class EntryProcess:
    """Represent the process of one entry instance and its addresses."""

    name: str
    ip: str
    settings_path: Path
    log_path: Path
    program: str = ENTRY_PROGRAM
    process: asyncio.subprocess.Process | None = None

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return f"http://{self.ip}:{FRONT_PORT}"

    @property
    def is_running(self) -> bool:
        """Return whether the process has been started and has not exited."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start the process."""
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self.program,
                env={**os.environ, "BAOBABRING_SETTINGS": str(self.settings_path)},
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if self.is_running:
            self.process.send_signal(signal_number)

    async def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    def read_log_lines(self, event: str) -> list[dict]:
        """Return the log lines of an event."""
        return [line for line in self._read_log() if line["event"] == event]

    def read_unhandled_errors(self) -> list[dict]:
        """Return the log lines of unhandled errors."""
        lines = self._read_log()
        return [line for line in lines if "Traceback" in line.get("error", "")]

    def _read_log(self) -> list[dict]:
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


class EntryFleet:
    """Manage a store, targets and entry instances, all on loopback addresses."""

    def __init__(
        self, directory: Path, instance_count: int, program: str = ENTRY_PROGRAM
    ) -> None:
        self.store = StandinStore()
        self.targets: list[StandinTarget] = []
        self.instances: list[EntryProcess] = []
        self._directory = directory
        self._instance_count = instance_count
        self._program = program
        self.version = 0
        # Gives fleets of tests that run in parallel different addresses.
        self._network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"

    async def __aenter__(self) -> "EntryFleet":
        await self.store.start()
        return self

    async def __aexit__(self, *exc_info) -> None:
        for instance in self.instances:
            with contextlib.suppress(ProcessLookupError):
                await instance.kill()
        for target in self.targets:
            await target.stop()
        await self.store.stop()

    async def add_target(self, target: StandinTarget) -> StandinTarget:
        """Start and register a target."""
        await target.start()
        target.register(self.store)
        self.targets.append(target)
        return target

    def publish(self, rules: list[dict], services: list[str]) -> int:
        """Publish a configuration and return its version."""
        self.version += 3
        value = {
            "version": self.version,
            "listeners": [{"host": "school.example", "rule-set": rules}],
            "clusters": [
                {
                    "name": name,
                    "health-path": "/health",
                    "max-conns": 220,
                    "warmup-per-s": 3.0,
                }
                for name in services
            ],
        }
        self.store.put(OPERATOR_TOPIC, "config", json.dumps(value).encode())
        return self.version

    def set_zone_out(self, zone: str) -> None:
        """Request that the targets of an availability zone get no new calls."""
        self.store.put(OPERATOR_TOPIC, f"evacuate/{zone}", b"{}")

    def set_zone_in(self, zone: str) -> None:
        """Allow new calls to the targets of an availability zone again."""
        self.store.put(OPERATOR_TOPIC, f"evacuate/{zone}", b"")

    async def start(self) -> None:
        """Start all instances and wait until they are ready."""
        for number in range(self._instance_count):
            instance = self._create_instance(number)
            self.instances.append(instance)
            await instance.start()
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until every running instance reports that it is ready."""
        async with asyncio.timeout(STARTUP_TIMEOUT_S):
            for instance in self.instances:
                while instance.is_running and not await self.is_ready(instance):
                    await asyncio.sleep(READINESS_POLL_INTERVAL_S)

    async def is_ready(self, instance: EntryProcess) -> bool:
        """Return whether an instance reports that it is ready."""
        url = f"http://{instance.ip}:{READY_PORT}/ready"
        try:
            async with aiohttp.ClientSession() as session, session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    def _create_instance(self, number: int) -> EntryProcess:
        name = f"entry-{number}"
        ip = f"{self._network}.{number + 1}"
        settings_path = self._directory / f"{name}.toml"
        settings_path.write_text(
            SETTINGS_TEMPLATE.format(
                name=name,
                ip=ip,
                zone="north",
                first_port=PEER_PORTS[0],
                last_port=PEER_PORTS[1],
                front_port=FRONT_PORT,
                ready_port=READY_PORT,
                store=self.get_store_address(number),
            )
        )
        log_path = self._directory / f"{name}.log"
        return EntryProcess(name, ip, settings_path, log_path, self._program)

    def get_store_address(self, number: int) -> str:
        """Return the address of the store for an instance."""
        return self.store.address


def build_rule(
    name: str,
    service: str,
    idempotent: bool = True,
    timeout_ms: int = 1_500,
    attempts: int = 2,
) -> dict:
    """Return a rule for the path prefix `/NAME/`."""
    return {
        "name": name,
        "route-type": "safe" if idempotent else "unsafe",
        "target-latency": "600ms",
        "priority": 1,
        "match": {"path-prefix": f"/{name}/"},
        "action": {
            "service": service,
            "timeout": f"{timeout_ms}ms",
            "attempts": attempts,
        },
    }
