"""Tests of passing the log's state between peers."""

from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace

import pytest

from baobabring.balancing import BalancingSettings, create_balancer
from baobabring.membership import Heartbeat
from baobabring.peers import StateRequest
from baobabring.platform import InstanceInfo, InstanceState
from baobabring.program._state_exchange import StateExchange

ASK_LIMIT_S = 2.0
STEP_S = 0.1


@dataclass
class FakeClock:
    """Tell the time that a test has set."""

    time_s: float = 1_000.0

    def now_s(self) -> float:
        """Return the time."""
        return self.time_s


@dataclass
class FakeLink:
    """Keep what was sent."""

    sent: list = field(default_factory=list)

    def subscribe(self, message_type, handler) -> None:
        """Ignore the subscription."""

    def send(self, address, message) -> None:
        """Keep a message."""
        self.sent.append((address, message))


@pytest.fixture
def world():
    """Return an exchange whose reader is at offset 5, with its fakes."""
    clock, link = FakeClock(), FakeLink()
    listeners = []
    membership = SimpleNamespace(
        info=InstanceInfo("own", "z", "own-address", InstanceState.LIVE),
        add_heartbeat_listener=listeners.append,
    )
    reader = SimpleNamespace(
        fold=SimpleNamespace(next_offset=5),
        add_progress_listener=lambda listener: None,
    )
    balancer = create_balancer("own", "z", BalancingSettings(), Random(1))
    StateExchange(reader, membership, balancer.cold_start, link, clock)
    return SimpleNamespace(clock=clock, link=link, hear=listeners[0], reader=reader)


def heartbeat(sender: str, config_offset: int) -> Heartbeat:
    """Return a heartbeat of a peer."""
    return Heartbeat(
        sender, "z", sender, 1, 0.0, InstanceState.LIVE, 1, config_offset, 0.0
    )


def asked(world) -> list[str]:
    """Return whom requests went to."""
    return [to for to, message in world.link.sent if isinstance(message, StateRequest)]


def test_first_peer_heard_is_asked_once(world):
    world.hear(heartbeat("a", 5))
    world.hear(heartbeat("b", 5))
    assert asked(world) == ["a"]


def test_peer_ahead_is_asked_although_others_are_behind_too(world):
    world.hear(heartbeat("behind", 5))
    world.link.sent.clear()
    for _ in range(int(ASK_LIMIT_S / STEP_S)):
        world.clock.time_s += STEP_S
        world.hear(heartbeat("ahead", 6))
        world.hear(heartbeat("behind", 5))
    assert set(asked(world)) == {"ahead"}


def test_nobody_is_asked_when_the_log_brings_the_records_soon(world):
    world.hear(heartbeat("a", 5))
    world.link.sent.clear()
    world.hear(heartbeat("a", 6))
    world.reader.fold.next_offset = 6
    for _ in range(int(ASK_LIMIT_S / STEP_S)):
        world.clock.time_s += STEP_S
        world.hear(heartbeat("a", 6))
    assert asked(world) == []
