"""Test which targets are probed and what their answers make of a call."""

from random import Random

import pytest

from baobabring.entry import (
    ChoiceSettings,
    ColdLimit,
    TargetBook,
    TargetChoice,
    WorkEstimates,
)
from baobabring.entry.tests.builders import (
    SERVICE,
    build_call,
    build_configuration,
    build_report,
    build_target,
)


def build_choice(targets, zones_out=()) -> TargetChoice:
    """Return the choice of an instance in the zone `north`."""
    book = TargetBook("i-1", "north")
    book.set_targets(targets, zones_out, 0.0)
    choice = TargetChoice(
        "north", ChoiceSettings(), book, WorkEstimates(), ColdLimit("i-1"), Random(1)
    )
    choice.configuration = build_configuration()
    return choice


@pytest.fixture
def choice() -> TargetChoice:
    """Return the choice among six targets."""
    return build_choice([build_target(f"t-{number}") for number in range(1, 7)])


def probed_ids(choice, exclude=(), now_s=0.0, count=None):
    """Return the ids of the targets that would be probed."""
    records = choice.targets_to_probe(SERVICE, exclude, now_s, count)
    return [record.target.target_id for record in records]


def test_draining_target_and_target_of_a_zone_out_are_not_asked():
    targets = [
        build_target("t-1"),
        build_target("t-2", draining=True),
        build_target("t-3", zone="south"),
    ]
    assert probed_ids(build_choice(targets, ["south"])) == ["t-1"]


def test_answer_of_a_target_that_left_meanwhile_makes_no_offer(choice):
    choice.book.set_targets([build_target("t-2")], (), 0.1)
    reports = [build_report("t-1"), build_report("t-2")]
    offers = choice.offers(build_call(), reports, 0.1)
    assert [offer.target_id for offer in offers] == ["t-2"]


def test_targets_are_asked_at_random_when_nothing_is_known(choice):
    seen = {name for _ in range(50) for name in probed_ids(choice)}
    assert len(seen) == 6


def test_own_zone_is_asked_first():
    targets = [build_target(f"t-{n}", zone="north") for n in (1, 2)]
    targets += [build_target(f"t-{n}", zone="south") for n in (3, 4, 5, 6)]
    choice = build_choice(targets)
    local = sum(len({"t-1", "t-2"} & set(probed_ids(choice))) for _ in range(100))
    assert local > 2 * 100 * 4 / 6


def test_faster_target_makes_the_better_offer(choice):
    reports = [build_report("t-1", slowdown=4.0), build_report("t-2", slowdown=1.0)]
    offers = choice.offers(build_call(), reports, 0.0)
    assert offers[0].target_id == "t-2"


def test_full_target_has_no_free_slot_and_takes_longer(choice):
    reports = [build_report("t-1", running=2, waiting=3), build_report("t-2")]
    offers = choice.offers(build_call(), reports, 0.0)
    assert [offer.free_slot for offer in offers] == [True, False]
    assert offers[1].finish_ms > 1.5 * offers[0].finish_ms


def test_own_call_sent_after_the_question_counts(choice):
    reports = [build_report("t-1", running=1)]
    assert choice.offers(build_call(), reports, 0.0)[0].free_slot
    choice.call_sent("t-1", 0.001)
    assert not choice.offers(build_call(), reports, 0.002)[0].free_slot


def test_grey_target_with_good_health_costs_more_than_a_slower_one(choice):
    record = choice.book.record("t-1")
    for number in range(10):
        choice.call_sent("t-1", number * 0.1)
        record.call_ended()
        if number % 2:
            record.add_failure(number * 0.1)
    reports = [
        build_report("t-1", probed_at_s=2.0),
        build_report("t-2", slowdown=2.0, probed_at_s=2.0),
    ]
    assert choice.offers(build_call(), reports, 2.0)[0].target_id == "t-2"


def test_failures_are_forgotten(choice):
    record = choice.book.record("t-1")
    for _ in range(5):
        record.add_failure(0.0)
    assert record.failure_share(1, 0.0) > 0.5
    assert record.failure_share(1, 20.0) < 0.1


def test_target_that_says_it_is_ill_is_used_when_all_do(choice):
    reports = [build_report("t-1", healthy=False), build_report("t-2", healthy=False)]
    assert len(choice.offers(build_call(), reports, 0.0)) == 2


def test_silent_target_is_left_alone_for_a_moment_unless_all_are(choice):
    for number in range(1, 6):
        choice.book.record(f"t-{number}").did_not_answer(0.0)
    assert probed_ids(choice, now_s=0.1) == ["t-6"]
    choice.book.record("t-6").did_not_answer(0.0)
    assert len(probed_ids(choice, now_s=0.1)) == 4


def test_target_that_turns_cold_unannounced_gets_few_calls(choice):
    record = choice.book.record("t-1")
    record.take_report(build_report("t-1", cold_ms=3_000.0), 0.0)
    sent = 0
    for step in range(300):
        now_s = step / 100
        if choice.offers(build_call(), [build_report("t-1")], now_s):
            choice.call_sent("t-1", now_s)
            record.call_ended()
            sent += 1
    assert 3 <= sent <= 9


def test_target_that_says_it_is_warm_is_warm(choice):
    record = choice.book.record("t-1")
    record.take_report(build_report("t-1", cold_ms=3_000.0), 0.0)
    record.take_report(build_report("t-1"), 0.5)
    assert not record.is_cold(0.5)


def test_restart_under_the_same_id_forgets_what_was_seen(choice):
    choice.book.record("t-1").add_failure(0.0)
    again = build_target("t-1", started_at_ms=5_000, cold_ms=2_000.0)
    choice.book.set_targets([again], (), 1.0)
    record = choice.book.record("t-1")
    assert record.failure_share(1, 1.0) == 0.0
    assert record.is_cold(2.9)


def test_empty_target_wins_over_one_whose_last_slot_would_slow_others(choice):
    call = build_call()
    for _ in range(50):
        choice.estimates.observe_work(call, 200.0, 1.0, crowded=False)
        choice.estimates.observe_work(call, 340.0, 1.0, crowded=True)
    reports = [
        build_report("t-1", running=1),
        build_report("t-2", running=0, slowdown=1.6),
    ]
    assert choice.offers(call, reports, 0.0)[0].target_id == "t-2"
