"""Tests of the exchange of the log's state between peers."""

from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace

import pytest

from baobabring.balancing import BalancingSettings, create_balancer
from baobabring.membership import Heartbeat
from baobabring.peers import StateRequest
from baobabring.platform import InstanceInfo, InstanceState
from baobabring.program._state_exchange import StateExchange

OBSERVED_TIME_S = 2.0
STEP_S = 0.1


@dataclass
class FakeClock:
    """Return the time that a test has set."""

    time_s: float = 1_000.0

    def now_s(self) -> float:
        """Return the time."""
        return self.time_s


@dataclass
class FakeLink:
    """Store the sent messages."""

    sent: list = field(default_factory=list)

    def subscribe(self, message_type, handler) -> None:
        """Ignore the subscription."""

    def send(self, address, message) -> None:
        """Store a message."""
        self.sent.append((address, message))


@pytest.fixture
def harness():
    """Return an exchange whose reader is at offset 5, with its fakes."""
    clock, link = FakeClock(), FakeLink()
    listeners = []
    membership = SimpleNamespace(
        info=InstanceInfo("own", "z", "own-address", InstanceState.LIVE),
        add_heartbeat_listener=listeners.append,
    )
    reader = SimpleNamespace(
        replica=SimpleNamespace(next_offset=5),
        add_progress_listener=lambda listener: None,
    )
    balancer = create_balancer("own", "z", BalancingSettings(), Random(1))
    StateExchange(reader, membership, balancer.cold_start, link, clock)
    return SimpleNamespace(
        clock=clock, link=link, receive_heartbeat=listeners[0], reader=reader
    )


def make_heartbeat(sender: str, config_offset: int) -> Heartbeat:
    """Return a heartbeat of a peer."""
    return Heartbeat(
        sender, "z", sender, 1, 0.0, InstanceState.LIVE, 1, config_offset, 0.0
    )


def get_request_addresses(harness) -> list[str]:
    """Return the addresses that requests were sent to."""
    return [
        address
        for address, message in harness.link.sent
        if isinstance(message, StateRequest)
    ]


def test_only_first_heartbeat_after_start_triggers_a_request(harness):
    harness.receive_heartbeat(make_heartbeat("a", 5))
    harness.receive_heartbeat(make_heartbeat("b", 5))
    assert get_request_addresses(harness) == ["a"]


def test_peer_ahead_is_asked_while_other_peers_are_not_ahead(harness):
    harness.receive_heartbeat(make_heartbeat("behind", 5))
    harness.link.sent.clear()
    for _ in range(int(OBSERVED_TIME_S / STEP_S)):
        harness.clock.time_s += STEP_S
        harness.receive_heartbeat(make_heartbeat("ahead", 6))
        harness.receive_heartbeat(make_heartbeat("behind", 5))
    assert set(get_request_addresses(harness)) == {"ahead"}


def test_no_peer_is_asked_if_the_log_delivers_the_records_soon(harness):
    harness.receive_heartbeat(make_heartbeat("a", 5))
    harness.link.sent.clear()
    harness.receive_heartbeat(make_heartbeat("a", 6))
    harness.reader.replica.next_offset = 6
    for _ in range(int(OBSERVED_TIME_S / STEP_S)):
        harness.clock.time_s += STEP_S
        harness.receive_heartbeat(make_heartbeat("a", 6))
    assert get_request_addresses(harness) == []
