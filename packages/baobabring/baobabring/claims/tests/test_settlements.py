"""Test unknown outcomes and their settlement."""

import pytest

from baobabring.claims import (
    ClaimPending,
    NotSettleable,
    NotSettleableReason,
    Settlement,
    SettlementState,
)
from baobabring.claims.tests._support import (
    KEY,
    NOW_S,
    RESPONSE,
    InstanceHarness,
    StreamModel,
    make_claim,
    make_payload,
)


@pytest.fixture
def instance():
    return InstanceHarness()


def test_cancelled_call_that_was_dispatched_is_undetermined(instance):
    instance.win_claim("a")
    assert instance.claims.authorize_dispatch("a", NOW_S)
    instance.claims.cancel("a", NOW_S)
    instance.append()
    instance.read()
    assert [outcome.key for outcome in instance.claims.get_unknown_outcomes(NOW_S)] == [
        KEY
    ]


def test_claim_without_result_becomes_an_unknown_outcome(instance):
    instance.append_records(make_claim(KEY, b"1"))
    instance.read()
    assert instance.claims.get_unknown_outcomes(NOW_S + 11) == []
    (outcome,) = instance.claims.get_unknown_outcomes(NOW_S + 11.1)
    assert (outcome.key, outcome.method) == (KEY, "POST")


def test_settlement_not_run_frees_the_key(instance):
    instance.append_records(make_claim(KEY, b"1"))
    instance.read()
    settle = instance.claims.settle
    early = settle("pay", KEY, Settlement.NOT_RUN, NOW_S + 12)
    assert early == NotSettleable(NotSettleableReason.MAY_STILL_RUN)
    requested = settle("pay", KEY.upper(), Settlement.NOT_RUN, NOW_S + 12.1)
    state = instance.claims.get_settlement_state
    assert state(requested.settlement_id) is SettlementState.REQUESTED
    instance.append(NOW_S + 12.1)
    instance.read(NOW_S + 12.1)
    assert state(requested.settlement_id) is SettlementState.ACCEPTED
    later = {"now_s": NOW_S + 13, "deadline_s": NOW_S + 20}
    assert instance.request("b", **later) == ClaimPending("b")


def test_only_one_of_two_concurrent_settlements_is_accepted():
    stream = StreamModel()
    stream.append(make_payload(make_claim(KEY, b"1")), NOW_S)
    both = [InstanceHarness(stream, seed=1), InstanceHarness(stream, seed=2)]
    for instance in both:
        instance.read()
    wanted = [Settlement.RAN, Settlement.NOT_RUN]
    requested = [
        instance.claims.settle("pay", KEY, settlement, NOW_S + 20)
        for instance, settlement in zip(both, wanted, strict=True)
    ]
    for instance in both:
        instance.append(NOW_S + 20)
    for instance in both:
        instance.read(NOW_S + 20)
    states = [
        instance.claims.get_settlement_state(request.settlement_id)
        for instance, request in zip(both, requested, strict=True)
    ]
    assert states == [SettlementState.ACCEPTED, SettlementState.REJECTED]


def test_known_outcome_is_not_settleable(instance):
    instance.win_claim("a")
    instance.claims.finish_with_result("a", RESPONSE, NOW_S)
    instance.append()
    instance.read()
    reply = instance.claims.settle("pay", KEY, Settlement.RAN, NOW_S + 100)
    assert reply == NotSettleable(NotSettleableReason.OUTCOME_KNOWN)
