"""Start, stop and inject faults into a platform stand-in, targets and instances."""

import asyncio
import signal
import time
from pathlib import Path

import aiohttp
import msgspec

from baobabstandins.fleet._children import ChildError, ChildProcess, start_python
from baobabstandins.fleet._members import (
    InstanceMember,
    PlatformMember,
    PlatformOptions,
    TargetMember,
    TargetOptions,
)
from baobabstandins.fleet._ports import reserve_port
from baobabstandins.fleet._settings_file import SettingsSections, write_settings
from baobabstandins.target import Counters, JournalEntry

HOST = "127.0.0.1"
STARTUP_TIMEOUT_S = 20.0
STARTUP_POLL_INTERVAL_S = 0.05
READINESS_POLL_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 5.0
READY_REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=0.5)


class Fleet:
    """Manage the processes of one test run.

    Parameters
    ----------
    directory : Path
        Directory for settings files and logs.
    extra_settings : dict of dict
        Settings of every instance, by section, that extend or override its own.
    """

    def __init__(
        self, directory: Path, extra_settings: SettingsSections | None = None
    ) -> None:
        self.directory = directory
        self.extra_settings = extra_settings or {}
        self.platform: PlatformMember | None = None
        self.targets: dict[str, TargetMember] = {}
        self.instances: list[InstanceMember] = []
        self._children: list[ChildProcess] = []
        self._session: aiohttp.ClientSession | None = None
        self._readiness_task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Fleet":
        connector = aiohttp.TCPConnector(force_close=True)
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        self._readiness_task = asyncio.create_task(self._poll_readiness())
        return self

    async def __aexit__(self, *exception: object) -> None:
        if self._readiness_task is not None:
            self._readiness_task.cancel()
        await self._session.close()
        await asyncio.gather(*(child.kill() for child in self._children))

    async def start_platform(self, options: PlatformOptions) -> PlatformMember:
        """Start the platform stand-in."""
        arguments = ["--port=0", *options.get_arguments()]
        child = await self._start_process(
            "baobabstandins.platform", arguments, "platform"
        )
        _, address = (await child.read_line()).split()
        self.platform = PlatformMember(address, child)
        return self.platform

    async def start_targets(
        self, prefix: str, count: int, zone: str, options: TargetOptions
    ) -> list[TargetMember]:
        """Start targets `prefix-1`, `prefix-2`, ... of a zone in one process.

        Numbers continue after earlier targets with the same prefix.
        """
        first = 1 + sum(name.startswith(f"{prefix}-") for name in self.targets)
        specs = [
            f"{prefix}-{number}:0:{options.slots}"
            for number in range(first, first + count)
        ]
        arguments = ["--spec=" + ",".join(specs), *options.get_arguments()]
        child = await self._start_process(
            "baobabstandins.target", arguments, f"{prefix}-{first}"
        )
        started = []
        for _ in specs:
            _, address, target_id = (await child.read_line()).split()
            member = TargetMember(target_id, address, zone, options.slots, child)
            self.targets[target_id] = member
            started.append(member)
        return started

    async def start_instance(self, zone: str) -> InstanceMember:
        """Start an instance and wait until it is ready."""
        member = await self._spawn_instance(zone)
        await self._wait_until_ready(member)
        return member

    async def start_instances(self, count: int, zone: str) -> None:
        """Start instances and wait until all are ready."""
        members = [await self._spawn_instance(zone) for _ in range(count)]
        await asyncio.gather(*(self._wait_until_ready(member) for member in members))

    def kill(self, member: InstanceMember) -> None:
        """Send SIGKILL to an instance."""
        member.is_disturbed = True
        member.is_killed = True
        member.child.send_signal(signal.SIGKILL)

    def terminate(self, member: InstanceMember) -> None:
        """Send SIGTERM to an instance; it stays in rotation until it is not ready."""
        member.child.send_signal(signal.SIGTERM)

    def pause(self, member: InstanceMember) -> None:
        """Suspend an instance with SIGSTOP."""
        member.is_disturbed = True
        member.child.send_signal(signal.SIGSTOP)

    def resume(self, member: InstanceMember) -> None:
        """Resume a paused instance."""
        member.child.send_signal(signal.SIGCONT)

    def get_rotation(self) -> list[InstanceMember]:
        """Return the instances to which the platform's balancer would send calls."""
        return [member for member in self.instances if member.is_in_rotation]

    async def is_ready(self, member: InstanceMember) -> bool:
        """Return whether an instance reports that it is ready."""
        url = f"http://{member.caller_address}/readyz"
        try:
            async with self._session.get(
                url, timeout=READY_REQUEST_TIMEOUT
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def put_faults(self, address: str, faults: dict[str, object]) -> None:
        """Update the faults of the stand-in at an address.

        Raises
        ------
        ValueError
            If the stand-in rejects them.
        """
        url = f"http://{address}/-/faults"
        async with self._session.put(url, json=faults) as response:
            if response.status != 200:
                raise ValueError(await response.text())

    async def get_journal(self, target: TargetMember) -> list[JournalEntry]:
        """Return the journal of a target."""
        body = await self._get(f"http://{target.address}/-/journal")
        return msgspec.json.decode(body, type=list[JournalEntry])

    async def get_counters(self, target: TargetMember) -> Counters:
        """Return the counters of a target."""
        body = await self._get(f"http://{target.address}/-/counters")
        return msgspec.json.decode(body, type=Counters)

    async def _poll_readiness(self) -> None:
        """Update the rotation by polling readiness, as the platform's balancer does."""
        while True:
            await asyncio.gather(*(self._update_rotation(m) for m in self.instances))
            await asyncio.sleep(READINESS_POLL_INTERVAL_S)

    async def _update_rotation(self, member: InstanceMember) -> None:
        if member.ready_at_s and member.child.is_running:
            member.is_in_rotation = await self.is_ready(member)
        else:
            member.is_in_rotation = False

    async def _get(self, url: str) -> bytes:
        async with self._session.get(url) as response:
            return await response.read()

    async def _start_process(
        self, module: str, arguments: list[str], name: str
    ) -> ChildProcess:
        log_path = self.directory / f"{name}.log"
        child = await start_python(module, arguments, log_path)
        self._children.append(child)
        return child

    async def _spawn_instance(self, zone: str) -> InstanceMember:
        instance_id = f"{zone}-{len(self.instances) + 1}"
        caller, peer, operator = (f"{HOST}:{reserve_port(HOST)}" for _ in range(3))
        path = self.directory / f"{instance_id}.ini"
        sections = {
            "instance": {"id": instance_id, "zone": zone},
            "callers": {"address": caller},
            "peers": {"address": peer},
            "operators": {"address": operator},
            "platform": {"url": f"http://{self.platform.address}"},
        }
        write_settings(path, _merge_sections(sections, self.extra_settings))
        child = await self._start_process(
            "baobabring.program", ["--settings", str(path)], instance_id
        )
        member = InstanceMember(instance_id, zone, caller, peer, operator, child)
        member.started_at_s = time.time()
        self.instances.append(member)
        return member

    async def _wait_until_ready(self, member: InstanceMember) -> None:
        deadline_s = time.monotonic() + STARTUP_TIMEOUT_S
        while not await self.is_ready(member):
            if not member.child.is_running or time.monotonic() > deadline_s:
                raise ChildError(
                    f"{member.instance_id} is not ready; log: {member.child.read_log()}"
                )
            await asyncio.sleep(STARTUP_POLL_INTERVAL_S)
        member.ready_at_s = time.time()
        member.is_in_rotation = True


def _merge_sections(
    first: SettingsSections, second: SettingsSections
) -> SettingsSections:
    names = first.keys() | second.keys()
    return {name: first.get(name, {}) | second.get(name, {}) for name in names}
