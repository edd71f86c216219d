"""Handover of calls to peers, while this instance reaches no target for them."""

import asyncio
import time
from dataclasses import dataclass
from math import isfinite

import logbook

from baobabring.connections import BodyMemory
from baobabring.entry import (
    BodyEnd,
    CallProblem,
    Delivered,
    EntryOutcome,
    HandedOverCall,
    HandoverBodyPart,
    HandoverBodyRead,
    HandoverCancel,
    HandoverPeer,
    HandoverResponse,
    NotRun,
    Rejected,
    TargetPauses,
    TargetResponse,
    Undetermined,
)
from baobabring.program._peer_link import PeerLink
from baobabring.program.entry._handed_over_body import HandedOverBody
from baobabring.program.entry._handover_peer_finder import (
    CHECK_INTERVAL_S,
    HandoverPeerFinder,
)
from baobabring.program.entry._metrics import HANDOVERS
from baobabring.program.entry._progress import CallProgress
from baobabring.utils import Clock

LOG = logbook.Logger("handover")

MS_PER_S = 1_000
MAX_PEERS_TRIED = 3
# A peer with a call in progress that has not answered for this long may be gone.
PEER_SILENCE_S = 0.7
# Lets the peer's outcome arrive before this instance gives up.
DEADLINE_MARGIN_S = 0.01
BODY_LIMIT_BYTES = 4 * 1024 * 1024
VALID_STATUSES = range(200, 600)
REJECTIONS = frozenset(
    {CallProblem.NO_ROUTE, CallProblem.BAD_REQUEST, CallProblem.TOO_LARGE}
)
# Reasons of a peer after which another one may serve the call.
PEER_REFUSALS = frozenset(
    {CallProblem.TARGETS_UNREACHABLE, CallProblem.NO_CONFIGURATION}
)


@dataclass(frozen=True, slots=True)
class HandoverLost:
    """Report that a peer may have run a call but its outcome will not be known."""

    problem: CallProblem


HandoverEnd = EntryOutcome | HandoverLost


@dataclass(slots=True)
class _PendingCall:
    """Represent a call at a peer, until its outcome is known.

    `body` is set with the response; it may end before the response is handled.
    """

    progress: CallProgress
    peer: HandoverPeer
    session: int
    sent_at_s: float
    response: asyncio.Future[HandoverResponse | HandoverLost]
    body: HandedOverBody | None = None


class HandoverClient:
    """Hand calls over to peers that reach targets, and return their outcomes.

    A call is handed over once at most to each of a few peers, and to another one only
    if the first said that it will not run the call.
    """

    def __init__(
        self,
        instance_id: str,
        address: str,
        session: int,
        finder: HandoverPeerFinder,
        pauses: TargetPauses,
        body_memory: BodyMemory,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        self.instance_id = instance_id
        self.address = address
        self.session = session
        self.finder = finder
        self.pauses = pauses
        self.body_memory = body_memory
        self.link = link
        self.clock = clock
        self.configuration_version = 0
        self._pending: dict[int, _PendingCall] = {}
        self._bodies: dict[int, tuple[HandedOverBody, HandoverPeer, int]] = {}
        self._next_number = 0
        finder.on_restart = self._end_calls_at
        link.subscribe(HandoverResponse, self._on_response)
        link.subscribe(HandoverBodyPart, self._on_body_part)

    async def run(self) -> None:
        """Check peers while a service is lost or calls are in progress at peers."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.finder.check_peers(bool(self._pending or self._bodies))
            self._end_calls_of_silent_peers()

    async def hand_over(self, progress: CallProgress) -> HandoverEnd | None:
        """Return the outcome of a call at a peer, None if no peer takes the call."""
        if len(progress.call.body) > BODY_LIMIT_BYTES:
            HANDOVERS.labels("too-large").inc()
            return None
        refused_by: set[str] = set()
        while len(refused_by) < MAX_PEERS_TRIED:
            peer = await self.finder.find(
                progress.call, self.configuration_version, refused_by
            )
            if peer is None:
                HANDOVERS.labels("no-peer").inc()
                return None
            end = await self._run_at(peer, progress)
            if end is not None:
                HANDOVERS.labels(type(end).__name__).inc()
                return end
            refused_by.add(peer.instance_id)
            service_id = progress.call.service_id
            self.finder.peers.record_refusal(
                peer.instance_id, service_id, self.clock.now_s()
            )
        return None

    # Peers

    def _end_calls_at(self, instance_id: str, session: int) -> None:
        """End what was in progress at the earlier process of a peer."""
        for pending in list(self._pending.values()):
            is_at_peer = pending.peer.instance_id == instance_id
            if is_at_peer and pending.session != session:
                self._lose(pending)
        for body, peer, body_session in list(self._bodies.values()):
            if peer.instance_id == instance_id and body_session != session:
                body.finish(BodyEnd.CUT_SHORT)

    def _end_calls_of_silent_peers(self) -> None:
        """Let idempotent calls be attempted again if their peer may be gone."""
        silent_since_s = self.clock.now_s() - PEER_SILENCE_S
        for pending in list(self._pending.values()):
            heard_at_s = max(pending.peer.answered_at_s, pending.sent_at_s)
            if heard_at_s < silent_since_s and pending.progress.call.route.idempotent:
                self._lose(pending)

    def _lose(self, pending: _PendingCall) -> None:
        if not pending.response.done():
            pending.response.set_result(HandoverLost(CallProblem.CONNECTION_LOST))

    # Calls

    async def _run_at(
        self, peer: HandoverPeer, progress: CallProgress
    ) -> HandoverEnd | None:
        """Return the outcome of a call at a peer, None if the peer didn't take it."""
        number = self._next_number
        self._next_number += 1
        session = peer.status.session
        if not self.link.send(
            peer.address, self._build_message(peer, progress, number)
        ):
            return None
        now_s = self.clock.now_s()
        response = asyncio.get_running_loop().create_future()
        pending = _PendingCall(progress, peer, session, now_s, response)
        self._pending[number] = pending
        sent_before, progress.sent = progress.sent, True
        progress.handed_over_to = peer.instance_id
        peer.in_flight += 1
        end: HandoverEnd | None = HandoverLost(CallProblem.CALLER_LEFT)
        try:
            end = await self._wait_for_end(pending)
        finally:
            peer.in_flight -= 1
            del self._pending[number]
            if isinstance(end, HandoverLost):
                cancel = HandoverCancel(self.session, session, number)
                self.link.send(peer.address, cancel)
        if end is None:
            progress.sent = sent_before
        return end

    async def _wait_for_end(self, pending: _PendingCall) -> HandoverEnd | None:
        left_s = pending.progress.call.deadline_s - pending.sent_at_s
        try:
            async with asyncio.timeout(left_s):
                response = await pending.response
        except TimeoutError:
            return HandoverLost(CallProblem.TIMEOUT)
        if isinstance(response, HandoverLost):
            return response
        pending.progress.tried_targets[:] = response.tried_targets
        for leaving in response.leaving_targets:
            unix_time_ms = time.time() * MS_PER_S
            self.pauses.apply_leaving(leaving, unix_time_ms, self.clock.now_s())
        return self._read_outcome(response, pending.body)

    def _build_message(
        self, peer: HandoverPeer, progress: CallProgress, number: int
    ) -> HandedOverCall:
        call = progress.call
        return HandedOverCall(
            sender=self.instance_id,
            reply_address=self.address,
            sender_session=self.session,
            session=peer.status.session,
            number=number,
            arrived_at_s=peer.to_peer_time_s(call.arrived_at_s),
            deadline_s=peer.to_peer_time_s(call.deadline_s - DEADLINE_MARGIN_S),
            configuration_version=self.configuration_version,
            method=call.method,
            path=call.path,
            headers=list(call.headers),
            body=call.body,
            tried_targets=progress.tried_targets,
            lost_handovers=progress.lost_handovers,
            service_id=call.service_id,
        )

    def _read_outcome(
        self, response: HandoverResponse, body: HandedOverBody | None
    ) -> HandoverEnd | None:
        if response.status is not None:
            if response.status not in VALID_STATUSES:
                return Undetermined(CallProblem.BAD_ANSWER)
            headers = tuple(response.headers)
            return Delivered(
                TargetResponse(response.status, headers, response.body, body)
            )
        try:
            problem = CallProblem(response.problem)
        except ValueError:
            # A later build may have other reasons.
            problem = CallProblem.INTERNAL
        if response.may_have_run:
            return Undetermined(problem)
        if problem in PEER_REFUSALS:
            return None
        if problem in REJECTIONS:
            return Rejected(problem)
        after_s = response.retry_after_s if isfinite(response.retry_after_s) else 0.0
        return NotRun(problem, self.clock.now_s() + after_s)

    def _on_response(self, response: HandoverResponse) -> None:
        pending = self._pending.get(response.number)
        is_expected = response.session == self.session and pending is not None
        if not is_expected or pending.response.done():
            LOG.debug("late response of a peer", number=response.number)
            return
        if response.has_stream:
            pending.body = self._create_body(response, pending)
        pending.response.set_result(response)

    # Bodies

    def _create_body(
        self, response: HandoverResponse, pending: _PendingCall
    ) -> HandedOverBody:
        number, peer = response.number, pending.peer

        def on_read(read_bytes: int, total_read_bytes: int) -> None:
            read = HandoverBodyRead(
                self.session, pending.session, number, read_bytes, total_read_bytes
            )
            self.link.send(peer.address, read)

        def on_end(end: BodyEnd) -> None:
            self._bodies.pop(number, None)
            if end is not BodyEnd.COMPLETE:
                cancel = HandoverCancel(self.session, pending.session, number)
                self.link.send(peer.address, cancel)

        body = HandedOverBody(response.length_bytes, self.body_memory, on_read)
        self._bodies[number] = (body, peer, pending.session)
        body.add_end_callback(on_end)
        left_s = pending.progress.call.deadline_s - self.clock.now_s()
        timer = asyncio.get_running_loop().call_later(left_s, body.expire)
        body.add_end_callback(lambda _: timer.cancel())
        return body

    def _on_body_part(self, part: HandoverBodyPart) -> None:
        entry = self._bodies.get(part.number)
        if entry is None or part.session != self.session:
            return
        body = entry[0]
        if part.offset_bytes not in (None, body.received_bytes):
            LOG.warning(
                "part of a body lost",
                peer=entry[1].instance_id,
                number=part.number,
                received_bytes=body.received_bytes,
                offset_bytes=part.offset_bytes,
            )
            body.finish(BodyEnd.CUT_SHORT)
            return
        if part.data:
            body.feed(part.data)
        if part.end is not None:
            is_complete = part.end == BodyEnd.COMPLETE and _has_whole_length(body)
            body.finish(BodyEnd.COMPLETE if is_complete else BodyEnd.CUT_SHORT)


def _has_whole_length(body: HandedOverBody) -> bool:
    return body.length_bytes in (None, body.received_bytes)
