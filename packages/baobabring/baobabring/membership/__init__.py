"""Members of the fleet, and whether this instance's configuration is current."""

from baobabring.membership._confirmation import (
    ConfirmationStatus,
    ConfirmationTracker,
    Confirmed,
    Degraded,
    Isolated,
    create_confirmation_tracker,
)
from baobabring.membership._heartbeat import (
    Heartbeat,
)
from baobabring.membership._membership import (
    Member,
    Membership,
    MembershipSettings,
    MemberState,
    create_membership,
)

__all__ = [
    "ConfirmationStatus",
    "ConfirmationTracker",
    "Confirmed",
    "Degraded",
    "Heartbeat",
    "Isolated",
    "Member",
    "MemberState",
    "Membership",
    "MembershipSettings",
    "create_confirmation_tracker",
    "create_membership",
]
