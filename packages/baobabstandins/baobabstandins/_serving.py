"""Serve aiohttp applications on loopback addresses until a signal comes."""

import asyncio
import signal

from aiohttp import web

SHUTDOWN_TIMEOUT_S = 0.2
BODY_LIMIT_BYTES = 16 * 1024 * 1024


async def start_site(
    app: web.Application, host: str, port: int, *, cancel_when_caller_leaves: bool
) -> tuple[web.AppRunner, int]:
    """Start serving; return the runner and the port that was bound."""
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=cancel_when_caller_leaves,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    return runner, runner.addresses[0][1]


async def wait_for_signal() -> None:
    """Wait until the process is told to end."""
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await ended.wait()


def close_without_answer(request: web.Request) -> web.Response:
    """Close the connection of a request; nothing of the answer goes out."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
