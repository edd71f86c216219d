"""Inject faults into a running fleet."""

import asyncio
import signal
import time

from baobabstandins.soak._checks import Disturbance
from baobabstandins.soak._fleet import FEES_RULE, MENU_RULE, SERVICES, ZONES, SoakFleet
from baobabstandins.soak._plan import Fault, FaultKind
from baobabstandins.soak._proxy import LinkFaults
from baobabstandins.usersplatform import StandinTarget, TargetFault

STORE_TOPICS = frozenset({"keyed.op", "keyed.servers", "keyed.instances"})
LINK_DELAY_S = 0.3
# A process that has just been started or resumed may still lose calls.
DISTURBANCE_MARGIN_S = 1.0
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
        self._disturbed_instances: set[int] = set()

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

    async def _crash(self, target: StandinTarget, duration_s: float) -> None:
        await target.stop()
        await asyncio.sleep(duration_s)
        await self.fleet.start_target(target)

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
