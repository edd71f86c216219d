"""An entry instance: its parts, its tasks, and how it leaves."""

import asyncio
import signal
from dataclasses import replace
from pathlib import Path
from random import Random

import logbook

from baobabring.connections import ConnectionPool
from baobabring.entry import (
    Admission,
    CallerLimits,
    ColdStartLimiter,
    EntrySettings,
    FleetLimits,
    ProbeRateBudget,
    RankerSettings,
    ReadSchedule,
    SharedView,
    TargetRanker,
    TargetTable,
    WorkEstimates,
)
from baobabring.peers import create_peer_transport
from baobabring.platform.store import StoreClient
from baobabring.program._peer_link import PeerLink
from baobabring.program.entry._announcements import Announcements
from baobabring.program.entry._app import (
    create_caller_app,
    create_metrics_app,
    create_ready_app,
)
from baobabring.program.entry._call_task import CallTask
from baobabring.program.entry._failure_notices import FailureNotices
from baobabring.program.entry._forwarder import Forwarder
from baobabring.program.entry._metrics import TARGETS, VIEW_AGE
from baobabring.program.entry._peer_task import PeerTask
from baobabring.program.entry._server import HttpServer
from baobabring.program.entry._settings_task import SettingsTask
from baobabring.program.entry._view_task import ViewTask
from baobabring.retries import RetryBudget, RetrySettings
from baobabring.utils import RunningClock

LOG = logbook.Logger("instance")

METRICS_PORT = 9_100
HOUSEKEEPING_S = 1.0
# The platform's balancer sends connections until it has missed two answers.
BALANCER_LAG_S = 3.0
SHUTDOWN_MARGIN_S = 0.8
LEAVE_POLL_S = 0.05
IDLE_TIMEOUT_MARGIN_S = 3.0
MS_PER_S = 1_000
# What is saved up and what is earned in one window make up the allowance.
RETRY_BURST_SHARE = 0.6
RETRY_FLOOR_SHARE = 0.4
RETRY_PLANNED_SHARE = 0.85


class EntryInstance:
    """Own the parts and the tasks of an entry instance."""

    def __init__(self, settings: EntrySettings, path: Path, rng: Random) -> None:
        self.settings = settings
        self.settings_task = SettingsTask(path, settings, self._apply_settings)
        self.clock = RunningClock()
        self.link = PeerLink(create_peer_transport(settings.peer_address, None))
        now_s = self.clock.now_s()
        self.shared = SharedView(settings.instance_id, settings.peer_address)
        self.schedule = ReadSchedule(settings.instance_id, now_s)
        self.store = StoreClient(settings.store_address, ConnectionPool())
        self.target_table = TargetTable(settings.instance_id, settings.zone)
        self.notices = FailureNotices(self.target_table, self.clock)
        self.budget = ProbeRateBudget(settings.limits.probes_per_target_s)
        announcements = Announcements(
            settings.instance_id, settings.peer_address, self.store, self.clock
        )
        self.peers = PeerTask(
            settings.instance_id,
            settings.peer_address,
            announcements,
            self.link,
            self.budget,
            self.notices,
            self.clock,
        )
        self.peers.is_reader = lambda: self.schedule.is_reader
        self.view_task = ViewTask(
            self.shared, self.schedule, self.store, self.link, self.peers, self.clock
        )
        self.cold_start_limiter = ColdStartLimiter(settings.instance_id)
        self.ranker = TargetRanker(
            settings.zone,
            RankerSettings(),
            self.target_table,
            WorkEstimates(),
            self.cold_start_limiter,
            rng,
        )
        self.retry_budget = RetryBudget(retry_settings(settings.limits, 1))
        self.pool = ConnectionPool()
        forwarder = Forwarder(
            self.ranker,
            Admission(rng),
            self.retry_budget,
            self.notices,
            self.budget,
            self.pool,
            self.clock,
        )
        self.calls = CallTask(self.shared, forwarder, self.clock, rng)
        self.callers = HttpServer(
            create_caller_app(self.calls), settings.caller_address
        )
        self.readiness = HttpServer(
            create_ready_app(self.calls), settings.ready_address
        )
        self.metrics = HttpServer(
            create_metrics_app(), f"{settings.metrics_host}:{METRICS_PORT}"
        )
        self._leaving = asyncio.Event()

    async def run(self) -> None:
        """Serve until a signal, then leave without cutting anything off."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._leaving.set)
        loop.add_signal_handler(signal.SIGHUP, self.settings_task.reload, "signal")
        self.link.start()
        self.view_task.add_listener(self._view_changed)
        self.peers.add_listener(self._instances_changed)
        for server in (self.callers, self.readiness, self.metrics):
            await server.start()
        LOG.info(
            "started",
            instance=self.settings.instance_id,
            zone=self.settings.zone,
            callers=self.settings.caller_address,
            store=self.settings.store_address,
        )
        tasks = asyncio.ensure_future(self._run_tasks())
        leaving = asyncio.ensure_future(self._leaving.wait())
        await asyncio.wait((tasks, leaving), return_when=asyncio.FIRST_COMPLETED)
        if tasks.done():
            tasks.result()
        await self._leave()
        tasks.cancel()
        await asyncio.gather(tasks, return_exceptions=True)
        LOG.info("stopped", instance=self.settings.instance_id)

    async def _run_tasks(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self.view_task.run())
            group.create_task(self.peers.run())
            group.create_task(self.settings_task.run())
            group.create_task(self._keep_house())

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            self.pool.close_idle()
            if self.shared.confirmed_at_s is not None:
                VIEW_AGE.set(self.clock.now_s() - self.shared.confirmed_at_s)

    def _view_changed(self) -> None:
        view = self.shared.view
        now_s = self.clock.now_s()
        if self.ranker.configuration is not view.configuration:
            self.ranker.configuration = view.configuration
            self.calls.configure(view.configuration)
            self._adopt_caller_limits(view.configuration.limits)
        gone = self.target_table.set_targets(
            view.targets.values(), view.zones_out, now_s
        )
        self.cold_start_limiter.remove_targets(gone)
        TARGETS.set(len(view.targets))
        self.budget.set_targets(len(view.targets))
        self._judge_readiness()

    def _adopt_caller_limits(self, limits: CallerLimits) -> None:
        idle_s = limits.idle_timeout_ms / MS_PER_S
        self.callers.set_keep_alive(idle_s + IDLE_TIMEOUT_MARGIN_S)
        self.callers.header_limits.limit_bytes = limits.header_limit_bytes
        self.callers.header_limits.timeout_s = limits.header_timeout_ms / MS_PER_S

    def _instances_changed(self) -> None:
        instances = self.peers.live()
        self.ranker.instances = len(instances)
        self.schedule.set_instances(instances)
        # Shares of what the fleet may do hold also while peers are only out of reach.
        known = self.peers.known()
        self.cold_start_limiter.set_instances(known)
        self.retry_budget.settings = retry_settings(self.settings.limits, len(known))

    def _judge_readiness(self) -> None:
        ready = self.shared.is_complete and not self._leaving.is_set()
        if ready != self.calls.ready:
            self.calls.ready = ready
            LOG.info("readiness", ready=ready, targets=len(self.shared.view.targets))

    def _apply_settings(self, settings: EntrySettings) -> None:
        """Take over limits; who the instance is and where it listens stays."""
        self.settings = replace(self.settings, limits=settings.limits)
        self.budget.probes_per_target_s = settings.limits.probes_per_target_s
        self._instances_changed()

    async def _leave(self) -> None:
        started_at_s = self.clock.now_s()
        limit_s = self.settings.limits.shutdown_ms / MS_PER_S - SHUTDOWN_MARGIN_S
        self.calls.leaving = True
        self._judge_readiness()
        LOG.info("leaving", calls=self.calls.in_progress)
        self.peers.leave()
        await asyncio.sleep(min(BALANCER_LAG_S, limit_s / 2))
        self.callers.close_listener()
        while self.clock.now_s() < started_at_s + limit_s:
            if not self.calls.in_progress and not self.callers.connections:
                break
            self.callers.close_idle()
            await asyncio.sleep(LEAVE_POLL_S)
        LOG.info("left", calls=self.calls.in_progress)


def retry_settings(limits: FleetLimits, instances: int) -> RetrySettings:
    """Return one instance's part of the repeats that the fleet may send."""
    slack = limits.retry_slack * RETRY_PLANNED_SHARE / instances
    return RetrySettings(
        retry_share=limits.retry_share * RETRY_PLANNED_SHARE,
        min_retries_per_s=slack
        * RETRY_FLOOR_SHARE
        / (limits.retry_window_ms / MS_PER_S),
        burst=max(1.0, slack * RETRY_BURST_SHARE),
    )
