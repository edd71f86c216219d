"""Serve aiohttp applications on loopback addresses until a signal arrives."""

import asyncio
import signal

from aiohttp import web

SHUTDOWN_TIMEOUT_S = 0.2
MAX_BODY_BYTES = 16 * 1024 * 1024


async def start_site(
    app: web.Application, host: str, port: int, *, cancel_on_disconnect: bool
) -> tuple[web.AppRunner, int]:
    """Start serving and return the runner and the bound port."""
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=cancel_on_disconnect,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    return runner, runner.addresses[0][1]


async def wait_for_stop_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()


def close_without_response(request: web.Request) -> web.Response:
    """Abort the connection of a request without sending a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
