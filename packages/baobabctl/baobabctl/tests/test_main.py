"""Tests of the command line against a server on loopback."""

import json

import pytest
from baobabapi import operators_pb2 as pb

from baobabctl._exit_codes import ExitCode
from baobabctl.tests.conftest import run_command

ACCEPTED = pb.ChangeReply(accepted=pb.Accepted(revision=8))
SERVICE = {
    "service_id": "orders",
    "path_prefix": "/orders",
    "cold_limit": 1,
    "rules": [
        {
            "method": "POST",
            "path_pattern": "/orders/*",
            "key_rule": "required",
            "deadline_limit_ms": 5000,
            "request_class": "order",
            "priority": 1,
        }
    ],
    "targets": [
        {
            "target_id": "01",
            "address": "10.0.0.1:80",
            "zone": "sapporo",
            "slots": 2,
            "state": "draining",
        }
    ],
}
SERVICE_MESSAGE = pb.Service(
    service_id="orders",
    path_prefix="/orders",
    cold_limit=1,
    rules=[
        pb.Rule(
            method="POST",
            path_pattern="/orders/*",
            key_rule=pb.KEY_RULE_REQUIRED,
            deadline_limit_ms=5_000,
            request_class="order",
            priority=1,
        )
    ],
    targets=[
        pb.Target(
            target_id="01",
            address="10.0.0.1:80",
            zone="sapporo",
            slots=2,
            state=pb.TARGET_STATE_DRAINING,
        )
    ],
)
SERVICES = pb.ListServicesReply(
    revision=7,
    services=[SERVICE_MESSAGE],
    zones=[
        pb.Zone(zone="asahikawa", state=pb.ZONE_STATE_OUT),
        pb.Zone(zone="sapporo", state=pb.ZONE_STATE_IN),
    ],
)


@pytest.fixture
def service_file(tmp_path):
    path = tmp_path / "service.json"
    path.write_text(json.dumps(SERVICE))
    return str(path)


def test_a_service_file_is_sent_with_the_current_revision(server, service_file):
    server.services.revision = 7
    server.change_reply = ACCEPTED
    completed = run_command("--server", server.address, "service", "put", service_file)
    assert completed.code == ExitCode.ACCEPTED
    assert completed.stdout == "accepted revision=8\n"
    (request,) = server.requests
    assert request.service == SERVICE_MESSAGE
    assert request.base_revision == 7
    assert request.change_id


@pytest.mark.parametrize(
    ("command", "expected"),
    [
        ("service delete orders", pb.DeleteServiceRequest(service_id="orders")),
        (
            "target put orders 01 10.0.0.1:80 sapporo 2",
            pb.PutTargetRequest(
                service_id="orders",
                target=pb.Target(
                    target_id="01",
                    address="10.0.0.1:80",
                    zone="sapporo",
                    slots=2,
                    state=pb.TARGET_STATE_ACTIVE,
                ),
            ),
        ),
        (
            "target remove orders 01",
            pb.RemoveTargetRequest(service_id="orders", target_id="01"),
        ),
        (
            "target drain orders 01",
            pb.SetTargetStateRequest(
                service_id="orders", target_id="01", state=pb.TARGET_STATE_DRAINING
            ),
        ),
        (
            "target activate orders 01",
            pb.SetTargetStateRequest(
                service_id="orders", target_id="01", state=pb.TARGET_STATE_ACTIVE
            ),
        ),
        (
            "zone out sapporo --yes",
            pb.SetZoneStateRequest(zone="sapporo", state=pb.ZONE_STATE_OUT),
        ),
        (
            "zone in sapporo --yes",
            pb.SetZoneStateRequest(zone="sapporo", state=pb.ZONE_STATE_IN),
        ),
    ],
)
def test_each_change_is_sent(server, command, expected):
    server.change_reply = ACCEPTED
    expected.base_revision = 4
    expected.change_id = "c1"
    flags = ["--base_revision", "4", "--change_id", "c1", "--server", server.address]
    completed = run_command(*flags, *command.split())
    assert completed.code == ExitCode.ACCEPTED
    assert server.requests == [expected]


@pytest.mark.parametrize(
    ("reply", "code", "text"),
    [
        (
            pb.ChangeReply(conflict=pb.Conflict(current_revision=9)),
            ExitCode.CONFLICT,
            "conflict base_revision=4 current_revision=9",
        ),
        (
            pb.ChangeReply(
                invalid=pb.Invalid(
                    findings=[
                        pb.Finding(place="service.path_prefix", problem="is taken"),
                        pb.Finding(place="service.rules[2].method", problem="is wrong"),
                    ]
                )
            ),
            ExitCode.INVALID,
            "service.path_prefix: is taken\nservice.rules[2].method: is wrong",
        ),
        (
            pb.ChangeReply(unconfirmed=pb.Unconfirmed(change_id="c1", reason="slow")),
            ExitCode.UNCONFIRMED,
            "unconfirmed reason=slow base_revision=4 change_id=c1",
        ),
    ],
)
def test_each_outcome_has_its_exit_code(server, reply, code, text):
    server.change_reply = reply
    completed = run_command(
        *("--server", server.address, "--base_revision", "4"),
        *("service", "delete", "orders"),
    )
    assert completed.code == code
    assert text in completed.stderr


def test_all_findings_of_a_file_are_printed(server, tmp_path):
    rule = {"method": 1, "key_rule": "always", "priority": -1, "patern": "/"}
    path = tmp_path / "service.json"
    path.write_text(json.dumps({"rules": [rule], "targets": {}, "cold_limit": True}))
    completed = run_command("--server", server.address, "service", "put", str(path))
    assert completed.code == ExitCode.INVALID
    assert [line.split(": ")[0] for line in completed.stderr.splitlines()] == [
        "service.rules[0].method",
        "service.rules[0].key_rule",
        "service.rules[0].priority",
        "service.rules[0].patern",
        "service.targets",
        "service.cold_limit",
    ]
    assert server.requests == []


@pytest.mark.parametrize("content", ["", "{", "[]", '{"service_id": "\\ud800"}'])
def test_a_file_without_a_service_is_invalid(server, tmp_path, content):
    path = tmp_path / "service.json"
    path.write_text(content)
    completed = run_command("--server", server.address, "service", "put", str(path))
    assert completed.code == ExitCode.INVALID
    assert completed.stderr


def test_a_zone_is_not_taken_out_without_confirmation(server):
    command = ("--server", server.address, "zone", "out", "sapporo")
    completed = run_command(*command, stdin="n\n")
    assert completed.code == ExitCode.INVALID
    assert server.requests == []
    server.change_reply = ACCEPTED
    assert run_command(*command, stdin="y\n").code == ExitCode.ACCEPTED


def test_servers_are_tried_in_order(start_server):
    down, up = "127.0.0.1:9", start_server()
    up.change_reply = ACCEPTED
    completed = run_command(
        *("--server", down, "--server", up.address, "--timeout_s", "1"),
        *("service", "delete", "orders"),
    )
    assert completed.code == ExitCode.ACCEPTED


def test_a_change_goes_to_the_next_server_under_the_same_id(start_server):
    first, second = start_server(), start_server()
    first.aborts_changes = True
    second.change_reply = ACCEPTED
    completed = run_command(
        *("--server", first.address, "--server", second.address),
        *("service", "delete", "orders"),
    )
    assert completed.code == ExitCode.ACCEPTED
    assert first.requests == second.requests


def test_a_lost_reply_leaves_the_change_unconfirmed(server):
    server.aborts_changes = True
    completed = run_command("--server", server.address, "service", "delete", "orders")
    assert completed.code == ExitCode.UNCONFIRMED
    assert f"--change_id {server.requests[0].change_id}" in completed.stderr


def test_no_reachable_server_gives_the_unreachable_exit_code():
    completed = run_command(
        *("--server", "127.0.0.1:9", "--timeout_s", "0.2"), "instance", "list"
    )
    assert completed.code == ExitCode.UNREACHABLE


@pytest.mark.parametrize(
    ("reply", "code"),
    [
        (pb.SettleOutcomeReply(settled=pb.Settled()), ExitCode.ACCEPTED),
        (
            pb.SettleOutcomeReply(not_settleable=pb.NotSettleable(reason="known")),
            ExitCode.CONFLICT,
        ),
        (
            pb.SettleOutcomeReply(unconfirmed=pb.Unconfirmed(reason="slow")),
            ExitCode.UNCONFIRMED,
        ),
    ],
)
def test_each_outcome_of_a_settlement_has_its_exit_code(server, reply, code):
    server.settle_reply = reply
    completed = run_command(
        "--server", server.address, *["outcome", "settle", "orders", "k1", "ran"]
    )
    assert completed.code == code
    assert server.requests[0].settlement == pb.SETTLEMENT_RAN


@pytest.mark.parametrize(
    ("command", "text"),
    [
        ("", "a subcommand must be given; see --help"),
        ("service lst", "unknown subcommand 'service lst'; did you mean"),
        ("zone uot sapporo", "did you mean 'zone out'?"),
        ("service delete", "usage: baobabctl service delete SERVICE; got 0 values"),
        ("instance list --timeout_s 0", "--timeout_s must be positive, got 0.0"),
        ("instance list --timeout_s nan", "--timeout_s must be positive, got nan"),
        ("instance list --ca x", "TLS also needs --cert and --key"),
        ("instance list --frmat json", "Unknown command line flag 'frmat'"),
        ("service delete \udcff", "SERVICE must be Unicode text, got '\\udcff'"),
        ("outcome settle orders k1 maybe", "SETTLEMENT must be ran or not_run"),
        ("target put orders 01 10.0.0.1:80 sapporo x", "SLOTS must be a whole number"),
    ],
)
def test_invalid_usage_is_reported(command, text):
    completed = run_command(*command.split())
    assert completed.code == ExitCode.INVALID
    assert text in completed.stderr


def test_help_includes_the_exit_codes():
    completed = run_command("--help")
    assert completed.code == ExitCode.ACCEPTED
    assert "unconfirmed" in completed.stdout


def test_services_as_a_table(server, snapshot):
    server.services = SERVICES
    completed = run_command("--server", server.address, "service", "list")
    assert completed.stdout == snapshot


def test_instances_as_a_table(server, snapshot):
    server.instances = pb.ListInstancesReply(
        instances=[
            pb.Instance(
                instance_id="i1",
                zone="sapporo",
                state="live",
                revision=7,
                heartbeat_age_ms=120,
                confirmed_age_ms=480,
            ),
            pb.Instance(instance_id="i2", zone="hakodate", state="silent"),
        ]
    )
    completed = run_command("--server", server.address, "instance", "list")
    assert completed.stdout == snapshot


def test_outcomes_as_a_table(server, snapshot):
    server.outcomes = pb.ListUnknownOutcomesReply(
        outcomes=[
            pb.UnknownOutcome(
                service_id="orders",
                key="0190163d-8694-739b-aea5-966c26f8ad91",
                method="POST",
                path="/orders/1",
                tenant="school",
                instance_id="i1",
                claimed_at_unix_ms=1_700_000_000_250,
            )
        ]
    )
    completed = run_command("--server", server.address, "outcome", "list")
    assert completed.stdout == snapshot


def test_a_listed_service_can_be_put_again(server, tmp_path):
    server.services = SERVICES
    flags = ("--server", server.address, "--format", "json")
    listed = json.loads(run_command(*flags, "service", "list").stdout)
    assert listed["services"] == [SERVICE]
