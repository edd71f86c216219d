"""Budget that limits retries to a share of the first attempts of a service."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Represent the limits on retries and hedged attempts of one instance.

    Parameters
    ----------
    retry_share : float
        Retries granted per first attempt, from 0 to 1.
    min_retries_per_s : float
        Retries granted per second, so that services with little traffic have some.
    burst : float
        Retries that a service can accumulate.
    """

    retry_share: float = 0.1
    min_retries_per_s: float = 0.2
    burst: float = 20.0

    def __post_init__(self) -> None:
        if not 0 <= self.retry_share <= 1:
            raise ValueError(
                f"retry_share must be between 0 and 1, got {self.retry_share}"
            )
        if not self.min_retries_per_s >= 0:
            raise ValueError(
                f"min_retries_per_s must be >= 0, got {self.min_retries_per_s}"
            )
        if not self.burst >= 1:
            raise ValueError(f"burst must be >= 1, got {self.burst}")


@dataclass(slots=True)
class _Bucket:
    """Represent the retries of a service and when they were last refilled."""

    tokens: float
    refilled_at_s: float


class RetryBudget:
    """Grant retries from one token bucket per service, which starts with one token.

    Parameters
    ----------
    settings : RetrySettings
        Share, minimum and burst.
    """

    def __init__(self, settings: RetrySettings) -> None:
        self.settings = settings
        self._buckets: dict[str, _Bucket] = {}

    def record_first_attempt(self, service_id: str, now_s: float) -> None:
        """Add the share of a retry that a first attempt grants."""
        bucket = self._get_refilled_bucket(service_id, now_s)
        earned = bucket.tokens + self.settings.retry_share
        bucket.tokens = min(self.settings.burst, earned)

    def try_spend_retry(
        self, service_id: str, retries_left_in_chain: int, now_s: float
    ) -> bool:
        """Spend one retry or hedged attempt; return whether both budgets allowed it."""
        if retries_left_in_chain <= 0:
            return False
        bucket = self._get_refilled_bucket(service_id, now_s)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _get_refilled_bucket(self, service_id: str, now_s: float) -> _Bucket:
        bucket = self._buckets.get(service_id)
        if bucket is None:
            bucket = self._buckets[service_id] = _Bucket(1.0, now_s)
            return bucket
        elapsed_s = max(0.0, now_s - bucket.refilled_at_s)
        earned = bucket.tokens + elapsed_s * self.settings.min_retries_per_s
        bucket.tokens = min(self.settings.burst, earned)
        bucket.refilled_at_s = max(bucket.refilled_at_s, now_s)
        return bucket


def create_retry_budget(settings: RetrySettings | None = None) -> RetryBudget:
    """Create a budget, with the default settings if none are given."""
    return RetryBudget(settings if settings is not None else RetrySettings())
