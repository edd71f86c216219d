"""Replica of the configuration, built from the records of its stream."""

from collections import deque
from dataclasses import dataclass, replace
from random import Random

from baobabring.configuration._application import apply_change
from baobabring.configuration._changes import (
    ChangeRecord,
    RecentVerdict,
    SnapshotRecord,
    Undecodable,
    decode_record,
    encode_record,
)
from baobabring.configuration._outcomes import (
    Accepted,
    ApplyOutcome,
    Buffered,
    ChangeVerdict,
    Conflict,
    Rejected,
    Skipped,
    SnapshotApplied,
)
from baobabring.configuration._validation import validate_change
from baobabring.model import Configuration
from baobabring.platform import LogRecord, Page

MAX_RECENT_VERDICTS = 256
# Shares of the retention; the age at which a snapshot is due is drawn between them.
MIN_SNAPSHOT_AGE_SHARE = 0.25
MAX_SNAPSHOT_AGE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class _UncoveredRecord:
    """Represent an applied record that no snapshot in the log covers."""

    offset: int
    appended_at_s: float


class ConfigurationReplica:
    """Apply records in the order of their offsets.

    Two replicas that applied the same prefix of the stream have the same configuration
    and verdicts. After a gap (records that expired unread) the configuration is that
    of an earlier prefix until a snapshot covers the gap; neither offset nor revision
    ever decreases.
    """

    def __init__(self) -> None:
        self._configuration = Configuration()
        self._next_offset = 0
        self._recent_verdicts: dict[str, ChangeVerdict] = {}
        self._gap_end: int | None = None
        self._buffered_records: list[LogRecord] = []
        self._uncovered: deque[_UncoveredRecord] = deque()
        self._snapshot_age_share: float | None = None
        self._undecodable_count = 0

    @property
    def configuration(self) -> Configuration:
        """Return the configuration after all applied records."""
        return self._configuration

    @property
    def next_offset(self) -> int:
        """Return the first offset whose record is not yet applied."""
        return self._next_offset

    @property
    def read_offset(self) -> int:
        """Return the offset to read next; differs from `next_offset` after a gap."""
        if self._gap_end is None:
            return self._next_offset
        return self._gap_end + len(self._buffered_records)

    @property
    def needs_snapshot(self) -> bool:
        """Return whether records are missing that only a snapshot can replace."""
        return self._gap_end is not None

    @property
    def undecodable_count(self) -> int:
        """Return how many undecodable records were skipped."""
        return self._undecodable_count

    def get_verdict(self, change_id: str) -> ChangeVerdict | None:
        """Return the verdict on a recent change, or None if it is not known."""
        return self._recent_verdicts.get(change_id)

    def apply(self, record: LogRecord) -> ApplyOutcome:
        """Apply one record; a record that was already applied has no effect."""
        if record.offset < self.read_offset:
            return Skipped(problem=f"offset {record.offset} was already applied")
        if record.offset > self.read_offset:
            self._open_gap(record.offset)
        if self.needs_snapshot:
            return self._buffer_record(record)
        return self._apply_next(record)

    def apply_page(self, page: Page) -> tuple[ApplyOutcome, ...]:
        """Apply the records of a page; open a gap if records before it have expired."""
        self.detect_gap(page)
        return tuple(self.apply(record) for record in page.records)

    def detect_gap(self, page: Page) -> None:
        """Open a gap if records before the page have expired, without applying it."""
        if page.earliest_offset > self.read_offset:
            self._open_gap(page.earliest_offset)

    def load_snapshot(self, payload: bytes) -> bool:
        """Load a snapshot from a peer if it is newer; return whether it was loaded."""
        snapshot = decode_record(payload)
        if not isinstance(snapshot, SnapshotRecord) or not self._is_newer(snapshot):
            return False
        self._restore_snapshot(snapshot)
        self._uncovered.clear()
        if snapshot.uncovered_at_s is not None:
            self._uncovered.append(
                _UncoveredRecord(snapshot.through_offset, snapshot.uncovered_at_s)
            )
        self._snapshot_age_share = None
        self._close_gap_if_covered()
        return True

    def create_snapshot_payload(self) -> bytes:
        """Return the state as the payload of a snapshot record."""
        snapshot = SnapshotRecord(
            revision=self._configuration.revision,
            through_offset=self._next_offset - 1,
            configuration=self._configuration,
            recent_verdicts=tuple(
                RecentVerdict(change_id, verdict)
                for change_id, verdict in self._recent_verdicts.items()
            ),
            uncovered_at_s=self._uncovered[0].appended_at_s
            if self._uncovered
            else None,
        )
        return encode_record(snapshot)

    def is_snapshot_due(self, now_s: float, retention_s: float, rng: Random) -> bool:
        """Return whether a snapshot must be written before uncovered records expire.

        Each instance draws the age at which the next snapshot is due at random, once
        for each snapshot, so that usually only the first of them writes it.
        """
        if self.needs_snapshot or not self._uncovered:
            return False
        if self._snapshot_age_share is None:
            self._snapshot_age_share = rng.uniform(
                MIN_SNAPSHOT_AGE_SHARE, MAX_SNAPSHOT_AGE_SHARE
            )
        age_s = now_s - self._uncovered[0].appended_at_s
        return age_s >= self._snapshot_age_share * retention_s

    def _open_gap(self, gap_end: int) -> None:
        self._gap_end = gap_end
        self._buffered_records.clear()

    def _buffer_record(self, record: LogRecord) -> ApplyOutcome:
        self._buffered_records.append(record)
        snapshot = decode_record(record.payload)
        if not isinstance(snapshot, SnapshotRecord):
            return Buffered()
        if snapshot.through_offset >= record.offset or not self._is_newer(snapshot):
            return Buffered()
        self._restore_snapshot(snapshot)
        self._uncovered.clear()
        self._close_gap_if_covered()
        return SnapshotApplied(through_offset=snapshot.through_offset)

    def _is_newer(self, snapshot: SnapshotRecord) -> bool:
        return (
            snapshot.through_offset >= self._next_offset
            and snapshot.revision >= self._configuration.revision
            and snapshot.revision <= snapshot.through_offset + 1
        )

    def _restore_snapshot(self, snapshot: SnapshotRecord) -> None:
        self._configuration = replace(
            snapshot.configuration, revision=snapshot.revision
        )
        self._recent_verdicts = {
            recent.change_id: recent.verdict for recent in snapshot.recent_verdicts
        }
        self._next_offset = snapshot.through_offset + 1

    def _close_gap_if_covered(self) -> None:
        if self._gap_end is None or self._next_offset < self._gap_end:
            return
        buffered_records = tuple(self._buffered_records)
        self._gap_end = None
        self._buffered_records.clear()
        for record in buffered_records:
            if record.offset >= self._next_offset:
                self._apply_next(record)

    def _apply_next(self, record: LogRecord) -> ApplyOutcome:
        self._next_offset = record.offset + 1
        self._uncovered.append(_UncoveredRecord(record.offset, record.appended_at_s))
        match decode_record(record.payload):
            case Undecodable(problem=problem):
                self._undecodable_count += 1
                return Skipped(problem=problem)
            case SnapshotRecord(through_offset=through_offset):
                return self._record_snapshot(through_offset, record.offset)
            case ChangeRecord(change_id=change_id) if (
                change_id in self._recent_verdicts
            ):
                return Skipped(problem=f"change {change_id} already has a verdict")
            case ChangeRecord() as change_record:
                verdict = self._decide_change(change_record, record.offset)
                self._record_verdict(change_record.change_id, verdict)
                return verdict

    def _record_snapshot(self, through_offset: int, offset: int) -> ApplyOutcome:
        if through_offset >= offset:
            return Skipped(
                problem=f"snapshot at {offset} claims to cover {through_offset}"
            )
        while self._uncovered[0].offset <= through_offset:
            self._uncovered.popleft()
            self._snapshot_age_share = None
        return SnapshotApplied(through_offset=through_offset)

    def _decide_change(self, change_record: ChangeRecord, offset: int) -> ChangeVerdict:
        if change_record.base_revision != self._configuration.revision:
            return Conflict(current_revision=self._configuration.revision)
        findings = validate_change(self._configuration, change_record.change)
        if findings:
            return Rejected(findings=findings)
        self._configuration = apply_change(
            self._configuration, change_record.change, revision=offset + 1
        )
        return Accepted(revision=offset + 1)

    def _record_verdict(self, change_id: str, verdict: ChangeVerdict) -> None:
        self._recent_verdicts[change_id] = verdict
        while len(self._recent_verdicts) > MAX_RECENT_VERDICTS:
            del self._recent_verdicts[next(iter(self._recent_verdicts))]
