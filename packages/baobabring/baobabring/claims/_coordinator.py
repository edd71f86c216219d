"""Coordinator of the claims that one instance makes for its calls."""

import math
import random

from baobabring.claims._answers import result_of
from baobabring.claims._batcher import AppendRequest
from baobabring.claims._calls import Call
from baobabring.claims._events import (
    ClaimEvent,
    ClaimRefused,
    NotSettleable,
    RequestReply,
    SettlementState,
    SettleRequested,
    UnknownOutcome,
)
from baobabring.claims._keys import InvalidKey, parse_key, partition_of
from baobabring.claims._pacer import AppendPacer
from baobabring.claims._partition import Partition
from baobabring.claims._records import Settlement
from baobabring.claims._settings import ClaimSettings
from baobabring.claims._settlements import Settlements
from baobabring.claims._table import SettlementFolded
from baobabring.claims._tracker import CallTracker
from baobabring.model import Answer, Reason
from baobabring.platform import Appended, AppendOutcome, ReadOutcome


class ClaimCoordinator:
    """Decide which calls with an idempotency key may run.

    Parameters
    ----------
    instance_id : str
        Instance that makes the claims.
    partitions : int
        Number of claim streams; the same at all instances.
    settings : ClaimSettings
        Windows, margins and limits; the same at all instances.
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
        self.pacer = AppendPacer(settings.budget_appends_per_s, settings.burst_appends)
        self._rng = rng
        self._partitions = [
            Partition(index, settings, rng) for index in range(partitions)
        ]
        self._tracker = CallTracker(instance_id, self._partitions, settings, rng)
        self._settlements = Settlements(settings, rng)
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
        """Ask for the right to run a request; only ClaimPending is followed by events.

        `fingerprint` digests what makes the request another one: method, path, body.
        """
        parsed = parse_key(key, now_s, self.settings.future_limit_s)
        if isinstance(parsed, InvalidKey):
            return ClaimRefused(call_id, Reason.KEY_INVALID, now_s)
        call = Call(
            call_id=call_id,
            service_id=service_id,
            key=parsed.text,
            key_created_at_s=parsed.created_at_s,
            partition=partition_of(service_id, parsed.text, len(self._partitions)),
            fingerprint=fingerprint,
            tenant=tenant,
            method=method,
            path=path,
            requested_at_s=now_s,
            deadline_s=deadline_s,
        )
        return self._tracker.request(call, now_s)

    def next_offset(self, partition: int) -> int:
        """Return the offset from which a partition's stream has to be read."""
        return self._partitions[partition].table.next_offset

    def apply_page(
        self,
        partition: int,
        outcome: ReadOutcome,
        read_started_at_s: float,
        now_s: float,
    ) -> list[ClaimEvent]:
        """Fold what a read gave; return what it means for calls.

        Read on at once, and wait for records less than `log_failing_limit_s`: without
        a read that ends in time the log counts as failing.
        """
        effects = self._partitions[partition].apply(outcome, read_started_at_s, now_s)
        for effect in effects:
            if isinstance(effect, SettlementFolded):
                self._settlements.folded(effect)
            else:
                self._tracker.apply_effect(partition, effect, now_s)
        return self._tracker.take_events()

    def append_due(self, now_s: float) -> list[AppendRequest]:
        """Return the appends to make now, within this instance's share."""
        ready = [
            part
            for part in self._partitions
            if part.may_append and part.batcher.ready(now_s)
        ]
        ready.sort(key=lambda part: part.batcher.oldest_at_s)
        appends = []
        for part in ready:
            if not self.pacer.take(now_s):
                break
            append = part.batcher.take_batch(now_s)
            self._appends[append.append_id] = append.partition
            appends.append(append)
        return appends

    def append_ended(
        self, append_id: bytes, outcome: AppendOutcome, now_s: float
    ) -> list[ClaimEvent]:
        """Take in how an append ended; each one must end exactly once."""
        partition = self._appends.pop(append_id, None)
        if partition is not None:
            self._partitions[partition].append_ended(append_id, outcome, now_s)
            if not isinstance(outcome, Appended):
                self._tracker.review_partition(partition, now_s)
        return self._tracker.take_events()

    def tick(self, now_s: float) -> list[ClaimEvent]:
        """Take in that time has passed."""
        self._tracker.review_due(now_s)
        return self._tracker.take_events()

    def may_dispatch(self, call_id: str, now_s: float) -> bool:
        """Tell whether a call may be sent to a target at this moment.

        Ask directly before the first byte is written. A pause between this check
        and the write is closed by targets that refuse work after the deadline.
        """
        return self._tracker.may_dispatch(call_id, now_s)

    def finish_result(self, call_id: str, answer: Answer, now_s: float) -> None:
        """Keep the answer of a call that ran."""
        call = self._tracker.end_won(call_id)
        limit_bytes = self.settings.body_limit_bytes
        record = result_of(
            answer, call.claim_id, call.service_id, call.key, limit_bytes
        )
        self._partitions[call.partition].batcher.add(record, now_s)

    def finish_release(self, call_id: str, now_s: float) -> None:
        """Give up the key of a call that certainly did not run and never will."""
        self._tracker.release(self._tracker.end_won(call_id), now_s)

    def finish_undetermined(self, call_id: str, now_s: float) -> None:
        """Record that nobody can know whether a call ran."""
        self._tracker.record_undetermined(self._tracker.end_won(call_id), now_s)

    def cancel(self, call_id: str, now_s: float) -> None:
        """Drop a call whose caller left; no event follows."""
        self._tracker.cancel(call_id, now_s)

    def unknown_outcomes(self, now_s: float) -> list[UnknownOutcome]:
        """Return the claims whose outcome nobody knows, for operators to settle."""
        return [
            outcome
            for partition in self._partitions
            for outcome in self._settlements.unknown_outcomes(partition, now_s)
        ]

    def settle(
        self, service_id: str, key: str, settlement: Settlement, now_s: float
    ) -> SettleRequested | NotSettleable:
        """Record what operators found out about an unknown outcome."""
        key_id = (service_id, key.strip().lower())
        index = partition_of(*key_id, len(self._partitions))
        partition = self._partitions[index]
        return self._settlements.settle(partition, key_id, settlement, now_s)

    def settlement_state(self, settlement_id: bytes) -> SettlementState | None:
        """Return what became of a settlement requested at this instance."""
        return self._settlements.state(settlement_id)

    def set_live_instances(self, live_instances: int, now_s: float) -> None:
        """Take an equal share of the fleet's budget of appends from now on."""
        self.pacer.set_live_instances(live_instances, now_s)

    def next_append_at_s(self, now_s: float) -> float | None:
        """Return when `append_due` has work, None if only another event brings it."""
        times = [
            part.batcher.ready_at_s for part in self._partitions if part.may_append
        ]
        at_s = min(times, default=math.inf)
        return max(at_s, self.pacer.next_at_s(now_s)) if at_s < math.inf else None

    @property
    def idle(self) -> bool:
        """Tell that every record is in the log; a shutdown waits for it."""
        return all(part.batcher.idle for part in self._partitions)

    @property
    def skipped_records(self) -> int:
        """Return how many records could not be decoded."""
        return sum(part.table.skipped_records for part in self._partitions)

    @property
    def contradicting_results(self) -> int:
        """Return how many results came of claims that were settled as not run."""
        return sum(part.table.contradicting_results for part in self._partitions)

    @property
    def known_keys(self) -> int:
        """Return how many keys are held in memory."""
        return sum(len(part.table) for part in self._partitions)


def create_claim_coordinator(
    instance_id: str,
    partitions: int,
    settings: ClaimSettings,
    rng: random.Random,
) -> ClaimCoordinator:
    """Create a coordinator; raise ValueError on a value out of range."""
    if partitions < 1:
        raise ValueError(f"partitions must be at least 1, got {partitions!r}")
    settings.check()
    return ClaimCoordinator(instance_id, partitions, settings, rng)
