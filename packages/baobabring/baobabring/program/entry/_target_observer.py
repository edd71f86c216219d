"""Observation of what targets say of themselves in any of their responses."""

import logbook

from baobabring.connections import HttpResponse
from baobabring.entry import EntryTarget, LimitSource, TargetPauses
from baobabring.platform.wire import (
    is_of_other_target,
    parse_retry_after_s,
    states_leaving,
)
from baobabring.program.entry._limit_observer import LimitObserver
from baobabring.program.entry._metrics import TARGET_PAUSES
from baobabring.utils import Clock

LOG = logbook.Logger("targets")


class TargetObserver:
    """Record the limits, the pauses and the leaving that targets announce."""

    def __init__(
        self, limit_observer: LimitObserver, pauses: TargetPauses, clock: Clock
    ) -> None:
        self.limit_observer = limit_observer
        self.pauses = pauses
        self.clock = clock

    def observe(
        self,
        target: EntryTarget,
        response: HttpResponse,
        source: LimitSource,
        sent_at_s: float,
    ) -> None:
        """Record what a response says that the target is known to have sent."""
        self.limit_observer.observe(target, response, source, sent_at_s)
        self.observe_pause(target, response, source)

    def observe_pause(
        self, target: EntryTarget, response: HttpResponse, source: LimitSource
    ) -> None:
        """Record whether a target wants to be left alone, if it sent the response."""
        if is_of_other_target(response, target.target_id):
            return
        if states_leaving(response) and self.pauses.mark_leaving(target):
            TARGET_PAUSES.labels("leaving").inc()
            LOG.info("target is leaving", target=target.target_id, source=source)
            return
        wait_s = parse_retry_after_s(response)
        if wait_s is None:
            return
        if self.pauses.pause(target, self.clock.now_s() + wait_s):
            TARGET_PAUSES.labels("wait").inc()
            LOG.info(
                "target wants a pause",
                target=target.target_id,
                source=source,
                wait_s=wait_s,
            )
