"""Settings of load balancing."""

from dataclasses import dataclass
from math import isfinite


@dataclass(frozen=True, slots=True)
class BalancingSettings:
    """Represent the settings of the section `[balancing]`.

    Parameters
    ----------
    oversubscription : float
        Factor on a target's slots up to which calls are sent while no target of
        the service has a free slot; calls beyond the slots wait at the target.
    decay_service_times : float
        Time constant of the decay of peers' counts, in mean service times.
    share_interval_ms : float
        Minimum time between in-flight updates while a target is loaded.
    share_idle_factor : float
        Factor on this interval while no target is loaded or the budget is short.
    share_bytes_per_s : float
        Budget for in-flight updates; each counts once, not once per peer.
    share_renew_ms : float
        Time after which an instance with calls in flight sends another update.
    share_refresh_ms : float
        Time after which an instance sends all of its counts again.
    ejection_share : float
        Largest share of a service's targets that may be ejected at once.
    ejection_base_s : float
        Duration of the first ejection of a target; each further one is twice as long.
    ejection_limit_s : float
        Longest duration of an ejection.
    ejection_failures : int
        Consecutive failures after which a target is ejected.
    cold_lease_s : float
        Duration of a lease on a target in cold start.
    clock_skew_s : float
        Largest assumed difference between the clocks of instances and the log.
    cold_settle_s : float
        Time between a cold record and the first call under a lease, and time after a
        warm record in which cold reports of probes are ignored.
    cold_proposal_interval_s : float
        Minimum time between the proposals of one instance.
    cold_rank_delay_s : float
        The instance of rank n, from 0, delays a proposal by this time times
        log2(1 + n), so that usually only one instance makes it.
    warm_after_responses : int
        Good responses under a lease after which a target counts as warm.
    """

    policy: str = "shared"
    oversubscription: float = 1.0
    decay_service_times: float = 3.0
    share_interval_ms: float = 5.0
    share_idle_factor: float = 4.0
    share_bytes_per_s: float = 20_000.0
    share_renew_ms: float = 50.0
    share_refresh_ms: float = 1_000.0
    ejection_share: float = 0.5
    ejection_base_s: float = 1.0
    ejection_limit_s: float = 60.0
    ejection_failures: int = 5
    cold_lease_s: float = 10.0
    clock_skew_s: float = 1.0
    cold_settle_s: float = 0.5
    cold_proposal_interval_s: float = 0.1
    cold_rank_delay_s: float = 0.25
    warm_after_responses: int = 5

    def __post_init__(self) -> None:
        _check_positive(self)
        _check_not_negative(self)
        if not 0.0 <= self.ejection_share < 1.0:
            raise ValueError(
                f"ejection_share must be in [0, 1), got {self.ejection_share!r}"
            )


def _check_positive(settings: BalancingSettings) -> None:
    for name in (
        "oversubscription",
        "decay_service_times",
        "share_interval_ms",
        "share_idle_factor",
        "share_bytes_per_s",
        "share_renew_ms",
        "share_refresh_ms",
        "ejection_base_s",
        "ejection_limit_s",
        "ejection_failures",
        "cold_lease_s",
        "warm_after_responses",
    ):
        value = getattr(settings, name)
        if not (value > 0 and isfinite(value)):
            raise ValueError(f"{name} must be positive, got {value!r}")


def _check_not_negative(settings: BalancingSettings) -> None:
    for name in (
        "clock_skew_s",
        "cold_settle_s",
        "cold_proposal_interval_s",
        "cold_rank_delay_s",
    ):
        value = getattr(settings, name)
        if not (value >= 0 and isfinite(value)):
            raise ValueError(f"{name} must not be negative, got {value!r}")
