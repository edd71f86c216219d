"""Tests of the choice of targets and the accounting of attempts."""

import pytest

from baobabring.balancing import BalancingSettings, InFlightUpdate, TargetCount
from baobabring.balancing._updates import target_key
from baobabring.balancing.tests.fakes import (
    FakeLog,
    make_answered,
    make_balancer,
    make_configuration,
    make_target,
    make_warm_balancer,
    warm_up,
)
from baobabring.model import LoadReport, Lost, Reason, Shed, TargetState


def chosen_targets(balancer, now_s: float) -> set[str | None]:
    return {balancer.choose("menu", now_s) for _ in range(100)}


def make_update(
    counts: dict[str, int], sequence: int, sent_at_s: float
) -> InFlightUpdate:
    shared = tuple(TargetCount(target_key(t), n) for t, n in counts.items())
    return InFlightUpdate("peer", sequence, sent_at_s, False, shared)


def test_choose_returns_none_when_all_slots_are_taken():
    balancer = make_warm_balancer(count=1)
    for _ in range(2):
        assert balancer.choose("menu", 1.0) == "t0"
        balancer.record_attempt_start("t0", 1.0)
    assert balancer.choose("menu", 1.0) is None
    balancer.record_attempt_end("t0", make_answered(), 1.02)
    assert balancer.has_capacity("menu", 1.02)


def test_choose_returns_none_for_an_unknown_service():
    assert make_warm_balancer().choose("trays", 1.0) is None


def test_choose_leaves_out_excluded_targets():
    balancer = make_warm_balancer(count=2)
    assert balancer.choose("menu", 1.0, frozenset({"t0"})) == "t1"
    assert balancer.choose("menu", 1.0, frozenset({"t0", "t1"})) is None


def test_calls_of_peers_occupy_slots_until_they_decay():
    balancer = make_warm_balancer(count=1)
    balancer.sharing.apply(make_update({"t0": 2}, 1, 1.0), 1.0)
    assert not balancer.has_capacity("menu", 1.0)
    assert balancer.has_capacity("menu", 3.0)


def test_oversubscription_allows_more_calls_than_slots():
    balancer = make_warm_balancer(count=1, oversubscription=1.5)
    for _ in range(3):
        balancer.record_attempt_start(balancer.choose("menu", 1.0), 1.0)
    assert balancer.choose("menu", 1.0) is None


def test_calls_wait_at_a_target_only_while_no_slot_is_free():
    balancer = make_warm_balancer(count=2, oversubscription=1.5)
    for _ in range(2):
        balancer.record_attempt_start("t0", 1.0)
    assert chosen_targets(balancer, 1.0) == {"t1"}


def test_policies_without_peer_counts_use_own_calls_only():
    balancer = make_warm_balancer(count=1, policy="two-choices")
    balancer.sharing.apply(make_update({"t0": 2}, 1, 1.0), 1.0)
    assert balancer.has_capacity("menu", 1.0)


@pytest.mark.parametrize(
    "change",
    [
        make_configuration([make_target(0), make_target(1)], 2, ("zone-0",)),
        make_configuration([make_target(1)], 2),
        make_configuration(
            [make_target(0, state=TargetState.DRAINING), make_target(1)], 2
        ),
    ],
    ids=["zone out", "removed", "draining"],
)
def test_target_out_of_use_gets_no_new_calls_and_finishes_its_calls(change):
    balancer = make_warm_balancer(count=2)
    balancer.record_attempt_start("t0", 1.0)
    balancer.configure(change, 1.1)
    assert chosen_targets(balancer, 1.1) == {"t1"}
    balancer.record_attempt_end("t0", make_answered(), 1.2)


def test_removed_target_is_kept_until_its_calls_end():
    balancer = make_warm_balancer(count=2)
    balancer.record_attempt_start("t0", 1.0)
    balancer.configure(make_configuration([make_target(1)], 2), 1.1)
    assert balancer.get_target("t0").target_id == "t0"
    balancer.record_attempt_end("t0", None, 1.2)
    with pytest.raises(KeyError):
        balancer.get_target("t0")


def test_calls_in_flight_survive_a_new_configuration():
    balancer = make_warm_balancer(count=1)
    balancer.record_attempt_start("t0", 1.0)
    balancer.record_attempt_start("t0", 1.0)
    balancer.configure(make_configuration([make_target(0), make_target(1)], 2), 1.1)
    assert balancer.choose("menu", 1.1) is None


def test_failing_target_is_ejected_and_returns_with_one_call():
    balancer = make_warm_balancer(count=4)
    for _ in range(5):
        balancer.record_attempt_start("t0", 1.0)
        balancer.record_attempt_end("t0", make_answered(status=500), 1.0)
    assert "t0" not in chosen_targets(balancer, 1.1)
    others = frozenset({"t1", "t2", "t3"})
    assert balancer.choose("menu", 2.5, others) == "t0"
    balancer.record_attempt_start("t0", 2.5)
    assert balancer.choose("menu", 2.5, others) is None
    balancer.record_attempt_end("t0", make_answered(), 2.5)


def test_unreachable_target_returns_through_a_cold_start():
    balancer = make_warm_balancer(count=4)
    for _ in range(5):
        balancer.record_attempt_start("t0", 1.0)
        balancer.record_attempt_end("t0", Shed(None, False), 1.0)
    assert chosen_targets(balancer, 2.5) == {"t1", "t2", "t3"}
    assert balancer.cold_start.pop_due_proposal(3.0) is not None


def test_target_in_cold_start_is_compared_by_current_counts():
    log = FakeLog()
    balancer = make_balancer()
    targets = [make_target(index) for index in range(4)]
    balancer.configure(make_configuration(targets), 0.0)
    warm_up(balancer, log, 0.5)
    balancer.sharing.apply(make_update({"t1": 1}, 1, 1.0), 1.0)
    assert "t0" in chosen_targets(balancer, 1.0)
    balancer.configure(make_configuration(targets, 2, ("zone-1",)), 1.1)
    balancer.configure(make_configuration(targets, 3), 5.0)
    for now_s in (5.1, 5.4):
        log.append(balancer.cold_start.pop_due_proposal(now_s), now_s)
        balancer.cold_start.apply_page(log.page(), now_s)
        balancer.has_capacity("menu", now_s)
        balancer.choose("menu", now_s)
    chosen = [balancer.choose("menu", 6.0) for _ in range(100)]
    assert chosen.count("t1") > 10


def test_target_that_reports_draining_is_ejected_for_a_while():
    balancer = make_warm_balancer(count=4)
    balancer.record_report("t0", LoadReport(0, 2, False, True), 1.0)
    assert "t0" not in chosen_targets(balancer, 1.5)
    assert "t0" in chosen_targets(balancer, 2.5)


def test_nothing_is_ejected_when_all_targets_fail():
    balancer = make_warm_balancer(count=4)
    for _ in range(10):
        for index in range(4):
            balancer.record_attempt_start(f"t{index}", 1.0)
            balancer.record_attempt_end(f"t{index}", Lost(Reason.CONNECTION_LOST), 1.0)
    assert len(chosen_targets(balancer, 1.0)) >= 2


def test_same_seed_and_events_give_the_same_choices():
    first, second = (make_warm_balancer(count=8) for _ in range(2))
    choices = [[b.choose("menu", 1.0) for _ in range(50)] for b in (first, second)]
    assert choices[0] == choices[1]


def test_usable_capacity_counts_slots_of_usable_targets():
    balancer = make_warm_balancer(count=3)
    assert balancer.get_usable_capacity("menu", 1.0) == 6.0
    balancer.configure(make_configuration([make_target(0)], 2), 1.1)
    assert balancer.get_usable_capacity("menu", 1.1) == 2.0


def test_counts_of_peers_that_are_not_live_are_dropped():
    balancer = make_warm_balancer(count=1)
    balancer.sharing.apply(make_update({"t0": 2}, 1, 1.0), 1.0)
    balancer.set_live(frozenset({"peer"}))
    assert not balancer.has_capacity("menu", 1.0)
    balancer.set_live(frozenset({"other"}))
    assert balancer.has_capacity("menu", 1.0)


def test_has_targets_includes_full_but_not_removed_targets():
    balancer = make_warm_balancer(count=1)
    balancer.sharing.apply(make_update({"t0": 2}, 1, 1.0), 1.0)
    assert balancer.has_targets("menu")
    balancer.configure(make_configuration([], 2), 1.1)
    assert not balancer.has_targets("menu")


def test_settings_name_the_parameter_and_the_value():
    with pytest.raises(ValueError, match="cold_lease_s must be positive, got 0"):
        BalancingSettings(cold_lease_s=0)
