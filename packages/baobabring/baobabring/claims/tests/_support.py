"""Helpers for the tests of claims: keys, records, streams and a harness."""

import random

from baobabring.claims import (
    ClaimPending,
    ClaimSettings,
    ClaimWon,
    create_claim_coordinator,
)
from baobabring.claims._records import Claim, Record, encode_batch, encode_record
from baobabring.model import Response
from baobabring.platform import Appended, LogRecord, Page

NOW_S = 1_000_000.0
SETTINGS = ClaimSettings(
    window_s=60.0,
    unresolved_window_s=120.0,
    future_limit_s=1.0,
    clock_skew_s=0.5,
    settlement_margin_s=2.0,
    result_grace_s=1.0,
    log_failing_limit_s=2.0,
    log_retry_delay_s=0.5,
    budget_appends_per_s=1000.0,
    burst_appends=100.0,
)


def make_key(created_at_s: float, number: int = 0) -> str:
    """Return a UUIDv7 with a creation time and a number instead of random bits."""
    milliseconds = f"{round(created_at_s * 1000):012x}"
    return f"{milliseconds[:8]}-{milliseconds[8:]}-7000-8000-{number:012x}"


def make_claim(
    key: str,
    claim_id: bytes,
    deadline_s: float = NOW_S + 10,
    fingerprint: bytes = b"f",
    tenant: str = "default",
) -> Claim:
    """Return a claim with defaults for the fields that a test doesn't set."""
    return Claim(
        claim_id=claim_id,
        service_id="pay",
        key=key,
        fingerprint=fingerprint,
        instance_id="i1",
        tenant=tenant,
        method="POST",
        path="/payments",
        claimed_at_s=NOW_S,
        dispatch_deadline_s=deadline_s,
    )


def make_payload(*records: Record, batch_id: bytes = b"batch") -> bytes:
    """Return the payload of a batch."""
    return encode_batch(batch_id, [encode_record(record) for record in records])


class StreamModel:
    """Store a log stream in memory; records before `earliest_offset` are expired."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []
        self.earliest_offset = 0

    def append(self, payload: bytes, now_s: float) -> int:
        """Append a record and return its offset."""
        offset = len(self.records)
        self.records.append(LogRecord(offset, now_s, payload))
        return offset

    def page(self, from_offset: int, limit: int = 1000) -> Page:
        """Return the records from an offset on."""
        first = max(from_offset, self.earliest_offset)
        records = tuple(self.records[first : first + limit])
        return Page(self.earliest_offset, len(self.records), records)


def make_rng(seed: int = 1) -> random.Random:
    """Return a random number generator with a fixed seed."""
    return random.Random(seed)


KEY = make_key(NOW_S)
RESPONSE = Response(201, (("Content-Type", "text/plain"),), b"paid")


class InstanceHarness:
    """Run one coordinator on its own or a shared stream."""

    def __init__(self, stream=None, seed=1):
        self.stream = stream or StreamModel()
        self.claims = create_claim_coordinator("i1", 1, SETTINGS, make_rng(seed))

    def request(self, call_id, key=KEY, now_s=NOW_S, deadline_s=NOW_S + 10, **other):
        arguments = {"fingerprint": b"f", "tenant": "default"} | other
        return self.claims.request(
            call_id,
            "pay",
            key,
            method="POST",
            path="/payments",
            deadline_s=deadline_s,
            now_s=now_s,
            **arguments,
        )

    def read(self, now_s=NOW_S):
        page = self.stream.page(self.claims.get_next_offset(0))
        return self.claims.apply_page(0, page, now_s, now_s)

    def append(self, now_s=NOW_S, outcome=None, is_stored=True):
        events = []
        for append in self.claims.pop_due_appends(now_s):
            offset = self.stream.append(append.payload, now_s) if is_stored else 0
            append_outcome = outcome or Appended(offset)
            events += self.claims.record_append_outcome(
                append.append_id, append_outcome, now_s
            )
        return events

    def append_records(self, *records, now_s=NOW_S):
        self.stream.append(make_payload(*records), now_s)

    def win_claim(self, call_id, **request):
        self.read()
        assert self.request(call_id, **request) == ClaimPending(call_id)
        self.append()
        assert self.read() == [ClaimWon(call_id)]
