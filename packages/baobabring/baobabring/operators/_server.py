"""gRPC server for operators."""

from dataclasses import dataclass
from pathlib import Path

import grpc
from baobabapi import operators_pb2_grpc as pb_grpc

from baobabring.operators._control_plane import ControlPlane
from baobabring.operators._servicer import OperatorsServicer
from baobabring.utils import Clock

MAX_MESSAGE_BYTES = 16 * 1024 * 1024

_OPTIONS = (
    # With SO_REUSEPORT, two processes could share an address without an error.
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
)


@dataclass(frozen=True, slots=True)
class Certificates:
    """Represent the certificates and the private key for mutual TLS, each as PEM."""

    authority: bytes
    certificate: bytes
    key: bytes


@dataclass(frozen=True, slots=True)
class BoundServer:
    """Represent a bound server that is not started yet, and its port."""

    server: grpc.aio.Server
    port: int


def read_certificates(
    authority_file: Path, certificate_file: Path, key_file: Path
) -> Certificates:
    """Read the PEM files of mutual TLS; raises OSError if one cannot be read."""
    return Certificates(
        authority=authority_file.read_bytes(),
        certificate=certificate_file.read_bytes(),
        key=key_file.read_bytes(),
    )


def create_operators_server(
    control_plane: ControlPlane, address: str, certificates: Certificates | None
) -> grpc.aio.Server:
    """Return a server bound to an address, with mutual TLS if certificates are given.

    The server is not started. Raises RuntimeError if the address is in use.
    """
    return bind_operators_server(control_plane, address, certificates).server


def bind_operators_server(
    control_plane: ControlPlane, address: str, certificates: Certificates | None
) -> BoundServer:
    """Return a bound server and its port, which the system chooses for port 0."""
    server = grpc.aio.server(options=_OPTIONS)
    servicer = OperatorsServicer(control_plane, Clock())
    pb_grpc.add_OperatorsServicer_to_server(servicer, server)
    if certificates is None:
        port = server.add_insecure_port(address)
    else:
        port = server.add_secure_port(address, _create_server_credentials(certificates))
    return BoundServer(server, port)


def _create_server_credentials(certificates: Certificates) -> grpc.ServerCredentials:
    return grpc.ssl_server_credentials(
        [(certificates.key, certificates.certificate)],
        root_certificates=certificates.authority,
        require_client_auth=True,
    )
