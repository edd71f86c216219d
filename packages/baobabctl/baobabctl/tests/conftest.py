"""Fake server and a function that runs command lines."""

import io
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any

import grpc
import pytest
from baobabapi import operators_pb2 as pb
from baobabapi import operators_pb2_grpc as pb_grpc

from baobabctl._exit_codes import ExitCode
from baobabctl._session import Terminal
from baobabctl.main import execute

CHANGE_METHODS = (
    "PutService",
    "DeleteService",
    "PutTarget",
    "RemoveTarget",
    "SetTargetState",
    "SetZoneState",
)


@dataclass
class CommandResult:
    """Represent the exit code and the output of a command line."""

    code: ExitCode
    stdout: str
    stderr: str


@dataclass
class FakeServer(pb_grpc.OperatorsServicer):
    """Return the replies that a test sets, and store the requests."""

    change_reply: pb.ChangeReply = field(default_factory=pb.ChangeReply)
    settle_reply: pb.SettleOutcomeReply = field(default_factory=pb.SettleOutcomeReply)
    services: pb.ListServicesReply = field(default_factory=pb.ListServicesReply)
    instances: pb.ListInstancesReply = field(default_factory=pb.ListInstancesReply)
    outcomes: pb.ListUnknownOutcomesReply = field(
        default_factory=pb.ListUnknownOutcomesReply
    )
    requests: list[Any] = field(default_factory=list)
    aborts_changes: bool = False
    address: str = ""

    def change(self, request, context):
        self.requests.append(request)
        if self.aborts_changes:
            context.abort(grpc.StatusCode.UNAVAILABLE, "going away")
        return self.change_reply

    def ListServices(self, request, context):  # noqa: N802
        return self.services

    def ListInstances(self, request, context):  # noqa: N802
        return self.instances

    def ListUnknownOutcomes(self, request, context):  # noqa: N802
        return self.outcomes

    def SettleOutcome(self, request, context):  # noqa: N802
        self.requests.append(request)
        return self.settle_reply


for name in CHANGE_METHODS:
    setattr(FakeServer, name, FakeServer.change)


@pytest.fixture
def start_server():
    """Return a function that starts another server."""
    running = []

    def start() -> FakeServer:
        servicer = FakeServer()
        server = grpc.server(ThreadPoolExecutor(max_workers=2))
        pb_grpc.add_OperatorsServicer_to_server(servicer, server)
        servicer.address = f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}"
        server.start()
        running.append(server)
        return servicer

    yield start
    for server in running:
        server.stop(grace=None).wait()


@pytest.fixture
def server(start_server) -> FakeServer:
    return start_server()


def run_command(*argv: str, stdin: str = "") -> CommandResult:
    """Run one command line."""
    terminal = Terminal(io.StringIO(stdin), io.StringIO(), io.StringIO())
    code = execute(list(argv), terminal)
    return CommandResult(code, terminal.stdout.getvalue(), terminal.stderr.getvalue())
