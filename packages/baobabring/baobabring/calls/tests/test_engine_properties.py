"""Properties of the state machine of calls under any order of events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.calls.tests.fakes import (
    ERROR_RESPONSE,
    OK,
    EngineHarness,
    FixedDelayHedge,
)
from baobabring.model import Answered, KeyRule, Lost, NotRun, Reason, Shed

OUTCOMES = (
    OK,
    ERROR_RESPONSE,
    Shed(report=None, reached_target=True),
    Shed(report=None, reached_target=False),
    Lost(Reason.CONNECTION_LOST),
)
TIME_LEFT_S = 1.0
STEPS = st.one_of(
    st.tuples(st.just("add"), st.sampled_from(["none", "optional", "keyed"])),
    st.tuples(st.just("end"), st.integers(0, 30), st.sampled_from(OUTCOMES)),
    st.tuples(st.just("disconnect"), st.integers(0, 30)),
    st.tuples(st.just("allow"), st.booleans()),
    st.tuples(st.just("advance"), st.floats(0.001, 0.4)),
)


class EngineSimulation:
    """Apply steps to an engine and track which attempts may have run."""

    def __init__(self) -> None:
        self.harness = EngineHarness(targets=2, hedge=FixedDelayHedge(0.1))
        self.call_count = 0
        self.running: list[tuple[str, int]] = []
        self.possible_runs: dict[str, int] = {}

    def apply_step(self, step: tuple) -> None:
        """Apply one step."""
        kind = step[0]
        if kind == "add":
            self._add_call(step[1])
        elif kind == "end" and self.running:
            self._end_attempt(self.running[step[1] % len(self.running)], step[2])
        elif kind == "disconnect" and self.call_count:
            self.harness.disconnect_caller(str(step[1] % self.call_count))
        elif kind == "allow":
            self.harness.allow_attempts(step[1])
        elif kind == "advance":
            self.harness.advance(step[1])
        self._process_commands()

    def _add_call(self, kind: str) -> None:
        rules = {
            "none": (KeyRule.NONE, None),
            "optional": (KeyRule.OPTIONAL, None),
            "keyed": (KeyRule.REQUIRED, f"key-{self.call_count}"),
        }
        key_rule, key = rules[kind]
        call_id = str(self.call_count)
        self.call_count += 1
        self.harness.add_call(call_id, key_rule, key, TIME_LEFT_S)

    def _end_attempt(self, running: tuple[str, int], outcome) -> None:
        call_id, attempt = running
        if isinstance(outcome, Answered | Lost):
            self._count_run(call_id)
        self.harness.end_attempt(call_id, attempt, outcome)
        if running in self.running:
            self.running.remove(running)

    def _count_run(self, call_id: str) -> None:
        self.possible_runs[call_id] = self.possible_runs.get(call_id, 0) + 1

    def _process_commands(self) -> None:
        for command in self.harness.started:
            self.running.append((command.call.call_id, command.attempt))
        self.harness.started.clear()
        for command in self.harness.cancelled:
            # A cancelled attempt may have run.
            self._count_run(command.call_id)
            self.running.remove((command.call_id, command.attempt))
        self.harness.cancelled.clear()


def run_steps(steps: list[tuple]) -> EngineSimulation:
    """Apply all steps, then advance past every deadline."""
    simulation = EngineSimulation()
    for step in steps:
        simulation.apply_step(step)
    simulation.apply_step(("advance", TIME_LEFT_S))
    return simulation


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(STEPS, max_size=60))
def test_every_call_ends_with_one_correct_outcome(steps):
    simulation = run_steps(steps)
    finished = simulation.harness.finished
    assert set(finished) == {str(number) for number in range(simulation.call_count)}
    assert simulation.harness.engine.calls_in_progress == 0
    for call_id, command in finished.items():
        if isinstance(command.outcome, NotRun):
            assert simulation.possible_runs.get(call_id, 0) == 0
        if not command.call.rule.idempotent:
            assert simulation.possible_runs.get(call_id, 0) <= 1


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(STEPS, max_size=60))
def test_all_slots_are_free_when_all_calls_have_ended(steps):
    simulation = run_steps(steps)
    entries = simulation.harness.balancer._entries.values()
    assert sum(entry.candidate.own_in_flight for entry in entries) == 0
