"""Property test of several instances that publish and read under faults."""

import asyncio
from dataclasses import dataclass, field
from random import Random
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.configuration import (
    Accepted,
    ConfigurationReplica,
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
LOOP_ITERATIONS_PER_STEP = 6
MAX_RECOVERY_ROUNDS = 100
FAULTS = (Fault.REFUSED, Fault.REQUEST_LOST, Fault.REPLY_LOST, Fault.STORED_LATE)

TARGET = Target("t1", "10.0.0.1:80", "sapporo", 2)
CHANGES = (
    PutService(Service("menu", "/menu", (), (TARGET,))),
    PutService(Service("fees", "/fees", (), ())),
    DeleteService("menu"),
    SetZoneState("sapporo", ZoneState.OUT),
    SetZoneState("sapporo", ZoneState.IN),
)

INSTANCE_INDEXES = st.integers(0, INSTANCES - 1)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("propose"), INSTANCE_INDEXES, st.sampled_from(CHANGES)),
        st.tuples(st.just("propose"), INSTANCE_INDEXES, st.sampled_from(CHANGES)),
        st.tuples(st.just("ahead"), INSTANCE_INDEXES, st.integers(1, 3)),
        st.tuples(st.just("read"), INSTANCE_INDEXES, st.none()),
        st.tuples(st.just("fault"), INSTANCE_INDEXES, st.sampled_from(FAULTS)),
        st.tuples(st.just("deliver"), INSTANCE_INDEXES, st.none()),
        st.tuples(st.just("outage"), INSTANCE_INDEXES, st.booleans()),
        st.tuples(st.just("snapshot"), INSTANCE_INDEXES, st.none()),
        st.tuples(st.just("expire"), INSTANCE_INDEXES, st.none()),
        st.tuples(st.just("restart"), INSTANCE_INDEXES, st.none()),
        st.tuples(st.just("peer"), INSTANCE_INDEXES, INSTANCE_INDEXES),
        st.tuples(st.just("resend"), INSTANCE_INDEXES, st.integers(0, 9)),
    ),
    max_size=40,
)


@dataclass(eq=False)
class InstanceHarness:
    """Represent one instance and the revisions reported to its listener."""

    reader: ConfigurationReader
    publisher: ConfigurationPublisher
    revisions: list[int] = field(default_factory=list)


@dataclass
class Proposal:
    """Represent one proposal of an operator and its running task."""

    change_id: str
    base_revision: int
    change: object
    instance: InstanceHarness
    task: asyncio.Task


class FleetSimulation:
    """Run the steps of a history and check the outcomes at its end."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.log = FakeEventLog(self.clock)
        self.instances = [self.create_instance(seed) for seed in range(INSTANCES)]
        self.proposals: list[Proposal] = []

    def create_instance(self, seed: int) -> InstanceHarness:
        reader = ConfigurationReader(self.log, self.clock, RETENTION_S, Random(seed))
        publisher = ConfigurationPublisher(self.log, reader, self.clock)
        instance = InstanceHarness(reader, publisher)
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

    async def run_step(self, kind: str, number: int, detail) -> None:
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
                self.log.flush_delayed_appends()
            case "outage":
                self.log.readable = detail
            case "snapshot" if not instance.reader.replica.needs_snapshot:
                self.log.append_payload(
                    instance.reader.replica.create_snapshot_payload()
                )
            case "expire":
                self.log.expire_before(
                    (self.log.earliest_offset + len(self.log.records)) // 2
                )
            case "restart":
                self.instances[number] = self.create_instance(number)
            case "peer":
                payload = self.instances[
                    detail
                ].reader.replica.create_snapshot_payload()
                instance.reader.load_from_peer(payload)
        for _ in range(LOOP_ITERATIONS_PER_STEP):
            await asyncio.sleep(0)

    async def recover(self) -> None:
        self.log.readable = True
        self.log.faults.clear()
        self.log.flush_delayed_appends()
        for _ in range(MAX_RECOVERY_ROUNDS):
            # Simulates an instance that has read every record and writes a snapshot.
            self.log.append_payload(
                self.build_reference_replica().create_snapshot_payload()
            )
            for instance in self.instances:
                await instance.reader.read_once()
            for _ in range(LOOP_ITERATIONS_PER_STEP):
                await asyncio.sleep(0)
            if all(
                proposal.task.done() for proposal in self.get_answerable_proposals()
            ):
                return
        raise AssertionError("a proposal has no outcome after the last round")

    def get_answerable_proposals(self) -> list[Proposal]:
        # A proposal at an instance that was restarted may never end.
        return [
            proposal
            for proposal in self.proposals
            if proposal.task.done() or proposal.instance in self.instances
        ]

    def build_reference_replica(self) -> ConfigurationReplica:
        replica = ConfigurationReplica()
        for record in self.log.records:
            replica.apply(record)
        return replica

    def check_outcomes(self) -> None:
        reference = self.build_reference_replica()
        for proposal in self.get_answerable_proposals():
            outcome = proposal.task.result()
            verdict = reference.get_verdict(proposal.change_id)
            if isinstance(outcome, Accepted):
                assert verdict == outcome
            elif not isinstance(outcome, Unconfirmed):
                assert not isinstance(verdict, Accepted)
        for instance in self.instances:
            assert instance.reader.configuration == reference.configuration
            assert instance.revisions == sorted(set(instance.revisions))


async def run_simulation(steps: list) -> None:
    simulation = FleetSimulation()
    for kind, number, detail in steps:
        await simulation.run_step(kind, number, detail)
    await simulation.recover()
    simulation.check_outcomes()
    for proposal in simulation.proposals:
        proposal.task.cancel()


@settings(derandomize=True, max_examples=150, deadline=None)
@given(STEPS)
def test_outcomes_and_configurations_agree_with_the_log(steps):
    with patch.object(_publisher, "MIN_APPEND_RETRY_DELAY_S", 0.0):
        asyncio.run(run_simulation(steps))
