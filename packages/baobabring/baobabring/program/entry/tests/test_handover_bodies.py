"""Test the bodies of calls that were handed over, without network."""

import asyncio

import pytest

from baobabring.entry import (
    BodyEnd,
    BodyEndedError,
)
from baobabring.program.entry.tests.handovers import (
    PART,
    build_response,
    build_stream,
)


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
