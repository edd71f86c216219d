"""Supervision of an instance's tasks, which must not end the process."""

import asyncio
from collections.abc import Awaitable, Callable

import logbook

from baobabring.program.entry._metrics import TASK_FAILURES

LOG = logbook.Logger("tasks")

RESTART_PAUSE_S = 0.5


async def supervise(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task until cancelled, and again after an unexpected error.

    What the task believes stays with its object, so that it goes on from there. A task
    that returns has done its work.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            TASK_FAILURES.labels(name).inc()
            LOG.exception("task failed and starts again", task=name)
        await asyncio.sleep(RESTART_PAUSE_S)
