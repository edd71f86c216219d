"""Test the fold of a partition."""

import pytest

from baobabring.claims._records import (
    Release,
    Result,
    Settled,
    Settlement,
    Undetermined,
)
from baobabring.claims._table import (
    ClaimFolded,
    ClaimTable,
    KeyState,
    SettlementFolded,
    Verdict,
)
from baobabring.claims.tests._support import (
    KEY,
    NOW_S,
    SETTINGS,
    StreamModel,
    claim_of,
    key_at,
    payload_of,
)

KEY_ID = ("pay", KEY)


class Fold:
    """Append records to a stream and fold them."""

    def __init__(self):
        self.stream = StreamModel()
        self.table = ClaimTable(SETTINGS)
        self.effects = []

    def add(self, *records, at_s=NOW_S):
        self.stream.append(payload_of(*records), at_s)
        return self.read()

    def read(self, now_s=NOW_S):
        page = self.stream.page(self.table.next_offset)
        effects = self.table.apply_page(page, now_s)
        self.effects += effects
        return effects

    def verdicts(self):
        return [e.verdict for e in self.effects if isinstance(e, ClaimFolded)]

    def state(self):
        return self.table.entry(KEY_ID).state


@pytest.fixture
def fold():
    return Fold()


def result(claim_id, status=200):
    return Result(claim_id, "pay", KEY, status, (), b"done", None)


def settled(claim_id, settlement):
    return Settled(b"s", claim_id, "pay", KEY, settlement)


def test_first_claim_wins(fold):
    fold.add(claim_of(KEY, b"1"), claim_of(KEY, b"2"))
    assert fold.verdicts() == [Verdict.WON, Verdict.LOST]


@pytest.mark.parametrize("other", [{"fingerprint": b"g"}, {"tenant": "other"}])
def test_key_of_another_request_is_reused(fold, other):
    fold.add(claim_of(KEY, b"1"), claim_of(KEY, b"2", **other))
    assert fold.verdicts() == [Verdict.WON, Verdict.KEY_REUSED]


def test_claim_read_twice_is_judged_once(fold):
    fold.add(claim_of(KEY, b"1"))
    fold.add(claim_of(KEY, b"1"))
    assert fold.verdicts() == [Verdict.WON]


def test_release_by_the_holder_frees_the_key(fold):
    fold.add(claim_of(KEY, b"1"), Release(b"1", "pay", KEY), claim_of(KEY, b"2"))
    assert fold.verdicts() == [Verdict.WON, Verdict.WON]


def test_release_by_another_claim_frees_nothing(fold):
    fold.add(claim_of(KEY, b"1"), claim_of(KEY, b"2"), Release(b"2", "pay", KEY))
    assert fold.state() is KeyState.CLAIMED


def test_released_claim_that_arrives_late_does_not_win(fold):
    fold.add(Release(b"1", "pay", KEY), claim_of(KEY, b"1"), claim_of(KEY, b"2"))
    assert fold.verdicts() == [Verdict.WON]
    assert fold.table.entry(KEY_ID).holder.claim_id == b"2"


def test_lost_claim_read_again_after_a_release_does_not_win(fold):
    fold.add(claim_of(KEY, b"1"), claim_of(KEY, b"2"), Release(b"1", "pay", KEY))
    fold.add(claim_of(KEY, b"2"))
    assert fold.state() is KeyState.FREE


def test_claim_appended_after_its_deadline_does_not_win(fold):
    fold.add(claim_of(KEY, b"1", deadline_s=NOW_S + 1), at_s=NOW_S + 3.5)
    assert fold.verdicts() == [Verdict.TOO_LATE]


def test_result_of_the_holder_is_kept(fold):
    fold.add(claim_of(KEY, b"1"), result(b"1"), result(b"1", status=500))
    assert fold.table.entry(KEY_ID).answer.status == 200


def test_result_of_another_claim_is_ignored(fold):
    fold.add(claim_of(KEY, b"1"), result(b"2"))
    assert fold.state() is KeyState.CLAIMED


def test_result_of_a_claim_settled_as_not_run_is_counted(fold):
    fold.add(claim_of(KEY, b"1", deadline_s=NOW_S + 10))
    fold.add(settled(b"1", Settlement.NOT_RUN), at_s=NOW_S + 20)
    fold.add(result(b"1"), at_s=NOW_S + 21)
    assert fold.state() is KeyState.FREE
    assert fold.table.contradicting_results == 1


def test_result_after_undetermined_is_kept(fold):
    fold.add(claim_of(KEY, b"1"), Undetermined(b"1", "pay", KEY))
    assert fold.state() is KeyState.UNDETERMINED
    fold.add(result(b"1"))
    assert fold.state() is KeyState.ANSWERED


def test_release_after_undetermined_is_ignored(fold):
    records = [Undetermined(b"1", "pay", KEY), Release(b"1", "pay", KEY)]
    fold.add(claim_of(KEY, b"1"), *records)
    assert fold.state() is KeyState.UNDETERMINED


@pytest.mark.parametrize(
    ("at_s", "state"),
    [(NOW_S + 12.0, KeyState.CLAIMED), (NOW_S + 12.1, KeyState.FREE)],
)
def test_settlement_not_run_waits_for_deadline_and_margin(fold, at_s, state):
    fold.add(claim_of(KEY, b"1", deadline_s=NOW_S + 10))
    effects = fold.add(settled(b"1", Settlement.NOT_RUN), at_s=at_s)
    assert fold.state() is state
    assert SettlementFolded(b"s", state is KeyState.FREE) in effects


def test_rejected_settlement_stays_rejected_when_it_is_read_again(fold):
    fold.add(claim_of(KEY, b"1", deadline_s=NOW_S + 10))
    fold.add(settled(b"1", Settlement.NOT_RUN), at_s=NOW_S + 5)
    fold.add(settled(b"1", Settlement.NOT_RUN), at_s=NOW_S + 20)
    assert fold.state() is KeyState.CLAIMED


def test_settlement_ran_holds_the_key(fold):
    fold.add(claim_of(KEY, b"1"), settled(b"1", Settlement.RAN))
    fold.add(claim_of(KEY, b"2"))
    assert fold.state() is KeyState.SETTLED_RAN
    assert fold.verdicts()[-1] is Verdict.LOST


def test_settlement_of_a_known_outcome_is_rejected(fold):
    fold.add(claim_of(KEY, b"1"), result(b"1"))
    effects = fold.add(settled(b"1", Settlement.NOT_RUN), at_s=NOW_S + 20)
    assert SettlementFolded(b"s", False) in effects
    assert fold.state() is KeyState.ANSWERED


def test_settlement_names_the_claim_that_it_settles(fold):
    fold.add(claim_of(KEY, b"1"), Release(b"1", "pay", KEY), claim_of(KEY, b"2"))
    fold.add(settled(b"1", Settlement.NOT_RUN), at_s=NOW_S + 20)
    assert fold.table.entry(KEY_ID).holder.claim_id == b"2"


def test_expired_records_end_the_coverage_of_older_keys(fold):
    old, new = key_at(NOW_S), key_at(NOW_S + 20)
    fold.stream.append(payload_of(claim_of(old, b"0")), NOW_S)
    fold.stream.append(payload_of(), NOW_S + 18)
    fold.stream.earliest_offset = 1
    fold.add(claim_of(old, b"1"), claim_of(new, b"2"), at_s=NOW_S + 21)
    assert fold.verdicts() == [Verdict.NOT_COVERED, Verdict.TOO_LATE]
    assert not fold.table.covers(NOW_S + 19.5)
    assert fold.table.covers(NOW_S + 19.6)


def test_stream_that_expired_whole_covers_keys_from_now_on(fold):
    fold.stream.append(payload_of(), NOW_S)
    fold.stream.earliest_offset = 1
    fold.read(now_s=NOW_S + 100)
    assert fold.table.covered_since_s == NOW_S + 100
    assert fold.table.read_to_end


def test_answer_known_before_a_gap_stays_known(fold):
    fold.add(claim_of(KEY, b"1"), result(b"1"))
    fold.stream.append(payload_of(), NOW_S + 30)
    fold.stream.append(payload_of(), NOW_S + 30)
    fold.stream.earliest_offset = 2
    fold.read()
    assert fold.state() is KeyState.ANSWERED


def test_claim_known_before_a_gap_is_dropped(fold):
    fold.add(claim_of(KEY, b"1"))
    fold.stream.append(payload_of(), NOW_S + 30)
    fold.stream.append(payload_of(), NOW_S + 30)
    fold.stream.earliest_offset = 2
    fold.read()
    assert fold.table.entry(KEY_ID) is None


def test_answered_keys_older_than_the_window_are_dropped(fold):
    fold.add(claim_of(KEY, b"1"), result(b"1"))
    fold.add(at_s=NOW_S + 60.1)
    assert len(fold.table) == 0
    fold.add(claim_of(KEY, b"2", deadline_s=NOW_S + 90), at_s=NOW_S + 60.1)
    assert fold.verdicts()[-1] is Verdict.TOO_OLD


def test_unresolved_keys_are_kept_longer(fold):
    fold.add(claim_of(KEY, b"1"))
    fold.add(at_s=NOW_S + 119)
    assert [key_id for key_id, _ in fold.table.unresolved()] == [KEY_ID]
    fold.add(at_s=NOW_S + 121)
    assert len(fold.table) == 0


def test_undecodable_payloads_are_skipped_and_counted(fold):
    fold.stream.append(b"\xff\x00", NOW_S)
    fold.add(claim_of("no-key", b"1"), claim_of(KEY, b"2"))
    assert fold.table.skipped_records == 2
    assert fold.verdicts() == [Verdict.WON]


def test_records_read_twice_are_folded_once(fold):
    fold.add(claim_of(KEY, b"1"))
    assert fold.table.apply_page(fold.stream.page(0), NOW_S) == []


def test_page_cut_short_is_not_the_end(fold):
    fold.stream.append(payload_of(), NOW_S)
    fold.stream.append(payload_of(), NOW_S)
    fold.table.apply_page(fold.stream.page(0, limit=1), NOW_S)
    assert not fold.table.read_to_end
