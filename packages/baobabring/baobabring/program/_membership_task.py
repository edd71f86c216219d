"""Tasks that keep the view of the fleet and of the configuration's age."""

import asyncio
from collections.abc import Callable

import logbook

from baobabring.membership import (
    ConfirmationStatus,
    ConfirmationTracker,
    Heartbeat,
    Isolated,
    Member,
    Membership,
    MemberState,
)
from baobabring.platform import (
    InstanceInfo,
    InstanceState,
    PlatformInstanceList,
    ReadFailed,
)
from baobabring.program._metrics import CONFIRMED_AGE
from baobabring.program._peer_link import PeerLink
from baobabring.utils import Clock

LOG = logbook.Logger("membership")

LIST_INTERVAL_S = 1.0
RECONNECT_INTERVAL_S = 1.0
SEQUENCES_PER_S = 1_000_000

HeartbeatListener = Callable[[Heartbeat], None]


class MembershipTask:
    """Own the view of the fleet: list, heartbeats, confirmation."""

    def __init__(
        self,
        info: InstanceInfo,
        membership: Membership,
        tracker: ConfirmationTracker,
        instances: PlatformInstanceList,
        link: PeerLink,
        clock: Clock,
        heartbeat_interval_s: float,
    ) -> None:
        self.info = info
        self.membership = membership
        self.tracker = tracker
        self.instances = instances
        self.link = link
        self.clock = clock
        self.heartbeat_interval_s = heartbeat_interval_s
        self.revision = 0
        self._state = InstanceState.LIVE
        self._sequence = int(clock.now_s() * SEQUENCES_PER_S)
        self._reconnected_at_s: dict[str, float] = {}
        self._states: dict[str, MemberState] = {}
        self._listeners: list[HeartbeatListener] = []
        link.subscribe(Heartbeat, self._heard)

    @property
    def state(self) -> InstanceState:
        """Return one's own state."""
        return self._state

    def add_heartbeat_listener(self, listener: HeartbeatListener) -> None:
        """Call `listener` with each heartbeat that is in order."""
        self._listeners.append(listener)

    def confirmation_status(self) -> ConfirmationStatus:
        """Judge whether new work may start under the configuration at hand."""
        now_s = self.clock.now_s()
        return self.tracker.confirmation_status(
            now_s, self.membership.reachable_share(now_s)
        )

    def can_start_attempts(self) -> bool:
        """Tell whether a zone that was taken out would be known of by now."""
        return not isinstance(self.confirmation_status(), Isolated)

    def live(self) -> frozenset[str]:
        """Return the live instances, this one included."""
        return frozenset(self.membership.live(self.clock.now_s()))

    def members(self) -> list[Member]:
        """Return all other instances known."""
        return self.membership.members(self.clock.now_s())

    async def leave(self) -> None:
        """Tell the platform and the peers that this instance is going."""
        self._state = InstanceState.LEAVING
        self._send_heartbeat()
        await self._announce()

    async def run_list(self) -> None:
        """Read the list and renew one's own entry until cancelled."""
        while True:
            await self._announce()
            entries = await self.instances.read()
            if not isinstance(entries, ReadFailed):
                self.membership.apply_list(entries, self.clock.now_s())
            await asyncio.sleep(LIST_INTERVAL_S)

    async def run_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self._send_heartbeat()
            self._reconnect_to_silent()
            self._log_changes()
            await asyncio.sleep(self.heartbeat_interval_s)

    async def _announce(self) -> None:
        info = InstanceInfo(
            self.info.instance_id, self.info.zone, self.info.peer_address, self._state
        )
        await self.instances.announce(info)

    def _send_heartbeat(self) -> None:
        now_s = self.clock.now_s()
        members = self.membership.members(now_s)
        self.link.set_peers(frozenset(member.peer_address for member in members))
        self._sequence += 1
        self.link.broadcast(
            Heartbeat(
                sender=self.info.instance_id,
                zone=self.info.zone,
                peer_address=self.info.peer_address,
                sequence=self._sequence,
                sent_at_s=now_s,
                state=self._state,
                revision=self.revision,
                config_offset=self.tracker.config_offset,
                confirmed_at_s=self.tracker.confirmed_at_s,
            )
        )
        CONFIRMED_AGE.set(now_s - self.tracker.confirmed_at_s)

    def _heard(self, heartbeat: Heartbeat) -> None:
        now_s = self.clock.now_s()
        if self.membership.record_heartbeat(heartbeat, now_s):
            self.tracker.record_peer_confirmation(
                heartbeat.sender,
                heartbeat.config_offset,
                heartbeat.confirmed_at_s,
                now_s,
            )
            for listener in self._listeners:
                listener(heartbeat)

    def _reconnect_to_silent(self) -> None:
        now_s = self.clock.now_s()
        for member in self.membership.suspected_peers(now_s):
            last_s = self._reconnected_at_s.get(member.instance_id, 0.0)
            if now_s - last_s >= RECONNECT_INTERVAL_S:
                self._reconnected_at_s[member.instance_id] = now_s
                self.link.reconnect(member.peer_address)

    def _log_changes(self) -> None:
        members = self.members()
        states = {member.instance_id: member.state for member in members}
        for instance_id, state in states.items():
            if self._states.get(instance_id) is not state:
                LOG.info("peer changed", peer=instance_id, state=state.value)
            if state is MemberState.SILENT:
                self.tracker.remove_peer(instance_id)
        for instance_id in self._states.keys() - states.keys():
            LOG.info("peer gone", peer=instance_id)
            self.tracker.remove_peer(instance_id)
            self._reconnected_at_s.pop(instance_id, None)
        self._states = states
