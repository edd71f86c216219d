"""Test which waiting call gets a slot under overload with calls of all priorities."""

import asyncio
from random import Random

import pytest

from baobabring.entry import (
    Admission,
    ColdStartLimiter,
    FleetShares,
    ProbeRateBudget,
    RankerSettings,
    RefuseCall,
    TargetGate,
    TargetLimits,
    TargetPauses,
    TargetRanker,
    TargetRateLimiter,
    TargetTable,
    WorkEstimates,
)
from baobabring.entry.tests.builders import (
    build_call,
    build_configuration,
    build_report,
    build_route,
    build_target,
)
from baobabring.program.entry._prober import ProbeResponse
from baobabring.program.entry._progress import CallProgress
from baobabring.program.entry._wait_queue import WaitQueue
from baobabring.program.entry.tests.fakes import LoopClock


class FakeProber:
    """Fake prober whose targets are full until `free` is set."""

    def __init__(self) -> None:
        self.free = False
        self.released = 0

    async def probe(self, records, health_path):
        """Return a response of each target."""
        running = 0 if self.free else 2
        waiting = 0 if self.free else 12
        return [
            ProbeResponse(
                build_report(
                    record.target.target_id,
                    running,
                    waiting,
                    probed_at_s=LoopClock().now_s(),
                ),
                record.target.address,
                None,
            )
            for record in records
        ]

    def release(self, response) -> None:
        """Count the unused responses."""
        self.released += 1


@pytest.fixture
def queue():
    """Return a wait queue for one target with two slots."""
    target_table = TargetTable("i-1", "north")
    target_table.set_targets([build_target()], (), 0.0)
    rng = Random(1)
    shares = FleetShares("i-1")
    ranker = TargetRanker(
        "north",
        RankerSettings(),
        target_table,
        WorkEstimates(),
        ColdStartLimiter(shares),
        TargetGate(TargetRateLimiter(TargetLimits(), shares), TargetPauses(Random(1))),
        rng,
    )
    ranker.configuration = build_configuration()
    probe_budget = ProbeRateBudget(60.0)
    return WaitQueue(ranker, Admission(rng), FakeProber(), probe_budget, LoopClock())


def progress(priority: int) -> CallProgress:
    """Return the progress of a call that has just arrived."""
    route = build_route(priority=priority, latency_goal_ms=2_000.0)
    now_s = asyncio.get_running_loop().time()
    return CallProgress(build_call(route, now_s, wait_s=5.0))


async def test_urgent_call_that_arrived_later_gets_slot_first(queue):
    not_urgent = asyncio.ensure_future(queue.wait(progress(2), frozenset()))
    await asyncio.sleep(0.03)
    urgent = asyncio.ensure_future(queue.wait(progress(0), frozenset()))
    await asyncio.sleep(0.03)
    assert not not_urgent.done() and not urgent.done()
    queue.prober.free = True
    done, _ = await asyncio.wait(
        [not_urgent, urgent], return_when=asyncio.FIRST_COMPLETED
    )
    assert done == {urgent}
    await not_urgent


async def test_progress_keeps_offers_after_refusal_of_waiting_call(queue):
    waiting = progress(2)
    decision = await queue.wait(waiting, frozenset())
    assert isinstance(decision, RefuseCall)
    assert waiting.waited
    assert waiting.offers[0].target_id == "t-1"
    assert not waiting.offers[0].has_free_slot


async def test_cancelled_call_is_removed_from_queue(queue):
    waiting = asyncio.ensure_future(queue.wait(progress(1), frozenset()))
    await asyncio.sleep(0.03)
    assert queue.has_calls_ahead_of(progress(2).call)
    waiting.cancel()
    await asyncio.wait([waiting])
    assert not queue.has_calls_ahead_of(progress(2).call)
