"""Tests of the configuration's confirmation."""

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.membership import (
    Confirmed,
    Degraded,
    Isolated,
    create_confirmation_tracker,
)


def make_tracker(offset=5, confirmed_at_s=100.0):
    tracker = create_confirmation_tracker()
    tracker.applied(offset)
    tracker.end_read(offset, confirmed_at_s)
    return tracker


def test_read_of_the_end_confirms():
    assert make_tracker().verdict(102.0, 0.0) == Confirmed(100.0)


def test_read_of_an_end_not_applied_does_not_confirm():
    tracker = make_tracker()
    tracker.end_read(6, 104.0)
    assert tracker.verdict(104.0, 0.0) == Isolated(100.0)


def test_peer_with_no_more_than_mine_confirms():
    tracker = make_tracker()
    tracker.peer_confirmed("a", 5, 104.0, 104.5)
    assert tracker.verdict(105.0, 0.0) == Confirmed(104.0)


def test_peer_ahead_confirms_once_its_records_are_applied():
    tracker = make_tracker()
    tracker.peer_confirmed("a", 6, 104.0, 104.5)
    assert tracker.verdict(105.0, 1.0) == Isolated(100.0)
    tracker.applied(6)
    assert tracker.verdict(105.0, 1.0) == Confirmed(104.0)


def test_peer_clock_ahead_does_not_confirm_the_future():
    tracker = make_tracker()
    tracker.peer_confirmed("a", 5, 900.0, 104.0)
    assert tracker.verdict(108.0, 0.0) == Isolated(104.0)


def test_log_down_for_all_goes_on():
    assert make_tracker().verdict(110.0, 0.51) == Degraded(100.0)


def test_half_of_the_fleet_is_not_enough():
    assert make_tracker().verdict(110.0, 0.5) == Isolated(100.0)


def test_nothing_confirmed_yet_is_isolated():
    assert create_confirmation_tracker().verdict(100.0, 0.0) == Isolated(0.0)


def test_lost_peer_ahead_is_forgotten():
    tracker = make_tracker()
    tracker.peer_confirmed("a", 6, 104.0, 104.5)
    tracker.forget_peer("a")
    assert tracker.verdict(110.0, 1.0) == Degraded(100.0)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["append", "read", "tell", "pass"]),
            st.integers(0, 3),
            st.integers(0, 3),
        ),
        max_size=60,
    )
)
def test_confirmation_never_covers_a_record_that_is_missing(steps):
    """At `confirmed_at_s` the log had no record that the instance lacks."""
    appended_at_s = []
    trackers = [create_confirmation_tracker() for _ in range(4)]
    for now_s, (step, one, other) in enumerate(steps, start=1):
        mine, peer = trackers[one], trackers[other]
        if step == "append":
            appended_at_s.append(float(now_s))
        elif step == "read":
            mine.applied(len(appended_at_s))
            mine.end_read(len(appended_at_s), float(now_s))
        elif step == "tell":
            mine.peer_confirmed(
                str(other), peer.config_offset, peer.confirmed_at_s, float(now_s)
            )
        else:
            mine.applied(peer.config_offset)
        for tracker in trackers:
            covered = sum(at_s <= tracker.confirmed_at_s for at_s in appended_at_s)
            assert covered <= tracker.config_offset
