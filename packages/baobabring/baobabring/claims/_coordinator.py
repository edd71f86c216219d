"""Coordinator of the claims of one instance."""

import math
import random

from baobabring.claims._batcher import AppendRequest
from baobabring.claims._calls import KeyedCall
from baobabring.claims._events import (
    ClaimEvent,
    ClaimRefused,
    NotSettleable,
    RequestReply,
    SettlementRequested,
    SettlementState,
    UnknownOutcome,
)
from baobabring.claims._keys import InvalidKey, compute_partition, parse_key
from baobabring.claims._partition import Partition
from baobabring.claims._rate_limiter import AppendRateLimiter
from baobabring.claims._records import Settlement
from baobabring.claims._responses import create_result_record
from baobabring.claims._settings import ClaimSettings
from baobabring.claims._settlements import SettlementTracker
from baobabring.claims._table import SettlementDecided
from baobabring.claims._tracker import CallTracker
from baobabring.model import Reason, Response
from baobabring.platform import Appended, AppendOutcome, ReadOutcome


class ClaimCoordinator:
    """Decide which calls with an idempotency key may run.

    Parameters
    ----------
    instance_id : str
        Instance that makes the claims.
    partitions : int
        Number of claim streams; must be equal at all instances.
    settings : ClaimSettings
        Windows, margins and limits; must be equal at all instances.
    rng : random.Random
        Source of record identifiers; must be seeded differently in each process.
    """

    def __init__(
        self,
        instance_id: str,
        partitions: int,
        settings: ClaimSettings,
        rng: random.Random,
    ) -> None:
        self.instance_id = instance_id
        self.settings = settings
        self.rate_limiter = AppendRateLimiter(
            settings.budget_appends_per_s, settings.burst_appends
        )
        self._rng = rng
        self._partitions = [
            Partition(index, settings, rng) for index in range(partitions)
        ]
        self._tracker = CallTracker(instance_id, self._partitions, settings, rng)
        self._settlements = SettlementTracker(settings, rng)
        self._appends: dict[bytes, int] = {}

    def request(
        self,
        call_id: str,
        service_id: str,
        key: str,
        fingerprint: bytes,
        tenant: str,
        method: str,
        path: str,
        deadline_s: float,
        now_s: float,
    ) -> RequestReply:
        """Request a claim for a call; only ClaimPending is followed by events.

        `fingerprint` is a digest of what identifies a request: method, path, body.
        """
        parsed = parse_key(key, now_s, self.settings.future_limit_s)
        if isinstance(parsed, InvalidKey):
            return ClaimRefused(call_id, Reason.KEY_INVALID, now_s)
        call = KeyedCall(
            call_id=call_id,
            service_id=service_id,
            key=parsed.text,
            key_created_at_s=parsed.created_at_s,
            partition=compute_partition(service_id, parsed.text, len(self._partitions)),
            fingerprint=fingerprint,
            tenant=tenant,
            method=method,
            path=path,
            requested_at_s=now_s,
            deadline_s=deadline_s,
        )
        return self._tracker.request(call, now_s)

    def get_next_offset(self, partition: int) -> int:
        """Return the offset from which a partition's stream must be read next."""
        return self._partitions[partition].table.next_offset

    def apply_page(
        self,
        partition: int,
        outcome: ReadOutcome,
        read_started_at_s: float,
        now_s: float,
    ) -> list[ClaimEvent]:
        """Apply the outcome of a read; return the resulting events of calls.

        Callers must start the next read immediately and wait for new records for less
        than `log_failing_limit_s`: if no read ends in that time, the log counts as
        failing.
        """
        effects = self._partitions[partition].apply_read(
            outcome, read_started_at_s, now_s
        )
        for effect in effects:
            if isinstance(effect, SettlementDecided):
                self._settlements.record_decision(effect)
            else:
                self._tracker.apply_effect(partition, effect, now_s)
        return self._tracker.drain_events()

    def pop_due_appends(self, now_s: float) -> list[AppendRequest]:
        """Return the appends to make now, within this instance's share."""
        ready = [
            partition
            for partition in self._partitions
            if partition.can_append and partition.batcher.is_ready(now_s)
        ]
        ready.sort(key=lambda partition: partition.batcher.oldest_queued_at_s)
        appends = []
        for partition in ready:
            if not self.rate_limiter.try_acquire(now_s):
                break
            append = partition.batcher.pop_batch(now_s)
            self._appends[append.append_id] = append.partition
            appends.append(append)
        return appends

    def record_append_outcome(
        self, append_id: bytes, outcome: AppendOutcome, now_s: float
    ) -> list[ClaimEvent]:
        """Record how an append ended; callers must report each append exactly once."""
        partition = self._appends.pop(append_id, None)
        if partition is not None:
            self._partitions[partition].record_append_outcome(append_id, outcome, now_s)
            if not isinstance(outcome, Appended):
                self._tracker.review_partition(partition, now_s)
        return self._tracker.drain_events()

    def tick(self, now_s: float) -> list[ClaimEvent]:
        """Review the calls that are due at `now_s`."""
        self._tracker.review_due_calls(now_s)
        return self._tracker.drain_events()

    def authorize_dispatch(self, call_id: str, now_s: float) -> bool:
        """Return whether a call may be sent now; if so, record it as dispatched.

        Callers must ask directly before they write the first byte. A process that
        pauses between this check and the write is safe only because targets refuse
        requests after the deadline.
        """
        return self._tracker.authorize_dispatch(call_id, now_s)

    def finish_with_result(
        self, call_id: str, response: Response, now_s: float
    ) -> None:
        """Store the response to a call that ran."""
        call = self._tracker.pop_won_call(call_id)
        limit_bytes = self.settings.body_limit_bytes
        record = create_result_record(
            response, call.claim_id, call.service_id, call.key, limit_bytes
        )
        self._partitions[call.partition].batcher.add(record, now_s)

    def finish_as_not_run(self, call_id: str, now_s: float) -> None:
        """Release the key of a call that did not run and never will."""
        self._tracker.release(self._tracker.pop_won_call(call_id), now_s)

    def finish_as_undetermined(self, call_id: str, now_s: float) -> None:
        """Record that it cannot be known whether a call ran."""
        self._tracker.record_undetermined(self._tracker.pop_won_call(call_id), now_s)

    def cancel(self, call_id: str, now_s: float) -> None:
        """Remove a call whose caller disconnected; no event follows."""
        self._tracker.cancel(call_id, now_s)

    def get_unknown_outcomes(self, now_s: float) -> list[UnknownOutcome]:
        """Return the claims with an unknown outcome, which operators can settle."""
        return [
            outcome
            for partition in self._partitions
            for outcome in self._settlements.get_unknown_outcomes(partition, now_s)
        ]

    def settle(
        self, service_id: str, key: str, settlement: Settlement, now_s: float
    ) -> SettlementRequested | NotSettleable:
        """Record what operators found out about an unknown outcome."""
        key_id = (service_id, key.strip().lower())
        index = compute_partition(*key_id, len(self._partitions))
        partition = self._partitions[index]
        return self._settlements.settle(partition, key_id, settlement, now_s)

    def get_settlement_state(self, settlement_id: bytes) -> SettlementState | None:
        """Return the state of a settlement requested here, or None if not tracked."""
        return self._settlements.get_state(settlement_id)

    def set_live_instances(self, live_instances: int, now_s: float) -> None:
        """Set this instance's rate to an equal share of the fleet's append budget."""
        self.rate_limiter.set_live_instances(live_instances, now_s)

    def get_next_append_at_s(self, now_s: float) -> float | None:
        """Return when the next append is due, None if only an event can cause one."""
        times = [
            partition.batcher.ready_at_s
            for partition in self._partitions
            if partition.can_append
        ]
        at_s = min(times, default=math.inf)
        return (
            max(at_s, self.rate_limiter.next_grant_at_s(now_s))
            if at_s < math.inf
            else None
        )

    @property
    def is_idle(self) -> bool:
        """Return whether every record is in the log; a shutdown waits for it."""
        return all(partition.batcher.is_idle for partition in self._partitions)

    @property
    def skipped_record_count(self) -> int:
        """Return how many records could not be decoded."""
        return sum(
            partition.table.skipped_record_count for partition in self._partitions
        )

    @property
    def contradicting_result_count(self) -> int:
        """Return how many results belong to claims that were settled as not run."""
        return sum(
            partition.table.contradicting_result_count for partition in self._partitions
        )

    @property
    def key_count(self) -> int:
        """Return how many keys are stored in memory."""
        return sum(len(partition.table) for partition in self._partitions)


def create_claim_coordinator(
    instance_id: str,
    partitions: int,
    settings: ClaimSettings,
    rng: random.Random,
) -> ClaimCoordinator:
    """Create a coordinator; raise ValueError if a value is out of range."""
    if partitions < 1:
        raise ValueError(f"partitions must be at least 1, got {partitions!r}")
    settings.check()
    return ClaimCoordinator(instance_id, partitions, settings, rng)
