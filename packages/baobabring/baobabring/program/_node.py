"""Life of an instance: start, run, leave."""

import asyncio
import contextlib
import signal
import socket
from collections.abc import Coroutine

import logbook
import uvicorn
import zmq

from baobabring.callers import create_app, create_server_config
from baobabring.calls import longest_deadline_ms
from baobabring.model import Configuration, TargetState, ZoneState
from baobabring.operators import create_operators_server, read_certificates
from baobabring.program._control_plane import NodeControlPlane
from baobabring.program._metrics import REVISION
from baobabring.program._parts import Parts, create_parts
from baobabring.settings import Settings

LOG = logbook.Logger("node")

VIEW_INTERVAL_S = 0.1
IDLE_POLL_S = 0.02
RECORD_LIMIT_S = 30.0
RPC_GRACE_S = 1.0
MS_PER_S = 1_000
BACKLOG_CONNECTIONS = 2_048


class AddressError(Exception):
    """Tell that an address of the settings can't be listened at."""

    def __init__(self, section: str, address: str, problem: str) -> None:
        super().__init__(f"[{section}] address = {address!r}: {problem}")


class _CallerServer(uvicorn.Server):
    """Server that leaves signals to the node."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Capture nothing."""
        yield


class Node:
    """Run the parts of an instance until it is told to leave."""

    def __init__(self, settings: Settings, parts: Parts) -> None:
        self.settings = settings
        self.parts = parts
        self._leaving = asyncio.Event()
        self._can_start_attempts = False
        self._server = _create_caller_server(settings, parts)

    async def run(self) -> None:
        """Serve until a signal, then leave without cutting anything off."""
        self._connect()
        listener = _listen(self.settings.callers.address)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._leaving.set)
        operators = self._create_operators()
        await operators.start()
        tasks = asyncio.ensure_future(self._run_tasks())
        serving = asyncio.ensure_future(self._server.serve([listener]))
        leaving = asyncio.ensure_future(self._leaving.wait())
        await asyncio.wait(
            (tasks, serving, leaving), return_when=asyncio.FIRST_COMPLETED
        )
        failure = tasks.exception() if tasks.done() else None
        if failure is not None:
            LOG.error("a task failed", failure=repr(failure))
        await self._leave(serving)
        leaving.cancel()
        tasks.cancel()
        await asyncio.gather(tasks, return_exceptions=True)
        await operators.stop(RPC_GRACE_S)
        await self._close()
        if failure is not None:
            raise failure

    def _connect(self) -> None:
        parts = self.parts
        try:
            parts.link.start()
        except zmq.ZMQError as error:
            address = self.settings.peers.address
            raise AddressError("peers", address, str(error)) from error
        parts.claims_task.start(parts.dispatcher.apply_claim_events)
        parts.dispatcher.set_claims_flush(parts.claims_task.flush)
        parts.reader.add_listener(self._configure)
        if self.settings.peers.key_file is None:
            LOG.warning("peers are not authenticated; set [peers] key_file")
        if self.settings.operators.authority_file is None:
            LOG.warning("operators are not authenticated; set [operators] files")

    def _create_operators(self):
        parts = self.parts
        control_plane = NodeControlPlane(
            parts.publisher,
            parts.membership,
            parts.claims,
            parts.claims_task,
            parts.clock,
        )
        section = self.settings.operators
        certificates = None
        if section.authority_file is not None:
            certificates = read_certificates(
                section.authority_file, section.certificate_file, section.key_file
            )
        try:
            return create_operators_server(control_plane, section.address, certificates)
        except RuntimeError as error:
            raise AddressError("operators", section.address, str(error)) from error

    async def _run_tasks(self) -> None:
        async with asyncio.TaskGroup() as group:
            for task in self._tasks():
                group.create_task(task)

    def _tasks(self) -> tuple[Coroutine, ...]:
        parts = self.parts
        return (
            parts.reader.run(),
            parts.membership.run_list(),
            parts.membership.run_heartbeats(),
            parts.claims_task.run(),
            parts.cold_start_task.read(),
            parts.cold_start_task.propose(),
            parts.probe_task.run(),
            self._tick(),
        )

    def _configure(self, configuration: Configuration) -> None:
        parts = self.parts
        now_s = parts.clock.now_s()
        parts.balancer.configure(configuration, now_s)
        parts.dispatcher.configure(configuration)
        parts.probe_task.scheduler.set_targets(targets_in_use(configuration), now_s)
        REVISION.set(configuration.revision)

    async def _tick(self) -> None:
        parts = self.parts
        view_due_s = 0.0
        while True:
            now_s = parts.clock.now_s()
            if now_s >= view_due_s:
                view_due_s = now_s + VIEW_INTERVAL_S
                self._adopt_view()
            parts.claims_task.tick()
            parts.dispatcher.tick()
            parts.sharing_task.tick()
            await parts.dispatcher.wait_for_tick()

    def _adopt_view(self) -> None:
        """Hand the view of the fleet to the parts that divide something by it."""
        parts = self.parts
        now_s = parts.clock.now_s()
        live = parts.membership.live()
        fleet_size = parts.membership.membership.fleet_size(now_s)
        parts.balancer.set_live(live)
        parts.claims.set_live_instances(fleet_size, now_s)
        parts.probe_task.scheduler.set_instances(live, fleet_size, now_s)
        parts.dispatcher.update_capacity_shares(len(live))
        self._judge_confirmation()

    def _judge_confirmation(self) -> None:
        can_start_attempts = (
            self.parts.reader.knows_configuration
            and self.parts.membership.can_start_attempts()
        )
        if can_start_attempts != self._can_start_attempts:
            self._can_start_attempts = can_start_attempts
            LOG.info("new work", allowed=can_start_attempts)
            self.parts.dispatcher.allow_attempts(can_start_attempts)
        leaving = self._leaving.is_set()
        self.parts.dispatcher.set_ready(can_start_attempts and not leaving)

    async def _leave(self, serving: asyncio.Future) -> None:
        LOG.info("leaving")
        self._leaving.set()
        self.parts.dispatcher.start_leaving()
        await self.parts.membership.leave()
        await asyncio.sleep(self.settings.callers.leave_lag_ms / MS_PER_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._leave_limit_s()):
                await self._wait_idle()
        self._server.should_exit = True
        await serving
        LOG.info("left")

    def _leave_limit_s(self) -> float:
        """Return how long the last calls and the records of them may take."""
        longest_ms = longest_deadline_ms(self.parts.reader.configuration)
        return longest_ms / MS_PER_S + RECORD_LIMIT_S

    async def _wait_idle(self) -> None:
        parts = self.parts
        while not (parts.dispatcher.idle() and parts.claims.idle):
            await asyncio.sleep(IDLE_POLL_S)

    async def _close(self) -> None:
        self.parts.link.transport.close()
        await self.parts.client.close()
        await self.parts.session.close()


def targets_in_use(configuration: Configuration) -> list[str]:
    """Return the targets that operators let take new work; only these are probed."""
    return [
        target.target_id
        for service in configuration.services.values()
        for target in service.targets
        if target.state is TargetState.ACTIVE
        and configuration.zone_state(target.zone) is ZoneState.IN
    ]


def _create_caller_server(settings: Settings, parts: Parts) -> uvicorn.Server:
    app = create_app(parts.dispatcher, settings.callers.body_limit_bytes)
    return _CallerServer(create_server_config(app))


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    try:
        return socket.create_server((host, int(port)), backlog=BACKLOG_CONNECTIONS)
    except OSError as error:
        raise AddressError("callers", address, str(error)) from error


async def run_node(settings: Settings) -> None:
    """Run an instance with these settings until it has left."""
    await Node(settings, create_parts(settings)).run()
