"""Metrics of calls and attempts, with cached label lookups."""

from functools import cache

from prometheus_client import Counter, Histogram

from baobabring.callers import get_outcome_name
from baobabring.calls import FinishCall
from baobabring.model import AttemptOutcome, Completed
from baobabring.program._metrics import (
    ATTEMPTS,
    CALL_SECONDS,
    CALLS,
    TENANT_CALL_SECONDS,
    TenantLabels,
)


class CallMetrics:
    """Count calls and attempts when they end."""

    def __init__(self) -> None:
        self._tenant_labels = TenantLabels()

    def count_call(self, command: FinishCall, now_s: float) -> None:
        """Count a call that ended."""
        call = command.call
        elapsed_s = now_s - call.arrived_at_s
        request_class = call.rule.request_class
        _class_histogram(call.service_id, request_class).observe(elapsed_s)
        tenant = self._tenant_labels.get_label(call.tenant)
        _tenant_histogram(tenant).observe(elapsed_s)
        outcome = command.outcome
        reason = "" if isinstance(outcome, Completed) else outcome.reason.value
        name = get_outcome_name(outcome)
        _call_counter(call.service_id, request_class, name, reason).inc()

    def count_attempt(self, service_id: str, outcome: AttemptOutcome) -> None:
        """Count an attempt that ended."""
        _attempt_counter(service_id, type(outcome).__name__.lower()).inc()


# Looking up the labels for each call would cost more than counting it.


@cache
def _class_histogram(service_id: str, request_class: str) -> Histogram:
    return CALL_SECONDS.labels(service_id, request_class)


@cache
def _tenant_histogram(tenant: str) -> Histogram:
    return TENANT_CALL_SECONDS.labels(tenant)


@cache
def _call_counter(
    service_id: str, request_class: str, outcome: str, reason: str
) -> Counter:
    return CALLS.labels(service_id, request_class, outcome, reason)


@cache
def _attempt_counter(service_id: str, outcome: str) -> Counter:
    return ATTEMPTS.labels(service_id, outcome)
