"""Test the proxy that injects faults into connections."""

import asyncio

import pytest

from baobabstandins.soak._proxy import FaultyLink

WAIT_S = 0.2


@pytest.fixture
async def link():
    """Return a link to an echo server."""

    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    link = FaultyLink(f"{host}:{port}")
    await link.start()
    yield link
    await link.stop()
    server.close()


async def connect(link):
    """Open a connection through a link."""
    host, _, port = link.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def test_link_without_faults_forwards_everything(link):
    reader, writer = await connect(link)
    writer.write(b"hello")
    assert await reader.read(100) == b"hello"
    writer.close()


@pytest.mark.parametrize("fault", ["drop_requests", "drop_responses"])
async def test_link_drops_one_direction(link, fault):
    reader, writer = await connect(link)
    setattr(link.faults, fault, True)
    writer.write(b"hello")
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.read(100), WAIT_S)
    writer.close()


async def test_link_delays_both_directions(link):
    link.faults.delay_s = WAIT_S
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    reader, writer = await connect(link)
    writer.write(b"hello")
    assert await reader.read(100) == b"hello"
    assert loop.time() - started_s >= 2 * WAIT_S
    writer.close()


async def test_reset_closes_connections_immediately(link):
    reader, writer = await connect(link)
    writer.write(b"hello")
    await reader.read(100)
    link.reset()
    with pytest.raises(ConnectionResetError):
        await asyncio.wait_for(reader.readexactly(1), WAIT_S)


async def test_refused_connection_is_reset(link):
    link.faults.refuse_connections = True
    reader, _ = await connect(link)
    with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
        await asyncio.wait_for(reader.readexactly(1), WAIT_S)


# Guards against a run that ends because one side of a connection had closed.
async def test_reset_of_a_connection_whose_caller_left_meanwhile(link):
    link.faults.delay_s = WAIT_S
    _, writer = await connect(link)
    writer.write(b"hello")
    await asyncio.sleep(1.5 * WAIT_S)
    writer.transport.abort()
    await asyncio.sleep(0.02)
    link.reset()
