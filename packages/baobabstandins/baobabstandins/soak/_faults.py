"""Inject faults into a running fleet."""

import asyncio
import signal
import time

from baobabstandins.soak._announcements import (
    AnnouncedLeaving,
    AnnouncedLimit,
    Announcement,
)
from baobabstandins.soak._checks import Disturbance
from baobabstandins.soak._crashes import send_crashing_calls
from baobabstandins.soak._fleet import FEES_RULE, MENU_RULE, SERVICES, ZONES, SoakFleet
from baobabstandins.soak._plan import Fault, FaultKind
from baobabstandins.soak._proxy import LinkFaults
from baobabstandins.usersplatform import StandinTarget, TargetFault
from baobabstandins.usersplatform.cut_entry import (
    LinkMode,
    apply_links,
    write_links,
)

STORE_TOPICS = frozenset({"keyed.op", "keyed.servers", "keyed.instances"})
LINK_DELAY_S = 0.3
# A process that has just been started or resumed may still lose calls.
DISTURBANCE_MARGIN_S = 1.0
# Values of limits in requests a second, and of wait times in seconds.
LIMITS = ("0.5", "1", "2.5", "6")
PAUSES = ("0.8", "1.5", "2")
# A target that wants pauses refuses calls for this long.
REFUSAL_S = 0.3
# The store is away for this long before it comes back from an older copy.
STORE_ABSENCE_S = 0.3
PUBLICATION_INTERVAL_S = 0.3
# Operators and targets write again this long after its return.
REWRITE_DELAY_S = 0.7
RESTART_DELAY_S = 1.0
CUT_MODES = (LinkMode.SILENT, LinkMode.RESET, LinkMode.NEW_REFUSED)
TARGET_FAULTS = (
    TargetFault.RESET_AFTER_RUN,
    TargetFault.EXTRA_ANSWER_FIRST,
    TargetFault.CUT_SHORT,
    TargetFault.SHED,
    TargetFault.FAIL,
)


class FaultInjector:
    """Start and end the faults of a plan, which may overlap."""

    def __init__(self, fleet: SoakFleet) -> None:
        self.fleet = fleet
        self.disturbances: list[Disturbance] = []
        self.announcements: list[Announcement] = []
        self._disturbed_instances: set[int] = set()
        self._cut_instances: set[int] = set()
        self._ending_targets: set[str] = set()
        self._limits: dict[str, AnnouncedLimit] = {}
        self._is_store_returning = False
        # Times of the crashes by the path of the calls that caused them.
        self.crashes: dict[str, list[float]] = {}
        self._restarts: set[asyncio.Task] = set()

    async def run(self, plan: tuple[Fault, ...]) -> None:
        """Inject the faults of a plan until the last one has ended."""
        started_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in plan:
                group.create_task(self._inject(fault, started_s))

    async def _inject(self, fault: Fault, started_s: float) -> None:
        await asyncio.sleep(started_s + fault.at_s - time.monotonic())
        duration_s = fault.until_s - fault.at_s
        kind = fault.kind.value
        if kind.startswith("store"):
            await self._disturb_store(fault, duration_s)
        elif kind.startswith("target"):
            await self._disturb_target(fault, duration_s)
        elif fault.kind is FaultKind.LINKS_CUT:
            await self._cut_links(fault, duration_s)
        elif fault.kind is FaultKind.CRASHING_CALLS:
            await self._crash_targets(fault, duration_s)
        elif kind.startswith("instance"):
            await self._disturb_instance(fault, duration_s)
        else:
            await self._disturb_fleet(fault, duration_s)

    async def _disturb_store(self, fault: Fault, duration_s: float) -> None:
        store = self.fleet.store
        links = self.fleet.store_links
        link = links[fault.selector % len(links)]
        match fault.kind:
            case FaultKind.STORE_DOWN:
                store.down = True
                await asyncio.sleep(duration_s)
                store.down = False
            case FaultKind.STORE_SILENT:
                store.silent_topics = set(STORE_TOPICS)
                await asyncio.sleep(duration_s)
                store.silent_topics = set()
            case FaultKind.STORE_RETURNS:
                await self._return_store(duration_s)
            case FaultKind.STORE_FORGETS:
                store.expired_topics = set(STORE_TOPICS)
            case FaultKind.STORE_CUT:
                link.reset()
                await _apply_link_faults(
                    link.faults, duration_s, refuse_connections=True
                )
            case FaultKind.STORE_SLOW:
                await _apply_link_faults(link.faults, duration_s, delay_s=LINK_DELAY_S)
            case FaultKind.STORE_ANSWERS_LOST:
                await _apply_link_faults(link.faults, duration_s, drop_responses=True)

    async def _return_store(self, copy_age_s: float) -> None:
        """Let the store come back from a copy, unless it does so already."""
        if self._is_store_returning:
            return
        self._is_store_returning = True
        store = self.fleet.store
        copy = store.take_copy()
        zones_out_before = set(self.fleet.zones_out)
        lost_until_s = time.monotonic() + copy_age_s
        while time.monotonic() < lost_until_s:
            self.fleet.publish([MENU_RULE, FEES_RULE], list(SERVICES))
            await asyncio.sleep(PUBLICATION_INTERVAL_S)
        store.down = True
        await asyncio.sleep(STORE_ABSENCE_S)
        store.return_from_copy(copy)
        store.down = False
        await asyncio.sleep(REWRITE_DELAY_S)
        self.fleet.write_again(zones_out_before)
        self._is_store_returning = False

    async def _crash_targets(self, fault: Fault, duration_s: float) -> None:
        """Send calls that crash targets, which start again a moment later."""
        path = f"/menu/crash-{fault.selector}"
        crashes = self.crashes.setdefault(path, [])
        for target in self.fleet.targets:
            target.on_crash = lambda target=target: self._on_crash(target, crashes)
        self.fleet.crashing_paths.add(path)
        await send_crashing_calls(self.fleet, path, duration_s, fault.selector)
        if self._restarts:
            await asyncio.wait(self._restarts)

    def _on_crash(self, target: StandinTarget, crashes: list[float]) -> None:
        crashes.append(time.time())
        restart = asyncio.ensure_future(self._restart_target(target))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart_target(self, target: StandinTarget) -> None:
        await self.fleet.target_links[target.target_id].stop()
        if target.target_id in self._ending_targets:
            # Another fault starts it again.
            return
        await self._crash(target, RESTART_DELAY_S)

    async def _disturb_target(self, fault: Fault, duration_s: float) -> None:
        target = self.fleet.targets[fault.selector % len(self.fleet.targets)]
        link = self.fleet.target_links[target.target_id]
        match fault.kind:
            case FaultKind.TARGET_RESET:
                link.reset()
            case FaultKind.TARGET_ANSWERS_LOST:
                await _apply_link_faults(link.faults, duration_s, drop_responses=True)
            case FaultKind.TARGET_REQUESTS_LOST:
                await _apply_link_faults(link.faults, duration_s, drop_requests=True)
            case FaultKind.TARGET_SLOW:
                await _apply_link_faults(link.faults, duration_s, delay_s=LINK_DELAY_S)
            case FaultKind.TARGET_FAILS:
                target.fault = TARGET_FAULTS[fault.selector % len(TARGET_FAULTS)]
                await asyncio.sleep(duration_s)
                target.fault = TargetFault.NONE
            case FaultKind.TARGET_CRASH:
                await self._crash(target, duration_s)
            case FaultKind.TARGET_LIMITED:
                await self._limit(
                    target, LIMITS[fault.selector % len(LIMITS)], duration_s
                )
            case FaultKind.TARGET_LEAVING:
                await self._leave(target, duration_s)
            case FaultKind.TARGET_WANTS_PAUSES:
                await self._pause_calls(target, PAUSES[fault.selector % len(PAUSES)])

    async def _crash(self, target: StandinTarget, duration_s: float) -> None:
        if target.target_id in self._ending_targets:
            return
        self._ending_targets.add(target.target_id)
        await target.stop()
        self._end_limit(target)
        await asyncio.sleep(duration_s)
        await self.fleet.start_target(target)
        self._ending_targets.discard(target.target_id)

    async def _limit(
        self, target: StandinTarget, value: str, duration_s: float
    ) -> None:
        """Let a target name a limit, unless it names one already."""
        if target.target_id in self._limits or target.target_id in self._ending_targets:
            return
        limit = AnnouncedLimit(target.target_id, float(value), time.time())
        self.announcements.append(limit)
        self._limits[target.target_id] = limit
        target.limit = value
        await asyncio.sleep(duration_s)
        if self._limits.get(target.target_id) is limit:
            self._end_limit(target)

    def _end_limit(self, target: StandinTarget) -> None:
        limit = self._limits.pop(target.target_id, None)
        if limit is not None:
            limit.until_s = time.time()
            target.limit = None

    async def _leave(self, target: StandinTarget, duration_s: float) -> None:
        """Let a target say that it is leaving, end it, and start it anew.

        Its registration stays as that of a target in use.
        """
        if target.target_id in self._ending_targets:
            return
        self._ending_targets.add(target.target_id)
        leaving = AnnouncedLeaving(target.target_id, time.time())
        self.announcements.append(leaving)
        target.leaving = "1"
        await asyncio.sleep(duration_s)
        await target.stop()
        leaving.until_s = time.time()
        target.leaving = None
        self._end_limit(target)
        await self.fleet.start_target(target)
        self._ending_targets.discard(target.target_id)

    async def _pause_calls(self, target: StandinTarget, value: str) -> None:
        """Let a target refuse calls for a moment and state a wait time."""
        if target.retry_after is not None or target.fault is not TargetFault.NONE:
            return
        target.retry_after = value
        target.fault = TargetFault.SHED
        await asyncio.sleep(REFUSAL_S)
        target.fault = TargetFault.NONE

    async def _cut_links(self, fault: Fault, duration_s: float) -> None:
        """Cut an instance off from all targets, unless it is cut off already."""
        number = fault.selector % len(self.fleet.instances)
        if number in self._cut_instances:
            return
        self._cut_instances.add(number)
        self._set_links(number, CUT_MODES[fault.selector // 10 % len(CUT_MODES)])
        await asyncio.sleep(duration_s)
        self._set_links(number, LinkMode.SOUND)
        self._cut_instances.discard(number)

    def _set_links(self, number: int, mode: LinkMode) -> None:
        """Change an instance's links, at the end of a restart if it is in one."""
        instance = self.fleet.instances[number]
        write_links(instance, mode)
        if number not in self._disturbed_instances:
            apply_links(instance)

    async def _disturb_instance(self, fault: Fault, duration_s: float) -> None:
        number = fault.selector % len(self.fleet.instances)
        if number in self._disturbed_instances:
            return
        match fault.kind:
            case FaultKind.INSTANCE_KILLED:
                await self._restart(number, signal.SIGKILL)
            case FaultKind.INSTANCE_ENDED:
                await self._restart(number, signal.SIGTERM)
            case FaultKind.INSTANCE_PAUSED:
                await self._pause(number, duration_s)

    async def _disturb_fleet(self, fault: Fault, duration_s: float) -> None:
        match fault.kind:
            case FaultKind.ALL_KILLED:
                available = (
                    set(range(len(self.fleet.instances))) - self._disturbed_instances
                )
                await asyncio.gather(
                    *(self._restart(n, signal.SIGKILL) for n in available)
                )
            case FaultKind.CLOCK_JUMP:
                number = fault.selector % len(self.fleet.instances)
                if number not in self._disturbed_instances:
                    self.fleet.instances[number].send_signal(signal.SIGUSR1)
            case FaultKind.CONFIGURATION:
                self.fleet.publish([MENU_RULE, FEES_RULE], list(SERVICES))
            case FaultKind.ZONE_OUT:
                zone = ZONES[fault.selector % len(ZONES)]
                if self.fleet.zones_out:
                    return
                self.fleet.zones_out.add(zone)
                self.fleet.set_zone_out(zone)
                await asyncio.sleep(duration_s)
                self.fleet.set_zone_in(zone)
                self.fleet.zones_out.discard(zone)

    async def _restart(self, number: int, stop_signal: signal.Signals) -> None:
        self._disturbed_instances.add(number)
        from_s = time.time()
        instance = self.fleet.instances[number]
        instance.send_signal(stop_signal)
        await self.fleet.restart(number)
        while not await self.fleet.is_ready(instance):
            await asyncio.sleep(0.05)
        self._record_disturbance(number, from_s)
        self._disturbed_instances.discard(number)

    async def _pause(self, number: int, duration_s: float) -> None:
        self._disturbed_instances.add(number)
        from_s = time.time()
        instance = self.fleet.instances[number]
        instance.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        instance.send_signal(signal.SIGCONT)
        self._record_disturbance(number, from_s)
        self._disturbed_instances.discard(number)

    def _record_disturbance(self, number: int, from_s: float) -> None:
        apply_links(self.fleet.instances[number])
        to_s = time.time() + DISTURBANCE_MARGIN_S
        self.disturbances.append(Disturbance(number, from_s, to_s))


async def _apply_link_faults(
    faults: LinkFaults, duration_s: float, **changes: object
) -> None:
    """Set faults of a link for a while, then reset them to their defaults."""
    for name, value in changes.items():
        setattr(faults, name, value)
    await asyncio.sleep(duration_s)
    defaults = LinkFaults()
    for name in changes:
        setattr(faults, name, getattr(defaults, name))
