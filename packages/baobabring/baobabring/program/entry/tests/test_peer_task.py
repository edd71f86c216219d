"""Test which instances an entry instance counts."""

import pytest

from baobabring.entry import (
    FleetStatus,
    InstanceAlive,
    InstanceList,
    ProbeRateBudget,
    SharedView,
    TargetTable,
)
from baobabring.program.entry._failure_notices import FailureNotices
from baobabring.program.entry._peer_task import (
    REMEMBERED_S,
    SILENT_S,
    WELCOME_PAUSE_S,
    PeerTask,
)
from baobabring.program.entry.tests.fakes import StepClock


class FakeLink:
    """Stand in for the link to peers and keep what is sent."""

    def __init__(self) -> None:
        self.sent = []

    def subscribe(self, message_type, handler) -> None:
        """Take a handler."""

    def set_peers(self, addresses) -> None:
        """Take the addresses."""

    def send(self, address, message) -> None:
        """Keep a message."""
        self.sent.append((address, message))


class FakeAnnouncements:
    """Stand in for the store's announcements; tests set who is announced."""

    def __init__(self) -> None:
        self.announced: dict[str, str] = {}
        self.unheard: set[str] = set()

    async def read(self) -> dict[str, str]:
        """Return what was set."""
        return self.announced

    async def make(self, announced) -> None:
        """Announce nothing."""

    async def remove_stale(self, announced, live) -> None:
        """Note who was announced and is not heard."""
        self.unheard = set(announced) - set(live)


@pytest.fixture
def clock() -> StepClock:
    """Return a clock."""
    return StepClock()


@pytest.fixture
def peers(clock) -> PeerTask:
    """Return the peers of the instance `i-0`, which has heard of two."""
    notices = FailureNotices(TargetTable("i-0", "north"), clock)
    budget = ProbeRateBudget(60.0)
    task = PeerTask(
        "i-0", "10.0.0.0:1", FakeAnnouncements(), FakeLink(), budget, notices, clock
    )
    task.heard("i-1", "10.0.0.1:1")
    task.heard("i-2", "10.0.0.2:1")
    return task


def test_instance_cut_off_still_counts_its_peers_in_shared_limits(peers, clock):
    # One cut off took a cold target's whole limit (hunt-1c9e-11 on fondo-huelga).
    clock.at_s += SILENT_S + 1
    peers._drop_silent()
    assert peers.live().keys() == {"i-0"}
    assert peers.known() == {"i-0", "i-1", "i-2"}
    clock.at_s += REMEMBERED_S + 1
    assert peers.known() == {"i-0"}


def test_first_signs_of_life_go_to_few(peers):
    for number in range(3, 100):
        peers.heard(f"i-{number}", f"10.0.0.{number}:1")
    peers.leave()
    assert len(peers.link.sent) == 3


def test_addresses_travel_only_when_they_changed(peers):
    assert peers.status().instances.joined.keys() == {"i-0", "i-1", "i-2"}
    assert peers.status().instances.is_empty
    peers.heard("i-3", "10.0.0.3:1")
    assert peers.status().instances.joined == {"i-3": "10.0.0.3:1"}


def test_reader_list_is_taken_over(peers, clock):
    reader = SharedView("i-9", "10.0.0.9:1")
    told = InstanceList().replace_and_diff({"i-9": "10.0.0.9:1", "i-4": "10.0.0.4:1"})
    heartbeat = reader.heartbeat(FleetStatus(told), clock.now_s())
    assert peers.heard_status(heartbeat)
    assert {"i-4", "i-9"} <= peers.live().keys()
    peers.leave()
    assert [address for address, _ in peers.link.sent] == ["10.0.0.9:1"]


def test_list_is_needed_whole_after_a_missed_change(peers, clock):
    reader = SharedView("i-9", "10.0.0.9:1")
    known = InstanceList()
    known.replace_and_diff({"i-9": "10.0.0.9:1", "i-4": "10.0.0.4:1"})
    told = known.replace_and_diff({**known.addresses, "i-5": "10.0.0.5:1"})
    heartbeat = reader.heartbeat(FleetStatus(told), clock.now_s())
    assert not peers.heard_status(heartbeat)
    peers.heard_list(known.addresses)
    assert peers.heard_status(heartbeat)
    assert {"i-4", "i-5", "i-9"} <= peers.live().keys()


def test_instance_that_joins_is_told_the_view_once(peers, clock):
    told = []
    peers.send_view = told.append
    peers.is_reader = lambda: True
    for _ in range(3):
        peers._heard_alive(InstanceAlive("i-7", "10.0.0.7:1", joining=True))
    assert told == ["10.0.0.7:1"]
    clock.at_s += WELCOME_PAUSE_S + 0.1
    peers._heard_alive(InstanceAlive("i-7", "10.0.0.7:1", joining=True))
    assert len(told) == 2


async def test_announcement_is_no_sign_of_life(peers, clock):
    peers.announcements.announced = {"i-1": "10.0.0.1:1"}
    clock.at_s += SILENT_S - 1
    await peers.refresh()
    clock.at_s += 2
    peers._drop_silent()
    assert peers.live().keys() == {"i-0"}


async def test_sides_that_forgot_each_other_in_a_long_cut_find_each_other(peers, clock):
    clock.at_s += SILENT_S + 1
    peers._drop_silent()
    peers.announcements.announced = {"i-0": "10.0.0.0:1", "i-1": "10.0.0.1:1"}
    await peers.refresh()
    assert peers.live().keys() == {"i-0", "i-1"}
    assert peers.announcements.unheard == {"i-1"}
