"""Limit on calls to targets in cold start over all instances together."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log2
from typing import TYPE_CHECKING

import msgspec
import xxhash

from baobabring.balancing._cold_fold import (
    NEVER_COLD,
    Cold,
    ColdFold,
    ColdRecord,
    ColdState,
    Lease,
    Warm,
    decode_snapshot,
    encode_records,
    encode_snapshot,
)
from baobabring.balancing._settings import BalancingSettings
from baobabring.balancing._updates import ColdNotice
from baobabring.model import LoadReport

if TYPE_CHECKING:
    from baobabring.platform import Page

DEMAND_LIFETIME_S = 2.0
RESEND_AFTER_S = 1.0
RECORDS_PER_PROPOSAL = 200
RENEW_BELOW_SHARE = 0.5
USABLE_SHARE = 0.1


@dataclass(slots=True)
class _Target:
    """Hold what this instance knows of a target beyond the log.

    `stopped_epoch` is the epoch that a turn to cold must go beyond, as long as the
    log doesn't show it; `warm_epoch` is the epoch that a sign of warmth ends.
    """

    cold_limit: int
    noticed_at_s: float = 0.0
    stopped_epoch: int | None = None
    returned_revision: int = 0
    warm_epoch: int | None = None
    warm_rank_free: bool = False
    answers: int = 0
    wanted_since_s: float = 0.0
    wanted_at_s: float = float("-inf")
    proposed_at_s: float = float("-inf")
    proposed_kind: type | None = None
    abandoned_until_s: list[float] = field(default_factory=list)


class ColdStartGuard:
    """Let only the holder of a lease call a target in cold start.

    Parameters
    ----------
    holder : str
        Name of this process in leases; differs after each start.
    """

    def __init__(
        self, instance_id: str, holder: str, settings: BalancingSettings
    ) -> None:
        self._instance_id = instance_id
        self._holder = holder
        self._settings = settings
        self._fold = ColdFold(settings.cold_lease_s, settings.clock_skew_s)
        self._targets: dict[str, _Target] = {}
        self._live: frozenset[str] = frozenset()
        self._notices: list[ColdNotice] = []
        self._next_proposal_at_s = 0.0
        self._clock_is_behind = False
        self.next_offset = 0
        self.lacks_records = False
        self.version = 0

    def configure(self, cold_limits: dict[str, int]) -> None:
        """Take the limits of all targets; what is known of those that stay is kept."""
        for target_id, cold_limit in cold_limits.items():
            target = self._targets.setdefault(target_id, _Target(cold_limit))
            target.cold_limit = cold_limit
        for target_id in self._targets.keys() - cold_limits.keys():
            del self._targets[target_id]

    def set_live(self, instance_ids: frozenset[str]) -> None:
        """Take the live instances, among which proposals are spread."""
        self._live = instance_ids

    def apply_page(self, page: Page, now_s: float) -> None:
        """Fold a page of the stream of leases; records already seen are skipped."""
        if page.earliest_offset > self.next_offset:
            self.lacks_records = True
        new = [r for r in page.records if r.offset >= self.next_offset]
        for record in new:
            self._fold.apply(record)
            self.next_offset = record.offset + 1
            ahead_s = record.appended_at_s - now_s
            self._clock_is_behind = ahead_s > self._settings.clock_skew_s
        self.next_offset = max(self.next_offset, page.earliest_offset)
        if not new:
            return
        self._settle_all()

    def _settle_all(self) -> None:
        for target_id, target in self._targets.items():
            self._settle(target, self._fold.state(target_id))
        self.version += 1

    def snapshot_payload(self) -> bytes:
        """Return what the log has shown so far, for a peer."""
        return encode_snapshot(
            self._fold.snapshot(self.next_offset, self.lacks_records)
        )

    def load(self, payload: bytes) -> bool:
        """Take a peer's snapshot if it goes further; return whether it did.

        Records that expired before this instance began to read are known to peers
        alone.
        """
        try:
            snapshot = decode_snapshot(payload)
        except msgspec.MsgspecError:
            return False
        if snapshot.next_offset < self.next_offset:
            return False
        if snapshot.next_offset == self.next_offset and not self.lacks_records:
            return False
        self._fold.load(snapshot)
        self.next_offset = snapshot.next_offset
        self.lacks_records = snapshot.lacks_records
        self._settle_all()
        return True

    def knows(self, target_id: str) -> bool:
        """Tell whether the log names the target."""
        return self._fold.knows(target_id)

    def is_warm(self, target_id: str) -> bool:
        """Tell whether the target takes calls without a lease."""
        target = self._targets.get(target_id)
        if target is None or target.stopped_epoch is not None:
            return False
        return not target.returned_revision and self._fold.state(target_id).warm

    def may_start(self, target_id: str, in_flight: float, now_s: float) -> float | None:
        """Return the latest deadline of a new call to a cold target, or None.

        `in_flight` counts own calls and peers' as far as known.
        """
        target = self._targets.get(target_id)
        if target is None or self._clock_is_behind:
            return None
        if target.stopped_epoch is not None or target.returned_revision:
            return None
        state = self._fold.state(target_id)
        usable_s = USABLE_SHARE * self._settings.cold_lease_s
        if state.holder != self._holder or state.expires_at_s - now_s < usable_s:
            return None
        if state.cold_epoch != NEVER_COLD and self._is_settling(state, now_s):
            return None
        target.abandoned_until_s = [t for t in target.abandoned_until_s if t > now_s]
        if in_flight + len(target.abandoned_until_s) > target.cold_limit - 0.5:
            return None
        return state.expires_at_s

    def want(self, target_id: str, now_s: float) -> None:
        """Note that calls wait which the cold target could take."""
        target = self._targets.get(target_id)
        if target is None:
            return
        if now_s - target.wanted_at_s > DEMAND_LIFETIME_S:
            target.wanted_since_s = now_s
        target.wanted_at_s = now_s

    def abandon(self, target_id: str, deadline_s: float, now_s: float) -> None:
        """Count a call that may still run until its deadline."""
        target = self._targets.get(target_id)
        if target is not None:
            latest_s = now_s + self._settings.cold_lease_s
            target.abandoned_until_s.append(min(deadline_s, latest_s))

    def answered(self, target_id: str, report: LoadReport | None, now_s: float) -> None:
        """Take in a good answer of a target and what it said of its load."""
        target = self._targets.get(target_id)
        if target is None:
            return
        if report is not None and report.cold:
            target.answers = 0
            self.turned_cold(target_id, now_s)
            return
        if self.is_warm(target_id):
            return
        target.answers += 1
        state = self._fold.state(target_id)
        never_cold = state.cold_epoch == NEVER_COLD and report is not None
        if never_cold or target.answers >= self._settings.warm_after_answers:
            self._warmed(target, state, now_s, rank_free=True)

    def report(self, target_id: str, report: LoadReport, now_s: float) -> None:
        """Take in what a probe showed; it ends only coldness never recorded."""
        target = self._targets.get(target_id)
        if target is None:
            return
        state = self._fold.state(target_id)
        if report.cold:
            fresh = now_s - state.warm_at_s < self._settings.cold_settle_s
            if not fresh:
                self.turned_cold(target_id, now_s)
            return
        if state.cold_epoch == NEVER_COLD and not state.warm:
            self._warmed(target, state, now_s, rank_free=False)

    def turned_cold(self, target_id: str, now_s: float) -> None:
        """Stop calls to a target that says it is cold, and tell the peers."""
        target = self._targets.get(target_id)
        if target is None or not self.is_warm(target_id):
            return
        epoch = self._fold.state(target_id).cold_epoch
        self._stop(target, epoch, now_s)
        self._notices.append(ColdNotice(target_id, epoch))

    def notice(self, target_id: str, cold_epoch: int, now_s: float) -> None:
        """Stop calls to a target that turned cold at a peer, unless that is past."""
        target = self._targets.get(target_id)
        state = self._fold.state(target_id)
        if target is None or target.stopped_epoch is not None:
            return
        if cold_epoch >= state.cold_epoch and self.is_warm(target_id):
            self._stop(target, cold_epoch, now_s)

    def returned(self, target_id: str, revision: int, now_s: float) -> None:
        """Treat a target as cold that came back with a configuration revision."""
        target = self._targets.get(target_id)
        if target is None or self._fold.state(target_id).revision >= revision:
            return
        target.returned_revision = revision
        target.noticed_at_s = now_s
        target.answers = 0
        self.version += 1

    def take_notices(self) -> tuple[ColdNotice, ...]:
        """Return the notices for peers that haven't been taken yet."""
        notices = tuple(self._notices)
        self._notices.clear()
        return notices

    def due_proposal(self, now_s: float) -> bytes | None:
        """Return the payload to append to the stream of leases now, if any."""
        if now_s < self._next_proposal_at_s:
            return None
        self._next_proposal_at_s = now_s + self._settings.cold_proposal_interval_s
        records: list[ColdRecord] = []
        for target_id, target in self._targets.items():
            record = self._due_record(target_id, target, now_s)
            if record is None or _was_just_proposed(target, record, now_s):
                continue
            target.proposed_at_s = now_s
            target.proposed_kind = type(record)
            records.append(record)
            if len(records) == RECORDS_PER_PROPOSAL:
                break
        return encode_records(tuple(records)) if records else None

    def _due_record(
        self, target_id: str, target: _Target, now_s: float
    ) -> ColdRecord | None:
        state = self._fold.state(target_id)
        turn_s = target.noticed_at_s + self._rank_delay_s(target_id)
        if target.returned_revision:
            cold = Cold(target_id, state.cold_epoch, target.returned_revision)
            return cold if now_s >= turn_s else None
        if target.stopped_epoch is not None:
            cold = Cold(target_id, target.stopped_epoch)
            return cold if now_s >= turn_s else None
        if state.warm:
            return None
        if target.warm_epoch is not None:
            is_turn = target.warm_rank_free or now_s >= turn_s
            return Warm(target_id, target.warm_epoch) if is_turn else None
        return self._due_lease(target_id, target, state, now_s)

    def _due_lease(
        self, target_id: str, target: _Target, state: ColdState, now_s: float
    ) -> Lease | None:
        if now_s - target.wanted_at_s > DEMAND_LIFETIME_S:
            return None
        lease_s = self._settings.cold_lease_s
        if state.holder == self._holder:
            if state.expires_at_s - now_s > RENEW_BELOW_SHARE * lease_s:
                return None
        else:
            free_at_s = state.expires_at_s + self._settings.clock_skew_s
            turn_s = target.wanted_since_s + self._rank_delay_s(target_id)
            if now_s <= free_at_s or now_s < turn_s:
                return None
        return Lease(target_id, self._holder, now_s + lease_s)

    def _warmed(
        self, target: _Target, state: ColdState, now_s: float, rank_free: bool
    ) -> None:
        if target.warm_epoch == state.cold_epoch:
            target.warm_rank_free = target.warm_rank_free or rank_free
            return
        target.warm_epoch = state.cold_epoch
        target.warm_rank_free = rank_free
        target.noticed_at_s = now_s

    def _stop(self, target: _Target, epoch: int, now_s: float) -> None:
        target.stopped_epoch = epoch
        target.noticed_at_s = now_s
        target.answers = 0
        self.version += 1

    def _settle(self, target: _Target, state: ColdState) -> None:
        """Drop local knowledge that the log now shows or has gone past."""
        if target.stopped_epoch is not None and state.cold_epoch > target.stopped_epoch:
            target.stopped_epoch = None
        if target.returned_revision and state.revision >= target.returned_revision:
            target.returned_revision = 0
        if target.warm_epoch is not None and (
            state.warm or target.warm_epoch != state.cold_epoch
        ):
            target.warm_epoch = None
            target.answers = 0

    def _is_settling(self, state: ColdState, now_s: float) -> bool:
        return now_s < state.cold_at_s + self._settings.cold_settle_s

    def _rank_delay_s(self, target_id: str) -> float:
        """Return how long to leave a proposal to instances of higher rank."""
        own = _hash(target_id, self._instance_id)
        rank = sum(_hash(target_id, other) > own for other in self._live)
        return self._settings.cold_rank_delay_s * log2(1 + rank)


def _was_just_proposed(target: _Target, record: ColdRecord, now_s: float) -> bool:
    if target.proposed_kind is not type(record):
        return False
    return now_s - target.proposed_at_s < RESEND_AFTER_S


def _hash(target_id: str, instance_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{target_id}|{instance_id}".encode())
