"""Metrics of an instance."""

from prometheus_client import Counter, Gauge, Histogram

from baobabring.platform import AppendOutcome
from baobabring.program._shared_metrics import LATENCY_BUCKETS_S

MAX_TENANT_LABELS = 100
OTHER_TENANTS_LABEL = "other"

CALL_SECONDS = Histogram(
    "baobabring_call_seconds",
    "Time from arrival to final answer.",
    ("service", "request_class"),
    buckets=LATENCY_BUCKETS_S,
)
TENANT_CALL_SECONDS = Histogram(
    "baobabring_tenant_call_seconds",
    "Time from arrival to final answer.",
    ("tenant",),
    buckets=LATENCY_BUCKETS_S,
)
CALLS = Counter(
    "baobabring_calls_total",
    "Calls by final outcome; the reason is empty for completed ones.",
    ("service", "request_class", "outcome", "reason"),
)
ATTEMPTS = Counter(
    "baobabring_attempts_total",
    "Attempts at targets by how they ended.",
    ("service", "outcome"),
)
PROBES = Counter("baobabring_probes_total", "Probes sent to targets.")
LOG_APPENDS = Counter(
    "baobabring_log_appends_total",
    "Appends to the platform's log by outcome.",
    ("stream", "outcome"),
)
CALLS_IN_PROGRESS = Gauge(
    "baobabring_calls_in_progress", "Calls without a final answer."
)
REVISION = Gauge("baobabring_configuration_revision", "Revision in force.")
CONFIRMED_AGE = Gauge(
    "baobabring_configuration_confirmed_age_seconds",
    "Time since the configuration was last confirmed as the newest.",
)


class TenantLabels:
    """Limit the number of tenants that get their own label."""

    def __init__(self, limit: int = MAX_TENANT_LABELS) -> None:
        self.limit = limit
        self._labelled_tenants: set[str] = set()

    def get_label(self, tenant: str) -> str:
        """Return the tenant's own label, or the shared one at the limit."""
        if tenant in self._labelled_tenants:
            return tenant
        if len(self._labelled_tenants) >= self.limit:
            return OTHER_TENANTS_LABEL
        self._labelled_tenants.add(tenant)
        return tenant


def count_append(stream: str, outcome: AppendOutcome) -> None:
    """Count an append to the log by its outcome."""
    LOG_APPENDS.labels(stream, type(outcome).__name__).inc()
