"""Measure what claims cost: bytes, memory, time to fold, appends and waiting."""

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
_APPEND_S = 0.005
_SERVICE_S = 0.020
_DEADLINE_S = 2.0
_POLL_INTERVAL_S = 0.5

_CLAIMS = flags.DEFINE_integer("claims", 50_000, "claims to fold")
_CLAIMS_PER_BATCH = flags.DEFINE_integer("claims_per_batch", 20, "claims an append")
_BODY_BYTES = flags.DEFINE_integer("body_bytes", 300, "bytes of an answer's body")
_INSTANCES = flags.DEFINE_integer("instances", 14, "instances that share the budget")
_SIMULATED_S = flags.DEFINE_integer("simulated_s", 60, "length of a batching run")
_SEED = flags.DEFINE_integer("seed", 1, "seed of keys and identifiers")


def make_key(rng: random.Random, number: int) -> str:
    """Return a UUIDv7 created one millisecond after the one before it."""
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
    """Return an answer with a body of the size that the flags ask for."""
    headers = (("Content-Type", "application/json"), ("Content-Length", "300"))
    return Response(201, headers, rng.randbytes(_BODY_BYTES.value))


def make_result(rng: random.Random, claim: Claim, limit_bytes: int) -> Record:
    """Return the result of a claim."""
    answer = make_answer(rng)
    return create_result_record(
        answer, claim.claim_id, claim.service_id, claim.key, limit_bytes
    )


def make_page(records: list[Record], records_per_batch: int) -> Page:
    """Return a page with records in batches."""
    rows = []
    for first in range(0, len(records), records_per_batch):
        encoded = [encode_record(r) for r in records[first : first + records_per_batch]]
        payload = encode_batch(len(rows).to_bytes(_ID_BYTES), encoded)
        rows.append(LogRecord(len(rows), _NOW_S, payload))
    return Page(0, len(rows), tuple(rows))


def fold(page: Page) -> tuple[ClaimTable, float]:
    """Fold a page; return the table and the seconds that it took."""
    table = ClaimTable(ClaimSettings())
    started_s = time.perf_counter()
    table.apply_page(page, _NOW_S)
    return table, time.perf_counter() - started_s


def memory_per_key_bytes(page: Page, keys: int) -> float:
    """Return the bytes that a folded key occupies."""
    tracemalloc.start()
    table, _ = fold(page)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(table) == keys
    return used_bytes / keys


def report(name: str, page: Page, claims: int) -> None:
    """Print what one kind of history costs for each claim."""
    log_bytes = sum(len(row.payload) for row in page.records)
    fastest_s = min(fold(page)[1] for _ in range(3))
    memory_bytes = memory_per_key_bytes(page, claims)
    print(
        f"{name:16s} {log_bytes / claims:8.0f} log bytes/claim "
        f"{memory_bytes:8.0f} memory bytes/claim "
        f"{fastest_s / claims * 1e6:8.2f} us/claim "
        f"{claims / fastest_s:10.0f} claims/s"
    )


class BatchingRun:
    """Run one coordinator in virtual time against a log that always answers."""

    def __init__(self, claims_per_s: float, partitions: int) -> None:
        self.rng = random.Random(_SEED.value)
        self.claims_per_s = claims_per_s
        settings = ClaimSettings()
        self.claims = create_claim_coordinator("i", partitions, settings, self.rng)
        self.claims.set_live_instances(_INSTANCES.value, _NOW_S)
        self.streams: list[list[LogRecord]] = [[] for _ in range(partitions)]
        self.events: list[tuple[float, int, str, object]] = []
        self.asked_at_s: dict[str, float] = {}
        self.waits_s: list[float] = []
        self.appends = 0
        self.wake_at_s = _NOW_S
        self._number = 0

    def run(self) -> None:
        """Let callers arrive at random for the simulated time."""
        for partition in range(len(self.streams)):
            self._at(_NOW_S, "poll", partition)
        self._at(_NOW_S, "arrive", None)
        while self.events:
            now_s, _, kind, value = heapq.heappop(self.events)
            getattr(self, f"_{kind}")(now_s, value)
            self._append(now_s)

    def _at(self, at_s: float, kind: str, value: object) -> None:
        self._number += 1
        heapq.heappush(self.events, (at_s, self._number, kind, value))

    def _arrive(self, now_s: float, _: object) -> None:
        call_id = f"c{self._number}"
        key = make_key(self.rng, int((now_s - _NOW_S) * 1000))
        self.claims.request(
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
        self.asked_at_s[call_id] = now_s
        next_s = now_s + self.rng.expovariate(self.claims_per_s)
        if next_s < _NOW_S + _SIMULATED_S.value:
            self._at(next_s, "arrive", None)

    def _append(self, now_s: float) -> None:
        for append in self.claims.pop_due_appends(now_s):
            self.appends += 1
            self._at(now_s + _APPEND_S, "land", append)
        next_s = self.claims.get_next_append_at_s(now_s)
        if next_s is not None and not now_s < self.wake_at_s <= next_s:
            self.wake_at_s = next_s
            self._at(next_s, "wake", None)

    def _wake(self, now_s: float, _: object) -> None:
        self.claims.tick(now_s)

    def _poll(self, now_s: float, partition: int) -> None:
        self._read(partition, now_s)
        if now_s < _NOW_S + _SIMULATED_S.value + _DEADLINE_S:
            self._at(now_s + _POLL_INTERVAL_S, "poll", partition)

    def _land(self, now_s: float, append) -> None:
        stream = self.streams[append.partition]
        stream.append(LogRecord(len(stream), now_s, append.payload))
        self.claims.record_append_outcome(
            append.append_id, Appended(len(stream) - 1), now_s
        )
        self._read(append.partition, now_s)

    def _read(self, partition: int, now_s: float) -> None:
        stream = self.streams[partition]
        records = tuple(stream[self.claims.get_next_offset(partition) :])
        page = Page(0, len(stream), records)
        for event in self.claims.apply_page(partition, page, now_s, now_s):
            if isinstance(event, ClaimWon):
                self.waits_s.append(now_s - self.asked_at_s[event.call_id])
                self._at(now_s + _SERVICE_S, "answer", event.call_id)

    def _answer(self, now_s: float, call_id: str) -> None:
        self.claims.finish_with_result(call_id, make_answer(self.rng), now_s)


def report_batching(claims_per_s: float, partitions: int) -> None:
    """Print appends for each claim and how long claims wait."""
    run = BatchingRun(claims_per_s, partitions)
    run.run()
    waits_s = sorted(run.waits_s)
    count = len(waits_s)
    print(
        f"{claims_per_s:6.0f} claims/s an instance, {partitions:2d} partitions: "
        f"{run.appends / count:5.2f} appends/claim, "
        f"{run.appends / _SIMULATED_S.value:6.1f} appends/s, "
        f"wait p50 {waits_s[count // 2] * 1e3:6.1f} ms, "
        f"p99 {waits_s[count * 99 // 100] * 1e3:7.1f} ms, "
        f"won {count} of {len(run.asked_at_s)}"
    )


def main(argv: list[str]) -> None:
    """Print bytes of records and the cost of folding them."""
    rng = random.Random(_SEED.value)
    limit_bytes = ClaimSettings().body_limit_bytes
    claims = [make_claim(rng, number) for number in range(_CLAIMS.value)]
    whole = [make_result(rng, claim, limit_bytes) for claim in claims]
    digests = [make_result(rng, claim, 0) for claim in claims]
    first = claims[0]
    release = Release(first.claim_id, first.service_id, first.key)
    samples = {
        "claim": first,
        "result": whole[0],
        "result, digest": digests[0],
        "release": release,
    }
    for name, record in samples.items():
        print(f"{name:16s} {len(encode_record(record)):8d} bytes")
    print(f"{'empty batch':16s} {len(encode_batch(bytes(_ID_BYTES), [])):8d} bytes")
    size = _CLAIMS_PER_BATCH.value
    report("claims", make_page(claims, size), len(claims))
    report("and results", make_page(claims + whole, size), len(claims))
    report("and digests", make_page(claims + digests, size), len(claims))
    for partitions in (1, 2, 4, 8):
        for claims_per_s in (1, 5, 20, 60, 200):
            report_batching(claims_per_s, partitions)


if __name__ == "__main__":
    app.run(main)
