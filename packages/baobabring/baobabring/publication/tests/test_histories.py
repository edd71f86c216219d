"""Checks of whole histories of several instances under faults."""

import asyncio
from dataclasses import dataclass, field
from random import Random
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.configuration import (
    Accepted,
    ConfigurationFold,
    DeleteService,
    PutService,
    SetZoneState,
)
from baobabring.model import Service, Target, ZoneState
from baobabring.publication import (
    ConfigurationPublisher,
    ConfigurationReader,
    Unconfirmed,
    _publisher,
)
from baobabring.publication.tests.fake_log import FakeEventLog, Fault, ManualClock

INSTANCES = 3
RETENTION_S = 3_600.0
TIMEOUT_S = 60.0
TURNS_PER_STEP = 6
MAX_FINAL_ROUNDS = 100
FAULTS = (Fault.REFUSED, Fault.LOST_BEFORE, Fault.LOST_AFTER, Fault.LOST_THEN_LATE)

TARGET = Target("t1", "10.0.0.1:80", "sapporo", 2)
CHANGES = (
    PutService(Service("menu", "/menu", (), (TARGET,))),
    PutService(Service("fees", "/fees", (), ())),
    DeleteService("menu"),
    SetZoneState("sapporo", ZoneState.OUT),
    SetZoneState("sapporo", ZoneState.IN),
)

NUMBERS = st.integers(0, INSTANCES - 1)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("propose"), NUMBERS, st.sampled_from(CHANGES)),
        st.tuples(st.just("propose"), NUMBERS, st.sampled_from(CHANGES)),
        st.tuples(st.just("ahead"), NUMBERS, st.integers(1, 3)),
        st.tuples(st.just("read"), NUMBERS, st.none()),
        st.tuples(st.just("fault"), NUMBERS, st.sampled_from(FAULTS)),
        st.tuples(st.just("deliver"), NUMBERS, st.none()),
        st.tuples(st.just("outage"), NUMBERS, st.booleans()),
        st.tuples(st.just("snapshot"), NUMBERS, st.none()),
        st.tuples(st.just("expire"), NUMBERS, st.none()),
        st.tuples(st.just("restart"), NUMBERS, st.none()),
        st.tuples(st.just("peer"), NUMBERS, NUMBERS),
        st.tuples(st.just("resend"), NUMBERS, st.integers(0, 9)),
    ),
    max_size=40,
)


@dataclass(eq=False)
class Instance:
    """Hold one instance and the revisions that its listeners heard of."""

    reader: ConfigurationReader
    publisher: ConfigurationPublisher
    revisions: list[int] = field(default_factory=list)


@dataclass
class Proposal:
    """Hold one proposal of an operator and its running task."""

    change_id: str
    base_revision: int
    change: object
    instance: Instance
    task: asyncio.Task


class History:
    """Carry out steps and keep what must hold at their end."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.log = FakeEventLog(self.clock)
        self.instances = [self.start(seed) for seed in range(INSTANCES)]
        self.proposals: list[Proposal] = []

    def start(self, seed: int) -> Instance:
        reader = ConfigurationReader(self.log, self.clock, RETENTION_S, Random(seed))
        publisher = ConfigurationPublisher(self.log, reader, self.clock)
        instance = Instance(reader, publisher)
        reader.add_listener(lambda c: instance.revisions.append(c.revision))
        return instance

    def propose(self, number: int, change_id: str, base_revision: int, change) -> None:
        instance = self.instances[number]
        deadline_s = self.clock.now_s() + TIMEOUT_S
        task = asyncio.create_task(
            instance.publisher.propose(base_revision, change, deadline_s, change_id)
        )
        self.proposals.append(
            Proposal(change_id, base_revision, change, instance, task)
        )

    async def step(self, kind: str, number: int, detail) -> None:
        instance = self.instances[number]
        match kind:
            case "propose":
                revision = instance.reader.configuration.revision
                self.propose(number, f"c{len(self.proposals)}", revision, detail)
            case "ahead":
                revision = instance.reader.configuration.revision + detail
                change_id = f"c{len(self.proposals)}"
                self.propose(number, change_id, revision, CHANGES[1])
            case "resend" if detail < len(self.proposals):
                sent = self.proposals[detail]
                self.propose(number, sent.change_id, sent.base_revision, sent.change)
            case "read":
                await instance.reader.read_once()
            case "fault":
                self.log.faults.append(detail)
            case "deliver":
                self.log.deliver_late()
            case "outage":
                self.log.readable = detail
            case "snapshot" if not instance.reader.fold.needs_snapshot:
                self.log.put(instance.reader.fold.snapshot_payload())
            case "expire":
                self.log.expire((self.log.earliest_offset + len(self.log.records)) // 2)
            case "restart":
                self.instances[number] = self.start(number)
            case "peer":
                payload = self.instances[detail].reader.fold.snapshot_payload()
                instance.reader.load_from_peer(payload)
        for _ in range(TURNS_PER_STEP):
            await asyncio.sleep(0)

    async def finish(self) -> None:
        self.log.readable = True
        self.log.faults.clear()
        self.log.deliver_late()
        for _ in range(MAX_FINAL_ROUNDS):
            # Stands for an instance that never missed a record.
            self.log.put(self.judge().snapshot_payload())
            for instance in self.instances:
                await instance.reader.read_once()
            for _ in range(TURNS_PER_STEP):
                await asyncio.sleep(0)
            if all(proposal.task.done() for proposal in self.live_proposals()):
                return
        raise AssertionError("a proposal has no outcome")

    def live_proposals(self) -> list[Proposal]:
        # Those of an instance that was replaced have nobody to answer them.
        return [
            proposal
            for proposal in self.proposals
            if proposal.task.done() or proposal.instance in self.instances
        ]

    def judge(self) -> ConfigurationFold:
        fold = ConfigurationFold()
        for record in self.log.records:
            fold.apply(record)
        return fold

    def check(self) -> None:
        judge = self.judge()
        for proposal in self.live_proposals():
            outcome = proposal.task.result()
            verdict = judge.verdict(proposal.change_id)
            if isinstance(outcome, Accepted):
                assert verdict == outcome
            elif not isinstance(outcome, Unconfirmed):
                assert not isinstance(verdict, Accepted)
        for instance in self.instances:
            assert instance.reader.configuration == judge.configuration
            assert instance.revisions == sorted(set(instance.revisions))


async def run_history(steps: list) -> None:
    history = History()
    for kind, number, detail in steps:
        await history.step(kind, number, detail)
    await history.finish()
    history.check()
    for proposal in history.proposals:
        proposal.task.cancel()


@settings(derandomize=True, max_examples=150, deadline=None)
@given(STEPS)
def test_answers_and_configurations_agree_with_the_log(steps):
    with patch.object(_publisher, "APPEND_RETRY_MIN_S", 0.0):
        asyncio.run(run_history(steps))
