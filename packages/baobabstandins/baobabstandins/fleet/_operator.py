"""Operator that publishes changes and samples the configuration of instances."""

import asyncio
import hashlib
import time
from collections.abc import Callable
from dataclasses import dataclass

import grpc
from baobabapi import operators_pb2, operators_pb2_grpc

from baobabstandins.fleet._history import ChangeAccepted, ObservedConfiguration
from baobabstandins.fleet._members import InstanceMember

RPC_TIMEOUT_S = 5.0
SAMPLE_TIMEOUT_S = 1.0
PUBLISH_TIMEOUT_S = 15.0
PUBLISH_POLL_INTERVAL_S = 0.1
SAMPLE_INTERVAL_S = 0.1

Rotation = Callable[[], list[InstanceMember]]


class PublishError(Exception):
    """Report that a change could not be published or was not applied in time."""


@dataclass(frozen=True, slots=True)
class Change:
    """Represent a change and the RPC method and request that publish it.

    The base revision of the request is set when the change is sent.
    """

    name: str
    method: str
    request: object


class Operator:
    """Publish changes and record the configurations that instances return.

    Parameters
    ----------
    rotation : callable
        Returns the instances to send requests to.
    """

    def __init__(self, rotation: Rotation) -> None:
        self.rotation = rotation
        self.accepted_changes: list[ChangeAccepted] = []
        self.observed_configurations: list[ObservedConfiguration] = []

    async def publish(self, change: Change) -> int:
        """Publish a change, with retries, and return its revision."""
        deadline_s = time.monotonic() + PUBLISH_TIMEOUT_S
        problem = "no instance is ready"
        attempt = 0
        while time.monotonic() < deadline_s:
            members = self.rotation()
            if members:
                reply = await self._publish_once(
                    change, members[attempt % len(members)]
                )
                if isinstance(reply, int):
                    return reply
                problem = reply
            attempt += 1
            await asyncio.sleep(PUBLISH_POLL_INTERVAL_S)
        raise PublishError(f"{change.name}: {problem}")

    async def _publish_once(self, change: Change, member: InstanceMember) -> int | str:
        """Return the accepted revision, or the problem if the change can be retried."""
        try:
            listed = await _list_services(member, RPC_TIMEOUT_S)
            reply = await self._send_change(member, change, listed.revision)
        except grpc.aio.AioRpcError as error:
            return str(error.details())
        if reply.HasField("invalid"):
            raise PublishError(f"{change.name}: {reply.invalid}")
        if reply.HasField("accepted"):
            return reply.accepted.revision
        return str(reply)

    async def wait_until_applied(self, revision: int) -> None:
        """Wait until all instances have applied a revision or a later one."""
        deadline_s = time.monotonic() + PUBLISH_TIMEOUT_S
        while time.monotonic() < deadline_s:
            revisions = [await self._get_revision(member) for member in self.rotation()]
            if revisions and min(revisions) >= revision:
                return
            await asyncio.sleep(PUBLISH_POLL_INTERVAL_S)
        raise PublishError(f"revision {revision} was not applied, got {revisions}")

    async def publish_concurrently(self, change: Change) -> None:
        """Publish a change through all instances at once, on the same base revision."""
        members = self.rotation()
        listed = await _list_services(members[0], RPC_TIMEOUT_S)
        sends = (
            self._send_change(member, change, listed.revision) for member in members
        )
        await asyncio.gather(*sends, return_exceptions=True)

    async def run_sampling(self) -> None:
        """Record the configuration of each instance at regular intervals."""
        while True:
            await asyncio.gather(
                *(self._record_configuration(m) for m in self.rotation())
            )
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _send_change(
        self, member: InstanceMember, change: Change, base_revision: int
    ) -> operators_pb2.ChangeReply:
        request = type(change.request)()
        request.CopyFrom(change.request)
        request.base_revision = base_revision
        async with grpc.aio.insecure_channel(member.operator_address) as channel:
            stub = operators_pb2_grpc.OperatorsStub(channel)
            reply = await getattr(stub, change.method)(request, timeout=RPC_TIMEOUT_S)
        if reply.HasField("accepted"):
            revision = reply.accepted.revision
            accepted = ChangeAccepted(base_revision, revision, change.name, time.time())
            self.accepted_changes.append(accepted)
        return reply

    async def _get_revision(self, member: InstanceMember) -> int:
        listed = await _list_services(member, RPC_TIMEOUT_S)
        return listed.revision

    async def _record_configuration(self, member: InstanceMember) -> None:
        requested_at_s = time.time()
        try:
            listed = await _list_services(member, SAMPLE_TIMEOUT_S)
        except grpc.aio.AioRpcError:
            return
        sample = ObservedConfiguration(
            member.instance_id, listed.revision, _compute_digest(listed), requested_at_s
        )
        self.observed_configurations.append(sample)


async def _list_services(
    member: InstanceMember, timeout_s: float
) -> operators_pb2.ListServicesReply:
    async with grpc.aio.insecure_channel(member.operator_address) as channel:
        stub = operators_pb2_grpc.OperatorsStub(channel)
        request = operators_pb2.ListServicesRequest()
        return await stub.ListServices(request, timeout=timeout_s)


def _compute_digest(listed: operators_pb2.ListServicesReply) -> str:
    """Return a digest of a reply that does not depend on the order of its lists.

    The lists of the reply are sorted in place.
    """
    for service in listed.services:
        service.targets.sort(key=lambda target: target.target_id)
    listed.services.sort(key=lambda service: service.service_id)
    listed.zones.sort(key=lambda zone: zone.zone)
    encoded = listed.SerializeToString(deterministic=True)
    return hashlib.sha256(encoded).hexdigest()
