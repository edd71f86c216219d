"""Tests of the configuration replica."""

from random import Random

from baobabring.configuration import (
    Accepted,
    ConfigurationReplica,
    Conflict,
    DeleteService,
    PutService,
    Rejected,
    SetZoneState,
    Skipped,
    SnapshotRecord,
    encode_record,
)
from baobabring.configuration._replica import MAX_RECENT_VERDICTS
from baobabring.configuration.tests.builders import (
    get_state,
    make_page,
    make_payload,
    make_records,
    make_service,
    make_target,
    replay_records,
)
from baobabring.model import Configuration, ZoneState
from baobabring.platform import LogRecord, Page

RETENTION_S = 3600.0


def test_an_accepted_change_has_its_offset_plus_one_as_revision():
    replica = ConfigurationReplica()
    payload = make_payload("c1", 0, PutService(make_service()))
    assert replica.apply(LogRecord(0, 1.0, payload)) == Accepted(revision=1)
    assert replica.configuration.services == {"menu": make_service()}


def test_racing_changes_on_one_revision_have_exactly_one_winner():
    payloads = [
        make_payload(f"c{n}", 0, PutService(make_service(f"service-{n}")))
        for n in range(5)
    ]
    replica = replay_records(make_records(payloads))
    verdicts = [replica.get_verdict(f"c{n}") for n in range(5)]
    assert verdicts == [Accepted(1)] + [Conflict(1)] * 4
    assert list(replica.configuration.services) == ["service-0"]


def test_an_invalid_change_is_rejected_with_its_findings():
    replica = replay_records(
        make_records([make_payload("c1", 0, DeleteService("menu"))])
    )
    verdict = replica.get_verdict("c1")
    assert isinstance(verdict, Rejected)
    assert [finding.place for finding in verdict.findings] == ["service_id"]
    assert replica.configuration.revision == 0


def test_a_change_appended_twice_stays_accepted():
    payload = make_payload("c1", 0, PutService(make_service()))
    replica = replay_records(make_records([payload, payload]))
    assert replica.get_verdict("c1") == Accepted(1)
    assert replica.configuration.revision == 1


def test_a_change_that_conflicted_is_not_accepted_when_it_is_appended_again():
    ahead = make_payload("c1", 2, SetZoneState("sapporo", ZoneState.OUT))
    put = make_payload("c2", 0, PutService(make_service("menu", make_target())))
    replica = replay_records(make_records([ahead, put, ahead]))
    assert replica.configuration.revision == 2
    assert replica.get_verdict("c1") == Conflict(0)
    assert replica.configuration.zones_out == frozenset()


def test_a_service_put_without_targets_keeps_the_earlier_ones():
    payloads = [
        make_payload("c1", 0, PutService(make_service("menu", make_target()))),
        make_payload("c2", 1, PutService(make_service("menu"))),
    ]
    replica = replay_records(make_records(payloads))
    assert replica.configuration.services["menu"].targets == (make_target(),)


def test_undecodable_records_are_counted_and_skipped():
    deep = b"[" * 100_000
    replica = replay_records(
        make_records([b"", b"{", b'{"record":"later"}', b"\xff", deep])
    )
    assert replica.undecodable_count == 5
    assert replica.next_offset == 5


def test_a_record_applied_before_is_skipped():
    payload = make_payload("c1", 0, PutService(make_service()))
    replica = replay_records(make_records([payload]))
    assert isinstance(replica.apply(LogRecord(0, 1.0, payload)), Skipped)
    assert replica.next_offset == 1


def test_the_old_configuration_is_kept_in_a_gap_until_a_snapshot_covers_it():
    payloads = [make_payload("c1", 0, PutService(make_service()))]
    payloads.append(make_payload("c2", 1, DeleteService("menu")))
    payloads.append(replay_records(make_records(payloads)).create_snapshot_payload())
    records = make_records(payloads)
    replica = replay_records(records[:1])
    replica.apply_page(Page(2, 2, ()))
    assert replica.needs_snapshot
    assert replica.configuration.services == {"menu": make_service()}
    replica.apply(records[2])
    assert not replica.needs_snapshot
    assert get_state(replica) == get_state(replay_records(records))


def test_a_snapshot_that_does_not_cover_the_gap_is_not_used():
    early = replay_records(()).create_snapshot_payload()
    replica = ConfigurationReplica()
    replica.apply_page(Page(1, 2, (LogRecord(1, 1.0, early),)))
    assert replica.needs_snapshot


def test_a_snapshot_that_claims_records_after_itself_is_not_used():
    ahead = replay_records(make_records([b""] * 9)).create_snapshot_payload()
    replica = ConfigurationReplica()
    replica.apply_page(Page(1, 2, (LogRecord(1, 1.0, ahead),)))
    assert replica.needs_snapshot
    assert replica.next_offset == 0


def test_a_snapshot_that_claims_records_after_itself_is_skipped():
    ahead = replay_records(make_records([b""] * 9)).create_snapshot_payload()
    assert isinstance(ConfigurationReplica().apply(LogRecord(0, 1.0, ahead)), Skipped)


def test_records_buffered_in_a_gap_are_dropped_at_the_next_gap():
    payloads = [b""] * 5
    payloads.append(replay_records(make_records(payloads)).create_snapshot_payload())
    records = make_records(payloads)
    replica = ConfigurationReplica()
    replica.apply_page(make_page(records, 1, count=2))
    assert replica.read_offset == 3
    replica.apply_page(make_page(records, 4))
    assert not replica.needs_snapshot
    assert replica.next_offset == 6


def test_state_from_a_peer_that_does_not_cover_a_gap_leaves_it_open():
    payload = make_payload("c1", 0, PutService(make_service()))
    peer = replay_records(make_records([payload]))
    replica = ConfigurationReplica()
    replica.apply_page(Page(2, 2, ()))
    assert replica.load_snapshot(peer.create_snapshot_payload())
    assert replica.configuration.revision == 1
    assert replica.needs_snapshot


def test_state_from_a_peer_newer_than_the_buffered_records_is_kept():
    records = make_records([b""] * 5)
    replica = ConfigurationReplica()
    replica.apply_page(make_page(records, 1, count=2))
    assert replica.load_snapshot(replay_records(records).create_snapshot_payload())
    assert replica.next_offset == 5
    assert replica.read_offset == 5


def test_state_with_a_revision_beyond_its_records_is_not_loaded():
    snapshot = SnapshotRecord(9, 3, Configuration(revision=9))
    assert not ConfigurationReplica().load_snapshot(encode_record(snapshot))


def test_old_verdicts_are_removed():
    payloads = [
        make_payload(f"c{n}", 0, DeleteService("menu"))
        for n in range(MAX_RECENT_VERDICTS + 1)
    ]
    replica = replay_records(make_records(payloads))
    assert replica.get_verdict("c0") is None
    assert replica.get_verdict("c1") is not None


def test_state_from_a_peer_closes_a_gap():
    payload = make_payload("c1", 0, PutService(make_service()))
    peer = replay_records(make_records([payload]))
    replica = ConfigurationReplica()
    replica.apply_page(Page(1, 1, ()))
    assert replica.load_snapshot(peer.create_snapshot_payload())
    assert not replica.needs_snapshot
    assert replica.next_offset == 1


def test_an_undecodable_payload_from_a_peer_is_not_loaded():
    assert not ConfigurationReplica().load_snapshot(b"junk")


def test_a_snapshot_is_due_long_before_the_records_expire():
    payload = make_payload("c1", 0, PutService(make_service()))
    replica = replay_records((LogRecord(0, 100.0, payload),))
    rng = Random(7)
    assert not replica.is_snapshot_due(100.0 + 0.2 * RETENTION_S, RETENTION_S, rng)
    assert replica.is_snapshot_due(100.0 + 0.5 * RETENTION_S, RETENTION_S, rng)
    replica.apply(LogRecord(1, 2000.0, replica.create_snapshot_payload()))
    assert not replica.is_snapshot_due(2000.0 + 0.2 * RETENTION_S, RETENTION_S, rng)
    assert replica.is_snapshot_due(2000.0 + 0.5 * RETENTION_S, RETENTION_S, rng)


def test_a_snapshot_does_not_cover_records_that_its_writer_had_not_read():
    payload = make_payload("c1", 0, PutService(make_service()))
    replica = replay_records((LogRecord(0, 100.0, payload), LogRecord(1, 200.0, b"")))
    lagging = replay_records((LogRecord(0, 100.0, payload),)).create_snapshot_payload()
    replica.apply(LogRecord(2, 3000.0, lagging))
    assert replica.is_snapshot_due(200.0 + 0.5 * RETENTION_S, RETENTION_S, Random(7))


def test_instances_draw_different_times_for_their_snapshots():
    payload = make_payload("c1", 0, PutService(make_service()))
    due = []
    for seed in range(20):
        replica = replay_records((LogRecord(0, 0.0, payload),))
        due.append(
            replica.is_snapshot_due(0.375 * RETENTION_S, RETENTION_S, Random(seed))
        )
    assert any(due)
    assert not all(due)
