"""Tests of the membership of the fleet."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.membership import (
    Heartbeat,
    MembershipSettings,
    MemberState,
    create_membership,
)
from baobabring.peers import BadFrame
from baobabring.platform import InstanceInfo, InstanceState
from baobabring.program._peer_messages import INSTANCE_MESSAGES


def make_info(instance_id, state=InstanceState.LIVE):
    return InstanceInfo(instance_id, "sapporo", "127.0.0.1:1", state)


def make_heartbeat(sender, sequence=1, state=InstanceState.LIVE):
    return Heartbeat(sender, "sapporo", "127.0.0.1:1", sequence, 0.0, state, 1, 1, 0.0)


def make_membership(*listed):
    membership = create_membership("me")
    membership.apply_list(tuple(make_info(instance_id) for instance_id in listed), 0.0)
    return membership


def get_state(membership, instance_id, now_s):
    states = {
        member.instance_id: member.state for member in membership.get_members(now_s)
    }
    return states.get(instance_id)


def test_heartbeat_round_trip():
    heartbeat = make_heartbeat("a")
    assert INSTANCE_MESSAGES.decode(INSTANCE_MESSAGES.encode(heartbeat)) == heartbeat
    assert isinstance(INSTANCE_MESSAGES.decode(b"\x01\x01\x93\x01"), BadFrame)


def test_listed_instance_is_live_until_silent():
    membership = make_membership("me", "a")
    assert membership.get_live_instances(2.0) == ["a", "me"]
    assert membership.get_live_instances(3.0) == ["me"]
    assert get_state(membership, "a", 3.0) is MemberState.SILENT


def test_instance_missing_from_the_list_stays_live_with_heartbeats():
    membership = make_membership("a")
    membership.record_heartbeat(make_heartbeat("a"), 5.0)
    membership.apply_list((), 6.0)
    assert membership.get_live_instances(7.0) == ["a", "me"]


def test_unlisted_instance_is_live_after_a_heartbeat():
    membership = make_membership("me")
    membership.record_heartbeat(make_heartbeat("new"), 1.0)
    assert membership.get_live_instances(1.0) == ["me", "new"]


def test_unlisted_silent_instance_is_removed():
    membership = make_membership("a")
    membership.apply_list((), 1.0)
    assert get_state(membership, "a", 30.0) is MemberState.SILENT
    assert membership.get_members(40.0) == []


def test_instances_lost_from_the_list_count_as_unreachable_for_a_while():
    membership = make_membership("me", "a", "b")
    membership.apply_list((), 10.0)
    assert membership.get_reachable_share(10.0) == pytest.approx(1 / 3)
    assert membership.get_reachable_share(41.0) == 1.0


def test_instance_that_left_does_not_count_as_unreachable():
    membership = make_membership("me", "a")
    membership.record_heartbeat(make_heartbeat("a", state=InstanceState.LEAVING), 1.0)
    membership.apply_list((make_info("me"),), 2.0)
    assert membership.get_reachable_share(9.0) == 1.0


def test_heartbeat_or_list_can_report_an_instance_as_leaving():
    membership = make_membership("a", "b")
    membership.record_heartbeat(make_heartbeat("a", state=InstanceState.LEAVING), 1.0)
    membership.apply_list(
        (make_info("a"), make_info("b", InstanceState.LEAVING)), now_s=1.0
    )
    assert get_state(membership, "a", 1.0) is MemberState.LEAVING
    assert get_state(membership, "b", 1.0) is MemberState.LEAVING
    assert [member.instance_id for member in membership.get_peers(1.0)] == ["a", "b"]


def test_out_of_order_heartbeat_is_ignored():
    membership = make_membership("a")
    assert membership.record_heartbeat(
        make_heartbeat("a", 2, InstanceState.LEAVING), 1.0
    )
    assert not membership.record_heartbeat(make_heartbeat("a", 1), 9.0)
    assert get_state(membership, "a", 2.0) is MemberState.LEAVING
    assert get_state(membership, "a", 9.0) is MemberState.SILENT


def test_instance_is_suspected_before_it_is_silent():
    membership = make_membership("a")
    membership.record_heartbeat(make_heartbeat("a"), 0.0)
    assert membership.suspected_peers(1.0) == []
    assert [member.instance_id for member in membership.suspected_peers(2.0)] == ["a"]
    assert get_state(membership, "a", 2.0) is MemberState.LIVE


def test_reachable_share_counts_listed_instances():
    membership = make_membership("me", "a", "b", "c")
    membership.record_heartbeat(make_heartbeat("a"), 1.0)
    membership.record_heartbeat(make_heartbeat("unlisted"), 1.0)
    assert membership.get_reachable_share(1.0) == 0.5
    assert create_membership("me").get_reachable_share(1.0) == 0.0


def test_fleet_size_is_the_larger_of_listed_and_known_instances():
    membership = make_membership("me", "a", "b")
    assert membership.get_fleet_size(100.0) == 3
    for sender in ("x", "y", "z"):
        membership.record_heartbeat(make_heartbeat(sender), 100.0)
    assert membership.get_fleet_size(100.0) == 6


def test_settings_must_increase():
    with pytest.raises(ValueError, match="must be > 0 and grow"):
        MembershipSettings(suspect_after_s=9.0)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from("bcde"), st.floats(0, 2), st.booleans()),
        max_size=40,
    )
)
def test_heartbeats_of_others_do_not_change_an_instance_state(steps):
    """Heartbeats of other instances must not affect what is known of `a`."""
    without_others, with_others = make_membership("a"), make_membership("a")
    now_s = 0.0
    for number, (sender, elapsed_s, leaving) in enumerate(steps):
        now_s += elapsed_s
        state = InstanceState.LEAVING if leaving else InstanceState.LIVE
        with_others.record_heartbeat(make_heartbeat(sender, number, state), now_s)
        assert get_state(without_others, "a", now_s) is get_state(
            with_others, "a", now_s
        )
        assert with_others.get_reachable_share(
            now_s
        ) == without_others.get_reachable_share(now_s)
