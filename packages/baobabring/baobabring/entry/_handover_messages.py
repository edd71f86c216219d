"""Messages by which an instance hands calls over to another one.

Times are in seconds of the clock of the instance that receives the call, so that a
message that was delayed cannot extend a deadline. `session` identifies one run of the
process for which a message is meant; a process that started since ignores it.
"""

import msgspec


class HandoverCheck(msgspec.Struct, array_like=True, frozen=True):
    """Ask a peer whether it takes calls."""

    sender: str
    reply_address: str


class HandoverStatus(msgspec.Struct, array_like=True, frozen=True):
    """Report which calls an instance takes, and the time of its clock."""

    sender: str
    session: int
    zone: str
    clock_s: float
    accepts: bool
    lost_services: list[str]
    configuration_version: int


class HandedOverCall(msgspec.Struct, array_like=True, frozen=True):
    """Hand a call over, to be sent to none of the targets that were tried already.

    `service_id` is the service that was chosen by weight, None from earlier builds.
    """

    sender: str
    reply_address: str
    sender_session: int
    session: int
    number: int
    arrived_at_s: float
    deadline_s: float
    configuration_version: int
    method: str
    path: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    tried_targets: list[str]
    lost_handovers: int
    service_id: str | None = None


class LeavingTarget(msgspec.Struct, array_like=True, frozen=True):
    """Identify one start of a target that said that it is leaving."""

    target_id: str
    started_at_ms: int


class HandoverResponse(msgspec.Struct, array_like=True, frozen=True):
    """Report the outcome of a call that was handed over.

    `status` is that of a target's response, None if there is none; then `problem` is
    the reason. `may_have_run` is unset only if no target ran or will run the call. If
    `has_stream` is set, the body follows in parts.
    """

    session: int
    number: int
    status: int | None
    problem: str
    may_have_run: bool
    retry_after_s: float
    headers: list[tuple[bytes, bytes]]
    body: bytes
    has_stream: bool
    length_bytes: int | None
    tried_targets: list[str]
    leaving_targets: list[LeavingTarget]


class HandoverBodyPart(msgspec.Struct, array_like=True, frozen=True):
    """Send the next part of a body, or how its receipt ended.

    `offset_bytes` is the length of all earlier parts, None from earlier builds.
    """

    session: int
    number: int
    data: bytes
    end: str | None = None
    offset_bytes: int | None = None


class HandoverBodyRead(msgspec.Struct, array_like=True, frozen=True):
    """Allow a peer to send as many more bytes of a body as were read.

    `total_read_bytes` counts what earlier messages reported as well, since they may be
    lost; it is None from earlier builds.
    """

    sender_session: int
    session: int
    number: int
    read_bytes: int
    total_read_bytes: int | None = None


class HandoverCancel(msgspec.Struct, array_like=True, frozen=True):
    """Report that the caller of a handed-over call has left or its time has passed."""

    sender_session: int
    session: int
    number: int
