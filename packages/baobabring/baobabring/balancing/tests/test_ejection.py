"""Tests of the ejection of outliers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.balancing import BalancingSettings, OutlierEjection

TARGETS = [f"t{index}" for index in range(7)]


def make_ejection(**values: object) -> OutlierEjection:
    ejection = OutlierEjection(BalancingSettings(**values))
    ejection.configure(set(TARGETS))
    return ejection


def fail_often(ejection: OutlierEjection, target_id: str, now_s: float) -> None:
    for _ in range(5):
        ejection.record_failure(target_id, False, now_s)


def test_consecutive_failures_eject_a_target():
    ejection = make_ejection()
    fail_often(ejection, "t0", 1.0)
    assert ejection.is_ejected("t0", 1.5)
    assert not ejection.is_ejected("t0", 2.0)


def test_good_responses_between_failures_prevent_ejection():
    ejection = make_ejection()
    for _ in range(20):
        ejection.record_failure("t0", False, 1.0)
        ejection.record_success("t0", 1.0, 1.0)
    assert not ejection.is_ejected("t0", 1.0)


def test_latency_far_above_the_mean_ejects_a_target():
    ejection = make_ejection()
    for _ in range(5):
        ejection.record_success("t0", 8.0, 1.0)
    assert ejection.is_ejected("t0", 1.5)


def test_second_ejection_lasts_twice_as_long():
    ejection = make_ejection()
    fail_often(ejection, "t0", 1.0)
    ejection.record_failure("t0", False, 2.0)
    assert ejection.get_next_return_at_s(2.0) == 4.0


def test_all_ejections_are_lifted_when_most_targets_are_suspect():
    ejection = make_ejection()
    for target_id in TARGETS[:4]:
        fail_often(ejection, target_id, 1.0)
    assert not any(ejection.is_ejected(t, 1.0) for t in TARGETS)


events = st.lists(
    st.tuples(
        st.sampled_from(TARGETS),
        st.sampled_from(["fail", "unreachable", "good", "slow", "drains"]),
        st.floats(0.0, 0.5),
    ),
    max_size=200,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(events=events, share=st.sampled_from([0.0, 0.3, 0.5, 0.9]))
def test_ejected_targets_stay_within_their_share(events, share):
    ejection = make_ejection(ejection_share=share, ejection_failures=2)
    now_s = 1.0
    for target_id, event, elapsed_s in events:
        now_s += elapsed_s
        if event == "drains":
            ejection.eject_draining(target_id, now_s)
        elif event in ("good", "slow"):
            ratio = 1.0 if event == "good" else 9.0
            ejection.record_success(target_id, ratio, now_s)
        else:
            ejection.record_failure(target_id, event == "unreachable", now_s)
        ejected = sum(ejection.is_ejected(t, now_s) for t in TARGETS)
        assert ejected <= share * len(TARGETS)
