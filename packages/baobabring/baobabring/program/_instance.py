"""Start, operation and graceful shutdown of an instance."""

import asyncio
import contextlib
import signal
import socket
from collections.abc import Coroutine

import logbook
import uvicorn
import zmq

from baobabring.callers import create_app
from baobabring.calls import get_longest_deadline_ms
from baobabring.model import Configuration, TargetState, ZoneState
from baobabring.operators import create_operators_server, read_certificates
from baobabring.program._control_plane import InstanceControlPlane
from baobabring.program._metrics import REVISION
from baobabring.program._parts import Parts, create_parts
from baobabring.serving import create_server_config
from baobabring.settings import Settings

LOG = logbook.Logger("node")

VIEW_UPDATE_INTERVAL_S = 0.1
IDLE_POLL_INTERVAL_S = 0.02
# Time to append the records of the last calls after their deadlines.
RECORD_APPEND_MARGIN_S = 30.0
RPC_GRACE_S = 1.0
MS_PER_S = 1_000
BACKLOG_CONNECTIONS = 2_048


class AddressError(Exception):
    """Report an address of the settings that can't be listened on."""

    def __init__(self, section: str, address: str, problem: str) -> None:
        super().__init__(f"[{section}] address = {address!r}: {problem}")


class _CallerServer(uvicorn.Server):
    """Serve callers, and leave signals to the instance runner."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Leave the signal handlers unchanged."""
        yield


class InstanceRunner:
    """Run the parts of an instance until it is asked to shut down."""

    def __init__(self, settings: Settings, parts: Parts) -> None:
        self.settings = settings
        self.parts = parts
        self._shutdown_requested = asyncio.Event()
        self._can_start_attempts = False
        self._server = _create_caller_server(settings, parts)

    async def run(self) -> None:
        """Serve until a signal arrives or a task fails, then shut down gracefully."""
        self._connect()
        listener = _listen(self.settings.callers.address)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._shutdown_requested.set)
        operators_server = self._create_operators_server()
        await operators_server.start()
        tasks = asyncio.ensure_future(self._run_tasks())
        serving = asyncio.ensure_future(self._server.serve([listener]))
        shutdown_requested = asyncio.ensure_future(self._shutdown_requested.wait())
        await asyncio.wait(
            (tasks, serving, shutdown_requested), return_when=asyncio.FIRST_COMPLETED
        )
        failure = tasks.exception() if tasks.done() else None
        if failure is not None:
            LOG.error("task failed", failure=repr(failure))
        await self._shut_down(serving)
        shutdown_requested.cancel()
        tasks.cancel()
        await asyncio.gather(tasks, return_exceptions=True)
        await operators_server.stop(RPC_GRACE_S)
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
        parts.claims_task.set_event_handler(parts.dispatcher.apply_claim_events)
        parts.dispatcher.set_claims_flush(parts.claims_task.flush)
        parts.reader.add_listener(self._on_configuration)
        if self.settings.peers.key_file is None:
            LOG.warning("peers are not authenticated; set [peers] key_file")
        if self.settings.operators.authority_file is None:
            LOG.warning(
                "operators are not authenticated; set [operators] authority_file"
            )

    def _create_operators_server(self):
        parts = self.parts
        control_plane = InstanceControlPlane(
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
            parts.membership.run_list_updates(),
            parts.membership.run_heartbeats(),
            parts.claims_task.run(),
            parts.cold_start_task.read(),
            parts.cold_start_task.propose(),
            parts.probe_task.run(),
            self._tick(),
        )

    def _on_configuration(self, configuration: Configuration) -> None:
        parts = self.parts
        now_s = parts.clock.now_s()
        parts.balancer.configure(configuration, now_s)
        parts.dispatcher.configure(configuration)
        parts.probe_task.scheduler.set_targets(get_active_targets(configuration), now_s)
        REVISION.set(configuration.revision)

    async def _tick(self) -> None:
        parts = self.parts
        view_due_at_s = 0.0
        while True:
            now_s = parts.clock.now_s()
            if now_s >= view_due_at_s:
                view_due_at_s = now_s + VIEW_UPDATE_INTERVAL_S
                self._apply_view()
            parts.claims_task.tick()
            parts.dispatcher.tick()
            parts.sharing_task.tick()
            await parts.dispatcher.wait_for_tick()

    def _apply_view(self) -> None:
        """Pass the view of the fleet to the parts that divide work or limits by it."""
        parts = self.parts
        now_s = parts.clock.now_s()
        live = parts.membership.get_live_instances()
        fleet_size = parts.membership.membership.get_fleet_size(now_s)
        parts.balancer.set_live(live)
        parts.claims.set_live_instances(fleet_size, now_s)
        parts.probe_task.scheduler.set_instances(live, fleet_size, now_s)
        parts.dispatcher.update_capacity_shares(len(live))
        self._update_readiness()

    def _update_readiness(self) -> None:
        can_start_attempts = (
            self.parts.reader.has_configuration
            and self.parts.membership.can_start_attempts()
        )
        if can_start_attempts != self._can_start_attempts:
            self._can_start_attempts = can_start_attempts
            LOG.info("attempt permission changed", allowed=can_start_attempts)
            self.parts.dispatcher.allow_attempts(can_start_attempts)
        shutdown_requested = self._shutdown_requested.is_set()
        self.parts.dispatcher.set_ready(can_start_attempts and not shutdown_requested)

    async def _shut_down(self, serving: asyncio.Future) -> None:
        LOG.info("shutting down")
        self._shutdown_requested.set()
        self.parts.dispatcher.start_shutdown()
        await self.parts.membership.announce_leaving()
        await asyncio.sleep(self.settings.callers.leave_lag_ms / MS_PER_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._drain_timeout_s()):
                await self._wait_until_idle()
        self._server.should_exit = True
        await serving
        LOG.info("stopped")

    def _drain_timeout_s(self) -> float:
        """Return how long the last calls and the appends of their records may take."""
        longest_ms = get_longest_deadline_ms(self.parts.reader.configuration)
        return longest_ms / MS_PER_S + RECORD_APPEND_MARGIN_S

    async def _wait_until_idle(self) -> None:
        parts = self.parts
        while not (parts.dispatcher.is_idle() and parts.claims.is_idle):
            await asyncio.sleep(IDLE_POLL_INTERVAL_S)

    async def _close(self) -> None:
        self.parts.link.transport.close()
        await self.parts.client.close()
        await self.parts.session.close()


def get_active_targets(configuration: Configuration) -> list[str]:
    """Return the active targets in zones that are in; only these are probed."""
    return [
        target.target_id
        for service in configuration.services.values()
        for target in service.targets
        if target.state is TargetState.ACTIVE
        and configuration.get_zone_state(target.zone) is ZoneState.IN
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


async def run_instance(settings: Settings) -> None:
    """Run an instance with these settings until it has shut down."""
    await InstanceRunner(settings, create_parts(settings)).run()
