"""Who is in the fleet, and whether one's own configuration is current."""

from baobabring.membership._confirmation import (
    ConfirmationTracker,
    Confirmed,
    Degraded,
    Isolated,
    Verdict,
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
    "ConfirmationTracker",
    "Confirmed",
    "Degraded",
    "Heartbeat",
    "Isolated",
    "Member",
    "MemberState",
    "Membership",
    "MembershipSettings",
    "Verdict",
    "create_confirmation_tracker",
    "create_membership",
]
