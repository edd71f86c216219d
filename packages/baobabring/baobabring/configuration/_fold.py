"""Fold of the configuration stream."""

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
from baobabring.configuration._validation import validate_change
from baobabring.configuration._verdicts import (
    Accepted,
    ApplyOutcome,
    Conflict,
    Held,
    Rejected,
    Skipped,
    SnapshotNoted,
    Verdict,
)
from baobabring.model import Configuration
from baobabring.platform import LogRecord, Page

MAX_RECENT_VERDICTS = 256
MIN_SNAPSHOT_AGE_SHARE = 0.25
MAX_SNAPSHOT_AGE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class _Uncovered:
    offset: int
    appended_at_s: float


class ConfigurationFold:
    """Apply records in the order of their offsets.

    Two folds that applied the same prefix of the stream hold the same configuration
    and verdicts. After a gap (records that expired unread) the configuration is that
    of an earlier prefix until a snapshot covers the gap; neither offset nor revision
    ever decreases.
    """

    def __init__(self) -> None:
        self._configuration = Configuration()
        self._next_offset = 0
        self._verdicts: dict[str, Verdict] = {}
        self._gap_end: int | None = None
        self._held: list[LogRecord] = []
        self._uncovered: deque[_Uncovered] = deque()
        self._snapshot_age_share: float | None = None
        self._undecodable_count = 0

    @property
    def configuration(self) -> Configuration:
        """Return the configuration after all applied records."""
        return self._configuration

    @property
    def next_offset(self) -> int:
        """Return the first offset that the configuration does not include."""
        return self._next_offset

    @property
    def read_offset(self) -> int:
        """Return the offset to read next; differs from `next_offset` after a gap."""
        if self._gap_end is None:
            return self._next_offset
        return self._gap_end + len(self._held)

    @property
    def needs_snapshot(self) -> bool:
        """Tell whether records are missing that only a snapshot can replace."""
        return self._gap_end is not None

    @property
    def undecodable_count(self) -> int:
        """Return how many undecodable records were skipped."""
        return self._undecodable_count

    def verdict(self, change_id: str) -> Verdict | None:
        """Return the verdict on a recent change, or None if it is not known."""
        return self._verdicts.get(change_id)

    def apply(self, record: LogRecord) -> ApplyOutcome:
        """Apply one record; records that were applied before have no effect."""
        if record.offset < self.read_offset:
            return Skipped(problem=f"offset {record.offset} was applied before")
        if record.offset > self.read_offset:
            self._open_gap(record.offset)
        if self.needs_snapshot:
            return self._hold(record)
        return self._apply_next(record)

    def apply_page(self, page: Page) -> tuple[ApplyOutcome, ...]:
        """Apply the records of a page and note what expired before it."""
        self.open_page(page)
        return tuple(self.apply(record) for record in page.records)

    def open_page(self, page: Page) -> None:
        """Note what expired before a page whose records are applied one by one."""
        if page.earliest_offset > self.read_offset:
            self._open_gap(page.earliest_offset)

    def load(self, payload: bytes) -> bool:
        """Take the state of a peer if it is newer; return whether it was."""
        snapshot = decode_record(payload)
        if not isinstance(snapshot, SnapshotRecord) or not self._is_newer(snapshot):
            return False
        self._adopt(snapshot)
        self._uncovered.clear()
        if snapshot.uncovered_at_s is not None:
            self._uncovered.append(
                _Uncovered(snapshot.through_offset, snapshot.uncovered_at_s)
            )
        self._snapshot_age_share = None
        self._close_gap_if_covered()
        return True

    def snapshot_payload(self) -> bytes:
        """Return the state as the payload of a snapshot record."""
        snapshot = SnapshotRecord(
            revision=self._configuration.revision,
            through_offset=self._next_offset - 1,
            configuration=self._configuration,
            recent_verdicts=tuple(
                RecentVerdict(change_id, verdict)
                for change_id, verdict in self._verdicts.items()
            ),
            uncovered_at_s=self._uncovered[0].appended_at_s
            if self._uncovered
            else None,
        )
        return encode_record(snapshot)

    def snapshot_due(self, now_s: float, retention_s: float, rng: Random) -> bool:
        """Tell whether to write a snapshot before the log loses records it needs.

        The share of the retention after which it is due is drawn once for each
        snapshot, so that the first instance to write spares the others the work.
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
        self._held.clear()

    def _hold(self, record: LogRecord) -> ApplyOutcome:
        self._held.append(record)
        snapshot = decode_record(record.payload)
        if not isinstance(snapshot, SnapshotRecord):
            return Held()
        if snapshot.through_offset >= record.offset or not self._is_newer(snapshot):
            return Held()
        self._adopt(snapshot)
        self._uncovered.clear()
        self._close_gap_if_covered()
        return SnapshotNoted(through_offset=snapshot.through_offset)

    def _is_newer(self, snapshot: SnapshotRecord) -> bool:
        return (
            snapshot.through_offset >= self._next_offset
            and snapshot.revision >= self._configuration.revision
            and snapshot.revision <= snapshot.through_offset + 1
        )

    def _adopt(self, snapshot: SnapshotRecord) -> None:
        self._configuration = replace(
            snapshot.configuration, revision=snapshot.revision
        )
        self._verdicts = {
            recent.change_id: recent.verdict for recent in snapshot.recent_verdicts
        }
        self._next_offset = snapshot.through_offset + 1

    def _close_gap_if_covered(self) -> None:
        if self._gap_end is None or self._next_offset < self._gap_end:
            return
        held = tuple(self._held)
        self._gap_end = None
        self._held.clear()
        for record in held:
            if record.offset >= self._next_offset:
                self._apply_next(record)

    def _apply_next(self, record: LogRecord) -> ApplyOutcome:
        self._next_offset = record.offset + 1
        self._uncovered.append(_Uncovered(record.offset, record.appended_at_s))
        match decode_record(record.payload):
            case Undecodable(problem=problem):
                self._undecodable_count += 1
                return Skipped(problem=problem)
            case SnapshotRecord(through_offset=through_offset):
                return self._note_snapshot(through_offset, record.offset)
            case ChangeRecord(change_id=change_id) if change_id in self._verdicts:
                return Skipped(problem=f"change {change_id} was judged before")
            case ChangeRecord() as proposal:
                verdict = self._judge(proposal, record.offset)
                self._remember(proposal.change_id, verdict)
                return verdict

    def _note_snapshot(self, through_offset: int, offset: int) -> ApplyOutcome:
        if through_offset >= offset:
            return Skipped(problem=f"snapshot through {through_offset} is at {offset}")
        while self._uncovered[0].offset <= through_offset:
            self._uncovered.popleft()
            self._snapshot_age_share = None
        return SnapshotNoted(through_offset=through_offset)

    def _judge(self, proposal: ChangeRecord, offset: int) -> Verdict:
        if proposal.base_revision != self._configuration.revision:
            return Conflict(current_revision=self._configuration.revision)
        findings = validate_change(self._configuration, proposal.change)
        if findings:
            return Rejected(findings=findings)
        self._configuration = apply_change(
            self._configuration, proposal.change, revision=offset + 1
        )
        return Accepted(revision=offset + 1)

    def _remember(self, change_id: str, verdict: Verdict) -> None:
        self._verdicts[change_id] = verdict
        while len(self._verdicts) > MAX_RECENT_VERDICTS:
            del self._verdicts[next(iter(self._verdicts))]
