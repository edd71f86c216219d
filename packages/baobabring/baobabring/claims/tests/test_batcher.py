"""Test the batches of one partition."""

import dataclasses

import pytest

from baobabring.claims._batcher import PartitionBatcher
from baobabring.claims._records import Release, decode_batch
from baobabring.claims.tests._support import NOW_S, SETTINGS, claim_of, key_at, seeded
from baobabring.platform import Appended, AppendRefused, AppendUnconfirmed


@pytest.fixture
def batcher():
    return PartitionBatcher(3, SETTINGS, seeded())


def claim(number):
    return claim_of(key_at(NOW_S, number), bytes([number]))


def ids(append):
    return [record.claim_id for record in decode_batch(append.payload)[0].records]


def take(batcher, now_s=NOW_S):
    assert batcher.ready(now_s)
    return batcher.take_batch(now_s)


def test_waiting_records_go_in_one_batch(batcher):
    batcher.add(claim(1), NOW_S)
    batcher.add(claim(2), NOW_S)
    append = take(batcher)
    assert (append.partition, ids(append)) == (3, [b"\x01", b"\x02"])
    assert not batcher.ready(NOW_S)


def test_batch_is_bounded():
    settings = dataclasses.replace(SETTINGS, batch_limit_bytes=150)
    batcher = PartitionBatcher(0, settings, seeded())
    for number in range(3):
        batcher.add(claim(number), NOW_S)
    append = take(batcher)
    assert len(ids(append)) == 1
    batcher.append_ended(append.append_id, Appended(0), NOW_S)
    assert ids(take(batcher)) == [b"\x01"]


def test_refused_batch_waits_for_its_time(batcher):
    batcher.add(claim(1), NOW_S)
    append = take(batcher)
    batcher.append_ended(append.append_id, AppendRefused(NOW_S + 5), NOW_S)
    assert not batcher.ready(NOW_S + 4)
    assert ids(take(batcher, NOW_S + 5)) == [b"\x01"]


def test_unconfirmed_batch_is_not_appended_before_a_read(batcher):
    batcher.add(claim(1), NOW_S)
    append = take(batcher)
    batcher.append_ended(append.append_id, AppendUnconfirmed(), NOW_S)
    assert not batcher.ready(NOW_S + 100)


def test_read_begun_before_the_loss_settles_nothing(batcher):
    batcher.add(claim(1), NOW_S)
    append = take(batcher)
    batcher.append_ended(append.append_id, AppendUnconfirmed(), NOW_S)
    batcher.read_to_end(NOW_S - 1)
    assert not batcher.ready(NOW_S + 100)


def test_batch_that_a_later_read_lacks_is_appended_again(batcher):
    batcher.add(claim(1), NOW_S)
    append = take(batcher)
    batcher.append_ended(append.append_id, AppendUnconfirmed(), NOW_S)
    batcher.read_to_end(NOW_S + 1)
    assert ids(take(batcher, NOW_S + 1)) == [b"\x01"]


@pytest.mark.parametrize("read_first", [True, False])
def test_batch_that_was_read_is_not_appended_again(batcher, read_first):
    batcher.add(claim(1), NOW_S)
    append = take(batcher)
    if read_first:
        batcher.batch_folded(append.append_id)
    batcher.append_ended(append.append_id, AppendUnconfirmed(), NOW_S)
    if not read_first:
        batcher.batch_folded(append.append_id)
    batcher.read_to_end(NOW_S + 1)
    assert batcher.idle


def test_claim_withdrawn_in_time_never_leaves(batcher):
    batcher.add(claim(1), NOW_S)
    assert batcher.withdraw(b"\x01")
    assert not batcher.ready(NOW_S)


def test_claim_on_its_way_may_be_in_the_log(batcher):
    batcher.add(claim(1), NOW_S)
    append = take(batcher)
    assert not batcher.withdraw(b"\x01")
    batcher.append_ended(append.append_id, AppendRefused(NOW_S), NOW_S)
    assert not batcher.ready(NOW_S)


def test_claim_queued_again_after_a_loss_may_be_in_the_log(batcher):
    batcher.add(claim(1), NOW_S)
    append = take(batcher)
    batcher.append_ended(append.append_id, AppendUnconfirmed(), NOW_S)
    batcher.read_to_end(NOW_S + 1)
    assert not batcher.withdraw(b"\x01")


def test_records_of_no_more_use_are_dropped(batcher):
    batcher.add(Release(b"1", "pay", key_at(NOW_S)), NOW_S)
    assert not batcher.ready(NOW_S + SETTINGS.unresolved_window_s + 1)
