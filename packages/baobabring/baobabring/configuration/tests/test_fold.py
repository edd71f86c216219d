"""Tests of the fold of the configuration stream."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.configuration import (
    Accepted,
    ChangeRecord,
    ConfigurationFold,
    Conflict,
    DeleteService,
    PutService,
    Rejected,
    RemoveTarget,
    SetTargetState,
    SetZoneState,
    Skipped,
    SnapshotRecord,
    decode_record,
    encode_record,
)
from baobabring.configuration._fold import MAX_RECENT_VERDICTS
from baobabring.model import Configuration, Service, Target, TargetState, ZoneState
from baobabring.platform import LogRecord, Page

PROFILE = settings(derandomize=True, max_examples=60, deadline=None)
RETENTION_S = 3600.0


def make_target(target_id: str = "t1", port: int = 80) -> Target:
    return Target(target_id, f"10.0.0.1:{port}", "sapporo", 2)


def make_service(service_id: str = "menu", *targets: Target) -> Service:
    return Service(service_id, f"/{service_id}", (), targets)


def make_payload(change_id: str, base_revision: int, change) -> bytes:
    return encode_record(ChangeRecord(change_id, base_revision, change))


def make_records(payloads: list[bytes], first_offset: int = 0) -> tuple:
    return tuple(
        LogRecord(offset, float(offset), payload)
        for offset, payload in enumerate(payloads, first_offset)
    )


def make_page(
    records: tuple, earliest_offset: int, read_offset: int = 0, count: int = 1_000
) -> Page:
    start = max(earliest_offset, read_offset)
    return Page(earliest_offset, len(records), records[start : start + count])


def assert_holds_a_prefix(fold: ConfigurationFold, records: tuple) -> None:
    assert state_of(fold) == state_of(fold_all(records[: fold.next_offset]))


def fold_all(records: tuple) -> ConfigurationFold:
    fold = ConfigurationFold()
    for record in records:
        fold.apply(record)
    return fold


CHANGES = st.one_of(
    st.builds(
        PutService,
        st.sampled_from(["menu", "fees"]).map(
            lambda name: make_service(name, make_target())
        ),
    ),
    st.sampled_from(["menu", "fees", ""]).map(DeleteService),
    st.builds(
        SetTargetState,
        st.just("menu"),
        st.sampled_from(["t1", "t2"]),
        st.sampled_from(TargetState),
    ),
    st.builds(RemoveTarget, st.sampled_from(["menu", "fees"]), st.just("t1")),
    st.builds(SetZoneState, st.just("sapporo"), st.sampled_from(ZoneState)),
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("change"), st.integers(0, 2), CHANGES),
        st.tuples(st.just("duplicate"), st.integers(0, 30), st.none()),
        st.tuples(st.just("junk"), st.just(0), st.binary(max_size=8)),
        st.tuples(st.just("snapshot"), st.integers(0, 3), st.none()),
    ),
    max_size=30,
)


def write_history(steps: list) -> tuple:
    """Return the records that operators and lagging snapshot writers leave."""
    payloads: list[bytes] = []
    fold = ConfigurationFold()
    for step, (kind, number, detail) in enumerate(steps):
        if kind == "change":
            base_revision = max(0, fold.configuration.revision - number // 2)
            payloads.append(make_payload(f"c{step}", base_revision, detail))
        elif kind == "duplicate" and payloads:
            payloads.append(payloads[number % len(payloads)])
        elif kind == "junk":
            payloads.append(detail)
        elif kind == "snapshot":
            covered = max(0, len(payloads) - number)
            payloads.append(
                fold_all(make_records(payloads[:covered])).snapshot_payload()
            )
        fold = fold_all(make_records(payloads))
    return make_records(payloads)


def state_of(fold: ConfigurationFold) -> tuple:
    verdicts = tuple(fold.verdict(f"c{step}") for step in range(30))
    return fold.next_offset, fold.configuration, verdicts


def test_an_accepted_change_has_its_offset_plus_one_as_revision():
    fold = ConfigurationFold()
    payload = make_payload("c1", 0, PutService(make_service()))
    assert fold.apply(LogRecord(0, 1.0, payload)) == Accepted(revision=1)
    assert fold.configuration.services == {"menu": make_service()}


def test_racing_changes_on_one_revision_have_exactly_one_winner():
    payloads = [
        make_payload(f"c{n}", 0, PutService(make_service(f"service-{n}")))
        for n in range(5)
    ]
    fold = fold_all(make_records(payloads))
    verdicts = [fold.verdict(f"c{n}") for n in range(5)]
    assert verdicts == [Accepted(1)] + [Conflict(1)] * 4
    assert list(fold.configuration.services) == ["service-0"]


def test_an_invalid_change_is_rejected_with_its_findings():
    fold = fold_all(make_records([make_payload("c1", 0, DeleteService("menu"))]))
    verdict = fold.verdict("c1")
    assert isinstance(verdict, Rejected)
    assert [finding.place for finding in verdict.findings] == ["service_id"]
    assert fold.configuration.revision == 0


def test_a_change_appended_twice_stays_accepted():
    payload = make_payload("c1", 0, PutService(make_service()))
    fold = fold_all(make_records([payload, payload]))
    assert fold.verdict("c1") == Accepted(1)
    assert fold.configuration.revision == 1


def test_a_change_that_conflicted_is_not_accepted_when_it_comes_again():
    ahead = make_payload("c1", 2, SetZoneState("sapporo", ZoneState.OUT))
    put = make_payload("c2", 0, PutService(make_service("menu", make_target())))
    fold = fold_all(make_records([ahead, put, ahead]))
    assert fold.configuration.revision == 2
    assert fold.verdict("c1") == Conflict(0)
    assert fold.configuration.zones_out == frozenset()


def test_a_service_put_without_targets_keeps_the_earlier_ones():
    payloads = [
        make_payload("c1", 0, PutService(make_service("menu", make_target()))),
        make_payload("c2", 1, PutService(make_service("menu"))),
    ]
    fold = fold_all(make_records(payloads))
    assert fold.configuration.services["menu"].targets == (make_target(),)


def test_undecodable_records_are_counted_and_skipped():
    deep = b"[" * 100_000
    fold = fold_all(make_records([b"", b"{", b'{"record":"later"}', b"\xff", deep]))
    assert fold.undecodable_count == 5
    assert fold.next_offset == 5


def test_a_record_applied_before_is_skipped():
    payload = make_payload("c1", 0, PutService(make_service()))
    fold = fold_all(make_records([payload]))
    assert isinstance(fold.apply(LogRecord(0, 1.0, payload)), Skipped)
    assert fold.next_offset == 1


def test_the_old_configuration_stands_in_a_gap_until_a_snapshot_covers_it():
    payloads = [make_payload("c1", 0, PutService(make_service()))]
    payloads.append(make_payload("c2", 1, DeleteService("menu")))
    payloads.append(fold_all(make_records(payloads)).snapshot_payload())
    records = make_records(payloads)
    fold = fold_all(records[:1])
    fold.apply_page(Page(2, 2, ()))
    assert fold.needs_snapshot
    assert fold.configuration.services == {"menu": make_service()}
    fold.apply(records[2])
    assert not fold.needs_snapshot
    assert state_of(fold) == state_of(fold_all(records))


def test_a_snapshot_that_does_not_cover_the_gap_is_not_used():
    early = fold_all(()).snapshot_payload()
    fold = ConfigurationFold()
    fold.apply_page(Page(1, 2, (LogRecord(1, 1.0, early),)))
    assert fold.needs_snapshot


def test_a_snapshot_that_claims_records_after_itself_is_not_used():
    ahead = fold_all(make_records([b""] * 9)).snapshot_payload()
    fold = ConfigurationFold()
    fold.apply_page(Page(1, 2, (LogRecord(1, 1.0, ahead),)))
    assert fold.needs_snapshot
    assert fold.next_offset == 0


def test_a_snapshot_that_claims_records_after_itself_is_skipped():
    ahead = fold_all(make_records([b""] * 9)).snapshot_payload()
    assert isinstance(ConfigurationFold().apply(LogRecord(0, 1.0, ahead)), Skipped)


def test_records_held_in_a_gap_are_dropped_at_the_next_gap():
    payloads = [b""] * 5
    payloads.append(fold_all(make_records(payloads)).snapshot_payload())
    records = make_records(payloads)
    fold = ConfigurationFold()
    fold.apply_page(make_page(records, 1, count=2))
    assert fold.read_offset == 3
    fold.apply_page(make_page(records, 4))
    assert not fold.needs_snapshot
    assert fold.next_offset == 6


def test_state_from_a_peer_that_does_not_cover_a_gap_leaves_it_open():
    payload = make_payload("c1", 0, PutService(make_service()))
    peer = fold_all(make_records([payload]))
    fold = ConfigurationFold()
    fold.apply_page(Page(2, 2, ()))
    assert fold.load(peer.snapshot_payload())
    assert fold.configuration.revision == 1
    assert fold.needs_snapshot


def test_state_from_a_peer_beyond_the_held_records_stays_there():
    records = make_records([b""] * 5)
    fold = ConfigurationFold()
    fold.apply_page(make_page(records, 1, count=2))
    assert fold.load(fold_all(records).snapshot_payload())
    assert fold.next_offset == 5
    assert fold.read_offset == 5


def test_state_with_a_revision_beyond_its_records_is_not_loaded():
    snapshot = SnapshotRecord(9, 3, Configuration(revision=9))
    assert not ConfigurationFold().load(encode_record(snapshot))


def test_old_verdicts_are_forgotten():
    payloads = [
        make_payload(f"c{n}", 0, DeleteService("menu"))
        for n in range(MAX_RECENT_VERDICTS + 1)
    ]
    fold = fold_all(make_records(payloads))
    assert fold.verdict("c0") is None
    assert fold.verdict("c1") is not None


def test_state_from_a_peer_closes_a_gap():
    payload = make_payload("c1", 0, PutService(make_service()))
    peer = fold_all(make_records([payload]))
    fold = ConfigurationFold()
    fold.apply_page(Page(1, 1, ()))
    assert fold.load(peer.snapshot_payload())
    assert not fold.needs_snapshot
    assert fold.next_offset == 1


def test_junk_from_a_peer_is_not_loaded():
    assert not ConfigurationFold().load(b"junk")


def test_a_snapshot_is_due_long_before_the_records_expire():
    payload = make_payload("c1", 0, PutService(make_service()))
    fold = fold_all((LogRecord(0, 100.0, payload),))
    rng = Random(7)
    assert not fold.snapshot_due(100.0 + 0.2 * RETENTION_S, RETENTION_S, rng)
    assert fold.snapshot_due(100.0 + 0.5 * RETENTION_S, RETENTION_S, rng)
    fold.apply(LogRecord(1, 2000.0, fold.snapshot_payload()))
    assert not fold.snapshot_due(2000.0 + 0.2 * RETENTION_S, RETENTION_S, rng)
    assert fold.snapshot_due(2000.0 + 0.5 * RETENTION_S, RETENTION_S, rng)


def test_a_snapshot_does_not_cover_records_that_its_writer_had_not_read():
    payload = make_payload("c1", 0, PutService(make_service()))
    fold = fold_all((LogRecord(0, 100.0, payload), LogRecord(1, 200.0, b"")))
    lagging = fold_all((LogRecord(0, 100.0, payload),)).snapshot_payload()
    fold.apply(LogRecord(2, 3000.0, lagging))
    assert fold.snapshot_due(200.0 + 0.5 * RETENTION_S, RETENTION_S, Random(7))


def test_instances_draw_different_times_for_their_snapshots():
    payload = make_payload("c1", 0, PutService(make_service()))
    due = []
    for seed in range(20):
        fold = fold_all((LogRecord(0, 0.0, payload),))
        due.append(fold.snapshot_due(0.375 * RETENTION_S, RETENTION_S, Random(seed)))
    assert any(due)
    assert not all(due)


@PROFILE
@given(STEPS)
def test_the_same_prefix_gives_the_same_state(steps):
    records = write_history(steps)
    for end in range(len(records) + 1):
        first = fold_all(records[:end])
        second = fold_all(records[:end])
        assert first.snapshot_payload() == second.snapshot_payload()


@PROFILE
@given(STEPS)
def test_accepted_revisions_are_distinct_and_grow(steps):
    fold = ConfigurationFold()
    revisions = []
    for record in write_history(steps):
        outcome = fold.apply(record)
        if isinstance(outcome, Accepted):
            revisions.append(outcome.revision)
    assert revisions == sorted(set(revisions))


@PROFILE
@given(STEPS, st.lists(st.integers(0, 30), max_size=40))
def test_records_delivered_again_change_nothing(steps, repeats):
    records = write_history(steps)
    fold = ConfigurationFold()
    for index, record in enumerate(records):
        fold.apply(record)
        for repeat in repeats[index : index + 2]:
            fold.apply(records[repeat % (index + 1)])
    assert state_of(fold) == state_of(fold_all(records))


@PROFILE
@given(STEPS, st.integers(0, 30), st.integers(0, 30))
def test_a_replay_after_expiry_gives_the_same_state_if_a_snapshot_covers_it(
    steps, known, earliest
):
    records = write_history(steps)
    known, earliest = min(known, len(records)), min(earliest, len(records))
    whole = fold_all(records)
    fold = fold_all(records[:known])
    fold.apply_page(make_page(records, earliest, known))
    covered = earliest <= known or any(
        isinstance(record, SnapshotRecord) and record.through_offset + 1 >= earliest
        for record in map(decode_record, (r.payload for r in records[earliest:]))
    )
    assert fold.needs_snapshot is not covered
    if covered:
        assert state_of(fold) == state_of(whole)
        assert fold.snapshot_payload() == whole.snapshot_payload()


@settings(PROFILE, max_examples=200)
@given(
    STEPS,
    st.lists(
        st.tuples(st.booleans(), st.integers(0, 30), st.integers(0, 5)), max_size=12
    ),
)
def test_the_state_is_always_that_of_a_prefix_that_grows(steps, events):
    records = write_history(steps)
    fold = ConfigurationFold()
    earliest = 0
    seen = (0, 0)
    for from_peer, number, count in events:
        number = min(number, len(records))
        if from_peer:
            fold.load(fold_all(records[:number]).snapshot_payload())
        else:
            earliest = max(earliest, number)
            fold.apply_page(make_page(records, earliest, fold.read_offset, count))
        assert_holds_a_prefix(fold, records)
        now = (fold.next_offset, fold.configuration.revision)
        assert now[0] >= seen[0]
        assert now[1] >= seen[1]
        seen = now


@PROFILE
@given(STEPS, st.integers(0, 30), st.integers(0, 30))
def test_state_from_a_peer_and_the_rest_of_the_log_give_the_same_state(
    steps, peer_end, own_end
):
    records = write_history(steps)
    peer_end, own_end = min(peer_end, len(records)), min(own_end, len(records))
    fold = fold_all(records[:own_end])
    fold.load(fold_all(records[:peer_end]).snapshot_payload())
    fold.apply_page(make_page(records, min(fold.read_offset, len(records))))
    assert state_of(fold) == state_of(fold_all(records))
