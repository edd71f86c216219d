"""Measure the cost of claims against the number of keys, with an in-memory log."""

import random
import time
from dataclasses import dataclass

import uuid_utils
from baobabring.claims import ClaimCoordinator, ClaimSettings, create_claim_coordinator
from baobabring.model import Response
from baobabring.platform import Appended, LogRecord, Page
from capacity_slopes import NS_PER_S, fit_cost_slope, measure_memory_slope, print_slopes

KEY_COUNTS = (250, 1000, 4000)
REPEATS = 5
RESULT_BODY = b"x" * 200
SETTINGS = ClaimSettings(budget_appends_per_s=1e9, burst_appends=1e9)


@dataclass(frozen=True, slots=True)
class ClaimCosts:
    """Represent the cost of claims and results for their holder and for a reader."""

    holder_ns: float
    reader_ns: float
    claim_bytes: int
    result_bytes: int
    pages: tuple[Page, ...]


class Stream:
    """Append the batches of one coordinator to a stream and read them back."""

    def __init__(self, coordinator: ClaimCoordinator, now_s: float) -> None:
        self.coordinator = coordinator
        self.now_s = now_s
        self.pages: list[Page] = []
        self._read(())

    def flush(self) -> int:
        """Append and read back all pending batches; return the bytes appended."""
        appended_bytes = 0
        while appends := self.coordinator.pop_due_appends(self.now_s):
            for append in appends:
                offset = self.coordinator.get_next_offset(0)
                appended_bytes += len(append.payload)
                self._read((LogRecord(offset, self.now_s, append.payload),))
                self.coordinator.record_append_outcome(
                    append.append_id, Appended(offset), self.now_s
                )
        return appended_bytes

    def _read(self, records: tuple[LogRecord, ...]) -> None:
        offset = self.coordinator.get_next_offset(0)
        page = Page(0, offset + len(records), records)
        self.pages.append(page)
        self.coordinator.apply_page(0, page, self.now_s, self.now_s)


def make_coordinator(seed: int) -> ClaimCoordinator:
    """Return a coordinator of one partition."""
    return create_claim_coordinator(f"i-{seed}", 1, SETTINGS, random.Random(seed))


def measure_claims(count: int) -> ClaimCosts:
    """Claim keys, finish their calls and apply the log at a second instance."""
    now_s = time.time()
    keys = [str(uuid_utils.uuid7()) for _ in range(count)]
    holder = make_coordinator(1)
    stream = Stream(holder, now_s)
    answer = Response(200, (("content-type", "application/json"),), RESULT_BODY)
    started_s = time.perf_counter()
    for key in keys:
        holder.request(
            key,
            "orders",
            key,
            b"f" * 16,
            "school-17",
            "POST",
            "/orders/17",
            now_s + 5,
            now_s,
        )
    claim_bytes = stream.flush()
    for key in keys:
        if not holder.authorize_dispatch(key, now_s):
            raise ValueError(f"claim of key {key} was not won")
        holder.finish_with_result(key, answer, now_s)
    result_bytes = stream.flush()
    holder_s = time.perf_counter() - started_s
    pages = tuple(stream.pages)
    reader_s = read_pages(make_coordinator(2), pages, now_s)
    return ClaimCosts(
        holder_s * NS_PER_S, reader_s * NS_PER_S, claim_bytes, result_bytes, pages
    )


def read_pages(
    reader: ClaimCoordinator, pages: tuple[Page, ...], now_s: float
) -> float:
    """Apply the pages at `reader` and return the time taken in seconds."""
    started_s = time.perf_counter()
    for page in pages:
        reader.apply_page(0, page, now_s, now_s)
    return time.perf_counter() - started_s


def make_reader(pages: tuple[Page, ...]) -> ClaimCoordinator:
    """Return a coordinator that has applied the pages."""
    reader = make_coordinator(3)
    read_pages(reader, pages, time.time())
    return reader


def main() -> None:
    """Print the slopes."""
    cost_rows = [
        [measure_claims(count) for count in KEY_COUNTS] for _ in range(REPEATS)
    ]
    pages = {count: measure_claims(count).pages for count in KEY_COUNTS}
    fields = (
        ("holder: append and apply claim and result, per key", "ns", "holder_ns"),
        ("reader: apply claim and result, per key", "ns", "reader_ns"),
        ("claims in batches, per key", "bytes", "claim_bytes"),
        ("results of 200 bytes in batches, per key", "bytes", "result_bytes"),
    )
    slopes = [
        fit_cost_slope(
            name,
            unit,
            KEY_COUNTS,
            [[getattr(costs, field) for costs in row] for row in cost_rows],
        )
        for name, unit, field in fields
    ]
    slopes.append(
        measure_memory_slope(
            "reader, per key stored with its response",
            KEY_COUNTS,
            lambda count: make_reader(pages[count]),
        )
    )
    print_slopes("Claims", slopes)


if __name__ == "__main__":
    main()
