"""Calls that peers hand over because they reach no target for them."""

import asyncio
from dataclasses import dataclass, field
from math import isfinite

import logbook

from baobabring.entry import (
    BodyEnd,
    BodyEndedError,
    BodyStream,
    CallProblem,
    Delivered,
    EntryOutcome,
    HandedOverCall,
    HandoverBodyPart,
    HandoverBodyRead,
    HandoverCancel,
    HandoverCheck,
    HandoverResponse,
    HandoverStatus,
    LeavingTarget,
    NotRun,
    ServiceReachability,
    TargetPauses,
    TargetTable,
    Undetermined,
)
from baobabring.program._peer_link import PeerLink
from baobabring.program.entry._call_runner import CallerRequest, CallRunner
from baobabring.program.entry._metrics import HANDOVERS_TAKEN
from baobabring.program.entry._progress import HandoverOrigin
from baobabring.utils import Clock

LOG = logbook.Logger("handover")

BODY_PART_BYTES = 32 * 1024
# Bytes of a body on their way to a peer that it has not read yet.
BODY_WINDOW_BYTES = 256 * 1024

HOST_HEADER = b"host"

CallKey = tuple[int, int]


@dataclass(slots=True)
class _TakenCall:
    """Represent a call of a peer, until its response and body have been sent."""

    message: HandedOverCall
    tried_targets: list[str]
    outcome: asyncio.Future[EntryOutcome] | None = None
    stream: BodyStream | None = None
    sent_bytes: int = 0
    # Bytes that the peer has read, as far as is known.
    read_bytes: int = 0
    window_opened: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def is_window_full(self) -> bool:
        """Return whether the peer must read more before it gets another part."""
        return self.sent_bytes - self.read_bytes >= BODY_WINDOW_BYTES


class HandoverServer:
    """Take calls of peers as this instance's own, and send them the outcomes."""

    def __init__(
        self,
        instance_id: str,
        zone: str,
        session: int,
        call_runner: CallRunner,
        reachability: ServiceReachability,
        target_table: TargetTable,
        pauses: TargetPauses,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        self.instance_id = instance_id
        self.zone = zone
        self.session = session
        self.call_runner = call_runner
        self.reachability = reachability
        self.target_table = target_table
        self.pauses = pauses
        self.link = link
        self.clock = clock
        self._calls: dict[CallKey, _TakenCall] = {}
        # Deadlines of the calls received, after which a copy is refused anyway.
        self._received_until_s: dict[CallKey, float] = {}
        self._tasks: set[asyncio.Task] = set()
        link.subscribe(HandoverCheck, self._on_check)
        link.subscribe(HandedOverCall, self._on_call)
        link.subscribe(HandoverBodyRead, self._on_body_read)
        link.subscribe(HandoverCancel, self._on_cancel)

    @property
    def accepts(self) -> bool:
        """Return whether this instance takes calls of peers."""
        return self.call_runner.ready and not self.call_runner.shutting_down

    def _on_check(self, check: HandoverCheck) -> None:
        status = HandoverStatus(
            sender=self.instance_id,
            session=self.session,
            zone=self.zone,
            clock_s=self.clock.now_s(),
            accepts=self.accepts,
            lost_services=self.reachability.lost_services(),
            configuration_version=self.call_runner.configuration_version,
        )
        self.link.send(check.reply_address, status)

    # Calls

    def _on_call(self, message: HandedOverCall) -> None:
        key = (message.sender_session, message.number)
        if message.session != self.session or self._is_copy(key, message.deadline_s):
            # Meant for an earlier process, or received already.
            LOG.info("call of a peer ignored", peer=message.sender, number=key[1])
            return
        call = _TakenCall(message, list(message.tried_targets))
        if not self._may_take(message):
            HANDOVERS_TAKEN.labels("refused").inc()
            refusal = NotRun(CallProblem.NO_CONFIGURATION, self.clock.now_s())
            self._send_outcome(call, refusal)
            return
        HANDOVERS_TAKEN.labels("taken").inc()
        self._calls[key] = call
        call.outcome = self.call_runner.start(
            self._build_request(message),
            HandoverOrigin(
                message.sender,
                message.deadline_s,
                call.tried_targets,
                message.lost_handovers,
                message.service_id,
            ),
        )
        task = asyncio.ensure_future(self._respond(key, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_copy(self, key: CallKey, deadline_s: float) -> bool:
        """Return whether a call was received already, and remember it if not."""
        if key in self._received_until_s:
            return True
        now_s = self.clock.now_s()
        while self._received_until_s:
            oldest = next(iter(self._received_until_s))
            if self._received_until_s[oldest] > now_s:
                break
            del self._received_until_s[oldest]
        self._received_until_s[key] = deadline_s
        return False

    def _may_take(self, message: HandedOverCall) -> bool:
        if not isfinite(message.arrived_at_s + message.deadline_s):
            return False
        if message.deadline_s <= self.clock.now_s():
            return False
        version = self.call_runner.configuration_version
        return self.accepts and version >= message.configuration_version

    def _build_request(self, message: HandedOverCall) -> CallerRequest:
        return CallerRequest(
            method=message.method,
            path=message.path,
            host=_find_host(message.headers),
            headers=message.headers,
            body=message.body,
            arrived_at_s=message.arrived_at_s,
        )

    async def _respond(self, key: CallKey, call: _TakenCall) -> None:
        """Send a call's outcome and body to the peer."""
        try:
            outcome = await call.outcome
            if isinstance(outcome, Delivered):
                call.stream = outcome.response.stream
            self._send_outcome(call, outcome)
            if call.stream is not None:
                await self._send_body(call, call.stream)
        except asyncio.CancelledError:
            if not call.outcome.cancelled():
                raise
        finally:
            self._calls.pop(key, None)

    def _send_outcome(self, call: _TakenCall, outcome: EntryOutcome) -> None:
        message = call.message
        response = self._build_response(call, outcome)
        if not self.link.send(message.reply_address, response):
            LOG.warning(
                "response to a peer dropped", peer=message.sender, number=message.number
            )

    def _build_response(
        self, call: _TakenCall, outcome: EntryOutcome
    ) -> HandoverResponse:
        message = call.message
        delivered = outcome.response if isinstance(outcome, Delivered) else None
        stream = delivered.stream if delivered is not None else None
        retry_after_s = 0.0
        if isinstance(outcome, NotRun):
            retry_after_s = max(0.0, outcome.retry_at_s - self.clock.now_s())
        return HandoverResponse(
            session=message.sender_session,
            number=message.number,
            status=delivered.status if delivered is not None else None,
            problem="" if delivered is not None else outcome.problem.value,
            may_have_run=isinstance(outcome, Delivered | Undetermined),
            retry_after_s=retry_after_s,
            headers=list(delivered.headers) if delivered is not None else [],
            body=bytes(delivered.body) if delivered is not None else b"",
            has_stream=stream is not None,
            length_bytes=stream.length_bytes if stream is not None else None,
            tried_targets=call.tried_targets,
            leaving_targets=self._find_leaving(call.tried_targets),
        )

    def _find_leaving(self, target_ids: list[str]) -> list[LeavingTarget]:
        records = [self.target_table.get_record(target_id) for target_id in target_ids]
        return [
            LeavingTarget(record.target.target_id, record.target.started_at_ms)
            for record in records
            if record is not None and self.pauses.is_leaving(record.target)
        ]

    def _on_cancel(self, message: HandoverCancel) -> None:
        call = self._calls.get((message.sender_session, message.number))
        if call is None or message.session != self.session:
            return
        if call.stream is not None:
            call.stream.abandon()
            call.read_bytes = call.sent_bytes
            call.window_opened.set()
        elif isinstance(call.outcome, asyncio.Task):
            self.call_runner.on_caller_disconnect(call.outcome)

    # Bodies

    async def _send_body(self, call: _TakenCall, stream: BodyStream) -> None:
        """Send a body in parts, as fast as the peer reads it."""
        end = BodyEnd.CUT_SHORT
        left_s = call.message.deadline_s - self.clock.now_s()
        try:
            async with asyncio.timeout(left_s):
                end = await self._send_parts(call, stream)
        except TimeoutError:
            end = BodyEnd.TIMEOUT
        finally:
            stream.abandon()
            self._send_part(call, b"", end.value)

    async def _send_parts(self, call: _TakenCall, stream: BodyStream) -> BodyEnd:
        """Send the parts of a body, and return how its receipt ended."""
        try:
            while data := await stream.read(BODY_PART_BYTES):
                while call.is_window_full:
                    call.window_opened.clear()
                    await call.window_opened.wait()
                if not self._send_part(call, data, None):
                    LOG.warning("part of a body dropped", peer=call.message.sender)
                    return BodyEnd.CUT_SHORT
        except BodyEndedError as error:
            return error.end
        return BodyEnd.COMPLETE

    def _send_part(self, call: _TakenCall, data: bytes, end: str | None) -> bool:
        message = call.message
        part = HandoverBodyPart(
            message.sender_session, message.number, data, end, call.sent_bytes
        )
        call.sent_bytes += len(data)
        return self.link.send(message.reply_address, part)

    def _on_body_read(self, message: HandoverBodyRead) -> None:
        call = self._calls.get((message.sender_session, message.number))
        if call is None or message.session != self.session:
            return
        if message.total_read_bytes is None:
            call.read_bytes += message.read_bytes
        else:
            call.read_bytes = max(call.read_bytes, message.total_read_bytes)
        call.window_opened.set()


def _find_host(headers: list[tuple[bytes, bytes]]) -> str:
    """Return the value of the `Host` header, empty if there is none."""
    values = (value for name, value in headers if name == HOST_HEADER)
    return next(values, b"").decode("latin-1")
