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

    async def restore_missing(self, announced, live) -> int:
        """Announce the live instances that are not announced."""
        missing = live.keys() - announced.keys()
        self.announced |= {instance_id: live[instance_id] for instance_id in missing}
        return 0


@pytest.fixture
def clock() -> StepClock:
    """Return a clock."""
    return StepClock()


@pytest.fixture
def peer_task(clock) -> PeerTask:
    """Return the peer task of the instance `i-0`, which knows two peers."""
    failure_counts = FailureCounts(TargetTable("i-0", "north"), clock)
    probe_budget = ProbeRateBudget(60.0)
    task = PeerTask(
        "i-0",
        "10.0.0.0:1",
        FakeAnnouncements(),
        FakeLink(),
        probe_budget,
        failure_counts,
        clock,
    )
    task.record_peer("i-1", "10.0.0.1:1")
    task.record_peer("i-2", "10.0.0.2:1")
    return task


def test_silent_peers_still_count_in_shared_limits(peer_task, clock):
    # An instance that was cut off from its peers used a cold target's whole limit.
    clock.at_s += PEER_TIMEOUT_S + 1
    peer_task._remove_silent()
    assert peer_task.live_addresses().keys() == {"i-0"}
    assert peer_task.known_ids() == {"i-0", "i-1", "i-2"}
    clock.at_s += SILENT_PEER_RETENTION_S + 1
    assert peer_task.known_ids() == {"i-0"}


def test_peers_that_were_silent_for_long_are_forgotten(peer_task, clock):
    clock.at_s += PEER_TIMEOUT_S + 1
    peer_task._remove_silent()
    clock.at_s += SILENT_PEER_RETENTION_S + 1
    peer_task._forget_silent()
    assert not peer_task._counted_until_s


def test_message_without_known_reader_goes_to_few_peers(peer_task):
    for number in range(3, 100):
        peer_task.record_peer(f"i-{number}", f"10.0.0.{number}:1")
    peer_task.announce_leaving()
    assert len(peer_task.link.sent) == 3


def test_status_has_only_changed_addresses(peer_task):
    assert peer_task.build_status().instances.joined.keys() == {"i-0", "i-1", "i-2"}
    assert peer_task.build_status().instances.is_empty
    peer_task.record_peer("i-3", "10.0.0.3:1")
    assert peer_task.build_status().instances.joined == {"i-3": "10.0.0.3:1"}


def test_list_of_reader_is_applied(peer_task, clock):
    reader = SharedView("i-9", "10.0.0.9:1")
    changes = InstanceList().replace_and_diff(
        {"i-9": "10.0.0.9:1", "i-4": "10.0.0.4:1"}
    )
    heartbeat = reader.build_heartbeat(FleetStatus(changes), clock.now_s())
    assert peer_task.apply_status(heartbeat)
    assert {"i-4", "i-9"} <= peer_task.live_addresses().keys()
    peer_task.announce_leaving()
    assert [address for address, _ in peer_task.link.sent] == ["10.0.0.9:1"]


def test_whole_list_is_needed_after_missed_change(peer_task, clock):
    reader = SharedView("i-9", "10.0.0.9:1")
    known = InstanceList()
    known.replace_and_diff({"i-9": "10.0.0.9:1", "i-4": "10.0.0.4:1"})
    changes = known.replace_and_diff({**known.addresses, "i-5": "10.0.0.5:1"})
    heartbeat = reader.build_heartbeat(FleetStatus(changes), clock.now_s())
    assert not peer_task.apply_status(heartbeat)
    peer_task.apply_instances(known.addresses)
    assert peer_task.apply_status(heartbeat)
    assert {"i-4", "i-5", "i-9"} <= peer_task.live_addresses().keys()


def test_view_is_sent_once_to_joining_instance(peer_task, clock):
    sent_to = []
    peer_task.send_view = sent_to.append
    peer_task.is_reader = lambda: True
    for _ in range(3):
        peer_task._on_alive(InstanceAlive("i-7", "10.0.0.7:1", joining=True))
    assert sent_to == ["10.0.0.7:1"]
    clock.at_s += VIEW_RESEND_INTERVAL_S + 0.1
    peer_task._on_alive(InstanceAlive("i-7", "10.0.0.7:1", joining=True))
    assert len(sent_to) == 2


async def test_unchanged_announcement_does_not_show_that_peer_is_running(
    peer_task, clock
):
    peer_task.announcements.announced = {"i-1": "10.0.0.1:1"}
    clock.at_s += PEER_TIMEOUT_S - 1
    await peer_task.refresh()
    clock.at_s += 2
    peer_task._remove_silent()
    assert peer_task.live_addresses().keys() == {"i-0"}


async def test_refresh_announces_live_peers_again(peer_task):
    peer_task.announcements.announced = {}
    assert await peer_task.refresh()
    assert peer_task.announcements.announced == {
        "i-1": "10.0.0.1:1",
        "i-2": "10.0.0.2:1",
    }


async def test_refresh_finds_peers_removed_during_network_partition(peer_task, clock):
    clock.at_s += PEER_TIMEOUT_S + 1
    peer_task._remove_silent()
    peer_task.announcements.announced = {"i-0": "10.0.0.0:1", "i-1": "10.0.0.1:1"}
    await peer_task.refresh()
    assert peer_task.live_addresses().keys() == {"i-0", "i-1"}
    assert peer_task.announcements.silent == {"i-1"}
