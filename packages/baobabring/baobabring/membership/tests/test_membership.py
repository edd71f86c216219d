"""Tests of the view of the fleet."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.membership import (
    Heartbeat,
    MembershipSettings,
    MemberState,
    create_membership,
)
from baobabring.peers import BadFrame, decode_message, encode_message
from baobabring.platform import InstanceInfo, InstanceState


def make_info(instance_id, state=InstanceState.LIVE):
    return InstanceInfo(instance_id, "sapporo", "127.0.0.1:1", state)


def make_heartbeat(sender, sequence=1, state=InstanceState.LIVE):
    return Heartbeat(sender, "sapporo", "127.0.0.1:1", sequence, 0.0, state, 1, 1, 0.0)


def make_view(*listed):
    view = create_membership("me")
    view.apply_list(tuple(make_info(instance_id) for instance_id in listed), 0.0)
    return view


def state_of(view, instance_id, now_s):
    states = {member.instance_id: member.state for member in view.members(now_s)}
    return states.get(instance_id)


def test_heartbeat_round_trip():
    heartbeat = make_heartbeat("a")
    assert decode_message(encode_message(heartbeat)) == heartbeat
    assert isinstance(decode_message(b"\x01\x01\x93\x01"), BadFrame)


def test_listed_instance_is_live_until_silent():
    view = make_view("me", "a")
    assert view.live(2.0) == ["a", "me"]
    assert view.live(3.0) == ["me"]
    assert state_of(view, "a", 3.0) is MemberState.SILENT


def test_heartbeats_keep_an_instance_that_the_list_lost():
    view = make_view("a")
    view.heard(make_heartbeat("a"), 5.0)
    view.apply_list((), 6.0)
    assert view.live(7.0) == ["a", "me"]


def test_instance_not_listed_yet_is_live_when_heard():
    view = make_view("me")
    view.heard(make_heartbeat("new"), 1.0)
    assert view.live(1.0) == ["me", "new"]


def test_unlisted_silent_instance_is_forgotten():
    view = make_view("a")
    view.apply_list((), 1.0)
    assert state_of(view, "a", 30.0) is MemberState.SILENT
    assert view.members(40.0) == []


def test_emptied_list_does_not_look_like_a_small_fleet():
    view = make_view("me", "a", "b")
    view.apply_list((), 10.0)
    assert view.reachable_share(10.0) == pytest.approx(1 / 3)
    assert view.reachable_share(41.0) == 1.0


def test_instance_that_left_does_not_count_as_out_of_reach():
    view = make_view("me", "a")
    view.heard(make_heartbeat("a", state=InstanceState.LEAVING), 1.0)
    view.apply_list((make_info("me"),), 2.0)
    assert view.reachable_share(9.0) == 1.0


def test_leaving_by_heartbeat_or_list():
    view = make_view("a", "b")
    view.heard(make_heartbeat("a", state=InstanceState.LEAVING), 1.0)
    view.apply_list((make_info("a"), make_info("b", InstanceState.LEAVING)), now_s=1.0)
    assert state_of(view, "a", 1.0) is MemberState.LEAVING
    assert state_of(view, "b", 1.0) is MemberState.LEAVING
    assert [member.instance_id for member in view.peers(1.0)] == ["a", "b"]


def test_out_of_order_heartbeat_is_ignored():
    view = make_view("a")
    assert view.heard(make_heartbeat("a", 2, InstanceState.LEAVING), 1.0)
    assert not view.heard(make_heartbeat("a", 1), 9.0)
    assert state_of(view, "a", 2.0) is MemberState.LEAVING
    assert state_of(view, "a", 9.0) is MemberState.SILENT


def test_suspicion_comes_before_the_verdict():
    view = make_view("a")
    view.heard(make_heartbeat("a"), 0.0)
    assert view.silent_peers(1.0) == []
    assert [member.instance_id for member in view.silent_peers(2.0)] == ["a"]
    assert state_of(view, "a", 2.0) is MemberState.LIVE


def test_reachable_share_counts_listed_instances():
    view = make_view("me", "a", "b", "c")
    view.heard(make_heartbeat("a"), 1.0)
    view.heard(make_heartbeat("unlisted"), 1.0)
    assert view.reachable_share(1.0) == 0.5
    assert create_membership("me").reachable_share(1.0) == 0.0


def test_fleet_size_is_the_larger_of_list_and_view():
    view = make_view("me", "a", "b")
    assert view.fleet_size(100.0) == 3
    for sender in ("x", "y", "z"):
        view.heard(make_heartbeat(sender), 100.0)
    assert view.fleet_size(100.0) == 6


def test_settings_must_grow():
    with pytest.raises(ValueError, match="must be > 0 and grow"):
        MembershipSettings(suspect_after_s=9.0)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from("bcde"), st.floats(0, 2), st.booleans()),
        max_size=40,
    )
)
def test_others_cannot_change_what_is_known_of_an_instance(steps):
    """Whoever else is heard, and whatever they say, `a` keeps its state."""
    alone, crowded = make_view("a"), make_view("a")
    now_s = 0.0
    for number, (sender, pause_s, leaving) in enumerate(steps):
        now_s += pause_s
        state = InstanceState.LEAVING if leaving else InstanceState.LIVE
        crowded.heard(make_heartbeat(sender, number, state), now_s)
        assert state_of(alone, "a", now_s) is state_of(crowded, "a", now_s)
        assert crowded.reachable_share(now_s) == alone.reachable_share(now_s)
