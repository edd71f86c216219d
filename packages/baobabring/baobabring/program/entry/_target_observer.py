"""Observation of what targets say of themselves in any of their responses."""

import logbook

from baobabring.connections import HttpResponse
from baobabring.entry import EntryTarget, ResponseKind, TargetPauses
from baobabring.platform.wire import (
    is_announcement,
    is_of_other_target,
    is_refusal,
    parse_retry_after_s,
    states_leaving,
    unusual_header_names,
)
from baobabring.program.entry._limit_observer import LimitObserver
from baobabring.program.entry._metrics import TARGET_PAUSES
from baobabring.utils import Clock

LOG = logbook.Logger("targets")

MAX_LOGGED_HEADERS = 30


class TargetObserver:
    """Record the limits, the pauses and the leaving that targets announce."""

    def __init__(
        self, limit_observer: LimitObserver, pauses: TargetPauses, clock: Clock
    ) -> None:
        self.limit_observer = limit_observer
        self.pauses = pauses
        self.clock = clock
        self._logged_headers: set[bytes] = set()

    def observe(
        self,
        target: EntryTarget,
        response: HttpResponse,
        response_kind: ResponseKind,
        sent_at_s: float,
    ) -> None:
        """Record what a response says that the target is known to have sent."""
        unusual_names = unusual_header_names(response)
        # The absence of an announcement can end a limit.
        if unusual_names or self.limit_observer.limits:
            self.limit_observer.observe(target, response, response_kind, sent_at_s)
        if unusual_names or is_refusal(response):
            self.observe_pause(target, response, response_kind)
        for name in unusual_names:
            self._log_if_unknown(name, response_kind)

    def observe_pause(
        self, target: EntryTarget, response: HttpResponse, response_kind: ResponseKind
    ) -> None:
        """Record whether a target wants to be left alone, if it sent the response."""
        if is_of_other_target(response, target.target_id):
            return
        if states_leaving(response) and self.pauses.mark_leaving(target):
            TARGET_PAUSES.labels("leaving").inc()
            LOG.info("target is leaving", target=target.target_id, source=response_kind)
            return
        wait_s = parse_retry_after_s(response)
        if wait_s is None:
            return
        if self.pauses.pause(target, self.clock.now_s() + wait_s):
            TARGET_PAUSES.labels("wait").inc()
            LOG.info(
                "target wants a pause",
                target=target.target_id,
                source=response_kind,
                wait_s=wait_s,
            )

    def _log_if_unknown(self, name: bytes, response_kind: ResponseKind) -> None:
        """Log a header without a meaning here, each name once."""
        if is_announcement(name) or name in self._logged_headers:
            return
        if len(self._logged_headers) >= MAX_LOGGED_HEADERS:
            return
        self._logged_headers.add(name)
        LOG.info(
            "target sent an unknown header",
            header=name.decode("latin-1"),
            source=response_kind,
        )
