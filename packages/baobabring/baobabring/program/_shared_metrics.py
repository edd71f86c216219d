"""Metrics that both programs use."""

from prometheus_client import Counter

LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.004,
    0.008,
    0.016,
    0.032,
    0.064,
    0.128,
    0.256,
    0.512,
    1.024,
    2.048,
    4.096,
    8.192,
)

PEER_MESSAGES = Counter(
    "baobabring_peer_messages_total",
    "Messages between instances.",
    ("direction", "kind"),
)
PEER_BYTES = Counter(
    "baobabring_peer_bytes_total", "Bytes between instances.", ("direction", "kind")
)
