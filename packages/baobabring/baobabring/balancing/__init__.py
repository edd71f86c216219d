"""Load balancing: the choice of a target for each call."""

from baobabring.balancing import (
    _hot_cold,
    _least_in_flight,
    _random,
    _round_robin,
    _shared,
    _two_choices,
)
from baobabring.balancing._balancer import Balancer, create_balancer
from baobabring.balancing._candidate import Candidate
from baobabring.balancing._cold_start import ColdStartGuard
from baobabring.balancing._cold_start_replica import COLD_START_STREAM
from baobabring.balancing._ejection import OutlierEjection
from baobabring.balancing._policy import POLICIES, TargetPolicy
from baobabring.balancing._settings import BalancingSettings
from baobabring.balancing._sharing import InFlightSharing
from baobabring.balancing._updates import (
    ColdNotice,
    InFlightUpdate,
    TargetCount,
    target_key,
)

# Importing a policy module registers its policies.
PLUGIN_MODULES = (
    _hot_cold,
    _least_in_flight,
    _random,
    _round_robin,
    _shared,
    _two_choices,
)

__all__ = [
    "COLD_START_STREAM",
    "POLICIES",
    "Balancer",
    "BalancingSettings",
    "Candidate",
    "ColdNotice",
    "ColdStartGuard",
    "InFlightSharing",
    "InFlightUpdate",
    "OutlierEjection",
    "TargetCount",
    "TargetPolicy",
    "create_balancer",
    "target_key",
]
