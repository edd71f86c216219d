"""Counters and histograms of an entry instance."""

from prometheus_client import Counter, Gauge, Histogram

from baobabring.program._shared_metrics import LATENCY_BUCKETS_S

ENTRY_CALLS = Counter(
    "baobabring_entry_calls_total", "Calls by outcome.", ("route", "outcome")
)
ENTRY_CALL_SECONDS = Histogram(
    "baobabring_entry_call_seconds",
    "Time from a call's arrival to its outcome.",
    ("route",),
    buckets=LATENCY_BUCKETS_S,
)
ENTRY_ATTEMPTS = Counter(
    "baobabring_entry_attempts_total",
    "Attempts at targets by how they ended.",
    ("service", "end"),
)
ENTRY_STREAMS = Counter(
    "baobabring_entry_streams_total",
    "Bodies passed on while they were received, by how their receipt ended.",
    ("service", "end"),
)
BODY_BYTES = Gauge("baobabring_entry_body_bytes", "Bytes of bodies held for callers.")
REQUEST_BODY_BYTES = Gauge(
    "baobabring_entry_request_body_bytes", "Bytes of large bodies of requests held."
)
PROBES = Counter("baobabring_entry_probes_total", "Probes of targets for their health.")
PROBE_FAILURES = Counter(
    "baobabring_entry_probe_failures_total",
    "Probes without a response from their target, by reason.",
    ("reason",),
)
LOST_SERVICES = Gauge(
    "baobabring_entry_lost_services", "Services none of whose targets can be reached."
)
INVALID_RESPONSES = Counter(
    "baobabring_entry_invalid_responses_total",
    "Responses of targets that did not keep to the protocol, by reason.",
    ("reason",),
)
HANDOVERS = Counter(
    "baobabring_entry_handovers_total",
    "Calls for which no target could be reached, by what came of handing them over.",
    ("end",),
)
HANDOVERS_TAKEN = Counter(
    "baobabring_entry_handovers_taken_total",
    "Calls that peers handed over, by whether this instance took them.",
    ("decision",),
)
LIMIT_ANNOUNCEMENTS = Counter(
    "baobabring_entry_limit_announcements_total",
    "Changes of targets' rate limits and unreadable announcements of them.",
    ("change",),
)
TARGET_PAUSES = Counter(
    "baobabring_entry_target_pauses_total",
    "Targets that asked to be left alone, for a time or because they are leaving.",
    ("reason",),
)
UNWANTED_REQUESTS = Counter(
    "baobabring_entry_unwanted_requests_total",
    "Calls and probes sent to targets within a pause that they had asked for.",
    ("kind",),
)
LOST_CALLS = Counter(
    "baobabring_entry_lost_calls_total",
    "Calls whose connection was lost, by whether their target has ended or is running.",
    ("target",),
)
REQUEST_CRASHES = Counter(
    "baobabring_entry_request_crashes_total",
    "Targets that ended while they ran a call of this instance, once for each request.",
)
BLOCKED_REQUESTS = Gauge(
    "baobabring_entry_blocked_requests",
    "Requests that are not sent, since they crashed several targets.",
)
LIMITED_REQUESTS = Counter(
    "baobabring_entry_limited_requests_total",
    "Calls and probes sent to targets that announce a rate limit.",
    ("kind",),
)
LIMITED_TARGETS = Gauge(
    "baobabring_entry_limited_targets", "Targets that announce a rate limit."
)
TASK_FAILURES = Counter(
    "baobabring_entry_task_failures_total",
    "Unexpected errors after which a task started again.",
    ("task",),
)
IGNORED_RECORDS = Counter(
    "baobabring_entry_ignored_records_total",
    "Records of the store that could not be read, by topic.",
    ("topic",),
)
STORE_CALLS = Counter(
    "baobabring_entry_store_calls_total", "Calls to the store by outcome.", ("outcome",)
)


def count_store_call(outcome: object | None) -> None:
    """Count a call to the store, of which None is a successful append."""
    name = "Appended" if outcome is None else type(outcome).__name__
    STORE_CALLS.labels(name).inc()


STORE_ERA = Gauge(
    "baobabring_entry_store_era", "Era that the store named last, 0 if none."
)
OUTDATED_VIEWS = Counter(
    "baobabring_entry_outdated_views_total",
    "Messages of peers that were ignored, since their view was older than the own one.",
)
VIEW_AGE = Gauge(
    "baobabring_entry_view_age_seconds", "Time since the store confirmed the view."
)
TARGETS = Gauge("baobabring_entry_targets", "Registered targets.")
LINES_DROPPED = Gauge(
    "baobabring_entry_log_lines_dropped", "Log lines that were not written."
)
