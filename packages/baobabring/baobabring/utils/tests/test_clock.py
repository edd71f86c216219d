"""Tests of the clock of an instance."""

import pytest

from baobabring.utils import Clock, RunningClock, _clock


class FakeTime:
    """Stand in for the time module."""

    def __init__(self) -> None:
        self.unix_s = 1_000.0
        self.running_s = 5.0

    def time(self) -> float:
        """Return the system's clock."""
        return self.unix_s

    def monotonic(self) -> float:
        """Return the time that the machine has run."""
        return self.running_s


@pytest.fixture
def fake_time(monkeypatch) -> FakeTime:
    """Put a fake in the place of the time module."""
    fake = FakeTime()
    monkeypatch.setattr(_clock, "time", fake)
    return fake


def test_time_goes_on_with_the_machine(fake_time):
    clock = Clock()
    fake_time.unix_s += 2.0
    fake_time.running_s += 2.0
    assert clock.now_s() == 1_002.0


def test_time_never_goes_back_with_the_system_clock(fake_time):
    clock = Clock()
    fake_time.unix_s -= 50.0
    fake_time.running_s += 1.0
    assert clock.now_s() == 1_001.0


def test_time_includes_a_suspension_that_the_machine_did_not_count(fake_time):
    clock = Clock()
    fake_time.unix_s += 600.0
    fake_time.running_s += 1.0
    assert clock.now_s() == 1_600.0
    fake_time.running_s += 1.0
    assert clock.now_s() == 1_601.0


def test_running_clock_ignores_steps_of_the_time_of_day(monkeypatch):
    clock = RunningClock()
    before_s = clock.now_s()
    monkeypatch.setattr(_clock.time, "time", lambda: 4e9)
    assert 0 <= clock.now_s() - before_s < 60
