"""Settings of the claims on idempotency keys."""

from dataclasses import dataclass, fields


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Represent the limits of claims in time, bytes and appends.

    `window_s` and `unresolved_window_s` must be shorter than the log's retention.

    Parameters
    ----------
    window_s : float
        Maximum age at which a key can be proven to be new.
    unresolved_window_s : float
        Age of a key up to which its unknown outcome stays listed.
    future_limit_s : float
        Maximum time by which callers' clocks are ahead.
    clock_skew_s : float
        Maximum difference between the clocks of instances and of the log.
    settlement_margin_s : float
        Time after its dispatch deadline in which a claim can still win, and must not
        be settled as not run.
    result_grace_s : float
        Time after its dispatch deadline in which a claim's result may still arrive;
        without a result, the outcome is unknown afterwards.
    log_failing_limit_s : float
        Time without a successful read or append after which the log counts as failing.
    log_retry_delay_s : float
        Minimum delay before a caller refused because the log is unavailable may retry.
    budget_appends_per_s : float
        Appends per second that the whole fleet may make.
    burst_appends : float
        Appends that an idle instance may make at once.
    batch_limit_bytes : int
        Maximum size of the records of a batch, unless a single record is larger.
    body_limit_bytes : int
        Maximum size of headers and body of a response that is stored in full.
    """

    window_s: float = 600.0
    unresolved_window_s: float = 43200.0
    future_limit_s: float = 5.0
    clock_skew_s: float = 1.0
    settlement_margin_s: float = 5.0
    result_grace_s: float = 2.0
    log_failing_limit_s: float = 2.0
    log_retry_delay_s: float = 1.0
    budget_appends_per_s: float = 200.0
    burst_appends: float = 2.0
    batch_limit_bytes: int = 65536
    body_limit_bytes: int = 4096

    def check(self) -> None:
        """Raise ValueError if a value is out of range."""
        for field in fields(self):
            value = getattr(self, field.name)
            if value <= 0 and field.name != "body_limit_bytes":
                raise ValueError(f"{field.name} must be positive, got {value!r}")
        if self.unresolved_window_s < self.window_s:
            raise ValueError(
                f"unresolved_window_s must be at least window_s={self.window_s!r}, "
                f"got {self.unresolved_window_s!r}"
            )
        if self.burst_appends < 1:
            raise ValueError(
                f"burst_appends must be at least 1, got {self.burst_appends!r}"
            )
        if not 0 <= self.body_limit_bytes <= self.batch_limit_bytes:
            raise ValueError(
                f"body_limit_bytes must be from 0 to batch_limit_bytes="
                f"{self.batch_limit_bytes!r}, got {self.body_limit_bytes!r}"
            )
        if self.settlement_margin_s < self.clock_skew_s:
            raise ValueError(
                f"settlement_margin_s must be at least clock_skew_s="
                f"{self.clock_skew_s!r}, got {self.settlement_margin_s!r}"
            )
