"""Check of the requests that a target with a rate limit received."""

from collections.abc import Sequence

LIMIT_WINDOW_S = 4.0
ALLOWED_EXCESS = 1.5
ALLOWED_EXTRA_REQUESTS = 5
# Requests count from this long after the target named its limit ...
TOLD_AFTER_S = 0.5
# ... in windows that end after this.
STABILITY_WINDOW_S = 3.0


def allowed_requests(limit_per_s: float) -> float:
    """Return how many requests all instances may send in a window."""
    return ALLOWED_EXCESS * limit_per_s * LIMIT_WINDOW_S + ALLOWED_EXTRA_REQUESTS


def most_requests_in_window(
    received_at_s: Sequence[float], named_at_s: float, until_s: float
) -> int:
    """Return the most requests in any window while a limit was in force.

    Requests of all instances count, also of those that the target had not told yet.
    """
    counted = [
        at_s for at_s in received_at_s if named_at_s + TOLD_AFTER_S <= at_s <= until_s
    ]
    return max(
        (
            sum(end_s - LIMIT_WINDOW_S < at_s <= end_s for at_s in counted)
            for end_s in counted
            if end_s >= named_at_s + STABILITY_WINDOW_S
        ),
        default=0,
    )
