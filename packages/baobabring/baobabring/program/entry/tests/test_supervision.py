"""Test that an unexpected error of a task does not end the process."""

import asyncio

import pytest

from baobabring.program.entry import _supervision


@pytest.fixture(autouse=True)
def short_pause(monkeypatch):
    """Shorten the pause before a task starts again."""
    monkeypatch.setattr(_supervision, "RESTART_PAUSE_S", 0.001)


async def test_task_starts_again_after_an_unexpected_error():
    starts = 0

    async def run():
        nonlocal starts
        starts += 1
        if starts < 4:
            raise KeyError("unexpected")

    await _supervision.supervise("test", run)
    assert starts == 4


async def test_cancelled_task_does_not_start_again():
    started = asyncio.Event()

    async def run():
        assert not started.is_set()
        started.set()
        await asyncio.sleep(60.0)

    task = asyncio.ensure_future(_supervision.supervise("test", run))
    await started.wait()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
