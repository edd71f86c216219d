"""Send instances malformed records, frames, requests and peer messages."""

import asyncio
import contextlib

import aiohttp
import msgspec
import pytest
import zmq
from baobabring.membership import Heartbeat
from baobabring.peers import (
    StateReply,
    StateRequest,
)
from baobabring.platform import InstanceState
from baobabring.probing import SharedProbe
from baobabring.program._peer_messages import INSTANCE_MESSAGES
from baobabstandins.fleet import (
    Fleet,
    HistoryCaller,
    Operator,
    PlatformOptions,
    TargetOptions,
    create_call,
    put_service,
)

CALLS_TIMEOUT_S = 20.0
STREAMS = ("config", "cold-leases", "claims-0", "claims-1", "claims-2", "claims-3")
INVALID_RECORDS = (b"", b"\xc1", b"garbage", b"\x92\x01\x02", b"\xff" * 4096)
INVALID_FRAMES = (
    b"",
    b"\x01",
    b"\xff\x01",
    b"\x01\xff",
    b"\x01\x01\xc1",
    b"\x01\x02\x90",
)
INVALID_REQUESTS = (
    b"\x00\xff\x00\xff\r\n\r\n",
    b"POST /orders/1 HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
    b"POST /orders/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"POST /orders/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999999\r\n\r\n",
    b"POST /orders/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc",
)


def find_failure_logs(fleet: Fleet) -> list[str]:
    """Return the logs of instances that exited or had an unhandled error."""
    logs = {m.instance_id: m.child.read_log() for m in fleet.instances}
    return [
        logs[member.instance_id]
        for member in fleet.instances
        if not member.child.is_running or "Traceback" in logs[member.instance_id]
    ]


async def append_invalid_records(address: str) -> None:
    async with aiohttp.ClientSession() as session:
        for stream in STREAMS:
            for record in INVALID_RECORDS:
                url = f"http://{address}/log/{stream}"
                async with session.post(url, data=record) as response:
                    assert response.status == 201


def send_invalid_frames(address: str) -> None:
    with zmq.Context() as context, context.socket(zmq.PUSH) as socket:
        socket.linger = 1_000
        socket.connect(f"tcp://{address}")
        for frame in INVALID_FRAMES:
            socket.send(frame)


async def send_invalid_requests(address: str) -> None:
    host, _, port = address.rpartition(":")
    for request in INVALID_REQUESTS:
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(request)
        await writer.drain()
        writer.close()


async def test_invalid_input_changes_nothing(tmp_path):
    async with Fleet(tmp_path) as fleet:
        await fleet.start_platform(PlatformOptions())
        targets = await fleet.start_targets("orders", 2, "sapporo", TargetOptions())
        await fleet.start_instances(2, "sapporo")
        operator = Operator(fleet.get_rotation)
        change = put_service("orders", "/orders", "required", 1, targets)
        revision = await operator.publish(change)
        await operator.wait_until_applied(revision)
        await append_invalid_records(fleet.platform.address)
        for member in fleet.instances:
            send_invalid_frames(member.peer_address)
            await send_invalid_requests(member.caller_address)
        # A new instance reads the invalid records from the start of the log.
        await fleet.start_instances(1, "sapporo")
        async with HistoryCaller(fleet.get_rotation, seed=1) as caller:
            calls = [create_call("/orders", idempotent=False) for _ in range(30)]
            await asyncio.gather(*(caller.call(call, repeats=2) for call in calls))
            outcomes = [getattr(event, "outcome", None) for event in caller.history]
        assert outcomes.count("completed") == len(calls)
        assert find_failure_logs(fleet) == []
        await operator.wait_until_applied(revision)


def build_invalid_messages() -> list[msgspec.Struct]:
    """Return messages of valid form with invalid contents."""
    heartbeat = Heartbeat(
        sender="stranger",
        zone="sapporo",
        peer_address="nowhere",
        sequence=1,
        sent_at_s=0.0,
        state=InstanceState.LIVE,
        revision=0,
        config_offset=0,
        confirmed_at_s=0.0,
    )
    return [
        StateRequest("stranger", "nowhere"),
        StateReply("stranger", b"\xc1", b"\xc1"),
        SharedProbe("no-target", float("nan"), True),
        heartbeat,
    ]


@pytest.mark.parametrize(
    "message", build_invalid_messages(), ids=lambda m: type(m).__name__
)
async def test_invalid_peer_message_stops_no_instance(tmp_path, message):
    async with Fleet(tmp_path) as fleet:
        await fleet.start_platform(PlatformOptions())
        targets = await fleet.start_targets("orders", 2, "sapporo", TargetOptions())
        await fleet.start_instances(2, "sapporo")
        operator = Operator(fleet.get_rotation)
        change = put_service("orders", "/orders", "required", 1, targets)
        await operator.wait_until_applied(await operator.publish(change))
        for member in fleet.instances:
            with zmq.Context() as context, context.socket(zmq.PUSH) as socket:
                socket.linger = 1_000
                socket.connect(f"tcp://{member.peer_address}")
                socket.send(INSTANCE_MESSAGES.encode(message))
        # Later calls are served as usual.
        async with HistoryCaller(fleet.get_rotation, seed=1) as caller:
            calls = [create_call("/orders", idempotent=False) for _ in range(40)]
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CALLS_TIMEOUT_S):
                    for call in calls:
                        await caller.call(call, repeats=2)
            outcomes = [getattr(event, "outcome", None) for event in caller.history]
        assert find_failure_logs(fleet) == []
        assert outcomes.count("completed") == len(calls)
