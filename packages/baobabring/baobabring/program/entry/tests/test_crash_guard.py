"""Test that calls of requests that crash targets are refused on every way."""

import asyncio
from dataclasses import replace

import pytest

from baobabring.connections import ConnectError
from baobabring.entry import (
    AttemptAnswered,
    AttemptLost,
    CallProblem,
    CrashSuspects,
    Delivered,
    FleetShares,
    NotRun,
    ProbeFailure,
    ServiceReachability,
    TargetResponse,
    Undetermined,
    digest_request,
)
from baobabring.entry.tests.builders import build_call, build_target
from baobabring.program.entry._crash_guard import CrashGuard
from baobabring.program.entry._crash_observer import CrashObserver
from baobabring.program.entry._forwarder import Forwarder
from baobabring.program.entry._progress import CallProgress
from baobabring.program.entry.tests.fakes import StepClock

ANSWER = AttemptAnswered(TargetResponse(200, (), b"", None))
LOST = AttemptLost(CallProblem.CONNECTION_LOST)


class FakeOffer:
    """Offer that is late enough for no hedge."""

    finish_ms = 1.0


class FakeAssignment:
    """Assignment to some target."""

    offer = FakeOffer()


class FakeChooser:
    """Assign each call; `on_choose` is called while it waits."""

    def __init__(self) -> None:
        self.on_choose = lambda: None
        self.released: list[FakeAssignment] = []

    async def choose(self, progress: CallProgress) -> FakeAssignment:
        """Return an assignment."""
        self.on_choose()
        return FakeAssignment()

    def release(self, assignment: FakeAssignment) -> None:
        """Record an assignment that was not used."""
        self.released.append(assignment)


class FakeAttempts:
    """End each attempt with the next of the prepared ends."""

    def __init__(self) -> None:
        self.ends = [ANSWER]
        self.count = 0
        self.on_run = lambda: None

    async def run(self, progress: CallProgress, assignment: FakeAssignment):
        """Return the next end."""
        progress.tried_targets.append(f"t-{self.count}")
        progress.sent = progress.may_have_run = True
        self.count += 1
        self.on_run()
        return self.ends.pop(0)


class FakeBudget:
    """Allow each retry."""

    def record_first_attempt(self, service_id: str, now_s: float) -> None:
        """Ignore the attempt."""

    def try_spend_retry(self, service_id: str, now_s: float) -> bool:
        """Allow the retry."""
        return True


class FakePool:
    """Refuse connections, or accept them."""

    def __init__(self, refuses: bool = True) -> None:
        self.refuses = refuses
        self.opened = 0

    def close_idle_to(self, address: str) -> None:
        """Have no connections."""

    def return_connection(self, address: str, connection: object) -> None:
        """Forget the connection."""

    async def open(self, address: str, timeout_s: float) -> object:
        """Return a connection unless the target refuses it."""
        self.opened += 1
        await asyncio.sleep(0)
        if self.refuses:
            raise ConnectError(address)
        return object()


class FakePauses:
    """Know one target that is leaving."""

    leaving_id: str | None = None

    def is_leaving(self, target) -> bool:
        """Return whether the target is the one that leaves."""
        return target.target_id == self.leaving_id


@pytest.fixture
def clock() -> StepClock:
    """Return a clock."""
    return StepClock()


@pytest.fixture
def guard(clock) -> CrashGuard:
    """Return the guard of an instance."""
    return CrashGuard(CrashSuspects(), FleetShares("i-0"), clock)


@pytest.fixture
def forwarder(guard, clock) -> Forwarder:
    """Return a forwarder with fakes around it."""
    return Forwarder(
        FakeChooser(), FakeAttempts(), None, None, FakeBudget(), guard, clock
    )


def build_progress(path: str = "/menu/crash") -> CallProgress:
    """Return a call that arrives now."""
    call = build_call(arrived_at_s=100.0)
    return CallProgress(replace(call, path=path))


def crash(guard: CrashGuard, count: int, first: int = 0) -> None:
    """Let targets end under the request."""
    call = build_progress().call
    for number in range(first, first + count):
        guard.record_crash(call, build_target(f"t-{number}"), guard.clock.now_s())


async def test_blocked_request_is_refused_at_once_as_not_run(forwarder, guard):
    crash(guard, 3)
    outcome = await forwarder.forward(build_progress())
    assert outcome == NotRun(CallProblem.CRASHES_TARGETS, 110.0)
    assert not forwarder.attempts.count


async def test_other_requests_are_served(forwarder, guard):
    crash(guard, 3)
    assert isinstance(await forwarder.forward(build_progress("/menu/1")), Delivered)


async def test_request_that_is_blocked_while_it_waits_is_not_sent(forwarder, guard):
    forwarder.chooser.on_choose = lambda: crash(guard, 3)
    outcome = await forwarder.forward(build_progress())
    assert outcome.problem is CallProblem.CRASHES_TARGETS
    assert not forwarder.attempts.count
    assert len(forwarder.chooser.released) == 1


async def test_request_that_crashed_two_targets_is_not_retried(forwarder, guard):
    crash(guard, 1)
    forwarder.attempts.ends = [LOST, ANSWER]
    forwarder.attempts.on_run = lambda: crash(guard, 1, first=1)
    outcome = await forwarder.forward(build_progress())
    assert outcome == Undetermined(CallProblem.CONNECTION_LOST)
    assert forwarder.attempts.count == 1


async def test_call_that_lost_its_first_target_is_retried(forwarder, guard):
    forwarder.attempts.ends = [LOST, ANSWER]
    forwarder.attempts.on_run = lambda: crash(guard, 1)
    assert isinstance(await forwarder.forward(build_progress()), Delivered)
    assert forwarder.attempts.count == 2
    assert not guard.suspects.crash_count(digest_request(build_progress().call))


async def test_call_that_may_have_run_is_not_refused_as_not_run(forwarder, guard):
    forwarder.attempts.ends = [LOST]
    forwarder.attempts.on_run = lambda: crash(guard, 3)
    outcome = await forwarder.forward(build_progress())
    assert outcome == Undetermined(CallProblem.CONNECTION_LOST)


async def test_served_request_is_no_longer_blocked(forwarder, guard, clock):
    crash(guard, 3)
    clock.at_s += 10.0
    progress = build_progress()
    progress.call = replace(progress.call, deadline_s=clock.at_s + 1.0)
    assert isinstance(await forwarder.forward(progress), Delivered)
    assert not guard.suspects.is_blocked(digest_request(progress.call))


@pytest.fixture
def observer(guard, clock) -> CrashObserver:
    """Return an observer of targets that refuse connections."""
    return CrashObserver(FakePool(), FakePauses(), ServiceReachability(), guard, clock)


async def lose_calls(observer: CrashObserver, *target_ids: str) -> int:
    """Lose a call at each target; return the crashes that are counted."""
    call = build_progress().call
    for target_id in target_ids:
        observer.on_connection_lost(call, build_target(target_id), 99.0)
    while observer._tasks:
        await asyncio.sleep(0)
    return observer.guard.suspects.crash_count(digest_request(call))


async def test_target_that_refuses_connections_has_ended(observer):
    assert await lose_calls(observer, "t-1", "t-2", "t-1") == 2
    assert observer.pool.opened == 2


async def test_target_that_takes_connections_has_only_lost_a_response(observer):
    observer.pool.refuses = False
    assert await lose_calls(observer, "t-1", "t-2") == 0


async def test_target_that_was_leaving_has_not_crashed(observer):
    observer.pauses.leaving_id = "t-1"
    assert await lose_calls(observer, "t-1", "t-2") == 1


async def test_instance_that_reaches_no_service_blames_no_request(observer):
    reachability = observer.reachability
    reachability.keep_services(["a"])
    not_connected = ProbeFailure.NOT_CONNECTED
    assert reachability.record_failure("a", "t-1", not_connected, {"t-1"}, 1.0)
    assert await lose_calls(observer, "t-1", "t-2") == 0
