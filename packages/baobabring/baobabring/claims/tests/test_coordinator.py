"""Test the replies and events of one coordinator."""

import dataclasses

import pytest

from baobabring.claims import (
    ClaimLost,
    ClaimPending,
    ClaimRefused,
    ClaimReplayed,
    ClaimUnknown,
    ClaimWon,
    KeptResponse,
    compute_partition,
    create_claim_coordinator,
)
from baobabring.claims._records import Release, Result, decode_batch
from baobabring.claims.tests._support import (
    KEY,
    NOW_S,
    RESPONSE,
    SETTINGS,
    InstanceHarness,
    StreamModel,
    make_claim,
    make_key,
    make_rng,
)
from baobabring.model import Reason, Response


@pytest.fixture
def instance():
    return InstanceHarness()


def test_claim_read_back_wins(instance):
    instance.win_claim("a")
    assert instance.claims.authorize_dispatch("a", NOW_S)


def test_nothing_is_appended_before_the_stream_was_read(instance):
    instance.request("a")
    assert instance.claims.pop_due_appends(NOW_S) == []


def test_winner_may_not_dispatch_after_its_deadline(instance):
    instance.win_claim("a")
    assert not instance.claims.authorize_dispatch("a", NOW_S + 10)


def test_winner_may_not_dispatch_after_the_window(instance):
    instance.win_claim("a", deadline_s=NOW_S + 100)
    assert not instance.claims.authorize_dispatch("a", NOW_S + 60.1)


def test_winner_may_not_dispatch_after_a_gap(instance):
    instance.win_claim("a")
    instance.append_records(now_s=NOW_S + 2)
    instance.append_records(now_s=NOW_S + 2)
    instance.stream.earliest_offset = 2
    instance.read(NOW_S + 2)
    assert not instance.claims.authorize_dispatch("a", NOW_S + 2)


def test_claim_read_back_after_its_deadline_is_released(instance):
    instance.read()
    instance.request("a")
    instance.append()
    events = instance.read(NOW_S + 10)
    assert events == [ClaimRefused("a", Reason.DEADLINE, NOW_S + 10)]
    instance.append(NOW_S + 10)
    instance.read(NOW_S + 10)
    assert instance.claims.get_unknown_outcomes(NOW_S + 100) == []


def test_second_call_of_a_key_gets_the_response_of_the_first(instance):
    instance.win_claim("a")
    assert instance.request("b") == ClaimPending("b")
    assert instance.claims.tick(NOW_S) == [ClaimLost("b")]
    assert instance.claims.authorize_dispatch("a", NOW_S)
    instance.claims.finish_with_result("a", RESPONSE, NOW_S)
    instance.append()
    kept = KeptResponse(201, RESPONSE.headers, b"paid", None)
    assert instance.read() == [ClaimReplayed("b", kept)]
    assert instance.request("c") == ClaimReplayed("c", kept)


def test_large_body_is_kept_as_digest(instance):
    instance.win_claim("a")
    response = Response(200, (), b"x" * (SETTINGS.body_limit_bytes + 1))
    instance.claims.finish_with_result("a", response, NOW_S)
    instance.append()
    instance.read()
    kept = instance.request("b").response
    assert (kept.status, kept.body, len(kept.body_digest)) == (200, None, 16)


@pytest.mark.parametrize("other", [{"fingerprint": b"g"}, {"tenant": "other"}])
def test_key_of_another_request_is_refused(instance, other):
    instance.win_claim("a")
    refused = ClaimRefused("b", Reason.KEY_REUSED, NOW_S)
    assert instance.request("b", **other) == refused
    instance.claims.finish_with_result("a", RESPONSE, NOW_S)
    instance.append()
    instance.read()
    assert instance.request("b", **other) == refused


def test_waiting_call_claims_again_after_a_release(instance):
    instance.win_claim("a")
    instance.request("b")
    instance.claims.finish_as_not_run("a", NOW_S)
    instance.append()
    instance.read()
    instance.append()
    assert instance.read() == [ClaimWon("b")]


def test_waiting_call_never_gets_the_response_to_another_request(instance):
    instance.read()
    instance.append_records(make_claim(KEY, b"1"))
    instance.request("b")
    instance.append()
    instance.append_records(
        Release(b"1", "pay", KEY),
        make_claim(KEY, b"2", tenant="other"),
        Result(b"2", "pay", KEY, 200, (), b"private", None),
    )
    assert instance.read() == [ClaimRefused("b", Reason.KEY_REUSED, NOW_S)]


def test_waiting_call_ends_at_its_deadline_as_unknown(instance):
    instance.win_claim("a", deadline_s=NOW_S + 20)
    instance.request("b")
    instance.claims.tick(NOW_S)
    events = instance.claims.tick(NOW_S + 10)
    assert events == [ClaimUnknown("b", Reason.IN_PROGRESS)]


def test_waiting_call_ends_when_the_holder_is_lost(instance):
    instance.win_claim("a", deadline_s=NOW_S + 1)
    instance.request("b")
    instance.claims.tick(NOW_S)
    events = instance.claims.tick(NOW_S + 2.1)
    assert events == [ClaimUnknown("b", Reason.HOLDER_LOST)]


def test_waiting_call_ends_when_the_outcome_is_undetermined(instance):
    instance.win_claim("a")
    instance.request("b")
    instance.claims.tick(NOW_S)
    instance.claims.finish_as_undetermined("a", NOW_S)
    instance.append()
    assert instance.read() == [ClaimUnknown("b", Reason.HOLDER_LOST)]
    assert instance.request("c") == ClaimUnknown("c", Reason.HOLDER_LOST)


def test_pending_call_ends_at_its_deadline_as_not_run(instance):
    instance.read()
    instance.request("a")
    events = instance.claims.tick(NOW_S + 10)
    assert events == [ClaimRefused("a", Reason.DEADLINE, NOW_S + 10)]
    instance.read(NOW_S + 10)
    assert instance.claims.pop_due_appends(NOW_S + 10) == []


def test_key_older_than_the_window_is_unknown(instance):
    instance.read()
    reply = instance.request("a", key=make_key(NOW_S - 61))
    assert reply == ClaimUnknown("a", Reason.KEY_TOO_OLD)


def test_key_older_than_the_covered_time_is_unknown(instance):
    instance.append_records(now_s=NOW_S)
    instance.stream.earliest_offset = 1
    instance.read()
    reply = instance.request("a", key=make_key(NOW_S + 0.9))
    assert reply == ClaimUnknown("a", Reason.KEY_TOO_OLD)


def test_key_other_than_uuid7_is_refused(instance):
    reply = instance.request("a", key="payment-1")
    assert reply == ClaimRefused("a", Reason.KEY_INVALID, NOW_S)


def test_body_limit_may_be_zero():
    settings = dataclasses.replace(SETTINGS, body_limit_bytes=0)
    settings.check()
    with pytest.raises(ValueError, match="body_limit_bytes must be from 0 to"):
        dataclasses.replace(SETTINGS, body_limit_bytes=-1).check()


def test_claims_are_appended_to_the_partition_of_their_key():
    claims = create_claim_coordinator("i1", 4, SETTINGS, make_rng())
    for partition in range(4):
        claims.apply_page(partition, StreamModel().page(0), NOW_S, NOW_S)
    for number in range(32):
        key = make_key(NOW_S, number)
        call_id = f"c{number}"
        claims.request(
            call_id, "pay", key, b"f", "default", "POST", "/", NOW_S + 5, NOW_S
        )
    for append in claims.pop_due_appends(NOW_S):
        records = decode_batch(append.payload)[0].records
        partitions = {compute_partition("pay", record.key, 4) for record in records}
        assert partitions == {append.partition}


def test_settings_out_of_range_raise_an_error():
    settings = dataclasses.replace(SETTINGS, window_s=0.0)
    with pytest.raises(ValueError, match="window_s must be positive, got 0.0"):
        create_claim_coordinator("i1", 1, settings, make_rng())
    with pytest.raises(ValueError, match="partitions must be at least 1, got 0"):
        create_claim_coordinator("i1", 0, SETTINGS, make_rng())
