"""Passing of the configuration between peers when the log is slow or down."""

import logbook

from baobabring.membership import Heartbeat
from baobabring.peers import StateReply, StateRequest
from baobabring.program._membership_task import MembershipTask
from baobabring.program._peer_link import PeerLink
from baobabring.publication import ConfigurationReader
from baobabring.utils import Clock

LOG = logbook.Logger("configuration")

ASK_AFTER_S = 0.3
ASK_INTERVAL_S = 0.5


class ConfigurationExchange:
    """Ask a peer that knows more for its state, and answer peers that ask.

    The log is the usual way; a peer is asked only once it has been ahead for a
    moment.
    """

    def __init__(
        self,
        reader: ConfigurationReader,
        membership: MembershipTask,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        self.reader = reader
        self.membership = membership
        self.link = link
        self.clock = clock
        self._behind_since_s: float | None = None
        self._asked_at_s = 0.0
        link.subscribe(StateRequest, self._asked)
        link.subscribe(StateReply, self._answered)
        membership.add_heartbeat_listener(self._heard)
        reader.add_progress_listener(self._progressed)

    def _progressed(self) -> None:
        tracker = self.membership.tracker
        next_offset = self.reader.fold.next_offset
        tracker.applied(next_offset)
        if self.reader.confirmed_at_s is not None:
            tracker.end_read(next_offset, self.reader.confirmed_at_s)
        self.membership.revision = self.reader.configuration.revision

    def _heard(self, heartbeat: Heartbeat) -> None:
        if heartbeat.config_offset <= self.reader.fold.next_offset:
            self._behind_since_s = None
            return
        now_s = self.clock.now_s()
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        waited = now_s - self._behind_since_s >= ASK_AFTER_S
        if waited and now_s - self._asked_at_s >= ASK_INTERVAL_S:
            self._asked_at_s = now_s
            self._ask(heartbeat.peer_address)

    def _ask(self, address: str) -> None:
        info = self.membership.info
        revision = self.reader.configuration.revision
        request = StateRequest(info.instance_id, info.peer_address, revision)
        self.link.send(address, request)

    def _asked(self, request: StateRequest) -> None:
        payload = self.reader.fold.snapshot_payload()
        sender = self.membership.info.instance_id
        self.link.send(request.reply_address, StateReply(sender, payload))

    def _answered(self, reply: StateReply) -> None:
        if self.reader.load_from_peer(reply.payload):
            revision = self.reader.configuration.revision
            LOG.info("state taken from peer", peer=reply.sender, revision=revision)
