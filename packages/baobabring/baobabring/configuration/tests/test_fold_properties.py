"""Properties of the fold under any history of the stream."""

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.configuration import (
    Accepted,
    ConfigurationFold,
    DeleteService,
    PutService,
    RemoveTarget,
    SetTargetState,
    SetZoneState,
    SnapshotRecord,
    decode_record,
)
from baobabring.configuration.tests.builders import (
    fold_all,
    make_page,
    make_payload,
    make_records,
    make_service,
    make_target,
    state_of,
)
from baobabring.model import TargetState, ZoneState

PROFILE = settings(derandomize=True, max_examples=60, deadline=None)


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


def assert_holds_a_prefix(fold: ConfigurationFold, records: tuple) -> None:
    assert state_of(fold) == state_of(fold_all(records[: fold.next_offset]))


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
