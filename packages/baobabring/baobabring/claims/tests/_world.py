"""Several coordinators over one faulty log, with the truth about what ran."""

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
    CallModel,
    End,
    InstanceModel,
    Run,
)
from baobabring.claims.tests._support import (
    NOW_S,
    SETTINGS,
    StreamModel,
    key_at,
    payload_of,
    seeded,
)
from baobabring.model import Answer
from baobabring.platform import (
    Appended,
    AppendRefused,
    AppendUnconfirmed,
    ReadFailed,
)

SERVICE = "pay"
CLOCK_OFFSETS_S = (0.0, 0.25, -0.25)


class World:
    """Run instances step by step and check each step against the truth."""

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

    def time_of(self, instance: InstanceModel) -> float:
        """Return what an instance's clock shows."""
        return self.now_s + instance.clock_offset_s

    def crash(self, instance: InstanceModel) -> None:
        """Replace the process of an instance by a new one."""
        self._created += 1
        rng = seeded(self._created)
        name = f"i{instance.number}"
        instance.claims = create_claim_coordinator(name, 1, SETTINGS, rng)
        instance.calls = {}
        instance.ended_calls = []
        instance.read = None
        instance.settlement_ids = []
        instance.paused = False

    def running_instances(self) -> list[InstanceModel]:
        """Return the instances that take steps."""
        return [instance for instance in self.instances if not instance.paused]

    def pause(self, instance: InstanceModel) -> None:
        """Stop an instance between two steps; one goes on running."""
        instance.paused = len(self.running_instances()) > 1

    def resume(self, instance: InstanceModel) -> None:
        """Let an instance go on with what it was about to do."""
        if instance.paused:
            instance.paused = False
            self.dispatch_all(instance)

    def request(
        self, instance: InstanceModel, key: str, fingerprint: bytes, time_left_s: float
    ) -> None:
        """Let a caller ask an instance to run a request."""
        self._created += 1
        now_s = self.time_of(instance)
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
        """Let the log treat the appends of an instance in one way."""
        now_s = self.time_of(instance)
        for append in instance.claims.append_due(now_s):
            outcome = self._append(append.payload, fate)
            events = instance.claims.append_ended(append.append_id, outcome, now_s)
            self._take(instance, events)

    def _append(self, payload: bytes, fate: AppendFate):
        if fate is AppendFate.CONFIRMED:
            return Appended(self.stream.append(payload, self.now_s))
        if fate is AppendFate.REFUSED:
            return AppendRefused(self.now_s + 1)
        if fate is AppendFate.ANSWER_LOST:
            self.stream.append(payload, self.now_s)
        elif fate is AppendFate.DELAYED:
            self.delayed.append(payload)
        return AppendUnconfirmed()

    def land(self, index: int) -> None:
        """Let a delayed append take effect."""
        self.stream.append(self.delayed.pop(index), self.now_s)

    def repeat(self, index: int) -> None:
        """Append a record of the log a second time."""
        self.stream.append(self.stream.records[index].payload, self.now_s)

    def expire(self, offset: int) -> None:
        """Forget the records before an offset."""
        self.stream.earliest_offset = max(self.stream.earliest_offset, offset)

    def start_read(self, instance: InstanceModel, limit: int) -> None:
        """Let the log answer a read; the answer travels on."""
        page = self.stream.page(instance.claims.next_offset(0), limit)
        instance.read = (page, self.time_of(instance))

    def end_read(self, instance: InstanceModel) -> None:
        """Deliver the answer of a read."""
        if instance.read is None:
            return
        page, started_at_s = instance.read
        instance.read = None
        now_s = self.time_of(instance)
        events = instance.claims.apply_page(0, page, started_at_s, now_s)
        self._take(instance, events)

    def fail_read(self, instance: InstanceModel) -> None:
        """Let a read fail."""
        now_s = self.time_of(instance)
        failed = ReadFailed("timeout")
        self._take(instance, instance.claims.apply_page(0, failed, now_s, now_s))

    def read_all(self, instance: InstanceModel) -> None:
        """Read to the end of the log."""
        self.start_read(instance, len(self.stream.records) + 1)
        self.end_read(instance)

    def tick(self, instance: InstanceModel) -> None:
        """Tell an instance the time; no call outlives its deadline then."""
        now_s = self.time_of(instance)
        self._take(instance, instance.claims.tick(now_s))
        for call in instance.calls.values():
            assert call.won or now_s < call.deadline_s, call

    def dispatch(self, instance: InstanceModel, call: CallModel) -> None:
        """Send a call to a target if it may be sent."""
        if not instance.claims.may_dispatch(call.call_id, self.time_of(instance)):
            return
        assert call.won and not call.ended, call
        call.dispatched = True
        runs = self.runs.setdefault(call.key, [])
        runs.append(Run(call.fingerprint, call.call_id.encode()))
        assert len(runs) <= 1, f"{call.key} ran {len(runs)} times"

    def finish(self, instance: InstanceModel, call: CallModel, end: End) -> None:
        """Let a call that won come to its end."""
        del instance.calls[call.call_id]
        call.ended = True
        instance.ended_calls.append(call)
        claims, now_s = instance.claims, self.time_of(instance)
        if not call.dispatched or end is End.SHED:
            if call.dispatched:
                self.runs[call.key].pop()
            claims.finish_release(call.call_id, now_s)
        elif end is End.RESULT:
            answer = Answer(200, (), self.runs[call.key][0].body)
            claims.finish_result(call.call_id, answer, now_s)
        elif end is End.UNDETERMINED:
            claims.finish_undetermined(call.call_id, now_s)
        else:
            claims.cancel(call.call_id, now_s)

    def settle(self, instance: InstanceModel, key: str, settlement: Settlement) -> None:
        """Let an operator settle a key; operators tell the truth."""
        if settlement is Settlement.NOT_RUN and self.runs.get(key):
            return
        now_s = self.time_of(instance)
        reply = instance.claims.settle(SERVICE, key, settlement, now_s)
        if hasattr(reply, "settlement_id"):
            instance.settlement_ids.append(reply.settlement_id)

    def settle_early(self, instance: InstanceModel, key: str) -> None:
        """Append a true settlement that no instance has checked."""
        entry = instance.claims._partitions[0].table.entry((SERVICE, key))
        if entry is None or entry.holder is None or self.runs.get(key):
            return
        claim_id = entry.holder.claim_id
        record = Settled(b"early", claim_id, SERVICE, key, Settlement.NOT_RUN)
        self.stream.append(payload_of(record), self.now_s)

    def check(self) -> None:
        """Check that no ended call may run and that no key of a run is free."""
        for instance in self.instances:
            now_s = self.time_of(instance)
            for call in instance.ended_calls:
                assert not instance.claims.may_dispatch(call.call_id, now_s), call

    def serve(
        self, instance: InstanceModel, key: str, fingerprint: bytes, time_left_s: float
    ) -> None:
        """Ask for a key, without faults, and dispatch if that is allowed."""
        self.request(instance, key, fingerprint, time_left_s)
        self.append(instance, AppendFate.CONFIRMED)
        self.read_all(instance)
        self.dispatch_all(instance)

    def dispatch_all(self, instance: InstanceModel) -> None:
        """Send what an instance may send."""
        for call in instance.calls.values():
            if call.won and not call.dispatched:
                self.dispatch(instance, call)

    def settle_down(self, keys: list[str]) -> None:
        """End all faults, let time pass, then ask for each key everywhere again."""
        self.delayed.clear()
        for instance in self.instances:
            self.resume(instance)
        self._exchange()
        self.now_s += 20
        self._exchange()
        for instance in self.instances:
            self._check_settled(instance)
        for instance in self.instances:
            for key in keys:
                self.serve(instance, key, b"f", 5.0)
        self._check_new_key_runs()

    def _exchange(self) -> None:
        for _ in range(3):
            for instance in self.instances:
                self.dispatch_all(instance)
                self.read_all(instance)
                self.tick(instance)
                self.append(instance, AppendFate.CONFIRMED)

    def _check_new_key_runs(self) -> None:
        key = key_at(self.now_s, 999_999)
        self.now_s += 2
        self.serve(self.instances[0], key, b"f", 5.0)
        assert self.runs[key]

    def _check_settled(self, instance: InstanceModel) -> None:
        table = instance.claims._partitions[0].table
        for key_id in [(SERVICE, key) for key, runs in self.runs.items() if runs]:
            entry = table.entry(key_id)
            assert entry is None or entry.state is not KeyState.FREE, key_id
        for settlement_id in instance.settlement_ids:
            state = instance.claims.settlement_state(settlement_id)
            assert state is not SettlementState.REQUESTED or (
                self.stream.earliest_offset > 0
            )

    def _take(self, instance: InstanceModel, events) -> None:
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
            assert (call.fingerprint, event.answer.body) == (run.fingerprint, run.body)
        elif not isinstance(event, ClaimUnknown):
            assert not call.dispatched, event
