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
    tracker.record_applied(offset)
    tracker.record_log_end(offset, confirmed_at_s)
    return tracker


def test_read_of_the_applied_end_confirms():
    assert make_tracker().confirmation_status(102.0, 0.0) == Confirmed(100.0)


def test_read_of_an_unapplied_end_does_not_confirm():
    tracker = make_tracker()
    tracker.record_log_end(6, 104.0)
    assert tracker.confirmation_status(104.0, 0.0) == Isolated(100.0)


def test_peer_without_newer_records_confirms():
    tracker = make_tracker()
    tracker.record_peer_confirmation("a", 5, 104.0, 104.5)
    assert tracker.confirmation_status(105.0, 0.0) == Confirmed(104.0)


def test_peer_ahead_confirms_once_its_records_are_applied():
    tracker = make_tracker()
    tracker.record_peer_confirmation("a", 6, 104.0, 104.5)
    assert tracker.confirmation_status(105.0, 1.0) == Isolated(100.0)
    tracker.record_applied(6)
    assert tracker.confirmation_status(105.0, 1.0) == Confirmed(104.0)


def test_peer_clock_ahead_does_not_confirm_a_future_time():
    tracker = make_tracker()
    tracker.record_peer_confirmation("a", 5, 900.0, 104.0)
    assert tracker.confirmation_status(108.0, 0.0) == Isolated(104.0)


def test_log_outage_with_a_reachable_majority_is_degraded():
    assert make_tracker().confirmation_status(110.0, 0.51) == Degraded(100.0)


def test_half_of_the_fleet_is_isolated():
    assert make_tracker().confirmation_status(110.0, 0.5) == Isolated(100.0)


def test_new_tracker_is_isolated():
    assert create_confirmation_tracker().confirmation_status(100.0, 0.0) == Isolated(
        0.0
    )


def test_confirmation_of_a_removed_peer_is_ignored():
    tracker = make_tracker()
    tracker.record_peer_confirmation("a", 6, 104.0, 104.5)
    tracker.remove_peer("a")
    assert tracker.confirmation_status(110.0, 1.0) == Degraded(100.0)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["append", "read", "heartbeat", "apply"]),
            st.integers(0, 3),
            st.integers(0, 3),
        ),
        max_size=60,
    )
)
def test_confirmation_never_covers_a_missing_record(steps):
    """The instance has every record appended up to `confirmed_at_s`."""
    appended_at_s = []
    trackers = [create_confirmation_tracker() for _ in range(4)]
    for now_s, (step, one, other) in enumerate(steps, start=1):
        own, peer = trackers[one], trackers[other]
        if step == "append":
            appended_at_s.append(float(now_s))
        elif step == "read":
            own.record_applied(len(appended_at_s))
            own.record_log_end(len(appended_at_s), float(now_s))
        elif step == "heartbeat":
            own.record_peer_confirmation(
                str(other), peer.config_offset, peer.confirmed_at_s, float(now_s)
            )
        else:
            own.record_applied(peer.config_offset)
        for tracker in trackers:
            covered = sum(at_s <= tracker.confirmed_at_s for at_s in appended_at_s)
            assert covered <= tracker.config_offset
