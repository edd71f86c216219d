"""Tests of the clocks of an instance."""

import pytest

from baobabring.utils import BoottimeClock, Clock, _clock


class FakeTime:
    """Replace the time module."""

    def __init__(self) -> None:
        self.unix_s = 1_000.0
        self.monotonic_s = 5.0

    def time(self) -> float:
        """Return the time of the system clock."""
        return self.unix_s

    def monotonic(self) -> float:
        """Return the time of the monotonic clock."""
        return self.monotonic_s


@pytest.fixture
def fake_time(monkeypatch) -> FakeTime:
    """Replace the time module of the clocks by a fake."""
    fake = FakeTime()
    monkeypatch.setattr(_clock, "time", fake)
    return fake


def test_time_advances_with_the_monotonic_clock(fake_time):
    clock = Clock()
    fake_time.unix_s += 2.0
    fake_time.monotonic_s += 2.0
    assert clock.now_s() == 1_002.0


def test_time_does_not_follow_a_backward_step_of_the_system_clock(fake_time):
    clock = Clock()
    fake_time.unix_s -= 50.0
    fake_time.monotonic_s += 1.0
    assert clock.now_s() == 1_001.0


def test_time_includes_a_suspension(fake_time):
    clock = Clock()
    fake_time.unix_s += 600.0
    fake_time.monotonic_s += 1.0
    assert clock.now_s() == 1_600.0
    fake_time.monotonic_s += 1.0
    assert clock.now_s() == 1_601.0


def test_boottime_clock_ignores_steps_of_the_system_clock(monkeypatch):
    clock = BoottimeClock()
    before_s = clock.now_s()
    monkeypatch.setattr(_clock.time, "time", lambda: 4e9)
    assert 0 <= clock.now_s() - before_s < 60
