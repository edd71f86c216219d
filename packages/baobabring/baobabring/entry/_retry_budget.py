"""Limit on the retries of all instances together, kept by each for its own share."""

from collections import deque
from dataclasses import dataclass

from baobabring.entry._settings import FleetLimits

MS_PER_S = 1_000
SLICES_PER_WINDOW = 40
# The rest is for retries of instances that are not yet known to this one.
PLANNED_SHARE = 0.85
# Share that hedges may use. The rest is for calls that failed or were refused, which
# would otherwise get no response at all.
HEDGE_SHARE = 0.6


@dataclass(slots=True)
class _Slice:
    """Represent the attempts of a service in one part of the window."""

    number: int
    first_attempts: int = 0
    retries: int = 0


class _ServiceWindow:
    """Count the attempts of a service in the recent past, in slices of time."""

    def __init__(self) -> None:
        self._slices: deque[_Slice] = deque()
        self._first_attempts = 0
        self._retries = 0

    def allowed_retries(self, retry_share: float, slack: float) -> float:
        """Return how many retries are allowed in the window, those sent included."""
        return retry_share * self._first_attempts + slack

    @property
    def retries(self) -> int:
        """Return the number of retries sent in the window."""
        return self._retries

    def add_first_attempt(self, number: int) -> None:
        """Count a first attempt in a slice."""
        self._slice(number).first_attempts += 1
        self._first_attempts += 1

    def add_retry(self, number: int) -> None:
        """Count a retry in a slice."""
        self._slice(number).retries += 1
        self._retries += 1

    def drop_until(self, number: int) -> None:
        """Drop the slices up to a number."""
        while self._slices and self._slices[0].number <= number:
            dropped = self._slices.popleft()
            self._first_attempts -= dropped.first_attempts
            self._retries -= dropped.retries

    def _slice(self, number: int) -> _Slice:
        if not self._slices or self._slices[-1].number < number:
            self._slices.append(_Slice(number))
        return self._slices[-1]


class FleetRetryBudget:
    """Allow retries so that those of all instances stay within the fleet's limit.

    The limit holds for each window: a share of the first attempts in it and a fixed
    number, of which each instance uses an equal part. What isn't needed early in a
    window can be used later in it.
    """

    def __init__(self, limits: FleetLimits, instance_count: int = 1) -> None:
        self.limits = limits
        self.instance_count = instance_count
        self._windows: dict[str, _ServiceWindow] = {}

    def record_first_attempt(self, service_id: str, now_s: float) -> None:
        """Count the first attempt of a call, which grants a share of a retry."""
        self._recent(service_id, now_s).add_first_attempt(self._slice_number(now_s))

    def try_spend_retry(self, service_id: str, now_s: float) -> bool:
        """Count a retry if it is allowed; return whether it is."""
        return self._try_spend(service_id, 1.0, now_s)

    def try_spend_hedge(self, service_id: str, now_s: float) -> bool:
        """Count a hedged attempt if it leaves enough for retries."""
        return self._try_spend(service_id, HEDGE_SHARE, now_s)

    def _try_spend(self, service_id: str, usable_share: float, now_s: float) -> bool:
        window = self._recent(service_id, now_s)
        retry_share = self.limits.retry_share * PLANNED_SHARE
        slack = self.limits.retry_slack * PLANNED_SHARE / self.instance_count
        allowed = usable_share * window.allowed_retries(retry_share, slack)
        if window.retries + 1 > allowed:
            return False
        window.add_retry(self._slice_number(now_s))
        return True

    def _recent(self, service_id: str, now_s: float) -> _ServiceWindow:
        window = self._windows.setdefault(service_id, _ServiceWindow())
        window.drop_until(self._slice_number(now_s) - SLICES_PER_WINDOW - 1)
        return window

    def _slice_number(self, now_s: float) -> int:
        slice_s = self.limits.retry_window_ms / MS_PER_S / SLICES_PER_WINDOW
        return int(now_s / slice_s)
