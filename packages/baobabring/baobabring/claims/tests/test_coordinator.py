"""Test what one coordinator tells its calls."""

import dataclasses

import pytest

from baobabring.claims import (
    ClaimLost,
    ClaimPending,
    ClaimRefused,
    ClaimReplayed,
    ClaimUnknown,
    ClaimWon,
    KeptAnswer,
    NotSettleable,
    NotSettleableReason,
    Settlement,
    SettlementState,
    create_claim_coordinator,
    partition_of,
)
from baobabring.claims._records import Release, Result, decode_batch
from baobabring.claims.tests._support import (
    NOW_S,
    SETTINGS,
    StreamModel,
    claim_of,
    key_at,
    payload_of,
    seeded,
)
from baobabring.model import Answer, Reason
from baobabring.platform import (
    Appended,
    AppendRefused,
    AppendUnconfirmed,
    ReadFailed,
)

KEY = key_at(NOW_S)
ANSWER = Answer(201, (("Content-Type", "text/plain"),), b"paid")


class Instance:
    """Drive one coordinator over a stream of its own or a shared one."""

    def __init__(self, stream=None, seed=1):
        self.stream = stream or StreamModel()
        self.claims = create_claim_coordinator("i1", 1, SETTINGS, seeded(seed))

    def request(self, call_id, key=KEY, now_s=NOW_S, deadline_s=NOW_S + 10, **other):
        arguments = {"fingerprint": b"f", "tenant": "default"} | other
        return self.claims.request(
            call_id,
            "pay",
            key,
            method="POST",
            path="/payments",
            deadline_s=deadline_s,
            now_s=now_s,
            **arguments,
        )

    def read(self, now_s=NOW_S):
        page = self.stream.page(self.claims.next_offset(0))
        return self.claims.apply_page(0, page, now_s, now_s)

    def append(self, now_s=NOW_S, outcome=None, lands=True):
        events = []
        for append in self.claims.append_due(now_s):
            offset = self.stream.append(append.payload, now_s) if lands else 0
            result = outcome or Appended(offset)
            events += self.claims.append_ended(append.append_id, result, now_s)
        return events

    def put(self, *records, now_s=NOW_S):
        self.stream.append(payload_of(*records), now_s)

    def win(self, call_id, **request):
        self.read()
        assert self.request(call_id, **request) == ClaimPending(call_id)
        self.append()
        assert self.read() == [ClaimWon(call_id)]


@pytest.fixture
def instance():
    return Instance()


def test_claim_read_back_wins(instance):
    instance.win("a")
    assert instance.claims.may_dispatch("a", NOW_S)


def test_nothing_is_appended_before_the_stream_was_read(instance):
    instance.request("a")
    assert instance.claims.append_due(NOW_S) == []


def test_winner_may_not_dispatch_after_its_deadline(instance):
    instance.win("a")
    assert not instance.claims.may_dispatch("a", NOW_S + 10)


def test_winner_may_not_dispatch_after_the_window(instance):
    instance.win("a", deadline_s=NOW_S + 100)
    assert not instance.claims.may_dispatch("a", NOW_S + 60.1)


def test_winner_may_not_dispatch_after_a_gap(instance):
    instance.win("a")
    instance.put(now_s=NOW_S + 2)
    instance.put(now_s=NOW_S + 2)
    instance.stream.earliest_offset = 2
    instance.read(NOW_S + 2)
    assert not instance.claims.may_dispatch("a", NOW_S + 2)


def test_claim_read_back_after_its_deadline_is_released(instance):
    instance.read()
    instance.request("a")
    instance.append()
    events = instance.read(NOW_S + 10)
    assert events == [ClaimRefused("a", Reason.DEADLINE, NOW_S + 10)]
    instance.append(NOW_S + 10)
    instance.read(NOW_S + 10)
    assert instance.claims.unknown_outcomes(NOW_S + 100) == []


def test_second_call_of_a_key_gets_the_answer_of_the_first(instance):
    instance.win("a")
    assert instance.request("b") == ClaimPending("b")
    assert instance.claims.tick(NOW_S) == [ClaimLost("b")]
    assert instance.claims.may_dispatch("a", NOW_S)
    instance.claims.finish_result("a", ANSWER, NOW_S)
    instance.append()
    kept = KeptAnswer(201, ANSWER.headers, b"paid", None)
    assert instance.read() == [ClaimReplayed("b", kept)]
    assert instance.request("c") == ClaimReplayed("c", kept)


def test_large_body_is_kept_as_digest(instance):
    instance.win("a")
    answer = Answer(200, (), b"x" * (SETTINGS.body_limit_bytes + 1))
    instance.claims.finish_result("a", answer, NOW_S)
    instance.append()
    instance.read()
    kept = instance.request("b").answer
    assert (kept.status, kept.body, len(kept.body_digest)) == (200, None, 16)


@pytest.mark.parametrize("other", [{"fingerprint": b"g"}, {"tenant": "other"}])
def test_key_of_another_request_is_refused(instance, other):
    instance.win("a")
    refused = ClaimRefused("b", Reason.KEY_REUSED, NOW_S)
    assert instance.request("b", **other) == refused
    instance.claims.finish_result("a", ANSWER, NOW_S)
    instance.append()
    instance.read()
    assert instance.request("b", **other) == refused


def test_waiting_call_claims_again_after_a_release(instance):
    instance.win("a")
    instance.request("b")
    instance.claims.finish_release("a", NOW_S)
    instance.append()
    instance.read()
    instance.append()
    assert instance.read() == [ClaimWon("b")]


def test_waiting_call_never_gets_the_answer_to_another_request(instance):
    instance.read()
    instance.put(claim_of(KEY, b"1"))
    instance.request("b")
    instance.append()
    instance.put(
        Release(b"1", "pay", KEY),
        claim_of(KEY, b"2", tenant="other"),
        Result(b"2", "pay", KEY, 200, (), b"private", None),
    )
    assert instance.read() == [ClaimRefused("b", Reason.KEY_REUSED, NOW_S)]


def test_waiting_call_ends_at_its_deadline_as_unknown(instance):
    instance.win("a", deadline_s=NOW_S + 20)
    instance.request("b")
    instance.claims.tick(NOW_S)
    events = instance.claims.tick(NOW_S + 10)
    assert events == [ClaimUnknown("b", Reason.IN_PROGRESS)]


def test_waiting_call_ends_when_the_holder_is_lost(instance):
    instance.win("a", deadline_s=NOW_S + 1)
    instance.request("b")
    instance.claims.tick(NOW_S)
    events = instance.claims.tick(NOW_S + 2.1)
    assert events == [ClaimUnknown("b", Reason.HOLDER_LOST)]


def test_waiting_call_ends_when_the_holder_does_not_know(instance):
    instance.win("a")
    instance.request("b")
    instance.claims.tick(NOW_S)
    instance.claims.finish_undetermined("a", NOW_S)
    instance.append()
    assert instance.read() == [ClaimUnknown("b", Reason.HOLDER_LOST)]
    assert instance.request("c") == ClaimUnknown("c", Reason.HOLDER_LOST)


def test_pending_call_ends_at_its_deadline_as_not_run(instance):
    instance.read()
    instance.request("a")
    events = instance.claims.tick(NOW_S + 10)
    assert events == [ClaimRefused("a", Reason.DEADLINE, NOW_S + 10)]
    instance.read(NOW_S + 10)
    assert instance.claims.append_due(NOW_S + 10) == []


def test_key_older_than_the_window_is_unknown(instance):
    instance.read()
    reply = instance.request("a", key=key_at(NOW_S - 61))
    assert reply == ClaimUnknown("a", Reason.KEY_TOO_OLD)


def test_key_older_than_the_coverage_is_unknown(instance):
    instance.put(now_s=NOW_S)
    instance.stream.earliest_offset = 1
    instance.read()
    reply = instance.request("a", key=key_at(NOW_S + 0.9))
    assert reply == ClaimUnknown("a", Reason.KEY_TOO_OLD)


def test_key_that_is_no_uuid7_is_refused(instance):
    reply = instance.request("a", key="payment-1")
    assert reply == ClaimRefused("a", Reason.KEY_INVALID, NOW_S)


def test_log_that_can_not_be_read_refuses_at_once(instance):
    instance.read()
    instance.claims.apply_page(0, ReadFailed("timeout"), NOW_S, NOW_S + 2.1)
    reply = instance.request("a", now_s=NOW_S + 2.1)
    assert reply == ClaimRefused("a", Reason.LOG_UNAVAILABLE, NOW_S + 2.6)


def test_log_that_takes_no_appends_refuses_at_once(instance):
    instance.read()
    instance.request("a")
    instance.append(outcome=AppendUnconfirmed(), lands=False)
    page = instance.stream.page(0)
    instance.claims.apply_page(0, page, NOW_S - 1, NOW_S + 2.1)
    reply = instance.request("b", now_s=NOW_S + 2.1)
    assert reply == ClaimRefused("b", Reason.LOG_UNAVAILABLE, NOW_S + 2.6)


def test_log_that_refuses_past_the_deadline_ends_the_call(instance):
    instance.read()
    instance.request("a")
    events = instance.append(outcome=AppendRefused(NOW_S + 30), lands=False)
    refused = ClaimRefused("a", Reason.LOG_UNAVAILABLE, NOW_S + 30)
    assert events == [refused]
    assert instance.request("b") == dataclasses.replace(refused, call_id="b")


def test_log_is_tried_again_once_nothing_waits(instance):
    instance.read()
    instance.request("a")
    instance.append(outcome=AppendRefused(NOW_S + 1), lands=False)
    instance.claims.cancel("a", NOW_S + 3)
    instance.read(NOW_S + 3)
    instance.append(NOW_S + 3)
    assert instance.request("b", now_s=NOW_S + 3) == ClaimPending("b")


def test_next_append_waits_for_the_log(instance):
    next_append_at_s = instance.claims.next_append_at_s
    instance.request("a")
    assert next_append_at_s(NOW_S) is None
    instance.read()
    assert next_append_at_s(NOW_S) == NOW_S
    instance.append(outcome=AppendRefused(NOW_S + 1), lands=False)
    assert next_append_at_s(NOW_S) == NOW_S + 1


def test_instance_is_idle_once_its_records_are_in_the_log(instance):
    instance.win("a")
    instance.claims.finish_result("a", ANSWER, NOW_S)
    assert not instance.claims.idle
    instance.append()
    assert instance.claims.idle


def test_cancelled_claim_that_may_be_in_the_log_is_released(instance):
    instance.read()
    instance.request("a")
    instance.append(outcome=AppendUnconfirmed())
    instance.claims.cancel("a", NOW_S)
    assert instance.read() == []
    instance.append()
    instance.read()
    assert instance.claims.unknown_outcomes(NOW_S + 100) == []


def test_cancelled_call_that_was_dispatched_is_undetermined(instance):
    instance.win("a")
    assert instance.claims.may_dispatch("a", NOW_S)
    instance.claims.cancel("a", NOW_S)
    instance.append()
    instance.read()
    assert [outcome.key for outcome in instance.claims.unknown_outcomes(NOW_S)] == [KEY]


def test_claim_without_result_becomes_an_unknown_outcome(instance):
    instance.put(claim_of(KEY, b"1"))
    instance.read()
    assert instance.claims.unknown_outcomes(NOW_S + 11) == []
    (outcome,) = instance.claims.unknown_outcomes(NOW_S + 11.1)
    assert (outcome.key, outcome.method) == (KEY, "POST")


def test_settlement_not_run_frees_the_key(instance):
    instance.put(claim_of(KEY, b"1"))
    instance.read()
    settle = instance.claims.settle
    early = settle("pay", KEY, Settlement.NOT_RUN, NOW_S + 12)
    assert early == NotSettleable(NotSettleableReason.MAY_STILL_RUN)
    requested = settle("pay", KEY.upper(), Settlement.NOT_RUN, NOW_S + 12.1)
    state = instance.claims.settlement_state
    assert state(requested.settlement_id) is SettlementState.REQUESTED
    instance.append(NOW_S + 12.1)
    instance.read(NOW_S + 12.1)
    assert state(requested.settlement_id) is SettlementState.ACCEPTED
    later = {"now_s": NOW_S + 13, "deadline_s": NOW_S + 20}
    assert instance.request("b", **later) == ClaimPending("b")


def test_races_of_settlements_end_with_one_accepted():
    stream = StreamModel()
    stream.append(payload_of(claim_of(KEY, b"1")), NOW_S)
    both = [Instance(stream, seed=1), Instance(stream, seed=2)]
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
        instance.claims.settlement_state(request.settlement_id)
        for instance, request in zip(both, requested, strict=True)
    ]
    assert states == [SettlementState.ACCEPTED, SettlementState.REJECTED]


def test_known_outcome_is_not_settleable(instance):
    instance.win("a")
    instance.claims.finish_result("a", ANSWER, NOW_S)
    instance.append()
    instance.read()
    reply = instance.claims.settle("pay", KEY, Settlement.RAN, NOW_S + 100)
    assert reply == NotSettleable(NotSettleableReason.OUTCOME_KNOWN)


def test_keys_of_each_partition_go_to_its_stream():
    claims = create_claim_coordinator("i1", 4, SETTINGS, seeded())
    for partition in range(4):
        claims.apply_page(partition, StreamModel().page(0), NOW_S, NOW_S)
    for number in range(32):
        key = key_at(NOW_S, number)
        call_id = f"c{number}"
        claims.request(
            call_id, "pay", key, b"f", "default", "POST", "/", NOW_S + 5, NOW_S
        )
    for append in claims.append_due(NOW_S):
        records = decode_batch(append.payload)[0].records
        partitions = {partition_of("pay", record.key, 4) for record in records}
        assert partitions == {append.partition}


def test_settings_out_of_range_are_an_error():
    settings = dataclasses.replace(SETTINGS, window_s=0.0)
    with pytest.raises(ValueError, match="window_s must be positive, got 0.0"):
        create_claim_coordinator("i1", 1, settings, seeded())
    with pytest.raises(ValueError, match="partitions must be at least 1, got 0"):
        create_claim_coordinator("i1", 0, SETTINGS, seeded())
