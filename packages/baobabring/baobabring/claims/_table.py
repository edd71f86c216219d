"""Fold of one partition's stream into the state of its keys."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from baobabring.claims._answers import KeptAnswer, kept_answer_of
from baobabring.claims._keys import created_at_s, is_canonical
from baobabring.claims._records import (
    Claim,
    Record,
    Release,
    Result,
    Settled,
    Settlement,
    Undetermined,
    decode_batch,
)
from baobabring.claims._settings import ClaimSettings
from baobabring.platform import LogRecord, Page

KeyId = tuple[str, str]


class KeyState(Enum):
    """State of a key whose request was claimed at least once."""

    FREE = "free"
    CLAIMED = "claimed"
    UNDETERMINED = "undetermined"
    SETTLED_RAN = "settled-ran"
    ANSWERED = "answered"


class Verdict(Enum):
    """Say what became of a claim when it was folded."""

    WON = "won"
    LOST = "lost"
    KEY_REUSED = "key-reused"
    TOO_OLD = "too-old"
    NOT_COVERED = "not-covered"
    TOO_LATE = "too-late"


@dataclass(slots=True)
class KeyEntry:
    """Hold what the log says about one key."""

    created_at_s: float
    state: KeyState = KeyState.FREE
    holder: Claim | None = None
    answer: KeptAnswer | None = None
    spent_ids: frozenset[bytes] = frozenset()


@dataclass(frozen=True, slots=True)
class ClaimFolded:
    """Tell the verdict on a claim that was read for the first time."""

    claim: Claim
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class KeyChanged:
    """Tell that a key got a new state other than by a claim."""

    key_id: KeyId
    state: KeyState


@dataclass(frozen=True, slots=True)
class SettlementFolded:
    """Tell whether a settlement took effect."""

    settlement_id: bytes
    accepted: bool


@dataclass(frozen=True, slots=True)
class BatchFolded:
    """Tell that a batch was read."""

    batch_id: bytes


@dataclass(frozen=True, slots=True)
class CoverageLost:
    """Tell that records expired unread; older keys can't be shown to be new."""

    covered_since_s: float


FoldEffect = ClaimFolded | KeyChanged | SettlementFolded | BatchFolded | CoverageLost


class ClaimTable:
    """Fold one partition in offset order; every reader gets the same verdicts.

    Parameters
    ----------
    settings : ClaimSettings
        Windows and margins; all instances must use the same.
    """

    def __init__(self, settings: ClaimSettings) -> None:
        self.settings = settings
        self.next_offset = 0
        self.covered_since_s = float("-inf")
        self.log_time_s = float("-inf")
        self.read_to_end = False
        self.skipped_records = 0
        self.ignored_records = 0
        self.contradicting_results = 0
        self._entries: dict[KeyId, KeyEntry] = {}
        self._drops: list[tuple[float, KeyId]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def entry(self, key_id: KeyId) -> KeyEntry | None:
        """Return what the log says about a key, None if it says nothing."""
        return self._entries.get(key_id)

    def covers(self, key_created_at_s: float) -> bool:
        """Tell whether every record of a key of that age must have been read."""
        margin_s = self.settings.future_limit_s + self.settings.clock_skew_s
        return key_created_at_s > self.covered_since_s + margin_s

    def unresolved(self) -> Iterator[tuple[KeyId, KeyEntry]]:
        """Yield the keys that have a holder and no answer."""
        for key_id, entry in self._entries.items():
            if entry.state in (KeyState.CLAIMED, KeyState.UNDETERMINED):
                yield key_id, entry

    def apply_page(self, page: Page, now_s: float) -> list[FoldEffect]:
        """Fold the records not folded yet; return what changed, in order."""
        effects: list[FoldEffect] = []
        if page.earliest_offset > self.next_offset:
            effects.append(self._lose_coverage(page, now_s))
        for record in page.records:
            if record.offset == self.next_offset:
                self.next_offset += 1
                self._fold_batch(record, effects)
        self.read_to_end = self.read_to_end or self.is_at_end(page)
        self._drop_old_entries()
        return effects

    def is_at_end(self, page: Page) -> bool:
        """Tell whether all that the stream held as of `page` is folded."""
        return self.next_offset >= page.next_offset

    def _lose_coverage(self, page: Page, now_s: float) -> CoverageLost:
        self.next_offset = page.earliest_offset
        first = page.records[0] if page.records else None
        known = first is not None and first.offset == page.earliest_offset
        since_s = first.appended_at_s if known else now_s
        self.covered_since_s = max(self.covered_since_s, since_s)
        for key_id, entry in list(self._entries.items()):
            if entry.answer is None and not self.covers(entry.created_at_s):
                del self._entries[key_id]
        return CoverageLost(self.covered_since_s)

    def _fold_batch(self, record: LogRecord, effects: list[FoldEffect]) -> None:
        self.log_time_s = max(self.log_time_s, record.appended_at_s)
        batch, skipped = decode_batch(record.payload)
        self.skipped_records += skipped
        if batch is None:
            return
        for item in batch.records:
            self._fold_record(item, record.appended_at_s, effects)
        effects.append(BatchFolded(batch.batch_id))

    def _fold_record(
        self, record: Record, appended_at_s: float, effects: list[FoldEffect]
    ) -> None:
        if not is_canonical(record.key):
            self.skipped_records += 1
        elif type(record) is Claim:
            self._fold_claim(record, appended_at_s, effects)
        elif type(record) is Result:
            self._fold_result(record, effects)
        elif type(record) is Release:
            self._fold_release(record, effects)
        elif type(record) is Undetermined:
            self._fold_undetermined(record, effects)
        else:
            self._fold_settled(record, appended_at_s, effects)

    def _fold_claim(
        self, claim: Claim, appended_at_s: float, effects: list[FoldEffect]
    ) -> None:
        key_id = (claim.service_id, claim.key)
        created = created_at_s(claim.key)
        if created < self.log_time_s - self.settings.window_s:
            effects.append(ClaimFolded(claim, Verdict.TOO_OLD))
            return
        entry = self._entries.get(key_id)
        if entry is None and not self.covers(created):
            effects.append(ClaimFolded(claim, Verdict.NOT_COVERED))
            return
        if entry is None:
            entry = self._add_entry(key_id, created)
        if self._is_known(claim, entry):
            self.ignored_records += 1
            return
        effects.append(ClaimFolded(claim, self._judge(claim, entry, appended_at_s)))

    def _judge(self, claim: Claim, entry: KeyEntry, appended_at_s: float) -> Verdict:
        late_s = claim.dispatch_deadline_s + self.settings.settlement_margin_s
        if entry.state is KeyState.FREE and appended_at_s <= late_s:
            entry.holder = claim
            entry.state = KeyState.CLAIMED
            return Verdict.WON
        entry.spent_ids |= {claim.claim_id}
        if entry.state is KeyState.FREE:
            return Verdict.TOO_LATE
        if same_request(entry.holder, claim.fingerprint, claim.tenant):
            return Verdict.LOST
        return Verdict.KEY_REUSED

    def _is_known(self, claim: Claim, entry: KeyEntry) -> bool:
        if claim.claim_id in entry.spent_ids:
            return True
        return entry.holder is not None and entry.holder.claim_id == claim.claim_id

    def _held_by(self, record: Record) -> KeyEntry | None:
        entry = self._entries.get((record.service_id, record.key))
        if entry is None or entry.holder is None:
            return None
        return entry if entry.holder.claim_id == record.claim_id else None

    def _fold_result(self, result: Result, effects: list[FoldEffect]) -> None:
        entry = self._held_by(result)
        if entry is None or entry.answer is not None:
            self.ignored_records += 1
            self._note_contradiction(result)
            return
        entry.answer = kept_answer_of(result)
        self._change(result, entry, KeyState.ANSWERED, effects)

    def _note_contradiction(self, result: Result) -> None:
        entry = self._entries.get((result.service_id, result.key))
        if entry is not None and result.claim_id in entry.spent_ids:
            self.contradicting_results += 1

    def _fold_release(self, release: Release, effects: list[FoldEffect]) -> None:
        entry = self._held_by(release)
        if entry is not None and entry.state is KeyState.CLAIMED:
            self._free(release, entry, effects)
            return
        self.ignored_records += 1
        self._spend(release)

    def _spend(self, release: Release) -> None:
        # The claim may be on its way yet; it must not win after its release.
        key_id = (release.service_id, release.key)
        entry = self._entries.get(key_id)
        created = created_at_s(release.key)
        if entry is None and created >= self.log_time_s - self.settings.window_s:
            entry = self._add_entry(key_id, created) if self.covers(created) else None
        if entry is not None and self._held_by(release) is None:
            entry.spent_ids |= {release.claim_id}

    def _fold_undetermined(
        self, record: Undetermined, effects: list[FoldEffect]
    ) -> None:
        entry = self._held_by(record)
        if entry is None or entry.state is not KeyState.CLAIMED:
            self.ignored_records += 1
            return
        self._change(record, entry, KeyState.UNDETERMINED, effects)

    def _fold_settled(
        self, record: Settled, appended_at_s: float, effects: list[FoldEffect]
    ) -> None:
        entry = self._held_by(record)
        accepted = entry is not None and self._may_settle(record, entry, appended_at_s)
        effects.append(SettlementFolded(record.settlement_id, accepted))
        if entry is not None:
            # A settlement that came too early must not count when it lands again.
            entry.spent_ids |= {record.settlement_id}
        if not accepted:
            self.ignored_records += 1
        elif record.settlement is Settlement.NOT_RUN:
            self._free(record, entry, effects)
        else:
            self._change(record, entry, KeyState.SETTLED_RAN, effects)

    def _may_settle(
        self, record: Settled, entry: KeyEntry, appended_at_s: float
    ) -> bool:
        if entry.state not in (KeyState.CLAIMED, KeyState.UNDETERMINED):
            return False
        if record.settlement_id in entry.spent_ids:
            return False
        if record.settlement is Settlement.RAN:
            return True
        # Until then the holder may dispatch the request yet.
        margin_s = self.settings.settlement_margin_s
        return appended_at_s > entry.holder.dispatch_deadline_s + margin_s

    def _free(
        self, record: Release | Settled, entry: KeyEntry, effects: list[FoldEffect]
    ) -> None:
        entry.spent_ids |= {record.claim_id}
        entry.holder = None
        self._change(record, entry, KeyState.FREE, effects)

    def _change(
        self,
        record: Record,
        entry: KeyEntry,
        state: KeyState,
        effects: list[FoldEffect],
    ) -> None:
        entry.state = state
        effects.append(KeyChanged((record.service_id, record.key), state))

    def _add_entry(self, key_id: KeyId, created: float) -> KeyEntry:
        entry = KeyEntry(created)
        self._entries[key_id] = entry
        heapq.heappush(self._drops, (created + self.settings.window_s, key_id))
        return entry

    def _drop_old_entries(self) -> None:
        while self._drops and self._drops[0][0] < self.log_time_s:
            _, key_id = heapq.heappop(self._drops)
            entry = self._entries.get(key_id)
            if entry is None:
                continue
            keep_until_s = entry.created_at_s + self.settings.unresolved_window_s
            unresolved = entry.state in (KeyState.CLAIMED, KeyState.UNDETERMINED)
            if unresolved and keep_until_s >= self.log_time_s:
                heapq.heappush(self._drops, (keep_until_s, key_id))
            else:
                del self._entries[key_id]


def same_request(holder: Claim, fingerprint: bytes, tenant: str) -> bool:
    """Tell whether a request is the same as the one that holds its key."""
    return holder.fingerprint == fingerprint and holder.tenant == tenant
