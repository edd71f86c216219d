"""Measure claims: record sizes, memory, time to apply, appends and waiting times."""

import heapq
import random
import time
import tracemalloc

from absl import app, flags
from baobabring.claims import ClaimSettings, ClaimWon, create_claim_coordinator
from baobabring.claims._records import (
    Claim,
    Record,
    Release,
    encode_batch,
    encode_record,
)
from baobabring.claims._responses import create_result_record
from baobabring.claims._table import ClaimTable
from baobabring.model import Response
from baobabring.platform import Appended, LogRecord, Page

_NOW_S = 1_800_000_000.0
_ID_BYTES = 12
_APPEND_LATENCY_S = 0.005
_SERVICE_TIME_S = 0.020
_DEADLINE_S = 2.0
_POLL_INTERVAL_S = 0.5

_CLAIMS = flags.DEFINE_integer("claims", 50_000, "claims to apply")
_CLAIMS_PER_BATCH = flags.DEFINE_integer("claims_per_batch", 20, "claims per append")
_BODY_BYTES = flags.DEFINE_integer("body_bytes", 300, "bytes of a response body")
_INSTANCES = flags.DEFINE_integer("instances", 14, "instances that share the budget")
_SIMULATED_S = flags.DEFINE_integer(
    "simulated_s", 60, "duration of a batching simulation"
)
_SEED = flags.DEFINE_integer("seed", 1, "seed of keys and identifiers")


def make_key(rng: random.Random, number: int) -> str:
    """Return a UUIDv7 created `number` milliseconds after the start."""
    milliseconds = f"{int(_NOW_S * 1000) + number:012x}"
    tail = f"{rng.getrandbits(48):012x}"
    return f"{milliseconds[:8]}-{milliseconds[8:]}-7abc-8def-{tail}"


def make_claim(rng: random.Random, number: int) -> Claim:
    """Return a claim of typical size."""
    return Claim(
        claim_id=rng.randbytes(_ID_BYTES),
        service_id="fee-payment",
        key=make_key(rng, number),
        fingerprint=rng.randbytes(16),
        instance_id=f"sapporo-{rng.randrange(14)}",
        tenant="school-0042",
        method="POST",
        path=f"/payments/2026-12/family-{number:06d}",
        claimed_at_s=_NOW_S,
        dispatch_deadline_s=_NOW_S + 2,
    )


def make_answer(rng: random.Random) -> Response:
    """Return an answer with a body of the configured size."""
    headers = (("Content-Type", "application/json"), ("Content-Length", "300"))
    return Response(201, headers, rng.randbytes(_BODY_BYTES.value))


def make_result(rng: random.Random, claim: Claim, limit_bytes: int) -> Record:
    """Return the result of a claim."""
    answer = make_answer(rng)
    return create_result_record(
        answer, claim.claim_id, claim.service_id, claim.key, limit_bytes
    )


def make_page(records: list[Record], records_per_batch: int) -> Page:
    """Return a page with the records in batches."""
    log_records = []
    for first in range(0, len(records), records_per_batch):
        encoded = [encode_record(r) for r in records[first : first + records_per_batch]]
        payload = encode_batch(len(log_records).to_bytes(_ID_BYTES), encoded)
        log_records.append(LogRecord(len(log_records), _NOW_S, payload))
    return Page(0, len(log_records), tuple(log_records))


def measure_apply(page: Page) -> tuple[ClaimTable, float]:
    """Apply a page to a new table; return the table and the time in seconds."""
    table = ClaimTable(ClaimSettings())
    started_s = time.perf_counter()
    table.apply_page(page, _NOW_S)
    return table, time.perf_counter() - started_s


def measure_memory_per_key_bytes(page: Page, keys: int) -> float:
    """Return the memory in bytes that a key occupies in the table."""
    tracemalloc.start()
    table, _ = measure_apply(page)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(table) == keys
    return used_bytes / keys


def print_costs(name: str, page: Page, claims: int) -> None:
    """Print log bytes, memory and time per claim for a page."""
    log_bytes = sum(len(log_record.payload) for log_record in page.records)
    fastest_s = min(measure_apply(page)[1] for _ in range(3))
    memory_bytes = measure_memory_per_key_bytes(page, claims)
    print(
        f"{name:16s} {log_bytes / claims:8.0f} log bytes/claim "
        f"{memory_bytes:8.0f} memory bytes/claim "
        f"{fastest_s / claims * 1e6:8.2f} us/claim "
        f"{claims / fastest_s:10.0f} claims/s"
    )


class BatchingSimulation:
    """Simulate one coordinator in virtual time with a log that never fails."""

    def __init__(self, claims_per_s: float, partitions: int) -> None:
        self.rng = random.Random(_SEED.value)
        self.claims_per_s = claims_per_s
        settings = ClaimSettings()
        self.coordinator = create_claim_coordinator("i", partitions, settings, self.rng)
        self.coordinator.set_live_instances(_INSTANCES.value, _NOW_S)
        self.streams: list[list[LogRecord]] = [[] for _ in range(partitions)]
        self.events: list[tuple[float, int, str, object]] = []
        self.requested_at_s: dict[str, float] = {}
        self.waits_s: list[float] = []
        self.append_count = 0
        self.wake_up_at_s = _NOW_S
        self._last_event_number = 0

    def run(self) -> None:
        """Simulate random arrivals of calls for the simulated time."""
        for partition in range(len(self.streams)):
            self._schedule(_NOW_S, "poll", partition)
        self._schedule(_NOW_S, "arrival", None)
        while self.events:
            now_s, _, kind, value = heapq.heappop(self.events)
            getattr(self, f"_on_{kind}")(now_s, value)
            self._start_appends(now_s)

    def _schedule(self, at_s: float, kind: str, value: object) -> None:
        self._last_event_number += 1
        heapq.heappush(self.events, (at_s, self._last_event_number, kind, value))

    def _on_arrival(self, now_s: float, _: object) -> None:
        call_id = f"c{self._last_event_number}"
        key = make_key(self.rng, int((now_s - _NOW_S) * 1000))
        self.coordinator.request(
            call_id,
            "fee-payment",
            key,
            b"f",
            "school-0042",
            "POST",
            "/payments",
            now_s + _DEADLINE_S,
            now_s,
        )
        self.requested_at_s[call_id] = now_s
        next_s = now_s + self.rng.expovariate(self.claims_per_s)
        if next_s < _NOW_S + _SIMULATED_S.value:
            self._schedule(next_s, "arrival", None)

    def _start_appends(self, now_s: float) -> None:
        for append in self.coordinator.pop_due_appends(now_s):
            self.append_count += 1
            self._schedule(now_s + _APPEND_LATENCY_S, "append_stored", append)
        next_s = self.coordinator.get_next_append_at_s(now_s)
        if next_s is not None and not now_s < self.wake_up_at_s <= next_s:
            self.wake_up_at_s = next_s
            self._schedule(next_s, "wake_up", None)

    def _on_wake_up(self, now_s: float, _: object) -> None:
        self.coordinator.tick(now_s)

    def _on_poll(self, now_s: float, partition: int) -> None:
        self._read(partition, now_s)
        if now_s < _NOW_S + _SIMULATED_S.value + _DEADLINE_S:
            self._schedule(now_s + _POLL_INTERVAL_S, "poll", partition)

    def _on_append_stored(self, now_s: float, append) -> None:
        stream = self.streams[append.partition]
        stream.append(LogRecord(len(stream), now_s, append.payload))
        self.coordinator.record_append_outcome(
            append.append_id, Appended(len(stream) - 1), now_s
        )
        self._read(append.partition, now_s)

    def _read(self, partition: int, now_s: float) -> None:
        stream = self.streams[partition]
        records = tuple(stream[self.coordinator.get_next_offset(partition) :])
        page = Page(0, len(stream), records)
        for event in self.coordinator.apply_page(partition, page, now_s, now_s):
            if isinstance(event, ClaimWon):
                self.waits_s.append(now_s - self.requested_at_s[event.call_id])
                self._schedule(now_s + _SERVICE_TIME_S, "call_end", event.call_id)

    def _on_call_end(self, now_s: float, call_id: str) -> None:
        self.coordinator.finish_with_result(call_id, make_answer(self.rng), now_s)


def print_batching(claims_per_s: float, partitions: int) -> None:
    """Print the appends per claim and the waiting times of claims."""
    simulation = BatchingSimulation(claims_per_s, partitions)
    simulation.run()
    waits_s = sorted(simulation.waits_s)
    count = len(waits_s)
    print(
        f"{claims_per_s:6.0f} claims/s per instance, {partitions:2d} partitions: "
        f"{simulation.append_count / count:5.2f} appends/claim, "
        f"{simulation.append_count / _SIMULATED_S.value:6.1f} appends/s, "
        f"wait p50 {waits_s[count // 2] * 1e3:6.1f} ms, "
        f"p99 {waits_s[count * 99 // 100] * 1e3:7.1f} ms, "
        f"won {count} of {len(simulation.requested_at_s)}"
    )


def main(argv: list[str]) -> None:
    """Print the sizes of records, the cost to apply them and the effect of batching."""
    rng = random.Random(_SEED.value)
    limit_bytes = ClaimSettings().body_limit_bytes
    claims = [make_claim(rng, number) for number in range(_CLAIMS.value)]
    results = [make_result(rng, claim, limit_bytes) for claim in claims]
    digest_results = [make_result(rng, claim, 0) for claim in claims]
    first_claim = claims[0]
    release = Release(first_claim.claim_id, first_claim.service_id, first_claim.key)
    samples = {
        "claim": first_claim,
        "result": results[0],
        "result, digest": digest_results[0],
        "release": release,
    }
    for name, record in samples.items():
        print(f"{name:16s} {len(encode_record(record)):8d} bytes")
    print(f"{'empty batch':16s} {len(encode_batch(bytes(_ID_BYTES), [])):8d} bytes")
    batch_size = _CLAIMS_PER_BATCH.value
    print_costs("claims", make_page(claims, batch_size), len(claims))
    print_costs("claims, results", make_page(claims + results, batch_size), len(claims))
    print_costs(
        "claims, digests", make_page(claims + digest_results, batch_size), len(claims)
    )
    for partitions in (1, 2, 4, 8):
        for claims_per_s in (1, 5, 20, 60, 200):
            print_batching(claims_per_s, partitions)


if __name__ == "__main__":
    app.run(main)
