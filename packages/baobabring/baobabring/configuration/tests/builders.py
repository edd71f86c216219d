"""Builders of records, pages and replicas for the tests."""

from baobabring.configuration import ChangeRecord, ConfigurationReplica, encode_record
from baobabring.model import Service, Target
from baobabring.platform import LogRecord, Page


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


def replay_records(records: tuple) -> ConfigurationReplica:
    replica = ConfigurationReplica()
    for record in records:
        replica.apply(record)
    return replica


def get_state(replica: ConfigurationReplica) -> tuple:
    verdicts = tuple(replica.get_verdict(f"c{step}") for step in range(30))
    return replica.next_offset, replica.configuration, verdicts
