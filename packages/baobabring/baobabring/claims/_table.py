"""State of the keys of one partition, built from the records of its stream."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from baobabring.claims._keys import is_canonical, parse_created_at_s
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
from baobabring.claims._responses import KeptResponse, create_kept_response
from baobabring.claims._settings import ClaimSettings
from baobabring.platform import LogRecord, Page

KeyId = tuple[str, str]


class KeyState(Enum):
    """Represent the state of an idempotency key."""

    FREE = "free"
    CLAIMED = "claimed"
    UNDETERMINED = "undetermined"
    SETTLED_RAN = "settled-ran"
    ANSWERED = "answered"


class ClaimVerdict(Enum):
    """Represent the decision on a claim."""

    WON = "won"
    LOST = "lost"
    KEY_REUSED = "key-reused"
    TOO_OLD = "too-old"
    NOT_COVERED = "not-covered"
    TOO_LATE = "too-late"


@dataclass(slots=True)
class KeyEntry:
    """Represent the state of one key according to the log.

    `retired_ids` identifies claims and settlements that must not take effect when
    they are read again or late.
    """

    created_at_s: float
    state: KeyState = KeyState.FREE
    holder: Claim | None = None
    response: KeptResponse | None = None
    retired_ids: frozenset[bytes] = frozenset()


@dataclass(frozen=True, slots=True)
class ClaimDecided:
    """Report the verdict on a claim that was read for the first time."""

    claim: Claim
    verdict: ClaimVerdict


@dataclass(frozen=True, slots=True)
class KeyStateChanged:
    """Report that a record other than a claim changed the state of a key."""

    key_id: KeyId
    state: KeyState


@dataclass(frozen=True, slots=True)
class SettlementDecided:
    """Report whether a settlement took effect."""

    settlement_id: bytes
    accepted: bool


@dataclass(frozen=True, slots=True)
class BatchRead:
    """Report that a batch was read."""

    batch_id: bytes


@dataclass(frozen=True, slots=True)
class CoverageLost:
    """Report that records expired unread, so older keys can't be proven to be new."""

    covered_since_s: float


TableEffect = (
    ClaimDecided | KeyStateChanged | SettlementDecided | BatchRead | CoverageLost
)


class ClaimTable:
    """Apply the records of one partition; all readers reach the same verdicts.

    Parameters
    ----------
    settings : ClaimSettings
        Windows and margins; must be equal at all instances.
    """

    def __init__(self, settings: ClaimSettings) -> None:
        self.settings = settings
        self.next_offset = 0
        self.covered_since_s = float("-inf")
        self.log_time_s = float("-inf")
        self.has_reached_end = False
        self.skipped_record_count = 0
        self.ignored_record_count = 0
        self.contradicting_result_count = 0
        self._entries: dict[KeyId, KeyEntry] = {}
        self._expiry_queue: list[tuple[float, KeyId]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def get_entry(self, key_id: KeyId) -> KeyEntry | None:
        """Return the entry of a key, or None if there is none."""
        return self._entries.get(key_id)

    def covers(self, key_created_at_s: float) -> bool:
        """Return whether every record of a key created then must have been read."""
        margin_s = self.settings.future_limit_s + self.settings.clock_skew_s
        return key_created_at_s > self.covered_since_s + margin_s

    def iter_unresolved(self) -> Iterator[tuple[KeyId, KeyEntry]]:
        """Yield the keys that are claimed or undetermined."""
        for key_id, entry in self._entries.items():
            if entry.state in (KeyState.CLAIMED, KeyState.UNDETERMINED):
                yield key_id, entry

    def apply_page(self, page: Page, now_s: float) -> list[TableEffect]:
        """Apply the records not applied yet; return the changes in order."""
        effects: list[TableEffect] = []
        if page.earliest_offset > self.next_offset:
            effects.append(self._skip_expired_records(page, now_s))
        for record in page.records:
            if record.offset == self.next_offset:
                self.next_offset += 1
                self._apply_batch(record, effects)
        self.has_reached_end = self.has_reached_end or self.is_at_end(page)
        self._remove_expired_entries()
        return effects

    def is_at_end(self, page: Page) -> bool:
        """Return whether all records that the stream had as of `page` are applied."""
        return self.next_offset >= page.next_offset

    def _skip_expired_records(self, page: Page, now_s: float) -> CoverageLost:
        self.next_offset = page.earliest_offset
        first = page.records[0] if page.records else None
        time_is_known = first is not None and first.offset == page.earliest_offset
        since_s = first.appended_at_s if time_is_known else now_s
        self.covered_since_s = max(self.covered_since_s, since_s)
        for key_id, entry in list(self._entries.items()):
            if entry.response is None and not self.covers(entry.created_at_s):
                del self._entries[key_id]
        return CoverageLost(self.covered_since_s)

    def _apply_batch(self, record: LogRecord, effects: list[TableEffect]) -> None:
        self.log_time_s = max(self.log_time_s, record.appended_at_s)
        batch, skipped = decode_batch(record.payload)
        self.skipped_record_count += skipped
        if batch is None:
            return
        for item in batch.records:
            self._apply_record(item, record.appended_at_s, effects)
        effects.append(BatchRead(batch.batch_id))

    def _apply_record(
        self, record: Record, appended_at_s: float, effects: list[TableEffect]
    ) -> None:
        if not is_canonical(record.key):
            self.skipped_record_count += 1
        elif type(record) is Claim:
            self._apply_claim(record, appended_at_s, effects)
        elif type(record) is Result:
            self._apply_result(record, effects)
        elif type(record) is Release:
            self._apply_release(record, effects)
        elif type(record) is Undetermined:
            self._apply_undetermined(record, effects)
        else:
            self._apply_settled(record, appended_at_s, effects)

    def _apply_claim(
        self, claim: Claim, appended_at_s: float, effects: list[TableEffect]
    ) -> None:
        key_id = (claim.service_id, claim.key)
        created = parse_created_at_s(claim.key)
        if created < self.log_time_s - self.settings.window_s:
            effects.append(ClaimDecided(claim, ClaimVerdict.TOO_OLD))
            return
        entry = self._entries.get(key_id)
        if entry is None and not self.covers(created):
            effects.append(ClaimDecided(claim, ClaimVerdict.NOT_COVERED))
            return
        if entry is None:
            entry = self._add_entry(key_id, created)
        if self._is_duplicate(claim, entry):
            self.ignored_record_count += 1
            return
        effects.append(
            ClaimDecided(claim, self._decide_claim(claim, entry, appended_at_s))
        )

    def _decide_claim(
        self, claim: Claim, entry: KeyEntry, appended_at_s: float
    ) -> ClaimVerdict:
        latest_append_at_s = (
            claim.dispatch_deadline_s + self.settings.settlement_margin_s
        )
        if entry.state is KeyState.FREE and appended_at_s <= latest_append_at_s:
            entry.holder = claim
            entry.state = KeyState.CLAIMED
            return ClaimVerdict.WON
        entry.retired_ids |= {claim.claim_id}
        if entry.state is KeyState.FREE:
            return ClaimVerdict.TOO_LATE
        if is_same_request(entry.holder, claim.fingerprint, claim.tenant):
            return ClaimVerdict.LOST
        return ClaimVerdict.KEY_REUSED

    def _is_duplicate(self, claim: Claim, entry: KeyEntry) -> bool:
        if claim.claim_id in entry.retired_ids:
            return True
        return entry.holder is not None and entry.holder.claim_id == claim.claim_id

    def _get_held_entry(self, record: Record) -> KeyEntry | None:
        entry = self._entries.get((record.service_id, record.key))
        if entry is None or entry.holder is None:
            return None
        return entry if entry.holder.claim_id == record.claim_id else None

    def _apply_result(self, result: Result, effects: list[TableEffect]) -> None:
        entry = self._get_held_entry(result)
        if entry is None or entry.response is not None:
            self.ignored_record_count += 1
            self._count_contradiction(result)
            return
        entry.response = create_kept_response(result)
        self._set_state(result, entry, KeyState.ANSWERED, effects)

    def _count_contradiction(self, result: Result) -> None:
        entry = self._entries.get((result.service_id, result.key))
        if entry is not None and result.claim_id in entry.retired_ids:
            self.contradicting_result_count += 1

    def _apply_release(self, release: Release, effects: list[TableEffect]) -> None:
        entry = self._get_held_entry(release)
        if entry is not None and entry.state is KeyState.CLAIMED:
            self._free_key(release, entry, effects)
            return
        self.ignored_record_count += 1
        self._retire_claim(release)

    def _retire_claim(self, release: Release) -> None:
        # The claim may still be in flight; it must not win after its release.
        key_id = (release.service_id, release.key)
        entry = self._entries.get(key_id)
        created = parse_created_at_s(release.key)
        if entry is None and created >= self.log_time_s - self.settings.window_s:
            entry = self._add_entry(key_id, created) if self.covers(created) else None
        if entry is not None and self._get_held_entry(release) is None:
            entry.retired_ids |= {release.claim_id}

    def _apply_undetermined(
        self, record: Undetermined, effects: list[TableEffect]
    ) -> None:
        entry = self._get_held_entry(record)
        if entry is None or entry.state is not KeyState.CLAIMED:
            self.ignored_record_count += 1
            return
        self._set_state(record, entry, KeyState.UNDETERMINED, effects)

    def _apply_settled(
        self, record: Settled, appended_at_s: float, effects: list[TableEffect]
    ) -> None:
        entry = self._get_held_entry(record)
        accepted = entry is not None and self._may_settle(record, entry, appended_at_s)
        effects.append(SettlementDecided(record.settlement_id, accepted))
        if entry is not None:
            # A settlement rejected as too early must stay rejected if appended again.
            entry.retired_ids |= {record.settlement_id}
        if not accepted:
            self.ignored_record_count += 1
        elif record.settlement is Settlement.NOT_RUN:
            self._free_key(record, entry, effects)
        else:
            self._set_state(record, entry, KeyState.SETTLED_RAN, effects)

    def _may_settle(
        self, record: Settled, entry: KeyEntry, appended_at_s: float
    ) -> bool:
        if entry.state not in (KeyState.CLAIMED, KeyState.UNDETERMINED):
            return False
        if record.settlement_id in entry.retired_ids:
            return False
        if record.settlement is Settlement.RAN:
            return True
        # Until then the holder may still dispatch the request.
        margin_s = self.settings.settlement_margin_s
        return appended_at_s > entry.holder.dispatch_deadline_s + margin_s

    def _free_key(
        self, record: Release | Settled, entry: KeyEntry, effects: list[TableEffect]
    ) -> None:
        entry.retired_ids |= {record.claim_id}
        entry.holder = None
        self._set_state(record, entry, KeyState.FREE, effects)

    def _set_state(
        self,
        record: Record,
        entry: KeyEntry,
        state: KeyState,
        effects: list[TableEffect],
    ) -> None:
        entry.state = state
        effects.append(KeyStateChanged((record.service_id, record.key), state))

    def _add_entry(self, key_id: KeyId, created: float) -> KeyEntry:
        entry = KeyEntry(created)
        self._entries[key_id] = entry
        heapq.heappush(self._expiry_queue, (created + self.settings.window_s, key_id))
        return entry

    def _remove_expired_entries(self) -> None:
        while self._expiry_queue and self._expiry_queue[0][0] < self.log_time_s:
            _, key_id = heapq.heappop(self._expiry_queue)
            entry = self._entries.get(key_id)
            if entry is None:
                continue
            keep_until_s = entry.created_at_s + self.settings.unresolved_window_s
            unresolved = entry.state in (KeyState.CLAIMED, KeyState.UNDETERMINED)
            if unresolved and keep_until_s >= self.log_time_s:
                heapq.heappush(self._expiry_queue, (keep_until_s, key_id))
            else:
                del self._entries[key_id]


def is_same_request(holder: Claim, fingerprint: bytes, tenant: str) -> bool:
    """Return whether a request is the same as the one that holds its key."""
    return holder.fingerprint == fingerprint and holder.tenant == tenant
