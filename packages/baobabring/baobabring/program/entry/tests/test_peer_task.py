"""Test which instances an entry instance knows of."""

import pytest

from baobabring.entry import (
    FleetStatus,
    InstanceAlive,
    InstanceList,
    ProbeRateBudget,
    SharedView,
    TargetTable,
)
from baobabring.program.entry._failure_counts import FailureCounts
from baobabring.program.entry._peer_task import (
    PEER_TIMEOUT_S,
    SILENT_PEER_RETENTION_S,
    VIEW_RESEND_INTERVAL_S,
    PeerTask,
)
from baobabring.program.entry.tests.fakes import StepClock


class FakeLink:
    """Fake link to peers that records sent messages."""

    def __init__(self) -> None:
        self.sent = []

    def subscribe(self, message_type, handler) -> None:
        """Ignore a handler."""

    def set_peers(self, addresses) -> None:
        """Ignore the addresses."""

    def send(self, address, message) -> None:
        """Record a message."""
        self.sent.append((address, message))


class FakeAnnouncements:
    """Fake announcements that tests set."""

    def __init__(self) -> None:
        self.announced: dict[str, str] = {}
        self.silent: set[str] = set()

    async def read(self) -> dict[str, str]:
        """Return the announcements that were set."""
        return self.announced

    async def announce(self, announced) -> None:
        """Ignore the request to announce the instance."""

    async def remove_stale(self, announced, live) -> None:
        """Record the instances that are announced but not live."""
        self.silent = set(announced) - set(live)


@pytest.fixture
def clock() -> StepClock:
    """Return a clock."""
    return StepClock()


@pytest.fixture
def peers(clock) -> PeerTask:
    """Return the peers of the instance `i-0`, which knows two."""
    failure_counts = FailureCounts(TargetTable("i-0", "north"), clock)
    budget = ProbeRateBudget(60.0)
    task = PeerTask(
        "i-0",
        "10.0.0.0:1",
        FakeAnnouncements(),
        FakeLink(),
        budget,
        failure_counts,
        clock,
    )
    task.record_peer("i-1", "10.0.0.1:1")
    task.record_peer("i-2", "10.0.0.2:1")
    return task


def test_silent_peers_still_count_in_shared_limits(peers, clock):
    # An instance that was cut off from its peers used a cold target's whole limit.
    clock.at_s += PEER_TIMEOUT_S + 1
    peers._remove_silent()
    assert peers.live_addresses().keys() == {"i-0"}
    assert peers.known_ids() == {"i-0", "i-1", "i-2"}
    clock.at_s += SILENT_PEER_RETENTION_S + 1
    assert peers.known_ids() == {"i-0"}


def test_message_without_known_reader_goes_to_few_peers(peers):
    for number in range(3, 100):
        peers.record_peer(f"i-{number}", f"10.0.0.{number}:1")
    peers.announce_leaving()
    assert len(peers.link.sent) == 3


def test_status_has_only_changed_addresses(peers):
    assert peers.build_status().instances.joined.keys() == {"i-0", "i-1", "i-2"}
    assert peers.build_status().instances.is_empty
    peers.record_peer("i-3", "10.0.0.3:1")
    assert peers.build_status().instances.joined == {"i-3": "10.0.0.3:1"}


def test_list_of_reader_is_applied(peers, clock):
    reader = SharedView("i-9", "10.0.0.9:1")
    changes = InstanceList().replace_and_diff(
        {"i-9": "10.0.0.9:1", "i-4": "10.0.0.4:1"}
    )
    heartbeat = reader.heartbeat(FleetStatus(changes), clock.now_s())
    assert peers.apply_status(heartbeat)
    assert {"i-4", "i-9"} <= peers.live_addresses().keys()
    peers.announce_leaving()
    assert [address for address, _ in peers.link.sent] == ["10.0.0.9:1"]


def test_whole_list_is_needed_after_missed_change(peers, clock):
    reader = SharedView("i-9", "10.0.0.9:1")
    known = InstanceList()
    known.replace_and_diff({"i-9": "10.0.0.9:1", "i-4": "10.0.0.4:1"})
    changes = known.replace_and_diff({**known.addresses, "i-5": "10.0.0.5:1"})
    heartbeat = reader.heartbeat(FleetStatus(changes), clock.now_s())
    assert not peers.apply_status(heartbeat)
    peers.apply_instances(known.addresses)
    assert peers.apply_status(heartbeat)
    assert {"i-4", "i-5", "i-9"} <= peers.live_addresses().keys()


def test_view_is_sent_once_to_joining_instance(peers, clock):
    sent_to = []
    peers.send_view = sent_to.append
    peers.is_reader = lambda: True
    for _ in range(3):
        peers._on_alive(InstanceAlive("i-7", "10.0.0.7:1", joining=True))
    assert sent_to == ["10.0.0.7:1"]
    clock.at_s += VIEW_RESEND_INTERVAL_S + 0.1
    peers._on_alive(InstanceAlive("i-7", "10.0.0.7:1", joining=True))
    assert len(sent_to) == 2


async def test_unchanged_announcement_is_no_sign_of_life(peers, clock):
    peers.announcements.announced = {"i-1": "10.0.0.1:1"}
    clock.at_s += PEER_TIMEOUT_S - 1
    await peers.refresh()
    clock.at_s += 2
    peers._remove_silent()
    assert peers.live_addresses().keys() == {"i-0"}


async def test_refresh_finds_peers_removed_during_network_partition(peers, clock):
    clock.at_s += PEER_TIMEOUT_S + 1
    peers._remove_silent()
    peers.announcements.announced = {"i-0": "10.0.0.0:1", "i-1": "10.0.0.1:1"}
    await peers.refresh()
    assert peers.live_addresses().keys() == {"i-0", "i-1"}
    assert peers.announcements.silent == {"i-1"}
