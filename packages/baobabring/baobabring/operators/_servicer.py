"""gRPC servicer for operators."""

from typing import Any

import grpc
from baobabapi import operators_pb2 as pb
from baobabapi import operators_pb2_grpc as pb_grpc

from baobabring.operators._control_plane import ControlPlane
from baobabring.operators._replies import (
    to_change_reply,
    to_instances_reply,
    to_invalid,
    to_outcomes_reply,
    to_services_reply,
    to_settle_reply,
)
from baobabring.operators._requests import parse_change, parse_settlement
from baobabring.utils import Clock

DEFAULT_TIMEOUT_S = 10.0
MAX_TIMEOUT_S = 60.0
# Share of the client's time that a request may take; the rest is for the reply.
TIMEOUT_SHARE = 0.9


class OperatorsServicer(pb_grpc.OperatorsServicer):
    """Translate between the gRPC schema and the control plane."""

    def __init__(self, control_plane: ControlPlane, clock: Clock) -> None:
        self.control_plane = control_plane
        self.clock = clock

    async def PutService(self, request, context):  # noqa: N802
        """Create or replace a service."""
        return await self._propose(request, context)

    async def DeleteService(self, request, context):  # noqa: N802
        """Delete a service."""
        return await self._propose(request, context)

    async def PutTarget(self, request, context):  # noqa: N802
        """Create or replace a target."""
        return await self._propose(request, context)

    async def RemoveTarget(self, request, context):  # noqa: N802
        """Remove a target."""
        return await self._propose(request, context)

    async def SetTargetState(self, request, context):  # noqa: N802
        """Drain or activate a target."""
        return await self._propose(request, context)

    async def SetZoneState(self, request, context):  # noqa: N802
        """Take an availability zone out or in."""
        return await self._propose(request, context)

    async def ListServices(self, request, context):  # noqa: N802
        """List services and zones."""
        return to_services_reply(self.control_plane.get_configuration())

    async def ListInstances(self, request, context):  # noqa: N802
        """List instances."""
        return to_instances_reply(self.control_plane.get_instances())

    async def ListUnknownOutcomes(self, request, context):  # noqa: N802
        """List unknown outcomes."""
        return to_outcomes_reply(self.control_plane.get_unknown_outcomes())

    async def SettleOutcome(self, request, context):  # noqa: N802
        """Settle an unknown outcome."""
        parsed = parse_settlement(request)
        if parsed.findings:
            return pb.SettleOutcomeReply(invalid=to_invalid(parsed.findings))
        outcome = await self.control_plane.settle(
            request.service_id,
            request.key,
            parsed.settlement,
            self._get_deadline_s(context),
        )
        return to_settle_reply(outcome)

    async def _propose(
        self, request: Any, context: grpc.aio.ServicerContext
    ) -> pb.ChangeReply:
        parsed = parse_change(request, self.control_plane.get_configuration())
        if parsed.findings:
            return pb.ChangeReply(invalid=to_invalid(parsed.findings))
        outcome = await self.control_plane.propose(
            request.base_revision,
            parsed.change,
            self._get_deadline_s(context),
            change_id=request.change_id or None,
        )
        return to_change_reply(outcome)

    def _get_deadline_s(self, context: grpc.aio.ServicerContext) -> float:
        remaining_s = context.time_remaining()
        if remaining_s is None:
            remaining_s = DEFAULT_TIMEOUT_S
        return self.clock.now_s() + TIMEOUT_SHARE * min(remaining_s, MAX_TIMEOUT_S)
