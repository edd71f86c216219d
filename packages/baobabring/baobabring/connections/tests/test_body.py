"""Test that bodies are held within limits until they are passed on."""

import asyncio

import pytest

from baobabring.connections import BodyMemory, ReceivedBody
from baobabring.connections._body import BODY_LIMIT_BYTES, SCARCE_BODY_LIMIT_BYTES
from baobabring.entry import BodyEnd, BodyEndedError

PART = b"p" * 50_000
READ_BYTES = 20_000


class Transport(asyncio.ReadTransport):
    """Record whether reading is paused."""

    def __init__(self) -> None:
        super().__init__()
        self.paused = False

    def pause_reading(self) -> None:
        """Pause reading."""
        assert not self.paused
        self.paused = True

    def resume_reading(self) -> None:
        """Resume reading."""
        assert self.paused
        self.paused = False

    def is_closing(self) -> bool:
        """Return whether the transport is closing."""
        return False


def create_body(limit_bytes: int = 10 * BODY_LIMIT_BYTES):
    """Return a body with its transport and memory."""
    transport, memory = Transport(), BodyMemory(limit_bytes)
    return ReceivedBody(None, memory, transport), transport, memory


async def read_all(body: ReceivedBody) -> bytes:
    """Return the rest of a body."""
    parts = []
    while part := await body.read(READ_BYTES):
        assert len(part) <= READ_BYTES
        parts.append(part)
    return b"".join(parts)


async def test_parts_are_read_in_order_until_the_end():
    body, _, memory = create_body()
    body.feed(b"a" * READ_BYTES + b"b")
    body.feed(b"c")
    body.finish(BodyEnd.COMPLETE)
    assert await read_all(body) == b"a" * READ_BYTES + b"bc"
    assert memory.held_bytes == 0


async def test_read_waits_for_the_next_part():
    body, _, _ = create_body()
    reading = asyncio.ensure_future(body.read(READ_BYTES))
    await asyncio.sleep(0)
    assert not reading.done()
    body.feed(b"a")
    assert await reading == b"a"


async def test_slow_caller_pauses_the_receipt_at_the_limit_of_one_body():
    body, transport, memory = create_body()
    while not transport.paused:
        body.feed(PART)
    assert BODY_LIMIT_BYTES < memory.held_bytes <= BODY_LIMIT_BYTES + len(PART)
    while body.exceeds_limit:
        await body.read(READ_BYTES)
    assert not transport.paused


async def test_many_bodies_hold_little_each_once_memory_is_scarce():
    first, first_transport, memory = create_body(limit_bytes=len(PART))
    first.feed(PART)
    assert not first_transport.paused
    other_transport = Transport()
    other = ReceivedBody(None, memory, other_transport)
    other.feed(PART)
    other.feed(PART)
    assert other_transport.paused
    assert other.held_bytes <= SCARCE_BODY_LIMIT_BYTES + len(PART)
    while other.held_bytes > SCARCE_BODY_LIMIT_BYTES:
        assert other_transport.paused
        await other.read(READ_BYTES)
    assert not other_transport.paused


@pytest.mark.parametrize("end", [BodyEnd.CUT_SHORT, BodyEnd.TIMEOUT])
async def test_rest_of_an_incomplete_body_is_an_error(end):
    body, _, memory = create_body()
    body.feed(PART)
    body.finish(end)
    with pytest.raises(BodyEndedError) as caught:
        await body.read(READ_BYTES)
    assert caught.value.end is end
    assert memory.held_bytes == 0


async def test_complete_body_is_delivered_after_the_deadline():
    body, _, _ = create_body()
    body.feed(b"a")
    body.finish(BodyEnd.COMPLETE)
    body.expire()
    assert await read_all(body) == b"a"


async def test_abandoned_body_frees_its_memory_also_if_complete():
    body, _, memory = create_body()
    body.feed(PART)
    body.finish(BodyEnd.COMPLETE)
    body.abandon()
    assert memory.held_bytes == 0


async def test_end_is_told_once_also_to_those_who_ask_late():
    body, _, _ = create_body()
    ends = []
    body.add_end_callback(ends.append)
    body.finish(BodyEnd.CUT_SHORT)
    body.abandon()
    body.add_end_callback(ends.append)
    assert ends == [BodyEnd.CUT_SHORT, BodyEnd.CUT_SHORT]
