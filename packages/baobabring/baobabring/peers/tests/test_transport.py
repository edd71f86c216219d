"""Tests of the transport of frames between instances."""

import asyncio
import socket

import zmq

from baobabring.peers import CurveKeys, create_peer_transport


def get_free_address():
    """Return a loopback address with an unused port."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


async def send_until_received(sender, address, frames):
    """Return whether a frame is received while sending for about two seconds."""
    for _ in range(100):
        sender.send(address, b"x")
        await asyncio.sleep(0.02)
        if frames:
            return True
    return False


async def test_frames_reach_the_peer():
    address = get_free_address()
    frames = []
    receiver = create_peer_transport(address, None)
    receiver.start(frames.append)
    sender = create_peer_transport(get_free_address(), None)
    assert await send_until_received(sender, address, frames)
    sender.close()
    receiver.close()


async def test_frames_are_received_after_a_reconnect():
    address = get_free_address()
    frames = []
    receiver = create_peer_transport(address, None)
    receiver.start(frames.append)
    sender = create_peer_transport(get_free_address(), None)
    assert await send_until_received(sender, address, frames)
    frames.clear()
    sender.reconnect(address)
    assert await send_until_received(sender, address, frames)
    sender.close()
    receiver.close()


async def test_frames_are_received_only_from_peers_with_the_fleet_key():
    keys = CurveKeys(*zmq.curve_keypair())
    foreign_keys = CurveKeys(keys.public, zmq.curve_keypair()[1])
    address = get_free_address()
    frames = []
    receiver = create_peer_transport(address, keys)
    receiver.start(frames.append)
    for sender_keys in (None, foreign_keys):
        sender = create_peer_transport(get_free_address(), sender_keys)
        for _ in range(10):
            sender.send(address, b"x")
            await asyncio.sleep(0.02)
        sender.close()
    assert frames == []
    fleet_sender = create_peer_transport(get_free_address(), keys)
    assert await send_until_received(fleet_sender, address, frames)
    fleet_sender.close()
    receiver.close()


async def test_frame_to_invalid_address_is_dropped():
    sender = create_peer_transport(get_free_address(), None)
    assert not sender.send("nowhere", b"x")
    assert not sender.send("", b"x")
    sender.close()
