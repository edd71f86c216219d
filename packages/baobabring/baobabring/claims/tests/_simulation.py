"""Simulation of several coordinators on one faulty log, which records what ran."""

from baobabring.claims import (
    ClaimLost,
    ClaimPending,
    ClaimReplayed,
    ClaimUnknown,
    ClaimWon,
    SettlementState,
    create_claim_coordinator,
)
from baobabring.claims._records import Settled, Settlement
from baobabring.claims._table import KeyState
from baobabring.claims.tests._models import (
    AppendFate,
    CallEnd,
    CallModel,
    InstanceModel,
    Run,
)
from baobabring.claims.tests._support import (
    NOW_S,
    SETTINGS,
    StreamModel,
    make_key,
    make_payload,
    make_rng,
)
from baobabring.model import Response
from baobabring.platform import (
    Appended,
    AppendRefused,
    AppendUnconfirmed,
    ReadFailed,
)

SERVICE = "pay"
CLOCK_OFFSETS_S = (0.0, 0.25, -0.25)


class FleetSimulation:
    """Run instances step by step and check each step against what really ran."""

    def __init__(self, instances: int = 3) -> None:
        self.now_s = NOW_S
        self.stream = StreamModel()
        self.delayed: list[bytes] = []
        self.runs: dict[str, list[Run]] = {}
        self._created = 0
        self.instances = [
            InstanceModel(number, CLOCK_OFFSETS_S[number % len(CLOCK_OFFSETS_S)])
            for number in range(instances)
        ]
        for instance in self.instances:
            self.crash(instance)

    def get_local_time_s(self, instance: InstanceModel) -> float:
        """Return the time on an instance's clock."""
        return self.now_s + instance.clock_offset_s

    def crash(self, instance: InstanceModel) -> None:
        """Replace the process of an instance by a new one, without its state."""
        self._created += 1
        rng = make_rng(self._created)
        name = f"i{instance.number}"
        instance.claims = create_claim_coordinator(name, 1, SETTINGS, rng)
        instance.calls = {}
        instance.ended_calls = []
        instance.pending_read = None
        instance.settlement_ids = []
        instance.paused = False

    def running_instances(self) -> list[InstanceModel]:
        """Return the instances that are not paused."""
        return [instance for instance in self.instances if not instance.paused]

    def pause(self, instance: InstanceModel) -> None:
        """Pause an instance, unless it is the last one running."""
        instance.paused = len(self.running_instances()) > 1

    def resume(self, instance: InstanceModel) -> None:
        """Resume a paused instance and dispatch the calls it was about to dispatch."""
        if instance.paused:
            instance.paused = False
            self.dispatch_all(instance)

    def request(
        self, instance: InstanceModel, key: str, fingerprint: bytes, time_left_s: float
    ) -> None:
        """Send a caller's request to an instance."""
        self._created += 1
        now_s = self.get_local_time_s(instance)
        call = CallModel(f"c{self._created}", key, fingerprint, now_s + time_left_s)
        reply = instance.claims.request(
            call.call_id,
            SERVICE,
            key,
            fingerprint,
            "default",
            "POST",
            "/payments",
            call.deadline_s,
            now_s,
        )
        if isinstance(reply, ClaimPending):
            instance.calls[call.call_id] = call
        else:
            self._check_end(call, reply)
            instance.ended_calls.append(call)

    def append(self, instance: InstanceModel, fate: AppendFate) -> None:
        """Make the due appends of an instance, all with the same fate."""
        now_s = self.get_local_time_s(instance)
        for append in instance.claims.pop_due_appends(now_s):
            outcome = self._append(append.payload, fate)
            events = instance.claims.record_append_outcome(
                append.append_id, outcome, now_s
            )
            self._process_events(instance, events)

    def _append(self, payload: bytes, fate: AppendFate):
        if fate is AppendFate.CONFIRMED:
            return Appended(self.stream.append(payload, self.now_s))
        if fate is AppendFate.REFUSED:
            return AppendRefused(self.now_s + 1)
        if fate is AppendFate.REPLY_LOST:
            self.stream.append(payload, self.now_s)
        elif fate is AppendFate.DELAYED:
            self.delayed.append(payload)
        return AppendUnconfirmed()

    def flush_delayed_append(self, index: int) -> None:
        """Store the payload of a delayed append in the log."""
        self.stream.append(self.delayed.pop(index), self.now_s)

    def repeat_record(self, index: int) -> None:
        """Append a record of the log a second time."""
        self.stream.append(self.stream.records[index].payload, self.now_s)

    def expire_records(self, offset: int) -> None:
        """Remove the records before an offset from the log."""
        self.stream.earliest_offset = max(self.stream.earliest_offset, offset)

    def start_read(self, instance: InstanceModel, limit: int) -> None:
        """Read a page from the log; `end_read` delivers it."""
        page = self.stream.page(instance.claims.get_next_offset(0), limit)
        instance.pending_read = (page, self.get_local_time_s(instance))

    def end_read(self, instance: InstanceModel) -> None:
        """Deliver the page of the pending read."""
        if instance.pending_read is None:
            return
        page, started_at_s = instance.pending_read
        instance.pending_read = None
        now_s = self.get_local_time_s(instance)
        events = instance.claims.apply_page(0, page, started_at_s, now_s)
        self._process_events(instance, events)

    def fail_read(self, instance: InstanceModel) -> None:
        """Report a failed read."""
        now_s = self.get_local_time_s(instance)
        failed = ReadFailed("timeout")
        self._process_events(
            instance, instance.claims.apply_page(0, failed, now_s, now_s)
        )

    def read_all(self, instance: InstanceModel) -> None:
        """Read to the end of the log."""
        self.start_read(instance, len(self.stream.records) + 1)
        self.end_read(instance)

    def tick(self, instance: InstanceModel) -> None:
        """Tick an instance; check that no undecided call is past its deadline."""
        now_s = self.get_local_time_s(instance)
        self._process_events(instance, instance.claims.tick(now_s))
        for call in instance.calls.values():
            assert call.won or now_s < call.deadline_s, call

    def dispatch(self, instance: InstanceModel, call: CallModel) -> None:
        """Dispatch a call if that is allowed; check that its key runs only once."""
        if not instance.claims.authorize_dispatch(
            call.call_id, self.get_local_time_s(instance)
        ):
            return
        assert call.won and not call.ended, call
        call.dispatched = True
        runs = self.runs.setdefault(call.key, [])
        runs.append(Run(call.fingerprint, call.call_id.encode()))
        assert len(runs) <= 1, f"{call.key} ran {len(runs)} times"

    def finish(self, instance: InstanceModel, call: CallModel, end: CallEnd) -> None:
        """End a call that won."""
        del instance.calls[call.call_id]
        call.ended = True
        instance.ended_calls.append(call)
        claims, now_s = instance.claims, self.get_local_time_s(instance)
        if not call.dispatched or end is CallEnd.SHED:
            if call.dispatched:
                self.runs[call.key].pop()
            claims.finish_as_not_run(call.call_id, now_s)
        elif end is CallEnd.RESULT:
            response = Response(200, (), self.runs[call.key][0].body)
            claims.finish_with_result(call.call_id, response, now_s)
        elif end is CallEnd.UNDETERMINED:
            claims.finish_as_undetermined(call.call_id, now_s)
        else:
            claims.cancel(call.call_id, now_s)

    def settle(self, instance: InstanceModel, key: str, settlement: Settlement) -> None:
        """Settle a key; operators never report NOT_RUN for a request that ran."""
        if settlement is Settlement.NOT_RUN and self.runs.get(key):
            return
        now_s = self.get_local_time_s(instance)
        reply = instance.claims.settle(SERVICE, key, settlement, now_s)
        if hasattr(reply, "settlement_id"):
            instance.settlement_ids.append(reply.settlement_id)

    def settle_early(self, instance: InstanceModel, key: str) -> None:
        """Append a correct settlement to the log without the check by an instance."""
        entry = instance.claims._partitions[0].table.get_entry((SERVICE, key))
        if entry is None or entry.holder is None or self.runs.get(key):
            return
        claim_id = entry.holder.claim_id
        record = Settled(b"early", claim_id, SERVICE, key, Settlement.NOT_RUN)
        self.stream.append(make_payload(record), self.now_s)

    def check_ended_calls(self) -> None:
        """Check that no ended call may be dispatched."""
        for instance in self.instances:
            now_s = self.get_local_time_s(instance)
            for call in instance.ended_calls:
                assert not instance.claims.authorize_dispatch(call.call_id, now_s), call

    def serve(
        self, instance: InstanceModel, key: str, fingerprint: bytes, time_left_s: float
    ) -> None:
        """Request a key, append and read without faults, then dispatch if allowed."""
        self.request(instance, key, fingerprint, time_left_s)
        self.append(instance, AppendFate.CONFIRMED)
        self.read_all(instance)
        self.dispatch_all(instance)

    def dispatch_all(self, instance: InstanceModel) -> None:
        """Dispatch the calls that an instance may dispatch."""
        for call in instance.calls.values():
            if call.won and not call.dispatched:
                self.dispatch(instance, call)

    def recover_and_check(self, keys: list[str]) -> None:
        """End all faults, advance the time, then request each key at each instance."""
        self.delayed.clear()
        for instance in self.instances:
            self.resume(instance)
        self._run_rounds()
        self.now_s += 20
        self._run_rounds()
        for instance in self.instances:
            self._check_settled(instance)
        for instance in self.instances:
            for key in keys:
                self.serve(instance, key, b"f", 5.0)
        self._check_new_key_runs()

    def _run_rounds(self) -> None:
        for _ in range(3):
            for instance in self.instances:
                self.dispatch_all(instance)
                self.read_all(instance)
                self.tick(instance)
                self.append(instance, AppendFate.CONFIRMED)

    def _check_new_key_runs(self) -> None:
        key = make_key(self.now_s, 999_999)
        self.now_s += 2
        self.serve(self.instances[0], key, b"f", 5.0)
        assert self.runs[key]

    def _check_settled(self, instance: InstanceModel) -> None:
        table = instance.claims._partitions[0].table
        for key_id in [(SERVICE, key) for key, runs in self.runs.items() if runs]:
            entry = table.get_entry(key_id)
            assert entry is None or entry.state is not KeyState.FREE, key_id
        for settlement_id in instance.settlement_ids:
            state = instance.claims.get_settlement_state(settlement_id)
            assert state is not SettlementState.REQUESTED or (
                self.stream.earliest_offset > 0
            )

    def _process_events(self, instance: InstanceModel, events) -> None:
        for event in events:
            call = instance.calls[event.call_id]
            assert not call.won, event
            if isinstance(event, ClaimWon):
                call.won = True
            elif not isinstance(event, ClaimLost):
                del instance.calls[call.call_id]
                instance.ended_calls.append(call)
                self._check_end(call, event)

    def _check_end(self, call: CallModel, event) -> None:
        assert not call.ended
        call.ended = True
        if isinstance(event, ClaimReplayed):
            (run,) = self.runs[call.key]
            assert (call.fingerprint, event.response.body) == (
                run.fingerprint,
                run.body,
            )
        elif not isinstance(event, ClaimUnknown):
            assert not call.dispatched, event
