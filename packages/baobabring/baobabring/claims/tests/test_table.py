"""Test the claim table of a partition."""

import pytest

from baobabring.claims._records import (
    Release,
    Result,
    Settled,
    Settlement,
    Undetermined,
)
from baobabring.claims._table import (
    ClaimDecided,
    ClaimTable,
    ClaimVerdict,
    KeyState,
    SettlementDecided,
)
from baobabring.claims.tests._support import (
    KEY,
    NOW_S,
    SETTINGS,
    StreamModel,
    make_claim,
    make_key,
    make_payload,
)

KEY_ID = ("pay", KEY)


class TableHarness:
    """Append records to a stream and apply them to a table."""

    def __init__(self):
        self.stream = StreamModel()
        self.table = ClaimTable(SETTINGS)
        self.effects = []

    def add(self, *records, at_s=NOW_S):
        self.stream.append(make_payload(*records), at_s)
        return self.read()

    def read(self, now_s=NOW_S):
        page = self.stream.page(self.table.next_offset)
        effects = self.table.apply_page(page, now_s)
        self.effects += effects
        return effects

    def verdicts(self):
        return [e.verdict for e in self.effects if isinstance(e, ClaimDecided)]

    def state(self):
        return self.table.get_entry(KEY_ID).state


@pytest.fixture
def harness():
    return TableHarness()


def make_result(claim_id, status=200):
    return Result(claim_id, "pay", KEY, status, (), b"done", None)


def make_settled(claim_id, settlement):
    return Settled(b"s", claim_id, "pay", KEY, settlement)


def test_first_claim_wins(harness):
    harness.add(make_claim(KEY, b"1"), make_claim(KEY, b"2"))
    assert harness.verdicts() == [ClaimVerdict.WON, ClaimVerdict.LOST]


@pytest.mark.parametrize("other", [{"fingerprint": b"g"}, {"tenant": "other"}])
def test_key_of_another_request_is_reused(harness, other):
    harness.add(make_claim(KEY, b"1"), make_claim(KEY, b"2", **other))
    assert harness.verdicts() == [ClaimVerdict.WON, ClaimVerdict.KEY_REUSED]


def test_claim_read_twice_is_decided_once(harness):
    harness.add(make_claim(KEY, b"1"))
    harness.add(make_claim(KEY, b"1"))
    assert harness.verdicts() == [ClaimVerdict.WON]


def test_release_by_the_holder_frees_the_key(harness):
    harness.add(make_claim(KEY, b"1"), Release(b"1", "pay", KEY), make_claim(KEY, b"2"))
    assert harness.verdicts() == [ClaimVerdict.WON, ClaimVerdict.WON]


def test_release_by_another_claim_frees_nothing(harness):
    harness.add(make_claim(KEY, b"1"), make_claim(KEY, b"2"), Release(b"2", "pay", KEY))
    assert harness.state() is KeyState.CLAIMED


def test_released_claim_that_arrives_late_does_not_win(harness):
    harness.add(Release(b"1", "pay", KEY), make_claim(KEY, b"1"), make_claim(KEY, b"2"))
    assert harness.verdicts() == [ClaimVerdict.WON]
    assert harness.table.get_entry(KEY_ID).holder.claim_id == b"2"


def test_lost_claim_read_again_after_a_release_does_not_win(harness):
    harness.add(make_claim(KEY, b"1"), make_claim(KEY, b"2"), Release(b"1", "pay", KEY))
    harness.add(make_claim(KEY, b"2"))
    assert harness.state() is KeyState.FREE


def test_claim_appended_after_its_deadline_does_not_win(harness):
    harness.add(make_claim(KEY, b"1", deadline_s=NOW_S + 1), at_s=NOW_S + 3.5)
    assert harness.verdicts() == [ClaimVerdict.TOO_LATE]


def test_result_of_the_holder_is_kept(harness):
    harness.add(make_claim(KEY, b"1"), make_result(b"1"), make_result(b"1", status=500))
    assert harness.table.get_entry(KEY_ID).response.status == 200


def test_result_of_another_claim_is_ignored(harness):
    harness.add(make_claim(KEY, b"1"), make_result(b"2"))
    assert harness.state() is KeyState.CLAIMED


def test_result_of_a_claim_settled_as_not_run_is_counted(harness):
    harness.add(make_claim(KEY, b"1", deadline_s=NOW_S + 10))
    harness.add(make_settled(b"1", Settlement.NOT_RUN), at_s=NOW_S + 20)
    harness.add(make_result(b"1"), at_s=NOW_S + 21)
    assert harness.state() is KeyState.FREE
    assert harness.table.contradicting_result_count == 1


def test_result_after_undetermined_is_kept(harness):
    harness.add(make_claim(KEY, b"1"), Undetermined(b"1", "pay", KEY))
    assert harness.state() is KeyState.UNDETERMINED
    harness.add(make_result(b"1"))
    assert harness.state() is KeyState.ANSWERED


def test_release_after_undetermined_is_ignored(harness):
    records = [Undetermined(b"1", "pay", KEY), Release(b"1", "pay", KEY)]
    harness.add(make_claim(KEY, b"1"), *records)
    assert harness.state() is KeyState.UNDETERMINED


@pytest.mark.parametrize(
    ("at_s", "state"),
    [(NOW_S + 12.0, KeyState.CLAIMED), (NOW_S + 12.1, KeyState.FREE)],
)
def test_settlement_not_run_waits_for_deadline_and_margin(harness, at_s, state):
    harness.add(make_claim(KEY, b"1", deadline_s=NOW_S + 10))
    effects = harness.add(make_settled(b"1", Settlement.NOT_RUN), at_s=at_s)
    assert harness.state() is state
    assert SettlementDecided(b"s", state is KeyState.FREE) in effects


def test_rejected_settlement_stays_rejected_when_it_is_read_again(harness):
    harness.add(make_claim(KEY, b"1", deadline_s=NOW_S + 10))
    harness.add(make_settled(b"1", Settlement.NOT_RUN), at_s=NOW_S + 5)
    harness.add(make_settled(b"1", Settlement.NOT_RUN), at_s=NOW_S + 20)
    assert harness.state() is KeyState.CLAIMED


def test_settlement_ran_keeps_the_key_held(harness):
    harness.add(make_claim(KEY, b"1"), make_settled(b"1", Settlement.RAN))
    harness.add(make_claim(KEY, b"2"))
    assert harness.state() is KeyState.SETTLED_RAN
    assert harness.verdicts()[-1] is ClaimVerdict.LOST


def test_settlement_of_a_known_outcome_is_rejected(harness):
    harness.add(make_claim(KEY, b"1"), make_result(b"1"))
    effects = harness.add(make_settled(b"1", Settlement.NOT_RUN), at_s=NOW_S + 20)
    assert SettlementDecided(b"s", False) in effects
    assert harness.state() is KeyState.ANSWERED


def test_settlement_of_an_earlier_claim_is_ignored(harness):
    harness.add(make_claim(KEY, b"1"), Release(b"1", "pay", KEY), make_claim(KEY, b"2"))
    harness.add(make_settled(b"1", Settlement.NOT_RUN), at_s=NOW_S + 20)
    assert harness.table.get_entry(KEY_ID).holder.claim_id == b"2"


def test_expired_records_end_the_coverage_of_older_keys(harness):
    old, new = make_key(NOW_S), make_key(NOW_S + 20)
    harness.stream.append(make_payload(make_claim(old, b"0")), NOW_S)
    harness.stream.append(make_payload(), NOW_S + 18)
    harness.stream.earliest_offset = 1
    harness.add(make_claim(old, b"1"), make_claim(new, b"2"), at_s=NOW_S + 21)
    assert harness.verdicts() == [ClaimVerdict.NOT_COVERED, ClaimVerdict.TOO_LATE]
    assert not harness.table.covers(NOW_S + 19.5)
    assert harness.table.covers(NOW_S + 19.6)


def test_fully_expired_stream_covers_keys_from_now_on(harness):
    harness.stream.append(make_payload(), NOW_S)
    harness.stream.earliest_offset = 1
    harness.read(now_s=NOW_S + 100)
    assert harness.table.covered_since_s == NOW_S + 100
    assert harness.table.has_reached_end


def test_response_known_before_a_gap_stays_known(harness):
    harness.add(make_claim(KEY, b"1"), make_result(b"1"))
    harness.stream.append(make_payload(), NOW_S + 30)
    harness.stream.append(make_payload(), NOW_S + 30)
    harness.stream.earliest_offset = 2
    harness.read()
    assert harness.state() is KeyState.ANSWERED


def test_claim_known_before_a_gap_is_dropped(harness):
    harness.add(make_claim(KEY, b"1"))
    harness.stream.append(make_payload(), NOW_S + 30)
    harness.stream.append(make_payload(), NOW_S + 30)
    harness.stream.earliest_offset = 2
    harness.read()
    assert harness.table.get_entry(KEY_ID) is None


def test_answered_keys_older_than_the_window_are_dropped(harness):
    harness.add(make_claim(KEY, b"1"), make_result(b"1"))
    harness.add(at_s=NOW_S + 60.1)
    assert len(harness.table) == 0
    harness.add(make_claim(KEY, b"2", deadline_s=NOW_S + 90), at_s=NOW_S + 60.1)
    assert harness.verdicts()[-1] is ClaimVerdict.TOO_OLD


def test_unresolved_keys_are_kept_longer(harness):
    harness.add(make_claim(KEY, b"1"))
    harness.add(at_s=NOW_S + 119)
    assert [key_id for key_id, _ in harness.table.iter_unresolved()] == [KEY_ID]
    harness.add(at_s=NOW_S + 121)
    assert len(harness.table) == 0


def test_undecodable_payloads_are_skipped_and_counted(harness):
    harness.stream.append(b"\xff\x00", NOW_S)
    harness.add(make_claim("no-key", b"1"), make_claim(KEY, b"2"))
    assert harness.table.skipped_record_count == 2
    assert harness.verdicts() == [ClaimVerdict.WON]


def test_records_read_twice_are_applied_once(harness):
    harness.add(make_claim(KEY, b"1"))
    assert harness.table.apply_page(harness.stream.page(0), NOW_S) == []


def test_partial_page_is_not_the_end(harness):
    harness.stream.append(make_payload(), NOW_S)
    harness.stream.append(make_payload(), NOW_S)
    harness.table.apply_page(harness.stream.page(0, limit=1), NOW_S)
    assert not harness.table.has_reached_end
