"""Tasks that track the fleet's instances and the age of the configuration."""

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
# Sequence numbers start at the clock's time, so that they grow over restarts.
SEQUENCES_PER_S = 1_000_000

HeartbeatListener = Callable[[Heartbeat], None]


class MembershipTask:
    """Track the fleet by the instance list and by heartbeats."""

    def __init__(
        self,
        info: InstanceInfo,
        membership: Membership,
        tracker: ConfirmationTracker,
        instance_list: PlatformInstanceList,
        link: PeerLink,
        clock: Clock,
        heartbeat_interval_s: float,
    ) -> None:
        self.info = info
        self.membership = membership
        self.tracker = tracker
        self.instance_list = instance_list
        self.link = link
        self.clock = clock
        self.heartbeat_interval_s = heartbeat_interval_s
        self.revision = 0
        self._state = InstanceState.LIVE
        self._sequence = int(clock.now_s() * SEQUENCES_PER_S)
        self._reconnected_at_s: dict[str, float] = {}
        self._peer_states: dict[str, MemberState] = {}
        self._heartbeat_listeners: list[HeartbeatListener] = []
        link.subscribe(Heartbeat, self._on_heartbeat)

    @property
    def state(self) -> InstanceState:
        """Return the state of this instance."""
        return self._state

    def add_heartbeat_listener(self, listener: HeartbeatListener) -> None:
        """Call `listener` with each heartbeat that arrives in order."""
        self._heartbeat_listeners.append(listener)

    def confirmation_status(self) -> ConfirmationStatus:
        """Return the confirmation status of the current configuration."""
        now_s = self.clock.now_s()
        return self.tracker.confirmation_status(
            now_s, self.membership.get_reachable_share(now_s)
        )

    def can_start_attempts(self) -> bool:
        """Return whether attempts may start; not if a zone may be out unnoticed."""
        return not isinstance(self.confirmation_status(), Isolated)

    def get_live_instances(self) -> frozenset[str]:
        """Return the live instances, including this one."""
        return frozenset(self.membership.get_live_instances(self.clock.now_s()))

    def get_members(self) -> list[Member]:
        """Return all other known instances."""
        return self.membership.get_members(self.clock.now_s())

    async def announce_leaving(self) -> None:
        """Announce to the platform and the peers that this instance is leaving."""
        self._state = InstanceState.LEAVING
        self._send_heartbeat()
        await self._announce()

    async def run_list_updates(self) -> None:
        """Read the list and renew this instance's entry until cancelled."""
        while True:
            await self._announce()
            entries = await self.instance_list.read()
            if not isinstance(entries, ReadFailed):
                self.membership.apply_list(entries, self.clock.now_s())
            await asyncio.sleep(LIST_INTERVAL_S)

    async def run_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self._send_heartbeat()
            self._reconnect_to_suspected()
            self._update_peer_states()
            await asyncio.sleep(self.heartbeat_interval_s)

    async def _announce(self) -> None:
        info = InstanceInfo(
            self.info.instance_id, self.info.zone, self.info.peer_address, self._state
        )
        await self.instance_list.announce(info)

    def _send_heartbeat(self) -> None:
        now_s = self.clock.now_s()
        members = self.membership.get_members(now_s)
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

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        now_s = self.clock.now_s()
        if self.membership.record_heartbeat(heartbeat, now_s):
            self.tracker.record_peer_confirmation(
                heartbeat.sender,
                heartbeat.config_offset,
                heartbeat.confirmed_at_s,
                now_s,
            )
            for listener in self._heartbeat_listeners:
                listener(heartbeat)

    def _reconnect_to_suspected(self) -> None:
        now_s = self.clock.now_s()
        for member in self.membership.suspected_peers(now_s):
            last_reconnect_at_s = self._reconnected_at_s.get(member.instance_id, 0.0)
            if now_s - last_reconnect_at_s >= RECONNECT_INTERVAL_S:
                self._reconnected_at_s[member.instance_id] = now_s
                self.link.reconnect(member.peer_address)

    def _update_peer_states(self) -> None:
        members = self.get_members()
        states = {member.instance_id: member.state for member in members}
        for instance_id, state in states.items():
            if self._peer_states.get(instance_id) is not state:
                LOG.info("peer state changed", peer=instance_id, state=state.value)
            if state is MemberState.SILENT:
                self.tracker.remove_peer(instance_id)
        for instance_id in self._peer_states.keys() - states.keys():
            LOG.info("peer removed", peer=instance_id)
            self.tracker.remove_peer(instance_id)
            self._reconnected_at_s.pop(instance_id, None)
        self._peer_states = states
