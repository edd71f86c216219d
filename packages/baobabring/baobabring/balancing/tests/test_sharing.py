"""Tests of the exchange of in-flight counts."""

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.balancing import (
    Candidate,
    InFlightUpdate,
    TargetCount,
)
from baobabring.balancing._peers import DecayScale, PeerLoad
from baobabring.balancing._updates import target_key
from baobabring.balancing.tests.fakes import make_warm_balancer
from baobabring.program._peer_messages import INSTANCE_MESSAGES

DECAY_S = 0.1


def make_update(
    sequence: int, sent_at_s: float, in_flight: int, full: bool = False
) -> InFlightUpdate:
    counts = (TargetCount(target_key("t0"), in_flight),)
    return InFlightUpdate("peer", sequence, sent_at_s, full, counts)


def make_load() -> tuple[PeerLoad, Candidate, DecayScale]:
    candidate = Candidate("t0", 4)
    scale = DecayScale(0.0, DECAY_S)
    load = PeerLoad()
    load.set_targets([(candidate, scale)])
    return load, candidate, scale


def peers_in_flight(candidate: Candidate, scale: DecayScale, now_s: float) -> float:
    return candidate.scaled_peers_in_flight * scale.factor(now_s)


def test_encoding_and_decoding_preserves_an_update():
    update = make_update(7, 1.5, 2)
    assert INSTANCE_MESSAGES.decode(INSTANCE_MESSAGES.encode(update)) == update


def test_counts_decay_with_age():
    load, candidate, scale = make_load()
    load.apply(make_update(1, 1.0, 2), 1.0)
    assert abs(peers_in_flight(candidate, scale, 1.0) - 2.0) < 1e-6
    assert peers_in_flight(candidate, scale, 1.0 + 5 * DECAY_S) < 0.02


def test_clocks_of_peers_need_not_agree():
    load, candidate, scale = make_load()
    load.apply(make_update(1, 500.0, 2), 1.0)
    assert abs(peers_in_flight(candidate, scale, 1.0) - 2.0) < 1e-6


def test_delayed_update_weighs_less():
    load, candidate, scale = make_load()
    load.apply(make_update(1, 1.0, 2), 1.0)
    load.apply(make_update(2, 1.1, 2), 1.1 + 5 * DECAY_S)
    assert peers_in_flight(candidate, scale, 1.1 + 5 * DECAY_S) < 0.02


def test_counts_of_a_removed_peer_are_dropped():
    load, candidate, scale = make_load()
    load.apply(make_update(1, 1.0, 2), 1.0)
    load.remove_peer("peer")
    assert abs(peers_in_flight(candidate, scale, 1.0)) < 1e-9


def test_unlisted_counts_are_dropped_after_a_lost_update():
    load, candidate, scale = make_load()
    load.apply(make_update(1, 1.0, 2), 1.0)
    load.apply(InFlightUpdate("peer", 3, 1.01, False), 1.01)
    assert abs(peers_in_flight(candidate, scale, 1.01)) < 1e-9


events = st.lists(
    st.tuples(st.integers(0, 14), st.floats(0.0, 3.0), st.booleans()), max_size=40
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(counts=st.lists(st.integers(0, 4), min_size=15, max_size=15), arrivals=events)
def test_late_and_duplicate_updates_change_nothing(counts, arrivals):
    load, candidate, scale = make_load()
    newest = -1
    now_s = 1.0
    for index, delay_s, rebase in arrivals:
        now_s += delay_s
        update = make_update(index, 1.0 + 0.1 * index, counts[index], full=True)
        before = peers_in_flight(candidate, scale, now_s)
        applied = load.apply(update, now_s)
        assert applied is (index > newest)
        newest = max(newest, index)
        after = peers_in_flight(candidate, scale, now_s)
        if not applied:
            assert after == before
        if rebase:
            load.rebase(now_s)
            again = peers_in_flight(candidate, scale, now_s)
            assert abs(again - after) < 1e-6
        assert -1e-6 < after <= counts[newest] + 1e-6


def test_changes_are_coalesced():
    balancer = make_warm_balancer(share_interval_ms=5.0, share_idle_factor=1.0)
    balancer.record_attempt_start("t0", 10.0)
    assert balancer.sharing.pop_due_update(10.0) is not None
    balancer.record_attempt_start("t1", 10.001)
    balancer.record_attempt_start("t1", 10.002)
    assert balancer.sharing.pop_due_update(10.002) is None
    update = balancer.sharing.pop_due_update(10.006)
    assert update.counts == (TargetCount(target_key("t1"), 2),)


def test_reverted_change_is_not_sent():
    balancer = make_warm_balancer(share_renew_ms=1_000.0)
    balancer.record_attempt_start("t0", 10.0)
    balancer.sharing.pop_due_update(10.0)
    balancer.record_attempt_start("t1", 10.001)
    balancer.record_attempt_end("t1", None, 10.002)
    assert balancer.sharing.pop_due_update(10.1) is None


def test_idle_instance_sends_nothing():
    balancer = make_warm_balancer()
    assert all(balancer.sharing.pop_due_update(float(t)) is None for t in range(10, 20))


def test_counts_are_not_sent_under_policies_that_ignore_them():
    balancer = make_warm_balancer(policy="random")
    balancer.record_attempt_start("t0", 10.0)
    assert balancer.sharing.pop_due_update(10.1) is None


def test_unchanged_counts_are_confirmed_while_calls_are_in_flight():
    balancer = make_warm_balancer(share_renew_ms=50.0)
    balancer.record_attempt_start("t0", 10.0)
    balancer.sharing.pop_due_update(10.0)
    assert balancer.sharing.pop_due_update(10.06).counts == ()


def test_updates_stay_within_their_budget():
    rate = 2_000.0
    balancer = make_warm_balancer(share_bytes_per_s=rate)
    sent_bytes = 0
    for step in range(10_000):
        now_s = 10.0 + 0.001 * step
        if step % 2:
            balancer.record_attempt_end("t0", None, now_s)
        else:
            balancer.record_attempt_start("t0", now_s)
        if step % 5 == 0:
            update = balancer.sharing.pop_due_update(now_s)
            sent_bytes += len(INSTANCE_MESSAGES.encode(update)) if update else 0
    assert 0.2 * rate * 10 < sent_bytes <= rate * 10.5


def test_sequence_is_higher_after_a_restart():
    sequences = []
    for now_s in (10.0, 11.0):
        balancer = make_warm_balancer()
        balancer.record_attempt_start("t0", now_s)
        sequences.append(balancer.sharing.pop_due_update(now_s).sequence)
    assert sequences[0] < sequences[1]
