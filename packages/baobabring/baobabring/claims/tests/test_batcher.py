"""Test the batches of one partition."""

import dataclasses

import pytest

from baobabring.claims._batcher import PartitionBatcher
from baobabring.claims._records import Release, decode_batch
from baobabring.claims.tests._support import (
    NOW_S,
    SETTINGS,
    make_claim,
    make_key,
    make_rng,
)
from baobabring.platform import Appended, AppendRefused, AppendUnconfirmed


@pytest.fixture
def batcher():
    return PartitionBatcher(3, SETTINGS, make_rng())


def make_numbered_claim(number):
    return make_claim(make_key(NOW_S, number), bytes([number]))


def get_claim_ids(append):
    return [record.claim_id for record in decode_batch(append.payload)[0].records]


def pop_ready_batch(batcher, now_s=NOW_S):
    assert batcher.is_ready(now_s)
    return batcher.pop_batch(now_s)


def test_queued_records_are_appended_in_one_batch(batcher):
    batcher.add(make_numbered_claim(1), NOW_S)
    batcher.add(make_numbered_claim(2), NOW_S)
    append = pop_ready_batch(batcher)
    assert (append.partition, get_claim_ids(append)) == (3, [b"\x01", b"\x02"])
    assert not batcher.is_ready(NOW_S)


def test_batch_is_bounded():
    settings = dataclasses.replace(SETTINGS, batch_limit_bytes=150)
    batcher = PartitionBatcher(0, settings, make_rng())
    for number in range(3):
        batcher.add(make_numbered_claim(number), NOW_S)
    append = pop_ready_batch(batcher)
    assert len(get_claim_ids(append)) == 1
    batcher.record_append_outcome(append.append_id, Appended(0), NOW_S)
    assert get_claim_ids(pop_ready_batch(batcher)) == [b"\x01"]


def test_refused_batch_waits_until_its_retry_time(batcher):
    batcher.add(make_numbered_claim(1), NOW_S)
    append = pop_ready_batch(batcher)
    batcher.record_append_outcome(append.append_id, AppendRefused(NOW_S + 5), NOW_S)
    assert not batcher.is_ready(NOW_S + 4)
    assert get_claim_ids(pop_ready_batch(batcher, NOW_S + 5)) == [b"\x01"]


def test_unconfirmed_batch_is_not_appended_before_a_read(batcher):
    batcher.add(make_numbered_claim(1), NOW_S)
    append = pop_ready_batch(batcher)
    batcher.record_append_outcome(append.append_id, AppendUnconfirmed(), NOW_S)
    assert not batcher.is_ready(NOW_S + 100)


def test_read_started_before_the_append_ended_requeues_nothing(batcher):
    batcher.add(make_numbered_claim(1), NOW_S)
    append = pop_ready_batch(batcher)
    batcher.record_append_outcome(append.append_id, AppendUnconfirmed(), NOW_S)
    batcher.record_read_to_end(NOW_S - 1)
    assert not batcher.is_ready(NOW_S + 100)


def test_batch_that_a_later_read_lacks_is_appended_again(batcher):
    batcher.add(make_numbered_claim(1), NOW_S)
    append = pop_ready_batch(batcher)
    batcher.record_append_outcome(append.append_id, AppendUnconfirmed(), NOW_S)
    batcher.record_read_to_end(NOW_S + 1)
    assert get_claim_ids(pop_ready_batch(batcher, NOW_S + 1)) == [b"\x01"]


@pytest.mark.parametrize("read_first", [True, False])
def test_batch_that_was_read_is_not_appended_again(batcher, read_first):
    batcher.add(make_numbered_claim(1), NOW_S)
    append = pop_ready_batch(batcher)
    if read_first:
        batcher.record_batch_read(append.append_id)
    batcher.record_append_outcome(append.append_id, AppendUnconfirmed(), NOW_S)
    if not read_first:
        batcher.record_batch_read(append.append_id)
    batcher.record_read_to_end(NOW_S + 1)
    assert batcher.is_idle


def test_claim_withdrawn_before_its_append_is_not_appended(batcher):
    batcher.add(make_numbered_claim(1), NOW_S)
    assert batcher.withdraw(b"\x01")
    assert not batcher.is_ready(NOW_S)


def test_claim_in_flight_may_be_in_the_log(batcher):
    batcher.add(make_numbered_claim(1), NOW_S)
    append = pop_ready_batch(batcher)
    assert not batcher.withdraw(b"\x01")
    batcher.record_append_outcome(append.append_id, AppendRefused(NOW_S), NOW_S)
    assert not batcher.is_ready(NOW_S)


def test_claim_requeued_after_an_unconfirmed_append_may_be_in_the_log(batcher):
    batcher.add(make_numbered_claim(1), NOW_S)
    append = pop_ready_batch(batcher)
    batcher.record_append_outcome(append.append_id, AppendUnconfirmed(), NOW_S)
    batcher.record_read_to_end(NOW_S + 1)
    assert not batcher.withdraw(b"\x01")


def test_obsolete_records_are_dropped(batcher):
    batcher.add(Release(b"1", "pay", make_key(NOW_S)), NOW_S)
    assert not batcher.is_ready(NOW_S + SETTINGS.unresolved_window_s + 1)
