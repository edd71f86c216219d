"""Properties of the state machine of calls under any order of events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.calls.tests.fakes import FAILED, OK, Bench, HedgeAt
from baobabring.model import Answered, KeyRule, Lost, NotRun, Reason, Shed

OUTCOMES = (
    OK,
    FAILED,
    Shed(report=None, reached_target=True),
    Shed(report=None, reached_target=False),
    Lost(Reason.CONNECTION_LOST),
)
LASTS_S = 1.0
STEPS = st.one_of(
    st.tuples(st.just("arrive"), st.sampled_from(["none", "optional", "keyed"])),
    st.tuples(st.just("end"), st.integers(0, 30), st.sampled_from(OUTCOMES)),
    st.tuples(st.just("leave"), st.integers(0, 30)),
    st.tuples(st.just("allow"), st.booleans()),
    st.tuples(st.just("step"), st.floats(0.001, 0.4)),
)


class World:
    """Play steps against an engine and note what attempts did."""

    def __init__(self) -> None:
        self.bench = Bench(targets=2, hedge=HedgeAt(0.1))
        self.call_count = 0
        self.running: list[tuple[str, int]] = []
        self.may_have_run: dict[str, int] = {}

    def play(self, step: tuple) -> None:
        """Play one step."""
        kind = step[0]
        if kind == "arrive":
            self._arrive(step[1])
        elif kind == "end" and self.running:
            self._end(self.running[step[1] % len(self.running)], step[2])
        elif kind == "leave" and self.call_count:
            self.bench.leave(str(step[1] % self.call_count))
        elif kind == "allow":
            self.bench.allow_work(step[1])
        elif kind == "step":
            self.bench.step(step[1])
        self._follow()

    def _arrive(self, kind: str) -> None:
        rules = {
            "none": (KeyRule.NONE, None),
            "optional": (KeyRule.OPTIONAL, None),
            "keyed": (KeyRule.REQUIRED, f"key-{self.call_count}"),
        }
        key_rule, key = rules[kind]
        call_id = str(self.call_count)
        self.call_count += 1
        self.bench.arrive(call_id, key_rule, key, LASTS_S)

    def _end(self, running: tuple[str, int], outcome) -> None:
        call_id, attempt = running
        if isinstance(outcome, Answered | Lost):
            self._note_run(call_id)
        self.bench.end(call_id, attempt, outcome)
        if running in self.running:
            self.running.remove(running)

    def _note_run(self, call_id: str) -> None:
        self.may_have_run[call_id] = self.may_have_run.get(call_id, 0) + 1

    def _follow(self) -> None:
        for command in self.bench.started:
            self.running.append((command.call.call_id, command.attempt))
        self.bench.started.clear()
        for command in self.bench.cancelled:
            # What was cancelled in flight may have run.
            self._note_run(command.call_id)
            self.running.remove((command.call_id, command.attempt))
        self.bench.cancelled.clear()


def play(steps: list[tuple]) -> World:
    """Play all steps, then let every deadline pass."""
    world = World()
    for step in steps:
        world.play(step)
    world.play(("step", LASTS_S))
    return world


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(STEPS, max_size=60))
def test_every_call_ends_in_one_true_outcome(steps):
    world = play(steps)
    answers = world.bench.answers
    assert set(answers) == {str(number) for number in range(world.call_count)}
    assert world.bench.engine.calls_in_progress == 0
    for call_id, answer in answers.items():
        if isinstance(answer.outcome, NotRun):
            assert world.may_have_run.get(call_id, 0) == 0
        if not answer.call.rule.idempotent:
            assert world.may_have_run.get(call_id, 0) <= 1


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(STEPS, max_size=60))
def test_no_slot_stays_taken_when_all_calls_have_ended(steps):
    world = play(steps)
    entries = world.bench.balancer._entries.values()
    assert sum(entry.candidate.own_in_flight for entry in entries) == 0
