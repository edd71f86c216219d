"""Measure what connections to peers and heartbeats over them cost a sender.

The peers' sockets are in a child process, which this program starts as
`capacity_peers.py hear COUNT`.
"""

import asyncio
import os
import resource
import sys
import time
from pathlib import Path

import zmq
from baobabring.peers import create_peer_transport, encode_message
from capacity_messages import make_heartbeat
from capacity_slopes import fit_slope, print_slopes

PEERS = (20, 100, 400)
REPEATS = 3
WINDOW_S = 8.0
WARM_UP_S = 2.0
ROUNDS_PER_S = 2.0
HOST = "127.0.0.1"
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def hear(count: int) -> None:
    """Bind this many sockets, print their addresses and read until ended."""
    context = zmq.Context()
    context.max_sockets = 2 * count + 10
    poller = zmq.Poller()
    for _ in range(count):
        socket = context.socket(zmq.PULL)
        port = socket.bind_to_random_port(f"tcp://{HOST}")
        poller.register(socket, zmq.POLLIN)
        print(f"{HOST}:{port}", flush=True)
    while True:
        for socket, _ in poller.poll():
            socket.recv()


def memory_bytes() -> int:
    """Return the resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def processor_s() -> float:
    """Return the processor time of this process, all threads."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def send_rounds(transport, addresses: list[str], seconds: float) -> int:
    """Send a heartbeat to each peer in each round; return the frames dropped."""
    frame = encode_message(make_heartbeat(16))
    dropped = 0
    for _ in range(int(seconds * ROUNDS_PER_S)):
        dropped += sum(not transport.send(address, frame) for address in addresses)
        await asyncio.sleep(1 / ROUNDS_PER_S)
    return dropped


async def measure(count: int) -> tuple[float, float]:
    """Return processor ms each second and bytes that this many peers cost."""
    child = await asyncio.create_subprocess_exec(
        sys.executable, __file__, "hear", str(count), stdout=asyncio.subprocess.PIPE
    )
    try:
        lines = [await child.stdout.readline() for _ in range(count)]
        addresses = [line.decode().strip() for line in lines]
        before_bytes = memory_bytes()
        transport = create_peer_transport(f"{HOST}:0", None)
        await send_rounds(transport, addresses, WARM_UP_S)
        spent_s, started_s = processor_s(), time.monotonic()
        dropped = await send_rounds(transport, addresses, WINDOW_S)
        taken_s = time.monotonic() - started_s
        spent_s = processor_s() - spent_s
        held_bytes = memory_bytes() - before_bytes
        transport.close()
    finally:
        child.kill()
        await child.wait()
    if dropped:
        raise RuntimeError(f"{dropped} frames dropped")
    return spent_s / taken_s * 1000, held_bytes


async def main() -> None:
    """Print the slopes."""
    await measure(PEERS[0])
    costs = [[await measure(count) for count in PEERS] for _ in range(REPEATS)]
    slopes = [
        fit_slope(
            "processor each second, each peer",
            "ms",
            PEERS,
            [[pair[0] for pair in row] for row in costs],
        ),
        fit_slope(
            "resident memory, each peer",
            "bytes",
            PEERS,
            [[pair[1] for pair in row] for row in costs],
        ),
    ]
    print_slopes("Connections to peers, 2 heartbeats a second to each", slopes)


if __name__ == "__main__":
    if sys.argv[1:2] == ["hear"]:
        hear(int(sys.argv[2]))
    else:
        asyncio.run(main())
