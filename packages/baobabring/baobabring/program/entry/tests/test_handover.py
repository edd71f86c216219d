"""Test the handover of calls between two instances, without network."""

import asyncio

import msgspec
import pytest

from baobabring.entry import (
    CallProblem,
    Delivered,
    HandoverPeers,
    HandoverStatus,
    LeavingTarget,
    NotRun,
    ProbeFailure,
    ServiceReachability,
    TargetResponse,
    Undetermined,
)
from baobabring.entry.tests.builders import build_target
from baobabring.program.entry._handover_client import HandoverLost
from baobabring.program.entry._handover_peer_finder import (
    CHECK_INTERVAL_S,
    HandoverPeerFinder,
)
from baobabring.program.entry.tests.fakes import LoopClock, StepClock
from baobabring.program.entry.tests.handovers import (
    CLIENT_ADDRESS,
    SERVER_ADDRESS,
    TARGET_IDS,
    FakeLink,
    Zero,
    build_response,
)


async def test_response_of_the_peer_is_returned_as_it_is(handovers):
    task, progress = await handovers.hand_over()
    (request,) = handovers.runner.requests
    (origin,) = handovers.runner.origins
    assert (request.method, request.path) == ("GET", "/menu/today")
    assert request.host == "menu.example"
    assert origin.peer_id == "i-1"
    handovers.runner.outcomes[0].set_result(build_response())
    assert await task == build_response()
    assert progress.handed_over_to == "i-2"


async def test_deadline_is_kept_in_the_clock_of_the_peer(handovers):
    task, progress = await handovers.hand_over()
    (origin,) = handovers.runner.origins
    lead_s = 5_000.0
    assert origin.deadline_s <= progress.call.deadline_s + lead_s
    assert origin.deadline_s > progress.call.deadline_s + lead_s - 0.05
    task.cancel()


async def test_targets_that_were_tried_are_known_on_both_sides(handovers):
    task, progress = await handovers.hand_over()
    handovers.runner.origins[0].tried_targets.append("t-1")
    handovers.runner.outcomes[0].set_result(build_response())
    await task
    assert progress.tried_targets == ["t-1"]


async def test_service_that_was_chosen_is_known_to_the_peer(handovers):
    _, progress = await handovers.hand_over()
    assert handovers.runner.origins[0].service_id == progress.call.service_id


async def test_refusal_of_a_peer_is_a_true_not_run_with_its_retry_time(handovers):
    task, progress = await handovers.hand_over(idempotent=False)
    retry_at_s = handovers.server.clock.now_s() + 0.2
    refusal = NotRun(CallProblem.OVERLOAD, retry_at_s)
    handovers.runner.outcomes[0].set_result(refusal)
    outcome = await task
    assert outcome.problem is CallProblem.OVERLOAD
    assert 0.1 < outcome.retry_at_s - LoopClock().now_s() <= 0.2


@pytest.mark.parametrize(
    "problem", [CallProblem.TARGETS_UNREACHABLE, CallProblem.NO_CONFIGURATION]
)
async def test_call_that_no_peer_can_take_has_not_been_sent(handovers, problem):
    task, progress = await handovers.hand_over(idempotent=False)
    handovers.runner.outcomes[0].set_result(NotRun(problem, 0.0))
    assert await task is None
    assert not progress.sent


async def test_call_that_may_have_run_is_not_reported_as_not_run(handovers):
    task, _ = await handovers.hand_over(idempotent=False)
    lost = Undetermined(CallProblem.CONNECTION_LOST)
    handovers.runner.outcomes[0].set_result(lost)
    assert await task == lost


async def test_lost_outcome_is_unknown_and_the_peer_is_told_to_stop(handovers):
    task, progress = await handovers.hand_over(idempotent=False)
    handovers.server_link.cut = True
    handovers.runner.outcomes[0].set_result(build_response())
    assert await task == HandoverLost(CallProblem.TIMEOUT)
    assert progress.sent


async def test_caller_that_leaves_is_reported_to_the_peer(handovers):
    task, _ = await handovers.hand_over()
    task.cancel()
    await asyncio.sleep(0.02)
    assert len(handovers.runner.disconnected) == 1


async def test_call_for_an_earlier_process_of_the_peer_is_not_run(handovers):
    task, _ = await handovers.hand_over()
    task.cancel()
    await asyncio.sleep(0.02)
    handovers.start_server(33)
    task, _ = await handovers.hand_over()
    assert len(handovers.runner.requests) == 1
    assert await task == HandoverLost(CallProblem.TIMEOUT)


async def test_calls_at_a_peer_that_restarted_end_at_once(handovers):
    task, _ = await handovers.hand_over(idempotent=False)
    handovers.start_server(33)
    handovers.client.finder.check_peers(True)
    assert await asyncio.wait_for(task, 0.1) == HandoverLost(
        CallProblem.CONNECTION_LOST
    )


async def test_second_copy_of_a_call_is_not_run(handovers):
    task, _ = await handovers.hand_over()
    (message,) = [m for m in handovers.client_link.sent if hasattr(m, "deadline_s")]
    handovers.client_link.send(SERVER_ADDRESS, message)
    await asyncio.sleep(0.02)
    assert len(handovers.runner.requests) == 1
    task.cancel()


async def test_late_copy_of_an_ended_call_is_not_run(handovers):
    task, _ = await handovers.hand_over()
    (message,) = [m for m in handovers.client_link.sent if hasattr(m, "deadline_s")]
    handovers.runner.outcomes[0].set_result(build_response())
    await task
    handovers.client_link.send(SERVER_ADDRESS, message)
    await asyncio.sleep(0.02)
    assert len(handovers.runner.requests) == 1


async def test_call_that_arrives_after_its_deadline_is_not_run(handovers):
    task, _ = await handovers.hand_over()
    task.cancel()
    (message,) = [m for m in handovers.client_link.sent if hasattr(m, "deadline_s")]
    await asyncio.sleep(0.65)
    handovers.client_link.send(
        SERVER_ADDRESS,
        msgspec.structs.replace(message, number=99),
    )
    await asyncio.sleep(0.02)
    assert len(handovers.runner.requests) == 1


async def test_call_that_could_not_be_sent_is_handed_to_no_one(handovers):
    handovers.peers.record_status(
        HandoverStatus("i-2", 22, "north", LoopClock().now_s(), True, [], 4),
        LoopClock().now_s(),
    )
    handovers.client_link.full = True
    task, progress = await handovers.hand_over(idempotent=False)
    assert await task is None
    assert not progress.sent


async def test_peer_that_shuts_down_takes_no_calls(handovers):
    handovers.runner.shutting_down = True
    task, _ = await handovers.hand_over()
    assert await task is None
    assert not handovers.runner.requests


async def test_no_answer_is_awaited_once_peers_had_time_to_answer(handovers):
    handovers.client_link.cut = True
    task, _ = await handovers.hand_over()
    assert await task is None
    started_s = LoopClock().now_s()
    task, _ = await handovers.hand_over()
    assert await task is None
    assert LoopClock().now_s() - started_s < 0.04


async def test_leaving_target_is_left_alone_at_both_instances(handovers):
    target = build_target("t-1")
    handovers.table.set_targets([target], (), 0.0)
    handovers.server_pauses.mark_leaving(target, 5_000.0, 0.0)
    task, _ = await handovers.hand_over()
    handovers.runner.origins[0].tried_targets.append("t-1")
    handovers.runner.outcomes[0].set_result(build_response())
    await task
    assert handovers.client_pauses.is_leaving(target)
    assert not handovers.client_pauses.is_leaving(build_target("t-1", started_at_ms=9))


async def test_leaving_targets_are_identified_by_their_start(handovers):
    handovers.client_pauses.apply_leaving(LeavingTarget("t-1", 1_000), 5_000.0, 0.0)
    assert handovers.client_pauses.is_leaving(build_target("t-1"))


def test_peers_are_asked_less_often_while_none_takes_calls_of_a_service():
    clock = StepClock()
    link = FakeLink()
    link.send = lambda address, message: link.sent.append(address)
    reachability = ServiceReachability()
    peers = HandoverPeers("north", Zero())
    peers.set_instances({f"i-{n}": f"10.0.0.{n}:7200" for n in range(20)})
    finder = HandoverPeerFinder("i-x", CLIENT_ADDRESS, peers, reachability, link, clock)
    for number in range(6):
        reachability.record_failure(
            "menu", f"t-{number}", ProbeFailure.NOT_CONNECTED, TARGET_IDS, 0.0
        )
    for _ in range(40):
        finder.check_peers(calls_in_progress=False)
        clock.at_s += CHECK_INTERVAL_S
    # Ten seconds: one round each second, but for the first ones.
    assert len(link.sent) <= 12 * 8


@pytest.mark.parametrize("time_field", ["deadline_s", "arrived_at_s"])
async def test_call_without_a_true_time_is_not_run(handovers, time_field):
    task, _ = await handovers.hand_over()
    (message,) = [m for m in handovers.client_link.sent if hasattr(m, "deadline_s")]
    changed = {
        **msgspec.structs.asdict(message),
        "number": 99,
        time_field: float("nan"),
    }
    handovers.client_link.send(SERVER_ADDRESS, type(message)(**changed))
    await asyncio.sleep(0.02)
    assert len(handovers.runner.requests) == 1
    task.cancel()


async def test_response_with_an_impossible_status_is_not_delivered(handovers):
    task, _ = await handovers.hand_over()
    delivered = Delivered(TargetResponse(9_999, (), b""))
    handovers.runner.outcomes[0].set_result(delivered)
    assert await task == Undetermined(CallProblem.BAD_ANSWER)
