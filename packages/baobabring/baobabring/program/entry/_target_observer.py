"""Observation of what targets say of themselves in any of their responses."""

import time
from dataclasses import dataclass

import logbook

from baobabring.connections import (
    INVALID_RESPONSE_FAILURES,
    ExchangeError,
    HttpResponse,
)
from baobabring.entry import EntryTarget, ResponseKind, TargetPauses
from baobabring.platform.wire import (
    is_announcement,
    is_of_expected_target,
    is_of_other_target,
    is_refusal,
    parse_retry_after_s,
    states_leaving,
    states_target_id,
    unusual_header_names,
)
from baobabring.program.entry._limit_observer import LimitObserver
from baobabring.program.entry._metrics import (
    INVALID_RESPONSES,
    TARGET_PAUSES,
    UNWANTED_REQUESTS,
)
from baobabring.utils import Clock

LOG = logbook.Logger("targets")

MAX_LOGGED_HEADERS = 30
MS_PER_S = 1_000
# Requests on their way when a refusal arrives are no mistake.
REFUSAL_MARGIN_S = 0.5
MAX_REMEMBERED_REFUSALS = 1_000


@dataclass(frozen=True, slots=True)
class _Refusal:
    """Represent when a target refused a request and until when it wants none."""

    received_at_s: float
    until_s: float


class TargetObserver:
    """Record the limits, the pauses and the leaving that targets announce."""

    def __init__(
        self, limit_observer: LimitObserver, pauses: TargetPauses, clock: Clock
    ) -> None:
        self.limit_observer = limit_observer
        self.pauses = pauses
        self.clock = clock
        self._logged_headers: set[bytes] = set()
        self._refusals: dict[str, _Refusal] = {}

    def observe_call(
        self, target: EntryTarget, response: HttpResponse, sent_at_s: float
    ) -> None:
        """Record what the headers of a response to a call say of its target."""
        if is_of_expected_target(response):
            self._observe(target, response, ResponseKind.CALL, sent_at_s)
        else:
            self._observe_pause(target, response, ResponseKind.CALL)

    def observe_probe(
        self, target: EntryTarget, response: HttpResponse, sent_at_s: float
    ) -> None:
        """Record what the headers of a response to a probe say of its target."""
        if states_target_id(response, target.target_id):
            self._observe(target, response, ResponseKind.PROBE, sent_at_s)
        else:
            self._observe_pause(target, response, ResponseKind.PROBE)

    def _observe(
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
            self._observe_pause(target, response, response_kind)
        for name in unusual_names:
            self._log_if_unknown(name, response_kind)

    def _observe_pause(
        self, target: EntryTarget, response: HttpResponse, response_kind: ResponseKind
    ) -> None:
        """Record whether a target wants to be left alone, if it sent the response."""
        if is_of_other_target(response, target.target_id):
            return
        if states_leaving(response) and self._mark_leaving(target):
            TARGET_PAUSES.labels("leaving").inc()
            LOG.info("target is leaving", target=target.target_id, source=response_kind)
            return
        wait_s = parse_retry_after_s(response)
        if wait_s is None:
            return
        now_s = self.clock.now_s()
        self._remember_refusal(target.target_id, _Refusal(now_s, now_s + wait_s))
        if self.pauses.pause(target, now_s + wait_s):
            TARGET_PAUSES.labels("wait").inc()
            LOG.info(
                "target wants a pause",
                target=target.target_id,
                source=response_kind,
                wait_s=wait_s,
            )

    def _mark_leaving(self, target: EntryTarget) -> bool:
        unix_time_ms = time.time() * MS_PER_S
        return self.pauses.mark_leaving(target, unix_time_ms, self.clock.now_s())

    def log_invalid_response(
        self, target: EntryTarget, error: ExchangeError, request_kind: ResponseKind
    ) -> None:
        """Log a response that ended because it did not keep to the protocol."""
        if error.failure not in INVALID_RESPONSE_FAILURES:
            return
        INVALID_RESPONSES.labels(error.failure.value).inc()
        LOG.warning(
            "target sent an invalid response",
            target=target.target_id,
            kind=request_kind,
            failure=error.failure,
        )

    def count_request(self, target: EntryTarget, request_kind: ResponseKind) -> None:
        """Count a call or a probe that is sent, and log one that is not wanted."""
        if request_kind is ResponseKind.CALL:
            self.limit_observer.count_call(target)
        else:
            self.limit_observer.count_probe(target)
        refusal = self._refusals.get(target.target_id)
        if refusal is None:
            return
        now_s = self.clock.now_s()
        since_s = now_s - refusal.received_at_s
        if since_s < REFUSAL_MARGIN_S or now_s >= refusal.until_s:
            return
        UNWANTED_REQUESTS.labels(request_kind.value).inc()
        LOG.warning(
            "request to a target that wants a pause",
            target=target.target_id,
            started_at_ms=target.started_at_ms,
            kind=request_kind,
            since_refusal_s=round(since_s, 3),
            left_s=round(refusal.until_s - now_s, 3),
        )

    def _remember_refusal(self, target_id: str, refusal: _Refusal) -> None:
        known = self._refusals.pop(target_id, None)
        if known is not None and known.until_s > refusal.until_s:
            refusal = known
        self._refusals[target_id] = refusal
        if len(self._refusals) > MAX_REMEMBERED_REFUSALS:
            del self._refusals[next(iter(self._refusals))]

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
