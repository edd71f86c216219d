"""Test the handover of calls between two instances, without network."""

import asyncio
from dataclasses import replace

import pytest

from baobabring.connections import BodyMemory
from baobabring.entry import (
    BodyEnd,
    BodyEndedError,
    CallProblem,
    Delivered,
    HandoverPeers,
    HandoverStatus,
    LeavingTarget,
    NotRun,
    ProbeFailure,
    ServiceReachability,
    TargetPauses,
    TargetResponse,
    TargetTable,
    Undetermined,
)
from baobabring.entry.tests.builders import build_call, build_route, build_target
from baobabring.program.entry._handed_over_body import HandedOverBody
from baobabring.program.entry._handover_client import HandoverClient, HandoverLost
from baobabring.program.entry._handover_peer_finder import (
    CHECK_INTERVAL_S,
    HandoverPeerFinder,
)
from baobabring.program.entry._handover_server import HandoverServer
from baobabring.program.entry._peer_messages import ENTRY_MESSAGES
from baobabring.program.entry._progress import CallProgress
from baobabring.program.entry.tests.fakes import LoopClock, StepClock

CLIENT_ADDRESS = "10.0.0.1:7200"
SERVER_ADDRESS = "10.0.0.2:7200"
TARGET_IDS = [f"t-{number}" for number in range(6)]
PART = b"d" * 32_768


class FakeLink:
    """Fake link that passes encoded messages to another one until it is cut."""

    def __init__(self) -> None:
        self.other: FakeLink | None = None
        self.cut = False
        self.full = False
        self.is_lost = lambda message: False
        self.handlers = {}
        self.sent = []

    def subscribe(self, message_type, handler) -> None:
        """Store a handler."""
        self.handlers[message_type] = handler

    def send(self, address, message) -> bool:
        """Let the other link receive a message soon."""
        if self.full:
            return False
        self.sent.append(message)
        decoded = ENTRY_MESSAGES.decode(ENTRY_MESSAGES.encode(message))
        asyncio.get_running_loop().call_soon(self._deliver, decoded)
        return True

    def _deliver(self, message) -> None:
        if not self.cut and not self.is_lost(message):
            self.other.handlers[type(message)](message)


class FakeCallRunner:
    """Fake call runner whose calls end as tests say."""

    def __init__(self) -> None:
        self.ready = True
        self.shutting_down = False
        self.configuration_version = 4
        self.requests = []
        self.origins = []
        self.outcomes = []
        self.disconnected = []

    def start(self, request, origin):
        """Record a request and return the future of its outcome."""
        self.requests.append(request)
        self.origins.append(origin)
        outcome = asyncio.get_running_loop().create_future()
        self.outcomes.append(outcome)
        return asyncio.ensure_future(_wait_for(outcome))

    def on_caller_disconnect(self, task) -> None:
        """Record that the caller left."""
        self.disconnected.append(task)
        task.cancel()


async def _wait_for(outcome):
    return await outcome


class Handovers:
    """Instance that reaches no target, its peer, and what the peer is asked to run."""

    def __init__(self) -> None:
        self.memory = BodyMemory(32_000_000)
        self.client_link, self.server_link = FakeLink(), FakeLink()
        self.client_link.other = self.server_link
        self.server_link.other = self.client_link
        self.client_pauses = TargetPauses(Zero())
        self.server_pauses = TargetPauses(Zero())
        self.table = TargetTable("i-2", "north")
        self.runner = FakeCallRunner()
        self.peers = HandoverPeers("north", Zero())
        self.peers.set_instances({"i-2": SERVER_ADDRESS})
        finder = HandoverPeerFinder(
            "i-1",
            CLIENT_ADDRESS,
            self.peers,
            ServiceReachability(),
            self.client_link,
            LoopClock(),
        )
        self.client = HandoverClient(
            "i-1",
            CLIENT_ADDRESS,
            11,
            finder,
            self.client_pauses,
            self.memory,
            self.client_link,
            LoopClock(),
        )
        self.client.configuration_version = 4
        self.server = self.start_server(22)

    def start_server(self, session):
        """Start the process of the peer."""
        return HandoverServer(
            "i-2",
            "north",
            session,
            self.runner,
            ServiceReachability(),
            self.table,
            self.server_pauses,
            self.server_link,
            LoopClock(lead_s=5_000.0),
        )

    async def hand_over(self, **changes):
        """Start to hand a call over; return its task and progress once it arrived."""
        now_s = LoopClock().now_s()
        call = build_call(build_route(**changes), arrived_at_s=now_s, wait_s=0.6)
        headers = ((b"host", b"menu.example"),)
        progress = CallProgress(replace(call, headers=headers))
        task = asyncio.ensure_future(self.client.hand_over(progress))
        await asyncio.sleep(0.02)
        return task, progress


class Zero:
    """Random source without randomness."""

    def sample(self, values, count):
        """Return the first values."""
        return list(values)[:count]

    def uniform(self, low, high):
        """Return the lower bound."""
        return low


@pytest.fixture
async def handovers():
    """Return an instance and its peer."""
    return Handovers()


def build_response(stream=None, body=b"menu"):
    """Return the outcome of a call that a target served."""
    headers = ((b"x-signature", b"s"),)
    return Delivered(
        TargetResponse(200, headers, b"" if stream else body, stream=stream)
    )


def build_stream(handovers):
    """Return a body that a target is sending."""
    return HandedOverBody(None, handovers.memory, on_read=lambda *read_bytes: None)


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
        SERVER_ADDRESS, type(message)(**{**_fields(message), "number": 99})
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


async def test_body_is_passed_on_in_parts_as_it_is_read(handovers):
    task, _ = await handovers.hand_over()
    stream = build_stream(handovers)
    handovers.runner.outcomes[0].set_result(build_response(stream))
    response = (await task).response
    for _ in range(20):
        stream.feed(PART)
    stream.finish(BodyEnd.COMPLETE)
    await asyncio.sleep(0.02)
    # The peer holds the rest back until parts are read.
    assert response.stream.held_bytes <= 9 * len(PART)
    received = b""
    while part := await response.stream.read(65_536):
        received += part
    assert received == 20 * PART
    assert handovers.memory.held_bytes == 0


# Guards against a body that is lost because it ends before its response is handled.
async def test_body_that_arrives_at_once_with_its_response(handovers):
    task, _ = await handovers.hand_over()
    stream = build_stream(handovers)
    stream.feed(PART)
    stream.feed(PART)
    stream.finish(BodyEnd.COMPLETE)
    handovers.runner.outcomes[0].set_result(build_response(stream))
    response = (await task).response
    received = b""
    while part := await response.stream.read(65_536):
        received += part
    assert received == 2 * PART


async def test_body_that_is_cut_short_never_looks_complete(handovers):
    task, _ = await handovers.hand_over()
    stream = build_stream(handovers)
    handovers.runner.outcomes[0].set_result(build_response(stream))
    response = (await task).response
    stream.feed(PART)
    stream.finish(BodyEnd.CUT_SHORT)
    with pytest.raises(BodyEndedError):
        while await response.stream.read(65_536):
            pass


# Guards against a body with a hole: a connection between instances that breaks loses
# parts in the middle and delivers later ones.
@pytest.mark.parametrize("length_bytes", [None, 5 * len(PART)])
@pytest.mark.parametrize("lost_number", [1, 3, 5])
async def test_body_that_lost_a_part_never_looks_complete(
    handovers, length_bytes, lost_number
):
    task, _ = await handovers.hand_over()
    stream = build_stream(handovers)
    stream.length_bytes = length_bytes
    handovers.runner.outcomes[0].set_result(build_response(stream))
    response = (await task).response
    sent_parts = []

    def is_lost(message):
        sent_parts.append(message)
        return len(sent_parts) == lost_number

    handovers.server_link.is_lost = is_lost
    for _ in range(5):
        stream.feed(PART)
    stream.finish(BodyEnd.COMPLETE)
    with pytest.raises(BodyEndedError):
        while await response.stream.read(65_536):
            pass


# Guards against a body that stalls until its deadline, because messages were lost that
# ask for more of it.
async def test_body_goes_on_if_requests_for_more_of_it_are_lost(handovers):
    task, _ = await handovers.hand_over()
    stream = build_stream(handovers)
    handovers.runner.outcomes[0].set_result(build_response(stream))
    response = (await task).response
    requests = []

    def is_lost(message):
        requests.append(message)
        return len(requests) % 2 == 1

    handovers.client_link.is_lost = is_lost
    for _ in range(30):
        stream.feed(PART)
    stream.finish(BodyEnd.COMPLETE)
    received = b""
    while part := await response.stream.read(65_536):
        received += part
        await asyncio.sleep(0)
    assert received == 30 * PART


async def test_body_ends_at_its_deadline_if_the_peer_falls_silent(handovers):
    task, _ = await handovers.hand_over()
    stream = build_stream(handovers)
    handovers.runner.outcomes[0].set_result(build_response(stream))
    response = (await task).response
    handovers.server_link.cut = True
    stream.feed(PART)
    with pytest.raises(BodyEndedError):
        while await response.stream.read(65_536):
            pass


async def test_peer_stops_a_body_whose_caller_left(handovers):
    task, _ = await handovers.hand_over()
    stream = build_stream(handovers)
    handovers.runner.outcomes[0].set_result(build_response(stream))
    response = (await task).response
    response.stream.abandon()
    await asyncio.sleep(0.02)
    assert stream.end is BodyEnd.CALLER_LEFT


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
    changed = {**_fields(message), "number": 99, time_field: float("nan")}
    handovers.client_link.send(SERVER_ADDRESS, type(message)(**changed))
    await asyncio.sleep(0.02)
    assert len(handovers.runner.requests) == 1
    task.cancel()


async def test_response_with_an_impossible_status_is_not_delivered(handovers):
    task, _ = await handovers.hand_over()
    delivered = Delivered(TargetResponse(9_999, (), b""))
    handovers.runner.outcomes[0].set_result(delivered)
    assert await task == Undetermined(CallProblem.BAD_ANSWER)


def _fields(message):
    return {name: getattr(message, name) for name in message.__struct_fields__}
