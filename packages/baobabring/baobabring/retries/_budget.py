"""Budget that bounds retries by a share of the first tries of a service."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Bound the retries and hedged tries that one instance starts.

    Parameters
    ----------
    retry_share : float
        Retries granted for each first try, from 0 to 1.
    floor_per_s : float
        Retries granted for each second, so that quiet services have some.
    burst : float
        Retries that a service can save up.
    """

    retry_share: float = 0.1
    floor_per_s: float = 0.2
    burst: float = 20.0

    def __post_init__(self) -> None:
        if not 0 <= self.retry_share <= 1:
            raise ValueError(
                f"retry_share must be between 0 and 1, got {self.retry_share}"
            )
        if not self.floor_per_s >= 0:
            raise ValueError(f"floor_per_s must be >= 0, got {self.floor_per_s}")
        if not self.burst >= 1:
            raise ValueError(f"burst must be >= 1, got {self.burst}")


@dataclass(slots=True)
class _Bucket:
    """Hold the retries saved up and when the floor was last added."""

    tokens: float
    refilled_at_s: float


class RetryBudget:
    """Grant retries from one token bucket a service; each begins with one token.

    Parameters
    ----------
    settings : RetrySettings
        Share, floor and burst.
    """

    def __init__(self, settings: RetrySettings) -> None:
        self.settings = settings
        self._buckets: dict[str, _Bucket] = {}

    def record_first_try(self, service_id: str, now_s: float) -> None:
        """Earn a share of a retry by a first try."""
        bucket = self._refilled(service_id, now_s)
        earned = bucket.tokens + self.settings.retry_share
        bucket.tokens = min(self.settings.burst, earned)

    def may_retry(
        self, service_id: str, retries_left_in_chain: int, now_s: float
    ) -> bool:
        """Spend one retry or hedged try if both budgets allow it."""
        if retries_left_in_chain <= 0:
            return False
        bucket = self._refilled(service_id, now_s)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _refilled(self, service_id: str, now_s: float) -> _Bucket:
        bucket = self._buckets.get(service_id)
        if bucket is None:
            bucket = self._buckets[service_id] = _Bucket(1.0, now_s)
            return bucket
        passed_s = max(0.0, now_s - bucket.refilled_at_s)
        earned = bucket.tokens + passed_s * self.settings.floor_per_s
        bucket.tokens = min(self.settings.burst, earned)
        bucket.refilled_at_s = max(bucket.refilled_at_s, now_s)
        return bucket


def create_retry_budget(settings: RetrySettings | None = None) -> RetryBudget:
    """Create a budget, with the default settings if none are given."""
    return RetryBudget(settings if settings is not None else RetrySettings())
