"""Tests of baobabctl against a server that publishes to an in-memory log."""

import asyncio
import io
import json
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

from baobabctl._session import Terminal
from baobabctl.main import execute

from baobabring.model import TargetState
from baobabring.operators import bind_operators_server, read_certificates
from baobabring.operators.tests.fakes import FakeControlPlane
from baobabring.publication import ConfigurationPublisher, ConfigurationReader
from baobabring.publication.tests.fake_log import FakeEventLog, Fault
from baobabring.utils import Clock

FOLDER = Path(__file__).parent / "certificates"
TLS_FLAGS = (
    f"--ca={FOLDER / 'authority.pem'}",
    f"--cert={FOLDER / 'operator.pem'}",
    f"--key={FOLDER / 'operator.key'}",
)
RETENTION_S = 3_600.0
SERVICE = {
    "service_id": "menu",
    "path_prefix": "/menu",
    "targets": [
        {"target_id": "t1", "address": "10.0.0.1:80", "zone": "sapporo", "slots": 2}
    ],
}


class PublishingControlPlane(FakeControlPlane):
    """Publish changes to an event log."""

    def __init__(self, publisher: ConfigurationPublisher) -> None:
        super().__init__()
        self.propose = publisher.propose
        self.reader = publisher.reader

    def get_configuration(self):
        return self.reader.configuration


@asynccontextmanager
async def run_server(log: FakeEventLog):
    """Serve one instance over TLS and yield its reader and address."""
    reader = ConfigurationReader(log, log.clock, RETENTION_S, Random(1))
    publisher = ConfigurationPublisher(log, reader, log.clock)
    certificates = read_certificates(
        FOLDER / "authority.pem", FOLDER / "server.pem", FOLDER / "server.key"
    )
    bound = bind_operators_server(
        PublishingControlPlane(publisher), "127.0.0.1:0", certificates
    )
    await bound.server.start()
    reader_task = asyncio.create_task(reader.run())
    try:
        yield reader, f"127.0.0.1:{bound.port}"
    finally:
        reader_task.cancel()
        await asyncio.gather(reader_task, return_exceptions=True)
        await bound.server.stop(grace=None)


async def run_command(address: str, *arguments: str) -> int:
    terminal = Terminal(io.StringIO(), io.StringIO(), io.StringIO())
    argv = ["--server", address, *TLS_FLAGS, *arguments]
    return await asyncio.to_thread(execute, argv, terminal)


async def test_changes_by_command_line_are_applied(tmp_path):
    file = tmp_path / "menu.json"
    file.write_text(json.dumps(SERVICE))
    log = FakeEventLog(Clock())
    log.faults.append(Fault.REPLY_LOST)
    async with run_server(log) as (reader, address):
        assert await run_command(address, "service", "put", str(file)) == 0
        assert await run_command(address, "target", "drain", "menu", "t1") == 0
        assert await run_command(address, "zone", "out", "sapporo", "--yes") == 0
        (target,) = reader.configuration.services["menu"].targets
        assert target.state is TargetState.DRAINING
        assert reader.configuration.zones_out == {"sapporo"}
        assert reader.configuration.revision == 3


async def test_change_based_on_an_old_revision_exits_with_conflict(tmp_path):
    file = tmp_path / "menu.json"
    file.write_text(json.dumps(SERVICE))
    async with run_server(FakeEventLog(Clock())) as (_, address):
        command = ("service", "put", str(file), "--base_revision", "0")
        assert await run_command(address, *command) == 0
        assert await run_command(address, *command) == 3


async def test_retry_with_the_same_change_id_resolves_an_unconfirmed_change(tmp_path):
    file = tmp_path / "menu.json"
    file.write_text(json.dumps(SERVICE))
    log = FakeEventLog(Clock())
    async with run_server(log) as (reader, address):
        command = (
            "service",
            "put",
            str(file),
            "--base_revision",
            "0",
            "--change_id",
            "c1",
        )
        log.readable = False
        assert await run_command(address, *command, "--timeout_s", "1") == 4
        log.readable = True
        assert await run_command(address, *command) == 0
        assert reader.configuration.revision == 1
