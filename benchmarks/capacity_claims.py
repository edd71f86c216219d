"""Measure claims against the number of keys, without a log in between."""

import random
import time
from dataclasses import dataclass

import uuid_utils
from baobabring.claims import ClaimCoordinator, ClaimSettings, create_claim_coordinator
from baobabring.model import Response
from baobabring.platform import Appended, LogRecord, Page
from capacity_slopes import NS_PER_S, fit_slope, memory_slope, print_slopes

KEYS = (250, 1000, 4000)
REPEATS = 5
BODY = b"x" * 200
SETTINGS = ClaimSettings(budget_appends_per_s=1e9, burst_appends=1e9)


@dataclass(frozen=True, slots=True)
class Run:
    """Hold what claims and results of some keys cost their holder and a reader."""

    holder_ns: float
    reader_ns: float
    claim_bytes: int
    result_bytes: int
    pages: tuple[Page, ...]


class Stream:
    """Append batches of one coordinator to a stream and read them back."""

    def __init__(self, coordinator: ClaimCoordinator, now_s: float) -> None:
        self.coordinator = coordinator
        self.now_s = now_s
        self.pages: list[Page] = []
        self._read(())

    def flush(self) -> int:
        """Append and read all that waits; return the bytes appended."""
        written_bytes = 0
        while appends := self.coordinator.pop_due_appends(self.now_s):
            for append in appends:
                offset = self.coordinator.get_next_offset(0)
                written_bytes += len(append.payload)
                self._read((LogRecord(offset, self.now_s, append.payload),))
                self.coordinator.record_append_outcome(
                    append.append_id, Appended(offset), self.now_s
                )
        return written_bytes

    def _read(self, records: tuple[LogRecord, ...]) -> None:
        offset = self.coordinator.get_next_offset(0)
        page = Page(0, offset + len(records), records)
        self.pages.append(page)
        self.coordinator.apply_page(0, page, self.now_s, self.now_s)


def make_coordinator(seed: int) -> ClaimCoordinator:
    """Return a coordinator of one partition."""
    return create_claim_coordinator(f"i-{seed}", 1, SETTINGS, random.Random(seed))


def run_keys(count: int) -> Run:
    """Claim keys, win, finish with a result, and let another instance read it."""
    now_s = time.time()
    keys = [str(uuid_utils.uuid7()) for _ in range(count)]
    holder = make_coordinator(1)
    stream = Stream(holder, now_s)
    answer = Response(200, (("content-type", "application/json"),), BODY)
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
            raise ValueError(f"claim of {key} did not win")
        holder.finish_with_result(key, answer, now_s)
    result_bytes = stream.flush()
    holder_s = time.perf_counter() - started_s
    pages = tuple(stream.pages)
    reader_s = read_pages(make_coordinator(2), pages, now_s)
    return Run(
        holder_s * NS_PER_S, reader_s * NS_PER_S, claim_bytes, result_bytes, pages
    )


def read_pages(
    reader: ClaimCoordinator, pages: tuple[Page, ...], now_s: float
) -> float:
    """Fold the pages at another instance and return the seconds taken."""
    started_s = time.perf_counter()
    for page in pages:
        reader.apply_page(0, page, now_s, now_s)
    return time.perf_counter() - started_s


def make_reader(pages: tuple[Page, ...]) -> ClaimCoordinator:
    """Return a coordinator that has folded the pages."""
    reader = make_coordinator(3)
    read_pages(reader, pages, time.time())
    return reader


def main() -> None:
    """Print the slopes."""
    runs = [[run_keys(count) for count in KEYS] for _ in range(REPEATS)]
    pages = {count: run_keys(count).pages for count in KEYS}
    fields = (
        ("holder: claim, fold, result, fold; each key", "ns", "holder_ns"),
        ("reader: fold claim and result; each key", "ns", "reader_ns"),
        ("claims in batches, each key", "bytes", "claim_bytes"),
        ("results of 200 bytes in batches, each key", "bytes", "result_bytes"),
    )
    slopes = [
        fit_slope(
            name, unit, KEYS, [[getattr(run, field) for run in row] for row in runs]
        )
        for name, unit, field in fields
    ]
    slopes.append(
        memory_slope(
            "reader, each key kept with its answer",
            KEYS,
            lambda count: make_reader(pages[count]),
        )
    )
    print_slopes("Claims", slopes)


if __name__ == "__main__":
    main()
