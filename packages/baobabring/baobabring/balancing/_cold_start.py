"""Limit on the calls of all instances together to a target in cold start."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log2
from typing import TYPE_CHECKING

import xxhash

from baobabring.balancing._cold_start_replica import (
    NEVER_COLD,
    ColdStartRecord,
    ColdStartReplica,
    ColdStartState,
    Lease,
    TurnedCold,
    TurnedWarm,
    decode_snapshot,
    encode_records,
    encode_snapshot,
)
from baobabring.balancing._settings import BalancingSettings
from baobabring.balancing._updates import ColdNotice
from baobabring.model import LoadReport
from baobabring.utils import DECODE_ERRORS

if TYPE_CHECKING:
    from baobabring.platform import Page

DEMAND_MAX_AGE_S = 2.0
PROPOSAL_RETRY_DELAY_S = 1.0
MAX_RECORDS_PER_PROPOSAL = 200
RENEW_BELOW_LEASE_SHARE = 0.5
MIN_USABLE_LEASE_SHARE = 0.1


@dataclass(slots=True)
class _TargetObservations:
    """Represent local observations of a target that the log doesn't show yet.

    `stopped_cold_epoch` was the cold epoch when calls were stopped, and is kept
    until the log shows a newer one; `warmed_cold_epoch` is the cold epoch in which
    the target was observed to be warm. `returned_revision` is the revision in which
    the target returned, and 0 once the log shows it.
    """

    cold_limit: int
    observed_at_s: float = 0.0
    stopped_cold_epoch: int | None = None
    returned_revision: int = 0
    warmed_cold_epoch: int | None = None
    warm_skips_rank_delay: bool = False
    good_responses: int = 0
    demand_since_s: float = 0.0
    demand_at_s: float = float("-inf")
    proposed_at_s: float = float("-inf")
    proposed_type: type | None = None
    abandoned_deadlines_s: list[float] = field(default_factory=list)


class ColdStartGuard:
    """Allow calls to a target in cold start only under a lease from the log.

    Parameters
    ----------
    holder : str
        Name of this process in leases; a new one after each start.
    """

    def __init__(
        self, instance_id: str, holder: str, settings: BalancingSettings
    ) -> None:
        self._instance_id = instance_id
        self._holder = holder
        self._settings = settings
        self._replica = ColdStartReplica(settings.cold_lease_s, settings.clock_skew_s)
        self._targets: dict[str, _TargetObservations] = {}
        self._live: frozenset[str] = frozenset()
        self._notices: list[ColdNotice] = []
        self._next_proposal_at_s = 0.0
        self._clock_is_behind = False
        self.next_offset = 0
        self.lacks_records = False
        self.version = 0

    def configure(self, cold_limits: dict[str, int]) -> None:
        """Set the limits of all targets, and keep the state of those that remain."""
        for target_id, cold_limit in cold_limits.items():
            target = self._targets.setdefault(
                target_id, _TargetObservations(cold_limit)
            )
            target.cold_limit = cold_limit
        for target_id in self._targets.keys() - cold_limits.keys():
            del self._targets[target_id]

    def set_live(self, instance_ids: frozenset[str]) -> None:
        """Set the live instances, among which proposals are ranked."""
        self._live = instance_ids

    def apply_page(self, page: Page, now_s: float) -> None:
        """Apply a page of the stream, and skip records that were applied before."""
        if page.earliest_offset > self.next_offset:
            self.lacks_records = True
        new = [r for r in page.records if r.offset >= self.next_offset]
        for record in new:
            self._replica.apply(record)
            self.next_offset = record.offset + 1
            ahead_s = record.appended_at_s - now_s
            self._clock_is_behind = ahead_s > self._settings.clock_skew_s
        self.next_offset = max(self.next_offset, page.earliest_offset)
        if not new:
            return
        self._reconcile_all()

    def _reconcile_all(self) -> None:
        for target_id, target in self._targets.items():
            self._reconcile(target, self._replica.get_state(target_id))
        self.version += 1

    def create_snapshot_payload(self) -> bytes:
        """Return the encoded state as of the records read so far, for a peer."""
        return encode_snapshot(
            self._replica.create_snapshot(self.next_offset, self.lacks_records)
        )

    def load_snapshot(self, payload: bytes) -> bool:
        """Load a snapshot from a peer if it is newer; return whether it was loaded.

        Records that expired before this instance began to read are available from
        peers only.
        """
        try:
            snapshot = decode_snapshot(payload)
        except DECODE_ERRORS:
            return False
        if snapshot.next_offset < self.next_offset:
            return False
        if snapshot.next_offset == self.next_offset and not self.lacks_records:
            return False
        self._replica.load_snapshot(snapshot)
        self.next_offset = snapshot.next_offset
        self.lacks_records = snapshot.lacks_records
        self._reconcile_all()
        return True

    def has_state(self, target_id: str) -> bool:
        """Return whether any record in the log names the target."""
        return self._replica.has_state(target_id)

    def is_warm(self, target_id: str) -> bool:
        """Return whether the target takes calls without a lease."""
        target = self._targets.get(target_id)
        if target is None or target.stopped_cold_epoch is not None:
            return False
        return not target.returned_revision and self._replica.get_state(target_id).warm

    def get_latest_deadline_s(
        self, target_id: str, in_flight: float, now_s: float
    ) -> float | None:
        """Return the latest deadline of a new call to a cold target.

        None means that no call may start. `in_flight` counts own calls and the known
        calls of peers.
        """
        target = self._targets.get(target_id)
        if target is None or self._clock_is_behind:
            return None
        if target.stopped_cold_epoch is not None or target.returned_revision:
            return None
        state = self._replica.get_state(target_id)
        usable_s = MIN_USABLE_LEASE_SHARE * self._settings.cold_lease_s
        if state.holder != self._holder or state.expires_at_s - now_s < usable_s:
            return None
        if state.cold_epoch != NEVER_COLD and self._is_settling(state, now_s):
            return None
        target.abandoned_deadlines_s = [
            t for t in target.abandoned_deadlines_s if t > now_s
        ]
        if in_flight + len(target.abandoned_deadlines_s) > target.cold_limit - 0.5:
            return None
        return state.expires_at_s

    def record_demand(self, target_id: str, now_s: float) -> None:
        """Record that calls are waiting which the cold target could take."""
        target = self._targets.get(target_id)
        if target is None:
            return
        if now_s - target.demand_at_s > DEMAND_MAX_AGE_S:
            target.demand_since_s = now_s
        target.demand_at_s = now_s

    def record_abandoned_call(
        self, target_id: str, deadline_s: float, now_s: float
    ) -> None:
        """Count a call as in flight until its deadline, since it may still run."""
        target = self._targets.get(target_id)
        if target is not None:
            latest_s = now_s + self._settings.cold_lease_s
            target.abandoned_deadlines_s.append(min(deadline_s, latest_s))

    def record_response(
        self, target_id: str, report: LoadReport | None, now_s: float
    ) -> None:
        """Record a good response of a target and the load report in it, if any."""
        target = self._targets.get(target_id)
        if target is None:
            return
        if report is not None and report.cold:
            target.good_responses = 0
            self.record_cold(target_id, now_s)
            return
        if self.is_warm(target_id):
            return
        target.good_responses += 1
        state = self._replica.get_state(target_id)
        never_cold = state.cold_epoch == NEVER_COLD and report is not None
        if never_cold or target.good_responses >= self._settings.warm_after_responses:
            self._record_warm(target, state, now_s, skips_rank_delay=True)

    def record_report(self, target_id: str, report: LoadReport, now_s: float) -> None:
        """Record the load report of a probe.

        A warm report ends a cold start only if the target has no cold record.
        """
        target = self._targets.get(target_id)
        if target is None:
            return
        state = self._replica.get_state(target_id)
        if report.cold:
            warmed_recently = now_s - state.warm_at_s < self._settings.cold_settle_s
            if not warmed_recently:
                self.record_cold(target_id, now_s)
            return
        if state.cold_epoch == NEVER_COLD and not state.warm:
            self._record_warm(target, state, now_s, skips_rank_delay=False)

    def record_cold(self, target_id: str, now_s: float) -> None:
        """Stop calls to a target that turned cold, and queue a notice to the peers."""
        target = self._targets.get(target_id)
        if target is None or not self.is_warm(target_id):
            return
        epoch = self._replica.get_state(target_id).cold_epoch
        self._stop_calls(target, epoch, now_s)
        self._notices.append(ColdNotice(target_id, epoch))

    def apply_notice(self, target_id: str, cold_epoch: int, now_s: float) -> None:
        """Stop calls to a target that a peer found cold, unless the notice is old."""
        target = self._targets.get(target_id)
        state = self._replica.get_state(target_id)
        if target is None or target.stopped_cold_epoch is not None:
            return
        if cold_epoch >= state.cold_epoch and self.is_warm(target_id):
            self._stop_calls(target, cold_epoch, now_s)

    def record_return(self, target_id: str, revision: int, now_s: float) -> None:
        """Treat a target that returned in a configuration revision as cold."""
        target = self._targets.get(target_id)
        if target is None or self._replica.get_state(target_id).revision >= revision:
            return
        target.returned_revision = revision
        target.observed_at_s = now_s
        target.good_responses = 0
        self.version += 1

    def pop_notices(self) -> tuple[ColdNotice, ...]:
        """Return the queued notices to peers, and remove them from the queue."""
        notices = tuple(self._notices)
        self._notices.clear()
        return notices

    def pop_due_proposal(self, now_s: float) -> bytes | None:
        """Return the payload to append to the stream now, if any.

        Its records count as proposed, and aren't proposed again for a while.
        """
        if now_s < self._next_proposal_at_s:
            return None
        self._next_proposal_at_s = now_s + self._settings.cold_proposal_interval_s
        records: list[ColdStartRecord] = []
        for target_id, target in self._targets.items():
            record = self._get_due_record(target_id, target, now_s)
            if record is None or _was_just_proposed(target, record, now_s):
                continue
            target.proposed_at_s = now_s
            target.proposed_type = type(record)
            records.append(record)
            if len(records) == MAX_RECORDS_PER_PROPOSAL:
                break
        return encode_records(tuple(records)) if records else None

    def _get_due_record(
        self, target_id: str, target: _TargetObservations, now_s: float
    ) -> ColdStartRecord | None:
        state = self._replica.get_state(target_id)
        turn_at_s = target.observed_at_s + self._get_rank_delay_s(target_id)
        if target.returned_revision:
            cold = TurnedCold(target_id, state.cold_epoch, target.returned_revision)
            return cold if now_s >= turn_at_s else None
        if target.stopped_cold_epoch is not None:
            cold = TurnedCold(target_id, target.stopped_cold_epoch)
            return cold if now_s >= turn_at_s else None
        if state.warm:
            return None
        if target.warmed_cold_epoch is not None:
            is_turn = target.warm_skips_rank_delay or now_s >= turn_at_s
            return TurnedWarm(target_id, target.warmed_cold_epoch) if is_turn else None
        return self._get_due_lease(target_id, target, state, now_s)

    def _get_due_lease(
        self,
        target_id: str,
        target: _TargetObservations,
        state: ColdStartState,
        now_s: float,
    ) -> Lease | None:
        if now_s - target.demand_at_s > DEMAND_MAX_AGE_S:
            return None
        lease_s = self._settings.cold_lease_s
        if state.holder == self._holder:
            if state.expires_at_s - now_s > RENEW_BELOW_LEASE_SHARE * lease_s:
                return None
        else:
            free_at_s = state.expires_at_s + self._settings.clock_skew_s
            turn_at_s = target.demand_since_s + self._get_rank_delay_s(target_id)
            if now_s <= free_at_s or now_s < turn_at_s:
                return None
        return Lease(target_id, self._holder, now_s + lease_s)

    def _record_warm(
        self,
        target: _TargetObservations,
        state: ColdStartState,
        now_s: float,
        skips_rank_delay: bool,
    ) -> None:
        if target.warmed_cold_epoch == state.cold_epoch:
            target.warm_skips_rank_delay = (
                target.warm_skips_rank_delay or skips_rank_delay
            )
            return
        target.warmed_cold_epoch = state.cold_epoch
        target.warm_skips_rank_delay = skips_rank_delay
        target.observed_at_s = now_s

    def _stop_calls(
        self, target: _TargetObservations, epoch: int, now_s: float
    ) -> None:
        target.stopped_cold_epoch = epoch
        target.observed_at_s = now_s
        target.good_responses = 0
        self.version += 1

    def _reconcile(self, target: _TargetObservations, state: ColdStartState) -> None:
        """Drop local observations that the log now shows or has superseded."""
        if (
            target.stopped_cold_epoch is not None
            and state.cold_epoch > target.stopped_cold_epoch
        ):
            target.stopped_cold_epoch = None
        if target.returned_revision and state.revision >= target.returned_revision:
            target.returned_revision = 0
        if target.warmed_cold_epoch is not None and (
            state.warm or target.warmed_cold_epoch != state.cold_epoch
        ):
            target.warmed_cold_epoch = None
            target.good_responses = 0

    def _is_settling(self, state: ColdStartState, now_s: float) -> bool:
        return now_s < state.cold_at_s + self._settings.cold_settle_s

    def _get_rank_delay_s(self, target_id: str) -> float:
        """Return how long to wait for a proposal of the instances of higher rank."""
        own = _hash(target_id, self._instance_id)
        rank = sum(_hash(target_id, other) > own for other in self._live)
        return self._settings.cold_rank_delay_s * log2(1 + rank)


def _was_just_proposed(
    target: _TargetObservations, record: ColdStartRecord, now_s: float
) -> bool:
    if target.proposed_type is not type(record):
        return False
    return now_s - target.proposed_at_s < PROPOSAL_RETRY_DELAY_S


def _hash(target_id: str, instance_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{target_id}|{instance_id}".encode())
