"""Test random histories of several coordinators over one faulty log."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from baobabring.claims._records import Settlement
from baobabring.claims.tests._models import AppendFate, CallEnd, CallModel
from baobabring.claims.tests._simulation import FleetSimulation
from baobabring.claims.tests._support import make_key

INSTANCES = st.integers(0, 2)
FATES = st.sampled_from([AppendFate.CONFIRMED, *AppendFate])
ENDS = st.sampled_from(CallEnd)
FINGERPRINTS = st.sampled_from([b"f", b"f", b"f", b"g"])
STEPS_S = st.sampled_from([0.25, 0.5, 1.0, 3.0, 6.0])
DEADLINES_S = st.sampled_from([1.0, 4.0])


class ClaimsStateMachine(RuleBasedStateMachine):
    """Run random steps at random instances of a simulated fleet."""

    def __init__(self):
        super().__init__()
        self.simulation = FleetSimulation()
        self.keys = [make_key(self.simulation.now_s)]
        self.all_keys = list(self.keys)
        for instance in self.simulation.instances:
            self.simulation.read_all(instance)

    def instance(self, number):
        return self.simulation.instances[number]

    def running(self, number):
        running = self.simulation.running_instances()
        return running[number % len(running)]

    def won_calls(self, instance) -> list[CallModel]:
        return [call for call in instance.calls.values() if call.won]

    @rule(seconds=STEPS_S)
    def pass_time(self, seconds):
        self.simulation.now_s += seconds

    @rule(ahead_s=st.sampled_from([0.0, 0.9, -5.0]))
    def new_key(self, ahead_s):
        created_at_s = self.simulation.now_s + ahead_s
        key = make_key(created_at_s, len(self.all_keys))
        self.keys = [*self.keys[-1:], key]
        self.all_keys.append(key)

    @rule(number=INSTANCES, fingerprint=FINGERPRINTS, time_left_s=DEADLINES_S)
    def request(self, number, fingerprint, time_left_s):
        for key in self.keys:
            self.simulation.request(self.running(number), key, fingerprint, time_left_s)

    @rule(time_left_s=DEADLINES_S)
    def request_everywhere(self, time_left_s):
        for instance in self.simulation.running_instances():
            self.simulation.request(instance, self.keys[-1], b"f", time_left_s)

    @rule(number=INSTANCES, fate=FATES)
    def append(self, number, fate):
        self.simulation.append(self.running(number), fate)

    @precondition(lambda self: self.simulation.delayed)
    @rule(index=st.integers(0, 2))
    def flush_delayed_append(self, index):
        self.simulation.flush_delayed_append(
            min(index, len(self.simulation.delayed) - 1)
        )

    @precondition(lambda self: self.simulation.stream.records)
    @rule(back=st.integers(0, 4))
    def repeat_record(self, back):
        self.simulation.repeat_record(
            max(0, len(self.simulation.stream.records) - 1 - back)
        )

    @precondition(lambda self: len(self.simulation.stream.records) > 8)
    @rule(kept=st.integers(0, 8))
    def expire_records(self, kept):
        self.simulation.expire_records(len(self.simulation.stream.records) - kept)

    @rule(number=INSTANCES, limit=st.integers(1, 4))
    def start_read(self, number, limit):
        self.simulation.start_read(self.running(number), limit)

    @rule(number=INSTANCES)
    def end_read(self, number):
        self.simulation.end_read(self.running(number))

    @rule(number=INSTANCES)
    def fail_read(self, number):
        self.simulation.fail_read(self.running(number))

    @rule(number=INSTANCES)
    def read_all(self, number):
        self.simulation.read_all(self.running(number))

    @rule(number=INSTANCES)
    def append_and_read(self, number):
        self.simulation.append(self.running(number), AppendFate.CONFIRMED)
        self.simulation.read_all(self.running(number))

    @rule(number=INSTANCES)
    def tick(self, number):
        self.simulation.tick(self.running(number))

    @rule(number=INSTANCES)
    def dispatch(self, number):
        self.simulation.dispatch_all(self.running(number))

    @rule(number=INSTANCES, time_left_s=DEADLINES_S)
    def serve(self, number, time_left_s):
        self.simulation.serve(self.running(number), self.keys[0], b"f", time_left_s)

    @rule(number=INSTANCES, end=ENDS)
    def finish(self, number, end):
        instance = self.running(number)
        for call in self.won_calls(instance):
            self.simulation.finish(instance, call, end)

    @rule(number=INSTANCES)
    def pause(self, number):
        self.simulation.pause(self.instance(number))

    @rule(number=INSTANCES)
    def resume(self, number):
        self.simulation.resume(self.instance(number))

    @rule(number=INSTANCES)
    def crash(self, number):
        self.simulation.crash(self.instance(number))

    @rule(number=INSTANCES, settlement=st.sampled_from(Settlement))
    def settle(self, number, settlement):
        for key in self.keys:
            self.simulation.settle(self.running(number), key, settlement)

    @rule(number=INSTANCES, time_left_s=DEADLINES_S)
    def win_claim(self, number, time_left_s):
        instance = self.running(number)
        self.simulation.request(instance, self.keys[0], b"f", time_left_s)
        self.simulation.append(instance, AppendFate.CONFIRMED)
        self.simulation.read_all(instance)

    @rule(number=INSTANCES)
    def settle_after_deadlines(self, number):
        self.simulation.now_s += 8
        self.read_all(number)
        self.settle(number, Settlement.NOT_RUN)
        self.append_and_read(number)

    @rule(number=INSTANCES)
    def replace_after_retention(self, number):
        self.simulation.expire_records(len(self.simulation.stream.records))
        self.simulation.crash(self.instance(number))
        self.read_all(number)

    @rule(number=INSTANCES)
    def settle_early(self, number):
        for key in self.keys:
            self.simulation.settle_early(self.running(number), key)

    @invariant()
    def no_ended_call_may_run(self):
        self.simulation.check_ended_calls()

    def teardown(self):
        self.simulation.recover_and_check(self.all_keys)


def test_no_history_runs_a_request_twice():
    run_state_machine_as_test(
        ClaimsStateMachine,
        settings=settings(
            max_examples=300,
            stateful_step_count=40,
            derandomize=True,
            deadline=None,
            phases=[Phase.generate, Phase.shrink],
            report_multiple_bugs=False,
            suppress_health_check=list(HealthCheck),
            database=None,
        ),
    )
