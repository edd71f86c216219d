"""Exchange of the limits that targets announce, by way of the store's reader."""

from baobabring.entry import TargetLimitNotices
from baobabring.program._peer_link import PeerLink
from baobabring.program.entry._limit_observer import LimitObserver
from baobabring.program.entry._peer_task import PeerTask
from baobabring.utils import Clock


class LimitExchange:
    """Send what this instance heard to the reader, which passes it on to all."""

    def __init__(
        self,
        limit_observer: LimitObserver,
        peer_task: PeerTask,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        self.limit_observer = limit_observer
        self.peer_task = peer_task
        self.clock = clock
        link.subscribe(TargetLimitNotices, self._on_notices)

    def send_notices(self) -> None:
        """Send what peers have not been told yet."""
        if not self.peer_task.can_tell_all():
            return
        notices = self.limit_observer.limits.pop_notices(self.clock.now_s())
        if notices:
            message = TargetLimitNotices(self.peer_task.instance_id, notices)
            self.peer_task.tell_all(message)

    def _on_notices(self, message: TargetLimitNotices) -> None:
        pass_on = self.peer_task.is_reader()
        for notice in message.notices:
            self.limit_observer.apply_notice(notice, pass_on)
