"""Test who gets a slot among calls that wait: overload with urgent and other calls."""

import asyncio
from random import Random

import pytest

from baobabring.entry import (
    Admission,
    ColdStartLimiter,
    ProbeRateBudget,
    RankerSettings,
    RefuseCall,
    TargetRanker,
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
from baobabring.program.entry._prober import ProbeAnswer
from baobabring.program.entry._progress import CallProgress
from baobabring.program.entry._waiting import WaitQueue


class LoopClock:
    """Stand in for the clock with the loop's time."""

    def now_s(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()


class ScriptedProber:
    """Stand in for the prober; the one target is full until told otherwise."""

    def __init__(self) -> None:
        self.free = False
        self.released = 0

    async def probe(self, records, health_path):
        """Answer for each target."""
        running = 0 if self.free else 2
        waiting = 0 if self.free else 12
        return [
            ProbeAnswer(
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

    def release(self, answer) -> None:
        """Count answers that were not used."""
        self.released += 1


@pytest.fixture
def queue():
    """Return a queue on one target with two slots."""
    target_table = TargetTable("i-1", "north")
    target_table.set_targets([build_target()], (), 0.0)
    rng = Random(1)
    ranker = TargetRanker(
        "north",
        RankerSettings(),
        target_table,
        WorkEstimates(),
        ColdStartLimiter("i-1"),
        rng,
    )
    ranker.configuration = build_configuration()
    budget = ProbeRateBudget(60.0)
    return WaitQueue(ranker, Admission(rng), ScriptedProber(), budget, LoopClock())


def progress(priority: int) -> CallProgress:
    """Return a call of a priority that has just arrived."""
    route = build_route(priority=priority, latency_goal_ms=2_000.0)
    now_s = asyncio.get_running_loop().time()
    return CallProgress(build_call(route, now_s, wait_s=5.0))


async def test_urgent_call_that_came_later_gets_the_slot_first(queue):
    patient = asyncio.ensure_future(queue.wait(progress(2), frozenset()))
    await asyncio.sleep(0.03)
    urgent = asyncio.ensure_future(queue.wait(progress(0), frozenset()))
    await asyncio.sleep(0.03)
    assert not patient.done() and not urgent.done()
    queue.prober.free = True
    done, _ = await asyncio.wait([patient, urgent], return_when=asyncio.FIRST_COMPLETED)
    assert done == {urgent}
    await patient


async def test_refusal_after_a_wait_keeps_the_offers_that_decided_it(queue):
    waiting = progress(2)
    decision = await queue.wait(waiting, frozenset())
    assert isinstance(decision, RefuseCall)
    assert waiting.waited
    assert waiting.offers[0].target_id == "t-1"
    assert not waiting.offers[0].has_free_slot


async def test_caller_that_leaves_takes_its_place_away(queue):
    waiting = asyncio.ensure_future(queue.wait(progress(1), frozenset()))
    await asyncio.sleep(0.03)
    assert queue.is_ahead_of(progress(2).call)
    waiting.cancel()
    await asyncio.wait([waiting])
    assert not queue.is_ahead_of(progress(2).call)
