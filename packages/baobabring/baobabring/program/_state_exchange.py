"""Exchange of the log's state between peers when the log is slow or down."""

import logbook

from baobabring.balancing import ColdStartGuard
from baobabring.membership import Heartbeat
from baobabring.peers import StateReply, StateRequest
from baobabring.program._membership_task import MembershipTask
from baobabring.program._peer_link import PeerLink
from baobabring.publication import ConfigurationReader
from baobabring.utils import Clock

LOG = logbook.Logger("state")

BEHIND_REQUEST_DELAY_S = 0.3
REQUEST_INTERVAL_S = 0.5
MAX_MISSING_RECORD_REQUESTS = 10


class StateExchange:
    """Request the state of peers that are ahead, and reply to requests.

    State normally comes from the log. A peer is asked after the start, once this
    instance has been behind for BEHIND_REQUEST_DELAY_S, and while records are missing
    that have expired from the log.
    """

    def __init__(
        self,
        reader: ConfigurationReader,
        membership: MembershipTask,
        cold_start_guard: ColdStartGuard,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        self.reader = reader
        self.membership = membership
        self.cold_start_guard = cold_start_guard
        self.link = link
        self.clock = clock
        self._behind_since_s: float | None = None
        self._last_request_at_s = 0.0
        self._highest_offset = 0
        self._missing_record_requests_left = MAX_MISSING_RECORD_REQUESTS
        self._first_request_sent = False
        link.subscribe(StateRequest, self._on_request)
        link.subscribe(StateReply, self._on_reply)
        membership.add_heartbeat_listener(self._on_heartbeat)
        reader.add_progress_listener(self._on_progress)

    def _on_progress(self) -> None:
        tracker = self.membership.tracker
        next_offset = self.reader.replica.next_offset
        tracker.record_applied(next_offset)
        if self.reader.confirmed_at_s is not None:
            tracker.record_log_end(next_offset, self.reader.confirmed_at_s)
        self.membership.revision = self.reader.configuration.revision

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        now_s = self.clock.now_s()
        behind = self._is_behind(heartbeat, now_s)
        if now_s - self._last_request_at_s < REQUEST_INTERVAL_S:
            return
        requests_missing_records = (
            self.cold_start_guard.lacks_records
            and self._missing_record_requests_left > 0
        )
        if behind or requests_missing_records or not self._first_request_sent:
            self._first_request_sent = True
            self._last_request_at_s = now_s
            self._missing_record_requests_left -= requests_missing_records
            self._request_state(heartbeat.peer_address)

    def _is_behind(self, heartbeat: Heartbeat, now_s: float) -> bool:
        next_offset = self.reader.replica.next_offset
        self._highest_offset = max(self._highest_offset, heartbeat.config_offset)
        if self._highest_offset <= next_offset:
            self._behind_since_s = None
        if heartbeat.config_offset <= next_offset:
            return False
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        return now_s - self._behind_since_s >= BEHIND_REQUEST_DELAY_S

    def _request_state(self, address: str) -> None:
        info = self.membership.info
        self.link.send(address, StateRequest(info.instance_id, info.peer_address))

    def _on_request(self, request: StateRequest) -> None:
        reply = StateReply(
            self.membership.info.instance_id,
            self.reader.replica.create_snapshot_payload(),
            self.cold_start_guard.create_snapshot_payload(),
        )
        self.link.send(request.reply_address, reply)

    def _on_reply(self, reply: StateReply) -> None:
        if self.reader.load_from_peer(reply.configuration):
            revision = self.reader.configuration.revision
            LOG.info(
                "configuration loaded from peer", peer=reply.sender, revision=revision
            )
        if self.cold_start_guard.load_snapshot(reply.cold_start_snapshot):
            LOG.info("cold starts loaded from peer", peer=reply.sender)
