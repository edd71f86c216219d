"""Measure CPU time and memory of sending heartbeats to peers.

The sockets of the peers are in a child process, started as
`capacity_peers.py hear COUNT`.
"""

import asyncio
import os
import resource
import sys
import time
from pathlib import Path

import zmq
from baobabring.peers import create_peer_transport
from baobabring.program._peer_messages import INSTANCE_MESSAGES
from capacity_messages import make_heartbeat
from capacity_slopes import fit_cost_slope, print_slopes

PEER_COUNTS = (20, 100, 400)
REPEATS = 3
WINDOW_S = 8.0
WARM_UP_S = 2.0
ROUNDS_PER_S = 2.0
HOST = "127.0.0.1"
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def receive_forever(count: int) -> None:
    """Bind this many sockets, print their addresses and read until killed."""
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


def get_resident_memory_bytes() -> int:
    """Return the resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def get_cpu_s() -> float:
    """Return the CPU time of all threads of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def send_rounds(transport, addresses: list[str], duration_s: float) -> int:
    """Send heartbeats to all peers in rounds; return the number of dropped frames."""
    frame = INSTANCE_MESSAGES.encode(make_heartbeat(16))
    dropped = 0
    for _ in range(int(duration_s * ROUNDS_PER_S)):
        dropped += sum(not transport.send(address, frame) for address in addresses)
        await asyncio.sleep(1 / ROUNDS_PER_S)
    return dropped


async def measure(count: int) -> tuple[float, float]:
    """Return the CPU ms per second and the bytes used for this many peers."""
    child = await asyncio.create_subprocess_exec(
        sys.executable, __file__, "hear", str(count), stdout=asyncio.subprocess.PIPE
    )
    try:
        lines = [await child.stdout.readline() for _ in range(count)]
        addresses = [line.decode().strip() for line in lines]
        before_bytes = get_resident_memory_bytes()
        transport = create_peer_transport(f"{HOST}:0", None)
        await send_rounds(transport, addresses, WARM_UP_S)
        cpu_used_s, started_s = get_cpu_s(), time.monotonic()
        dropped = await send_rounds(transport, addresses, WINDOW_S)
        elapsed_s = time.monotonic() - started_s
        cpu_used_s = get_cpu_s() - cpu_used_s
        used_bytes = get_resident_memory_bytes() - before_bytes
        transport.close()
    finally:
        child.kill()
        await child.wait()
    if dropped:
        raise RuntimeError(f"transport dropped {dropped} frames")
    return cpu_used_s / elapsed_s * 1000, used_bytes


async def main() -> None:
    """Print the slopes."""
    await measure(PEER_COUNTS[0])
    costs = [[await measure(count) for count in PEER_COUNTS] for _ in range(REPEATS)]
    slopes = [
        fit_cost_slope(
            "CPU time per second, per peer",
            "ms",
            PEER_COUNTS,
            [[pair[0] for pair in row] for row in costs],
        ),
        fit_cost_slope(
            "resident memory, per peer",
            "bytes",
            PEER_COUNTS,
            [[pair[1] for pair in row] for row in costs],
        ),
    ]
    print_slopes("Connections to peers, 2 heartbeats per second to each", slopes)


if __name__ == "__main__":
    if sys.argv[1:2] == ["hear"]:
        receive_forever(int(sys.argv[2]))
    else:
        asyncio.run(main())
