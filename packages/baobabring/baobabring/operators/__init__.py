"""gRPC service for operators."""

from baobabring.operators._control_plane import (
    ControlPlane,
    InstanceStatus,
    NotSettleable,
    ReportedState,
    Settled,
    SettlementOutcome,
)
from baobabring.operators._server import (
    BoundServer,
    Certificates,
    bind_operators_server,
    create_operators_server,
    read_certificates,
)

__all__ = [
    "BoundServer",
    "Certificates",
    "ControlPlane",
    "InstanceStatus",
    "NotSettleable",
    "ReportedState",
    "Settled",
    "SettlementOutcome",
    "bind_operators_server",
    "create_operators_server",
    "read_certificates",
]
