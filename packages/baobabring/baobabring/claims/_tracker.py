"""Tracking of calls with an idempotency key until their claims are decided."""

import random

from baobabring.claims._batcher import ID_BYTES
from baobabring.claims._calls import CallRegistry, KeyedCall, KeyedCallState
from baobabring.claims._events import (
    ClaimEvent,
    ClaimLost,
    ClaimPending,
    ClaimRefused,
    ClaimReplayed,
    ClaimUnknown,
    ClaimWon,
    RequestReply,
)
from baobabring.claims._partition import Partition
from baobabring.claims._records import Claim, Release, Undetermined
from baobabring.claims._settings import ClaimSettings
from baobabring.claims._settlements import get_unknown_at_s, is_unknown
from baobabring.claims._table import (
    ClaimDecided,
    ClaimVerdict,
    CoverageLost,
    KeyState,
    KeyStateChanged,
    TableEffect,
    is_same_request,
)
from baobabring.model import Reason

_MIN_REVIEW_INTERVAL_S = 0.1


class CallTracker:
    """Claim keys for calls and turn changes of the claim table into events."""

    def __init__(
        self,
        instance_id: str,
        partitions: list[Partition],
        settings: ClaimSettings,
        rng: random.Random,
    ) -> None:
        self.instance_id = instance_id
        self.settings = settings
        self._partitions = partitions
        self._rng = rng
        self._calls = CallRegistry()
        self._events: list[ClaimEvent] = []

    def request(self, call: KeyedCall, now_s: float) -> RequestReply:
        """Reply from the claim table, or start to track the call."""
        self._partition(call).start_timing(now_s)
        reply = self._get_immediate_reply(call, now_s)
        if reply is not None:
            return reply
        self._calls.add(call)
        if self._is_held_by_other(call) and self._partition(call).table.has_reached_end:
            self._start_waiting(call, now_s)
        else:
            self._submit_claim(call, now_s)
        return ClaimPending(call.call_id)

    def drain_events(self) -> list[ClaimEvent]:
        """Return and clear the events recorded so far."""
        events = self._events
        self._events = []
        return events

    def review_due_calls(self, now_s: float) -> None:
        """Review the calls whose scheduled review is due."""
        for call in self._calls.pop_due(now_s):
            self._review(call, now_s)
            if self._calls.get(call.call_id) is call:
                self._schedule_review(call, now_s)

    def review_partition(self, partition: int, now_s: float) -> None:
        """Review all calls of a partition."""
        for call in self._calls.list_by_partition(partition):
            self._review(call, now_s)

    def apply_effect(self, partition: int, effect: TableEffect, now_s: float) -> None:
        """Update the calls that a change of the table concerns."""
        if isinstance(effect, ClaimDecided):
            call = self._calls.get_by_claim_id(effect.claim.claim_id)
            if call is not None and call.state is KeyedCallState.PENDING:
                self._apply_verdict(call, effect.verdict, now_s)
        elif isinstance(effect, KeyStateChanged):
            for call in self._calls.list_by_key(effect.key_id):
                if call.state is KeyedCallState.WAITING:
                    self._apply_key_state(call, now_s)
        elif isinstance(effect, CoverageLost):
            self._end_uncovered_calls(partition, now_s)

    def authorize_dispatch(self, call_id: str, now_s: float) -> bool:
        """Return whether a call may be sent now; if so, record it as dispatched."""
        call = self._calls.get(call_id)
        if call is None or call.state is not KeyedCallState.WON:
            return False
        if now_s >= call.deadline_s or self._is_too_old(call, now_s):
            return False
        if not self._holds_key(call):
            return False
        call.dispatched = True
        return True

    def pop_won_call(self, call_id: str) -> KeyedCall:
        """Remove and return a call that won; raise ValueError if there is none."""
        call = self._calls.get(call_id)
        if call is None or call.state is not KeyedCallState.WON:
            raise ValueError(f"call_id {call_id!r} holds no claim")
        self._calls.remove(call)
        return call

    def cancel(self, call_id: str, now_s: float) -> None:
        """Remove a call and give up its claim, without an event."""
        call = self._calls.get(call_id)
        if call is None:
            return
        if call.state is KeyedCallState.PENDING:
            self._withdraw(call, now_s)
        elif call.state is KeyedCallState.WON and call.dispatched:
            self.record_undetermined(call, now_s)
        elif call.state is KeyedCallState.WON:
            self.release(call, now_s)
        self._calls.remove(call)

    def release(self, call: KeyedCall, now_s: float) -> None:
        """Record that a call did not run and never will."""
        record = Release(call.claim_id, call.service_id, call.key)
        self._partition(call).batcher.add(record, now_s)

    def record_undetermined(self, call: KeyedCall, now_s: float) -> None:
        """Record that it cannot be known whether a call ran."""
        record = Undetermined(call.claim_id, call.service_id, call.key)
        self._partition(call).batcher.add(record, now_s)

    def _partition(self, call: KeyedCall) -> Partition:
        return self._partitions[call.partition]

    def _get_immediate_reply(
        self, call: KeyedCall, now_s: float
    ) -> RequestReply | None:
        if now_s >= call.deadline_s:
            return ClaimRefused(call.call_id, Reason.DEADLINE, now_s)
        reply = self._get_reply_from_table(call, now_s)
        if reply is not None:
            return reply
        if not self._is_held_by_other(call) and self._is_log_unavailable(call, now_s):
            return self._create_log_refusal(call, now_s)
        return None

    def _get_reply_from_table(
        self, call: KeyedCall, now_s: float
    ) -> RequestReply | None:
        table = self._partition(call).table
        entry = table.get_entry(call.key_id)
        final = entry is not None and entry.response is not None
        if entry is not None and entry.holder and (final or table.has_reached_end):
            if not self._is_same_request(call):
                return ClaimRefused(call.call_id, Reason.KEY_REUSED, now_s)
            if final:
                return ClaimReplayed(call.call_id, entry.response)
            if not self._can_get_result(call, now_s):
                return ClaimUnknown(call.call_id, Reason.HOLDER_LOST)
        covered = entry is not None or table.covers(call.key_created_at_s)
        if self._is_too_old(call, now_s) or not covered:
            return ClaimUnknown(call.call_id, Reason.KEY_TOO_OLD)
        return None

    def _is_too_old(self, call: KeyedCall, now_s: float) -> bool:
        return now_s - call.key_created_at_s > self.settings.window_s

    def _is_held_by_other(self, call: KeyedCall) -> bool:
        """Return whether a claim other than the call's own holds its key."""
        entry = self._partition(call).table.get_entry(call.key_id)
        if entry is None or entry.holder is None:
            return False
        return entry.holder.claim_id != call.claim_id

    def _can_get_result(self, call: KeyedCall, now_s: float) -> bool:
        entry = self._partition(call).table.get_entry(call.key_id)
        if entry is None or entry.state is not KeyState.CLAIMED:
            return False
        return not is_unknown(entry, now_s, self.settings)

    def _is_log_unavailable(self, call: KeyedCall, now_s: float) -> bool:
        partition = self._partition(call)
        return partition.is_failing(now_s) or partition.is_refusing_until(
            call.deadline_s, now_s
        )

    def _create_log_refusal(self, call: KeyedCall, now_s: float) -> ClaimRefused:
        retry_at_s = self._partition(call).get_retry_at_s(now_s)
        return ClaimRefused(call.call_id, Reason.LOG_UNAVAILABLE, retry_at_s)

    def _submit_claim(self, call: KeyedCall, now_s: float) -> None:
        self._calls.set_claim(call, self._rng.randbytes(ID_BYTES))
        call.state = KeyedCallState.PENDING
        claim = Claim(
            claim_id=call.claim_id,
            service_id=call.service_id,
            key=call.key,
            fingerprint=call.fingerprint,
            instance_id=self.instance_id,
            tenant=call.tenant,
            method=call.method,
            path=call.path,
            claimed_at_s=now_s,
            dispatch_deadline_s=call.deadline_s,
        )
        self._partition(call).batcher.add(claim, now_s)
        self._schedule_review(call, now_s)

    def _start_waiting(self, call: KeyedCall, now_s: float) -> None:
        call.state = KeyedCallState.WAITING
        self._events.append(ClaimLost(call.call_id))
        self._schedule_review(call, now_s)

    def _schedule_review(self, call: KeyedCall, now_s: float) -> None:
        if call.state is KeyedCallState.WON:
            return
        at_s = call.deadline_s
        if call.state is KeyedCallState.WAITING:
            entry = self._partition(call).table.get_entry(call.key_id)
            if entry is not None and entry.holder is not None:
                at_s = min(at_s, get_unknown_at_s(entry, self.settings))
        else:
            at_s = min(at_s, call.requested_at_s + self.settings.log_failing_limit_s)
        earliest_s = now_s + _MIN_REVIEW_INTERVAL_S
        self._calls.schedule_review(call, max(at_s, min(earliest_s, call.deadline_s)))

    def _review(self, call: KeyedCall, now_s: float) -> None:
        if call.state is KeyedCallState.WAITING:
            self._review_waiting(call, now_s)
        elif call.state is KeyedCallState.PENDING:
            self._review_pending(call, now_s)

    def _review_waiting(self, call: KeyedCall, now_s: float) -> None:
        if not self._can_get_result(call, now_s):
            self._end_call(call, ClaimUnknown(call.call_id, Reason.HOLDER_LOST))
        elif now_s >= call.deadline_s:
            self._end_call(call, ClaimUnknown(call.call_id, Reason.IN_PROGRESS))

    def _review_pending(self, call: KeyedCall, now_s: float) -> None:
        log_failing_limit_at_s = call.requested_at_s + self.settings.log_failing_limit_s
        partition = self._partition(call)
        if now_s >= call.deadline_s:
            self._end_pending(
                call, ClaimRefused(call.call_id, Reason.DEADLINE, now_s), now_s
            )
        elif partition.is_refusing_until(call.deadline_s, now_s) or (
            now_s > log_failing_limit_at_s and partition.is_failing(now_s)
        ):
            self._end_pending(call, self._create_log_refusal(call, now_s), now_s)

    def _apply_verdict(
        self, call: KeyedCall, verdict: ClaimVerdict, now_s: float
    ) -> None:
        call_id = call.call_id
        if verdict is ClaimVerdict.WON and now_s < call.deadline_s:
            call.state = KeyedCallState.WON
            self._events.append(ClaimWon(call_id))
        elif verdict is ClaimVerdict.WON:
            self.release(call, now_s)
            self._end_call(call, ClaimRefused(call_id, Reason.DEADLINE, now_s))
        elif verdict is ClaimVerdict.LOST:
            self._handle_lost_claim(call, now_s)
        elif verdict is ClaimVerdict.KEY_REUSED:
            self._end_call(call, ClaimRefused(call_id, Reason.KEY_REUSED, now_s))
        elif verdict is ClaimVerdict.TOO_LATE:
            self._end_call(call, ClaimRefused(call_id, Reason.DEADLINE, now_s))
        else:
            # An instance that read more of the stream may let this claim win.
            self.release(call, now_s)
            self._end_call(call, ClaimUnknown(call_id, Reason.KEY_TOO_OLD))

    def _handle_lost_claim(self, call: KeyedCall, now_s: float) -> None:
        call.state = KeyedCallState.WAITING
        self._apply_key_state(call, now_s)
        if (
            self._calls.get(call.call_id) is call
            and call.state is KeyedCallState.WAITING
        ):
            self._start_waiting(call, now_s)

    def _apply_key_state(self, call: KeyedCall, now_s: float) -> None:
        """Update a waiting call according to the state of its key."""
        entry = self._partition(call).table.get_entry(call.key_id)
        if entry is None:
            self._end_call(call, ClaimUnknown(call.call_id, Reason.KEY_TOO_OLD))
        elif entry.holder is not None and not self._is_same_request(call):
            # The key has since been released and claimed for another request.
            self._end_call(call, ClaimRefused(call.call_id, Reason.KEY_REUSED, now_s))
        elif entry.response is not None:
            self._end_call(call, ClaimReplayed(call.call_id, entry.response))
        elif entry.state is KeyState.FREE and now_s < call.deadline_s:
            self._submit_claim(call, now_s)
        elif entry.state is KeyState.FREE:
            self._end_call(call, ClaimRefused(call.call_id, Reason.DEADLINE, now_s))
        elif not self._can_get_result(call, now_s):
            self._end_call(call, ClaimUnknown(call.call_id, Reason.HOLDER_LOST))

    def _end_uncovered_calls(self, partition: int, now_s: float) -> None:
        table = self._partitions[partition].table
        for call in self._calls.list_by_partition(partition):
            if call.state is KeyedCallState.WON or table.covers(call.key_created_at_s):
                continue
            unknown = ClaimUnknown(call.call_id, Reason.KEY_TOO_OLD)
            if call.state is KeyedCallState.PENDING:
                self._withdraw(call, now_s)
            self._end_call(call, unknown)

    def _end_pending(
        self, call: KeyedCall, refusal: ClaimRefused, now_s: float
    ) -> None:
        self._withdraw(call, now_s)
        if self._is_held_by_other(call):
            self._end_call(call, ClaimUnknown(call.call_id, Reason.IN_PROGRESS))
        else:
            self._end_call(call, refusal)

    def _withdraw(self, call: KeyedCall, now_s: float) -> None:
        if not self._partition(call).batcher.withdraw(call.claim_id):
            self.release(call, now_s)

    def _end_call(self, call: KeyedCall, event: ClaimEvent) -> None:
        self._calls.remove(call)
        self._events.append(event)

    def _is_same_request(self, call: KeyedCall) -> bool:
        holder = self._partition(call).table.get_entry(call.key_id).holder
        return is_same_request(holder, call.fingerprint, call.tenant)

    def _holds_key(self, call: KeyedCall) -> bool:
        table = self._partition(call).table
        entry = table.get_entry(call.key_id)
        if entry is None or entry.state is not KeyState.CLAIMED:
            return False
        held = entry.holder.claim_id == call.claim_id
        return held and table.covers(call.key_created_at_s)
