"""Test to which peers calls are handed over."""

from collections import Counter
from random import Random

import pytest

from baobabring.entry import HandoverPeers, HandoverStatus

SERVICE = "menu"
CLOCK_LEAD_S = 1_000.0


def build_status(sender, **changes):
    """Return the answer of a peer in the same availability zone that takes calls."""
    fields = {
        "session": 1,
        "zone": "north",
        "clock_s": CLOCK_LEAD_S,
        "accepts": True,
        "lost_services": [],
        "configuration_version": 4,
    }
    return HandoverStatus(sender=sender, **{**fields, **changes})


def build_peers(count, zone="north", seed=1):
    """Return the view of an instance on others that have not answered yet."""
    peers = HandoverPeers(zone, Random(seed))
    peers.set_instances({f"i-{n}": f"10.0.0.{n}:7200" for n in range(count)})
    return peers


def choose_id(peers, now_s=0.0, excluded_ids=()):
    """Return the id of the peer that is chosen, None if there is none."""
    peer = peers.choose(SERVICE, 4, excluded_ids, now_s)
    return peer.instance_id if peer is not None else None


def test_peer_that_has_not_answered_gets_no_call():
    assert choose_id(build_peers(3)) is None


@pytest.mark.parametrize(
    "changes",
    [
        {"accepts": False},
        {"lost_services": [SERVICE]},
        {"configuration_version": 3},
    ],
)
def test_peer_that_cannot_serve_the_call_gets_none(changes):
    peers = build_peers(3)
    peers.record_status(build_status("i-1", **changes), 0.0)
    assert choose_id(peers) is None


def test_peer_that_lost_another_service_gets_calls():
    peers = build_peers(3)
    peers.record_status(build_status("i-1", lost_services=["fees"]), 0.0)
    assert choose_id(peers) == "i-1"


def test_peer_that_stopped_answering_gets_no_more_calls():
    peers = build_peers(3)
    peers.record_status(build_status("i-1"), 0.0)
    assert choose_id(peers, 0.9) == "i-1"
    assert choose_id(peers, 1.1) is None


def test_peer_that_refused_gets_no_calls_of_the_service_for_a_moment():
    peers = build_peers(3)
    peers.record_status(build_status("i-1"), 0.0)
    peers.record_refusal("i-1", SERVICE, 0.0)
    assert choose_id(peers, 0.4) is None
    assert choose_id(peers, 0.6) == "i-1"


def test_peer_that_left_gets_no_calls():
    peers = build_peers(2)
    peers.record_status(build_status("i-1"), 0.0)
    peers.set_instances({"i-0": "10.0.0.0:7200"})
    assert choose_id(peers) is None
    peers.record_status(build_status("i-1"), 0.0)
    assert choose_id(peers) is None


def test_refusals_of_peers_that_left_are_forgotten():
    peers = build_peers(2)
    peers.record_refusal("i-1", SERVICE, 0.0)
    peers.set_instances({"i-0": "10.0.0.0:7200"})
    assert not peers._refused_until_s


def test_peers_in_the_same_zone_come_first_until_they_are_busier():
    peers = build_peers(2)
    peers.record_status(build_status("i-0", zone="south"), 0.0)
    peers.record_status(build_status("i-1"), 0.0)
    assert choose_id(peers) == "i-1"
    peers.get("i-1").in_flight = 3
    assert choose_id(peers) == "i-0"


def test_restart_of_a_peer_is_noticed():
    peers = build_peers(2)
    assert not peers.record_status(build_status("i-1"), 0.0)
    assert not peers.record_status(build_status("i-1"), 0.5)
    assert peers.record_status(build_status("i-1", session=2), 1.0)


def test_time_in_the_clock_of_a_peer_is_not_later_than_the_true_one():
    peers = build_peers(2)
    # The answer was written at 9.9 s by the own clock and arrives 0.1 s later.
    peers.record_status(build_status("i-1", clock_s=9.9 + CLOCK_LEAD_S), 10.0)
    peer = peers.get("i-1")
    assert 10.5 + CLOCK_LEAD_S - 0.1 <= peer.to_peer_time_s(10.5) <= 10.5 + CLOCK_LEAD_S


def test_checks_go_to_peers_in_use_and_to_others_only_while_too_few_are_usable():
    peers = build_peers(100)
    assert len(peers.peers_to_check([SERVICE], 0.0)) == 8
    for number in range(6):
        peers.record_status(build_status(f"i-{number}"), 0.0)
    peers.get("i-5").in_flight = 1
    checked = peers.peers_to_check([SERVICE], 0.0)
    assert len(checked) == 5
    assert checked.keys() <= {f"i-{number}" for number in range(6)}
    assert "i-5" in checked


def test_no_peer_is_checked_while_nothing_is_lost_or_in_progress():
    peers = build_peers(100)
    for number in range(6):
        peers.record_status(build_status(f"i-{number}"), 0.0)
    assert peers.peers_to_check([], 0.0) == {}


def test_calls_of_eight_cut_instances_spread_over_the_few_others():
    # Each cut instance only knows the calls that it handed over itself.
    received = Counter()
    for cut in range(8):
        peers = build_peers(14, zone=("north", "south")[cut % 2], seed=cut)
        for number in range(8, 14):
            zone = ("north", "south")[number % 2]
            peers.record_status(build_status(f"i-{number}", zone=zone), 0.0)
        for _ in range(20):
            chosen = peers.get(choose_id(peers))
            chosen.in_flight += 1
            received[chosen.instance_id] += 1
    assert len(received) == 6
    assert max(received.values()) <= 1.5 * 160 / 6
