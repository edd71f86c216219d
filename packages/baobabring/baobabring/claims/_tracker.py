"""Calls that ask for a claim, from their request to their verdict."""

import random

from baobabring.claims._batcher import ID_BYTES
from baobabring.claims._calls import Call, CallBook, CallState
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
from baobabring.claims._settlements import is_unknown, unknown_at_s
from baobabring.claims._table import (
    ClaimFolded,
    CoverageLost,
    FoldEffect,
    KeyChanged,
    KeyState,
    Verdict,
    same_request,
)
from baobabring.model import Reason

_REVIEW_INTERVAL_S = 0.1


class CallTracker:
    """Claim keys for calls and turn what the log says into one event for each."""

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
        self._calls = CallBook()
        self._events: list[ClaimEvent] = []

    def request(self, call: Call, now_s: float) -> RequestReply:
        """Answer a call from what is known, or take it on."""
        self._partition(call).start(now_s)
        reply = self._reply_at_once(call, now_s)
        if reply is not None:
            return reply
        self._calls.add(call)
        if self._is_held(call) and self._partition(call).table.read_to_end:
            self._wait(call, now_s)
        else:
            self._claim(call, now_s)
        return ClaimPending(call.call_id)

    def take_events(self) -> list[ClaimEvent]:
        """Return the events since the last time."""
        events = self._events
        self._events = []
        return events

    def review_due(self, now_s: float) -> None:
        """Look at the calls whose time has come."""
        for call in self._calls.due(now_s):
            self._review(call, now_s)
            if self._calls.get(call.call_id) is call:
                self._wake(call, now_s)

    def review_partition(self, partition: int, now_s: float) -> None:
        """Look at all calls of a partition."""
        for call in self._calls.of_partition(partition):
            self._review(call, now_s)

    def apply_effect(self, partition: int, effect: FoldEffect, now_s: float) -> None:
        """Take in what a record changed."""
        if isinstance(effect, ClaimFolded):
            call = self._calls.by_claim_id(effect.claim.claim_id)
            if call is not None and call.state is CallState.PENDING:
                self._apply_verdict(call, effect.verdict, now_s)
        elif isinstance(effect, KeyChanged):
            for call in self._calls.of_key(effect.key_id):
                if call.state is CallState.WAITING:
                    self._follow(call, now_s)
        elif isinstance(effect, CoverageLost):
            self._drop_uncovered(partition, now_s)

    def may_dispatch(self, call_id: str, now_s: float) -> bool:
        """Tell whether a call may be sent to a target at this moment."""
        call = self._calls.get(call_id)
        if call is None or call.state is not CallState.WON:
            return False
        if now_s >= call.deadline_s or self._is_too_old(call, now_s):
            return False
        if not self._holds_key(call):
            return False
        call.dispatched = True
        return True

    def end_won(self, call_id: str) -> Call:
        """Remove and return a call that won; ValueError if there is none."""
        call = self._calls.get(call_id)
        if call is None or call.state is not CallState.WON:
            raise ValueError(f"call_id {call_id!r} holds no claim")
        self._calls.remove(call)
        return call

    def cancel(self, call_id: str, now_s: float) -> None:
        """Remove a call and give up what it holds, without an event."""
        call = self._calls.get(call_id)
        if call is None:
            return
        if call.state is CallState.PENDING:
            self._withdraw(call, now_s)
        elif call.state is CallState.WON and call.dispatched:
            self.record_undetermined(call, now_s)
        elif call.state is CallState.WON:
            self.release(call, now_s)
        self._calls.remove(call)

    def release(self, call: Call, now_s: float) -> None:
        """Record that a call did not run and never will."""
        record = Release(call.claim_id, call.service_id, call.key)
        self._partition(call).batcher.add(record, now_s)

    def record_undetermined(self, call: Call, now_s: float) -> None:
        """Record that nobody can know whether a call ran."""
        record = Undetermined(call.claim_id, call.service_id, call.key)
        self._partition(call).batcher.add(record, now_s)

    def _partition(self, call: Call) -> Partition:
        return self._partitions[call.partition]

    def _reply_at_once(self, call: Call, now_s: float) -> RequestReply | None:
        if now_s >= call.deadline_s:
            return ClaimRefused(call.call_id, Reason.DEADLINE, now_s)
        reply = self._reply_from_table(call, now_s)
        if reply is not None:
            return reply
        if not self._is_held(call) and self._log_unavailable(call, now_s):
            return self._log_refusal(call, now_s)
        return None

    def _reply_from_table(self, call: Call, now_s: float) -> RequestReply | None:
        table = self._partition(call).table
        entry = table.entry(call.key_id)
        final = entry is not None and entry.answer is not None
        if entry is not None and entry.holder and (final or table.read_to_end):
            if not self._is_same_request(call):
                return ClaimRefused(call.call_id, Reason.KEY_REUSED, now_s)
            if final:
                return ClaimReplayed(call.call_id, entry.answer)
            if not self._may_get_result(call, now_s):
                return ClaimUnknown(call.call_id, Reason.HOLDER_LOST)
        covered = entry is not None or table.covers(call.key_created_at_s)
        if self._is_too_old(call, now_s) or not covered:
            return ClaimUnknown(call.call_id, Reason.KEY_TOO_OLD)
        return None

    def _is_too_old(self, call: Call, now_s: float) -> bool:
        return now_s - call.key_created_at_s > self.settings.window_s

    def _is_held(self, call: Call) -> bool:
        """Tell whether another claim than the call's own holds its key."""
        entry = self._partition(call).table.entry(call.key_id)
        if entry is None or entry.holder is None:
            return False
        return entry.holder.claim_id != call.claim_id

    def _may_get_result(self, call: Call, now_s: float) -> bool:
        entry = self._partition(call).table.entry(call.key_id)
        if entry is None or entry.state is not KeyState.CLAIMED:
            return False
        return not is_unknown(entry, now_s, self.settings)

    def _log_unavailable(self, call: Call, now_s: float) -> bool:
        partition = self._partition(call)
        return partition.failing(now_s) or partition.out_of_reach(
            call.deadline_s, now_s
        )

    def _log_refusal(self, call: Call, now_s: float) -> ClaimRefused:
        retry_at_s = self._partition(call).retry_at_s(now_s)
        return ClaimRefused(call.call_id, Reason.LOG_UNAVAILABLE, retry_at_s)

    def _claim(self, call: Call, now_s: float) -> None:
        self._calls.set_claim(call, self._rng.randbytes(ID_BYTES))
        call.state = CallState.PENDING
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
        self._wake(call, now_s)

    def _wait(self, call: Call, now_s: float) -> None:
        call.state = CallState.WAITING
        self._events.append(ClaimLost(call.call_id))
        self._wake(call, now_s)

    def _wake(self, call: Call, now_s: float) -> None:
        if call.state is CallState.WON:
            return
        at_s = call.deadline_s
        if call.state is CallState.WAITING:
            entry = self._partition(call).table.entry(call.key_id)
            if entry is not None and entry.holder is not None:
                at_s = min(at_s, unknown_at_s(entry, self.settings))
        else:
            at_s = min(at_s, call.requested_at_s + self.settings.log_failing_limit_s)
        soonest_s = now_s + _REVIEW_INTERVAL_S
        self._calls.wake(call, max(at_s, min(soonest_s, call.deadline_s)))

    def _review(self, call: Call, now_s: float) -> None:
        if call.state is CallState.WAITING:
            self._review_waiting(call, now_s)
        elif call.state is CallState.PENDING:
            self._review_pending(call, now_s)

    def _review_waiting(self, call: Call, now_s: float) -> None:
        if not self._may_get_result(call, now_s):
            self._end(call, ClaimUnknown(call.call_id, Reason.HOLDER_LOST))
        elif now_s >= call.deadline_s:
            self._end(call, ClaimUnknown(call.call_id, Reason.IN_PROGRESS))

    def _review_pending(self, call: Call, now_s: float) -> None:
        asked_long_ago_s = call.requested_at_s + self.settings.log_failing_limit_s
        partition = self._partition(call)
        if now_s >= call.deadline_s:
            self._give_up(
                call, ClaimRefused(call.call_id, Reason.DEADLINE, now_s), now_s
            )
        elif partition.out_of_reach(call.deadline_s, now_s) or (
            now_s > asked_long_ago_s and partition.failing(now_s)
        ):
            self._give_up(call, self._log_refusal(call, now_s), now_s)

    def _apply_verdict(self, call: Call, verdict: Verdict, now_s: float) -> None:
        call_id = call.call_id
        if verdict is Verdict.WON and now_s < call.deadline_s:
            call.state = CallState.WON
            self._events.append(ClaimWon(call_id))
        elif verdict is Verdict.WON:
            self.release(call, now_s)
            self._end(call, ClaimRefused(call_id, Reason.DEADLINE, now_s))
        elif verdict is Verdict.LOST:
            self._lose(call, now_s)
        elif verdict is Verdict.KEY_REUSED:
            self._end(call, ClaimRefused(call_id, Reason.KEY_REUSED, now_s))
        elif verdict is Verdict.TOO_LATE:
            self._end(call, ClaimRefused(call_id, Reason.DEADLINE, now_s))
        else:
            # Readers that saw more of the stream may count this claim as the winner.
            self.release(call, now_s)
            self._end(call, ClaimUnknown(call_id, Reason.KEY_TOO_OLD))

    def _lose(self, call: Call, now_s: float) -> None:
        call.state = CallState.WAITING
        self._follow(call, now_s)
        if self._calls.get(call.call_id) is call and call.state is CallState.WAITING:
            self._wait(call, now_s)

    def _follow(self, call: Call, now_s: float) -> None:
        """Act on the state of the key that a call waits for."""
        entry = self._partition(call).table.entry(call.key_id)
        if entry is None:
            self._end(call, ClaimUnknown(call.call_id, Reason.KEY_TOO_OLD))
        elif entry.holder is not None and not self._is_same_request(call):
            # The key was released and taken for another request since.
            self._end(call, ClaimRefused(call.call_id, Reason.KEY_REUSED, now_s))
        elif entry.answer is not None:
            self._end(call, ClaimReplayed(call.call_id, entry.answer))
        elif entry.state is KeyState.FREE and now_s < call.deadline_s:
            self._claim(call, now_s)
        elif entry.state is KeyState.FREE:
            self._end(call, ClaimRefused(call.call_id, Reason.DEADLINE, now_s))
        elif not self._may_get_result(call, now_s):
            self._end(call, ClaimUnknown(call.call_id, Reason.HOLDER_LOST))

    def _drop_uncovered(self, partition: int, now_s: float) -> None:
        table = self._partitions[partition].table
        for call in self._calls.of_partition(partition):
            if call.state is CallState.WON or table.covers(call.key_created_at_s):
                continue
            unknown = ClaimUnknown(call.call_id, Reason.KEY_TOO_OLD)
            if call.state is CallState.PENDING:
                self._withdraw(call, now_s)
            self._end(call, unknown)

    def _give_up(self, call: Call, refusal: ClaimRefused, now_s: float) -> None:
        self._withdraw(call, now_s)
        if self._is_held(call):
            self._end(call, ClaimUnknown(call.call_id, Reason.IN_PROGRESS))
        else:
            self._end(call, refusal)

    def _withdraw(self, call: Call, now_s: float) -> None:
        if not self._partition(call).batcher.withdraw(call.claim_id):
            self.release(call, now_s)

    def _end(self, call: Call, event: ClaimEvent) -> None:
        self._calls.remove(call)
        self._events.append(event)

    def _is_same_request(self, call: Call) -> bool:
        holder = self._partition(call).table.entry(call.key_id).holder
        return same_request(holder, call.fingerprint, call.tenant)

    def _holds_key(self, call: Call) -> bool:
        table = self._partition(call).table
        entry = table.entry(call.key_id)
        if entry is None or entry.state is not KeyState.CLAIMED:
            return False
        held = entry.holder.claim_id == call.claim_id
        return held and table.covers(call.key_created_at_s)
