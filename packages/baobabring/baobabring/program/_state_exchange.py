"""Passing of the log's state between peers when the log is slow or down."""

import logbook

from baobabring.balancing import ColdStartGuard
from baobabring.membership import Heartbeat
from baobabring.peers import StateReply, StateRequest
from baobabring.program._membership_task import MembershipTask
from baobabring.program._peer_link import PeerLink
from baobabring.publication import ConfigurationReader
from baobabring.utils import Clock

LOG = logbook.Logger("state")

ASK_AFTER_S = 0.3
ASK_INTERVAL_S = 0.5
ASKS_FOR_RECORDS = 10


class StateExchange:
    """Ask a peer that knows more for its state, and answer peers that ask.

    The log is the usual way. A peer is asked after the start, once it has been ahead
    for a moment, and while records are missing that have expired from the log.
    """

    def __init__(
        self,
        reader: ConfigurationReader,
        membership: MembershipTask,
        guard: ColdStartGuard,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        self.reader = reader
        self.membership = membership
        self.guard = guard
        self.link = link
        self.clock = clock
        self._behind_since_s: float | None = None
        self._asked_at_s = 0.0
        self._highest_offset = 0
        self._asks_left_for_records = ASKS_FOR_RECORDS
        self._started = False
        link.subscribe(StateRequest, self._asked)
        link.subscribe(StateReply, self._answered)
        membership.add_heartbeat_listener(self._heard)
        reader.add_progress_listener(self._progressed)

    def _progressed(self) -> None:
        tracker = self.membership.tracker
        next_offset = self.reader.fold.next_offset
        tracker.record_applied(next_offset)
        if self.reader.confirmed_at_s is not None:
            tracker.record_log_end(next_offset, self.reader.confirmed_at_s)
        self.membership.revision = self.reader.configuration.revision

    def _heard(self, heartbeat: Heartbeat) -> None:
        now_s = self.clock.now_s()
        behind = self._is_behind(heartbeat, now_s)
        if now_s - self._asked_at_s < ASK_INTERVAL_S:
            return
        lacking = self.guard.lacks_records and self._asks_left_for_records > 0
        if behind or lacking or not self._started:
            self._started = True
            self._asked_at_s = now_s
            self._asks_left_for_records -= lacking
            self._ask(heartbeat.peer_address)

    def _is_behind(self, heartbeat: Heartbeat, now_s: float) -> bool:
        next_offset = self.reader.fold.next_offset
        self._highest_offset = max(self._highest_offset, heartbeat.config_offset)
        if self._highest_offset <= next_offset:
            self._behind_since_s = None
        if heartbeat.config_offset <= next_offset:
            return False
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        return now_s - self._behind_since_s >= ASK_AFTER_S

    def _ask(self, address: str) -> None:
        info = self.membership.info
        self.link.send(address, StateRequest(info.instance_id, info.peer_address))

    def _asked(self, request: StateRequest) -> None:
        reply = StateReply(
            self.membership.info.instance_id,
            self.reader.fold.snapshot_payload(),
            self.guard.snapshot_payload(),
        )
        self.link.send(request.reply_address, reply)

    def _answered(self, reply: StateReply) -> None:
        if self.reader.load_from_peer(reply.configuration):
            revision = self.reader.configuration.revision
            LOG.info("configuration taken", peer=reply.sender, revision=revision)
        if self.guard.load(reply.cold_starts):
            LOG.info("cold starts taken", peer=reply.sender)
