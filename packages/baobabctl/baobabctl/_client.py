"""Client of the operators' gRPC service that tries several servers in order."""

from typing import Any

import grpc
from baobabapi import operators_pb2_grpc as pb_grpc

from baobabctl._flags import TlsFiles

CONNECT_TIMEOUT_S = 2.0

_OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    ("grpc.max_receive_message_length", -1),
)


class UnreachableError(Exception):
    """Report that no server could be reached, so that the request had no effect."""


class LostReplyError(Exception):
    """Report that a server may have executed a request whose reply was lost."""


class OperatorsClient:
    """Send each request to the first server that replies.

    A change has an id, so a change that is sent to the next server after a lost reply
    is applied once.
    """

    def __init__(
        self,
        servers: tuple[str, ...],
        timeout_s: float,
        credentials: grpc.ChannelCredentials | None,
    ) -> None:
        self.servers = servers
        self.timeout_s = timeout_s
        self.credentials = credentials

    def call(self, method: str, request: Any) -> Any:
        """Return the reply; raises UnreachableError or LostReplyError."""
        problems = []
        may_have_run = False
        for server in self.servers:
            with self._create_channel(server) as channel:
                if not self._is_ready(channel):
                    problems.append(f"{server}: no connection")
                    continue
                stub = pb_grpc.OperatorsStub(channel)
                try:
                    return getattr(stub, method)(request, timeout=self.timeout_s)
                except grpc.RpcError as error:
                    may_have_run = True
                    problems.append(f"{server}: {error.code().name}")
        if may_have_run:
            raise LostReplyError("; ".join(problems))
        raise UnreachableError("; ".join(problems))

    def _create_channel(self, server: str) -> grpc.Channel:
        if self.credentials is None:
            return grpc.insecure_channel(server, options=_OPTIONS)
        return grpc.secure_channel(server, self.credentials, options=_OPTIONS)

    def _is_ready(self, channel: grpc.Channel) -> bool:
        timeout_s = min(self.timeout_s, CONNECT_TIMEOUT_S)
        try:
            grpc.channel_ready_future(channel).result(timeout=timeout_s)
        except grpc.FutureTimeoutError:
            return False
        return True


def read_credentials(files: TlsFiles | None) -> grpc.ChannelCredentials | None:
    """Return the credentials of mutual TLS; raises OSError if a file cannot be read."""
    if files is None:
        return None
    return grpc.ssl_channel_credentials(
        root_certificates=files.authority.read_bytes(),
        private_key=files.key.read_bytes(),
        certificate_chain=files.certificate.read_bytes(),
    )
