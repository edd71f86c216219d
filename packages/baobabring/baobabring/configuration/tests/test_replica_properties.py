"""Property tests of the configuration replica for any history of the stream."""

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.configuration import (
    Accepted,
    ConfigurationReplica,
    DeleteService,
    PutService,
    RemoveTarget,
    SetTargetState,
    SetZoneState,
    SnapshotRecord,
    decode_record,
)
from baobabring.configuration.tests.builders import (
    get_state,
    make_page,
    make_payload,
    make_records,
    make_service,
    make_target,
    replay_records,
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
    """Return the records that operators and lagging snapshot writers append."""
    payloads: list[bytes] = []
    replica = ConfigurationReplica()
    for step, (kind, number, detail) in enumerate(steps):
        if kind == "change":
            base_revision = max(0, replica.configuration.revision - number // 2)
            payloads.append(make_payload(f"c{step}", base_revision, detail))
        elif kind == "duplicate" and payloads:
            payloads.append(payloads[number % len(payloads)])
        elif kind == "junk":
            payloads.append(detail)
        elif kind == "snapshot":
            covered = max(0, len(payloads) - number)
            payloads.append(
                replay_records(
                    make_records(payloads[:covered])
                ).create_snapshot_payload()
            )
        replica = replay_records(make_records(payloads))
    return make_records(payloads)


def assert_state_of_prefix(replica: ConfigurationReplica, records: tuple) -> None:
    assert get_state(replica) == get_state(
        replay_records(records[: replica.next_offset])
    )


@PROFILE
@given(STEPS)
def test_the_same_prefix_gives_the_same_state(steps):
    records = write_history(steps)
    for end in range(len(records) + 1):
        first = replay_records(records[:end])
        second = replay_records(records[:end])
        assert first.create_snapshot_payload() == second.create_snapshot_payload()


@PROFILE
@given(STEPS)
def test_accepted_revisions_are_distinct_and_grow(steps):
    replica = ConfigurationReplica()
    revisions = []
    for record in write_history(steps):
        outcome = replica.apply(record)
        if isinstance(outcome, Accepted):
            revisions.append(outcome.revision)
    assert revisions == sorted(set(revisions))


@PROFILE
@given(STEPS, st.lists(st.integers(0, 30), max_size=40))
def test_records_delivered_again_change_nothing(steps, repeats):
    records = write_history(steps)
    replica = ConfigurationReplica()
    for index, record in enumerate(records):
        replica.apply(record)
        for repeat in repeats[index : index + 2]:
            replica.apply(records[repeat % (index + 1)])
    assert get_state(replica) == get_state(replay_records(records))


@PROFILE
@given(STEPS, st.integers(0, 30), st.integers(0, 30))
def test_a_replay_after_expiry_gives_the_same_state_if_a_snapshot_covers_it(
    steps, known, earliest
):
    records = write_history(steps)
    known, earliest = min(known, len(records)), min(earliest, len(records))
    whole = replay_records(records)
    replica = replay_records(records[:known])
    replica.apply_page(make_page(records, earliest, known))
    covered = earliest <= known or any(
        isinstance(record, SnapshotRecord) and record.through_offset + 1 >= earliest
        for record in map(decode_record, (r.payload for r in records[earliest:]))
    )
    assert replica.needs_snapshot is not covered
    if covered:
        assert get_state(replica) == get_state(whole)
        assert replica.create_snapshot_payload() == whole.create_snapshot_payload()


@settings(PROFILE, max_examples=200)
@given(
    STEPS,
    st.lists(
        st.tuples(st.booleans(), st.integers(0, 30), st.integers(0, 5)), max_size=12
    ),
)
def test_the_state_is_always_that_of_a_prefix_that_grows(steps, events):
    records = write_history(steps)
    replica = ConfigurationReplica()
    earliest = 0
    seen = (0, 0)
    for from_peer, number, count in events:
        number = min(number, len(records))
        if from_peer:
            replica.load_snapshot(
                replay_records(records[:number]).create_snapshot_payload()
            )
        else:
            earliest = max(earliest, number)
            replica.apply_page(make_page(records, earliest, replica.read_offset, count))
        assert_state_of_prefix(replica, records)
        now = (replica.next_offset, replica.configuration.revision)
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
    replica = replay_records(records[:own_end])
    replica.load_snapshot(replay_records(records[:peer_end]).create_snapshot_payload())
    replica.apply_page(make_page(records, min(replica.read_offset, len(records))))
    assert get_state(replica) == get_state(replay_records(records))
