"""Tests of the operators' gRPC service over a loopback connection."""

from contextlib import asynccontextmanager

import grpc
import pytest
from baobabapi import operators_pb2 as pb
from baobabapi import operators_pb2_grpc as pb_grpc

from baobabring.claims import Settlement, UnknownOutcome
from baobabring.configuration import (
    Accepted,
    Conflict,
    DeleteService,
    Finding,
    PutService,
    PutTarget,
    Rejected,
    RemoveTarget,
    SetTargetState,
    SetZoneState,
)
from baobabring.model import (
    Configuration,
    KeyRule,
    Rule,
    Service,
    Target,
    TargetState,
    ZoneState,
)
from baobabring.operators import (
    InstanceStatus,
    NotSettleable,
    ReportedState,
    Settled,
    bind_operators_server,
)
from baobabring.operators.tests.fakes import FakeControlPlane
from baobabring.publication import Unconfirmed

TIMEOUT_S = 20.0

RULE = Rule("POST", "/orders/*", KeyRule.REQUIRED, 5_000, "order", 1)
TARGET = Target("t1", "10.0.0.1:80", "sapporo", 2, TargetState.DRAINING)
SERVICE = Service("orders", "/orders", (RULE,), (TARGET,), cold_limit=2)

RULE_MESSAGE = pb.Rule(
    method="POST",
    path_pattern="/orders/*",
    key_rule=pb.KEY_RULE_REQUIRED,
    deadline_limit_ms=5_000,
    request_class="order",
    priority=1,
)
TARGET_MESSAGE = pb.Target(
    target_id="t1",
    address="10.0.0.1:80",
    zone="sapporo",
    slots=2,
    state=pb.TARGET_STATE_DRAINING,
)
SERVICE_MESSAGE = pb.Service(
    service_id="orders",
    path_prefix="/orders",
    rules=[RULE_MESSAGE],
    targets=[TARGET_MESSAGE],
    cold_limit=2,
)


@asynccontextmanager
async def run_server(control_plane):
    """Serve a control plane and yield a stub for it."""
    bound = bind_operators_server(control_plane, "127.0.0.1:0", None)
    await bound.server.start()
    options = [("grpc.enable_http_proxy", 0)]
    try:
        address = f"127.0.0.1:{bound.port}"
        async with grpc.aio.insecure_channel(address, options=options) as channel:
            yield pb_grpc.OperatorsStub(channel)
    finally:
        await bound.server.stop(grace=None)


async def send_request(control_plane, method: str, request):
    async with run_server(control_plane) as stub:
        return await getattr(stub, method)(request, timeout=TIMEOUT_S)


@pytest.mark.parametrize(
    ("method", "request_message", "change"),
    [
        (
            "PutService",
            pb.PutServiceRequest(service=SERVICE_MESSAGE),
            PutService(SERVICE),
        ),
        (
            "DeleteService",
            pb.DeleteServiceRequest(service_id="orders"),
            DeleteService("orders"),
        ),
        (
            "PutTarget",
            pb.PutTargetRequest(service_id="orders", target=TARGET_MESSAGE),
            PutTarget("orders", TARGET),
        ),
        (
            "RemoveTarget",
            pb.RemoveTargetRequest(service_id="orders", target_id="t1"),
            RemoveTarget("orders", "t1"),
        ),
        (
            "SetTargetState",
            pb.SetTargetStateRequest(
                service_id="orders", target_id="t1", state=pb.TARGET_STATE_ACTIVE
            ),
            SetTargetState("orders", "t1", TargetState.ACTIVE),
        ),
        (
            "SetZoneState",
            pb.SetZoneStateRequest(zone="sapporo", state=pb.ZONE_STATE_OUT),
            SetZoneState("sapporo", ZoneState.OUT),
        ),
    ],
)
async def test_each_change_reaches_the_control_plane(method, request_message, change):
    control_plane = FakeControlPlane()
    request_message.base_revision = 7
    request_message.change_id = "c1"
    reply = await send_request(control_plane, method, request_message)
    assert reply.accepted.revision == 1
    (proposal,) = control_plane.proposals
    assert proposal.change == change
    assert proposal.base_revision == 7
    assert proposal.change_id == "c1"


@pytest.mark.parametrize(
    ("outcome", "reply"),
    [
        (Accepted(3), pb.ChangeReply(accepted=pb.Accepted(revision=3))),
        (Conflict(4), pb.ChangeReply(conflict=pb.Conflict(current_revision=4))),
        (
            Rejected((Finding("zone", "bad"),)),
            pb.ChangeReply(
                invalid=pb.Invalid(findings=[pb.Finding(place="zone", problem="bad")])
            ),
        ),
        (
            Unconfirmed("c1", "slow"),
            pb.ChangeReply(
                unconfirmed=pb.Unconfirmed(change_id="c1", reason="slow"),
            ),
        ),
    ],
)
async def test_each_outcome_reaches_the_operator(outcome, reply):
    control_plane = FakeControlPlane(outcome=outcome)
    request = pb.DeleteServiceRequest(service_id="orders")
    assert await send_request(control_plane, "DeleteService", request) == reply


async def test_findings_of_parsing_come_with_those_of_validation():
    request = pb.PutServiceRequest(
        change_id="x" * 65,
        service=pb.Service(
            service_id="orders",
            path_prefix="orders",
            rules=[pb.Rule(method="GET", path_pattern="*", request_class="menu")],
            targets=[pb.Target(target_id="t1", address="10.0.0.1:80", state=9)],
        ),
    )
    control_plane = FakeControlPlane()
    reply = await send_request(control_plane, "PutService", request)
    assert [finding.place for finding in reply.invalid.findings] == [
        "change_id",
        "service.rules[0].key_rule",
        "service.targets[0].state",
        "service.path_prefix",
        "service.rules[0].deadline_limit_ms",
        "service.targets[0].zone",
        "service.targets[0].slots",
    ]
    assert control_plane.proposals == []


async def test_a_target_without_a_state_is_active():
    control_plane = FakeControlPlane()
    target = pb.Target(target_id="t1", address="10.0.0.1:80", zone="sapporo", slots=2)
    request = pb.PutTargetRequest(service_id="orders", target=target)
    await send_request(control_plane, "PutTarget", request)
    assert control_plane.proposals[0].change.target.state is TargetState.ACTIVE


async def test_services_are_listed_with_all_zones():
    control_plane = FakeControlPlane(
        current_configuration=Configuration(
            9, {"orders": SERVICE}, frozenset({"hakodate"})
        )
    )
    reply = await send_request(control_plane, "ListServices", pb.ListServicesRequest())
    assert reply == pb.ListServicesReply(
        revision=9,
        services=[SERVICE_MESSAGE],
        zones=[
            pb.Zone(zone="hakodate", state=pb.ZONE_STATE_OUT),
            pb.Zone(zone="sapporo", state=pb.ZONE_STATE_IN),
        ],
    )


async def test_instances_are_listed_in_order():
    control_plane = FakeControlPlane(
        statuses=(
            InstanceStatus("i2", "sapporo", ReportedState.SILENT, 1, 9_000, 2**40),
            InstanceStatus("i1", "sapporo", ReportedState.LIVE, 2, 10, 20),
        )
    )
    reply = await send_request(
        control_plane, "ListInstances", pb.ListInstancesRequest()
    )
    assert [i.instance_id for i in reply.instances] == ["i1", "i2"]
    assert reply.instances[1].state == "silent"
    assert reply.instances[1].confirmed_age_ms == 2**32 - 1


async def test_unknown_outcomes_are_listed_oldest_first():
    def outcome(key: str, claimed_at_s: float) -> UnknownOutcome:
        return UnknownOutcome(
            "orders", key, "POST", "/orders/1", "school", "i1", claimed_at_s
        )

    control_plane = FakeControlPlane(unknown=(outcome("k2", 5.5), outcome("k1", 1.25)))
    request = pb.ListUnknownOutcomesRequest()
    reply = await send_request(control_plane, "ListUnknownOutcomes", request)
    assert [(o.key, o.claimed_at_unix_ms) for o in reply.outcomes] == [
        ("k1", 1_250),
        ("k2", 5_500),
    ]


@pytest.mark.parametrize(
    ("outcome", "name"),
    [
        (Settled(), "settled"),
        (NotSettleable("no such key"), "not_settleable"),
        (Unconfirmed("", "slow"), "unconfirmed"),
    ],
)
async def test_a_settlement_reaches_the_control_plane(outcome, name):
    control_plane = FakeControlPlane(settlement_outcome=outcome)
    request = pb.SettleOutcomeRequest(
        service_id="orders", key="k1", settlement=pb.SETTLEMENT_NOT_RUN
    )
    reply = await send_request(control_plane, "SettleOutcome", request)
    assert reply.WhichOneof("outcome") == name
    assert control_plane.settlements == [Settlement.NOT_RUN]


async def test_a_settlement_without_its_fields_is_invalid():
    control_plane = FakeControlPlane()
    reply = await send_request(
        control_plane, "SettleOutcome", pb.SettleOutcomeRequest()
    )
    places = [finding.place for finding in reply.invalid.findings]
    assert places == ["service_id", "key", "settlement"]
    assert control_plane.settlements == []


async def test_deadline_follows_the_client_timeout_up_to_a_maximum():
    control_plane = FakeControlPlane()
    async with run_server(control_plane) as stub:
        request = pb.DeleteServiceRequest(service_id="orders")
        await stub.DeleteService(request, timeout=20.0)
        await stub.DeleteService(request, timeout=2_000.0)
    first, second = control_plane.proposals
    assert 10.0 < second.deadline_s - first.deadline_s < 60.0


async def test_two_servers_do_not_share_an_address():
    first = bind_operators_server(FakeControlPlane(), "127.0.0.1:0", None)
    with pytest.raises(RuntimeError):
        bind_operators_server(FakeControlPlane(), f"127.0.0.1:{first.port}", None)
    await first.server.stop(grace=None)
