"""Tests of mutual TLS at the operators' server."""

from contextlib import asynccontextmanager
from pathlib import Path

import grpc
import pytest
from baobabapi import operators_pb2 as pb
from baobabapi import operators_pb2_grpc as pb_grpc

from baobabring.operators import (
    Certificates,
    bind_operators_server,
    read_certificates,
)
from baobabring.operators.tests.fakes import FakeControlPlane

# The certificates are valid until 2120. The authority's key was not kept, so it
# can't sign further ones.
FOLDER = Path(__file__).parent / "certificates"
TIMEOUT_S = 20.0


def read_server_certificates() -> Certificates:
    return read_certificates(
        FOLDER / "authority.pem", FOLDER / "server.pem", FOLDER / "server.key"
    )


def read_client_credentials(name: str | None) -> grpc.ChannelCredentials:
    return grpc.ssl_channel_credentials(
        root_certificates=(FOLDER / "authority.pem").read_bytes(),
        private_key=(FOLDER / f"{name}.key").read_bytes() if name else None,
        certificate_chain=(FOLDER / f"{name}.pem").read_bytes() if name else None,
    )


@asynccontextmanager
async def run_server():
    bound = bind_operators_server(
        FakeControlPlane(), "127.0.0.1:0", read_server_certificates()
    )
    await bound.server.start()
    try:
        yield f"127.0.0.1:{bound.port}"
    finally:
        await bound.server.stop(grace=None)


async def list_instances(channel: grpc.aio.Channel) -> pb.ListInstancesReply:
    async with channel:
        stub = pb_grpc.OperatorsStub(channel)
        return await stub.ListInstances(pb.ListInstancesRequest(), timeout=TIMEOUT_S)


async def test_an_operator_with_a_certificate_is_served():
    async with run_server() as address:
        channel = grpc.aio.secure_channel(address, read_client_credentials("operator"))
        assert await list_instances(channel) == pb.ListInstancesReply()


@pytest.mark.parametrize("name", [None, "stranger"])
async def test_a_client_without_a_certificate_of_the_authority_is_refused(name):
    async with run_server() as address:
        channel = grpc.aio.secure_channel(address, read_client_credentials(name))
        with pytest.raises(grpc.aio.AioRpcError) as caught:
            await list_instances(channel)
    assert caught.value.code() is grpc.StatusCode.UNAVAILABLE


async def test_a_client_without_tls_is_refused():
    async with run_server() as address:
        with pytest.raises(grpc.aio.AioRpcError):
            await list_instances(grpc.aio.insecure_channel(address))


def test_invalid_certificates_are_rejected_when_binding():
    certificates = Certificates(authority=b"x", certificate=b"y", key=b"z")
    with pytest.raises(RuntimeError):
        bind_operators_server(FakeControlPlane(), "127.0.0.1:0", certificates)
