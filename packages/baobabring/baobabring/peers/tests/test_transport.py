"""Tests of the sockets between instances."""

import asyncio
import socket

import zmq

from baobabring.peers import CurveKeys, create_peer_transport


def free_address():
    """Return a loopback address that is free now."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


async def send_until_heard(sender, address, frames):
    """Send until the other end has heard a frame, for two seconds at most."""
    for _ in range(100):
        sender.send(address, b"x")
        await asyncio.sleep(0.02)
        if frames:
            return True
    return False


async def test_frames_reach_the_peer():
    address = free_address()
    frames = []
    hearing = create_peer_transport(address, None)
    hearing.start(frames.append)
    sender = create_peer_transport(free_address(), None)
    assert await send_until_heard(sender, address, frames)
    sender.close()
    hearing.close()


async def test_frames_pass_after_a_reconnect():
    address = free_address()
    frames = []
    hearing = create_peer_transport(address, None)
    hearing.start(frames.append)
    sender = create_peer_transport(free_address(), None)
    assert await send_until_heard(sender, address, frames)
    frames.clear()
    sender.reconnect(address)
    assert await send_until_heard(sender, address, frames)
    sender.close()
    hearing.close()


async def test_only_holders_of_the_fleet_key_are_heard():
    keys = CurveKeys(*zmq.curve_keypair())
    stranger_keys = CurveKeys(keys.public, zmq.curve_keypair()[1])
    address = free_address()
    frames = []
    hearing = create_peer_transport(address, keys)
    hearing.start(frames.append)
    for sender_keys in (None, stranger_keys):
        sender = create_peer_transport(free_address(), sender_keys)
        for _ in range(10):
            sender.send(address, b"x")
            await asyncio.sleep(0.02)
        sender.close()
    assert frames == []
    friend = create_peer_transport(free_address(), keys)
    assert await send_until_heard(friend, address, frames)
    friend.close()
    hearing.close()


async def test_what_is_no_address_is_dropped():
    sender = create_peer_transport(free_address(), None)
    assert not sender.send("nowhere", b"x")
    assert not sender.send("", b"x")
    sender.close()
