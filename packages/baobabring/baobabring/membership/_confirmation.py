"""Age of the configuration, and whether new attempts may start under it."""

from dataclasses import dataclass

CONFIRMATION_LIFETIME_S = 3.0
MAJORITY_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Confirmed:
    """Represent a configuration that was the newest at `confirmed_at_s`."""

    confirmed_at_s: float


@dataclass(frozen=True, slots=True)
class Degraded:
    """Represent an unconfirmed configuration that may stay in use.

    Most of the fleet is reachable, and no known peer has a newer confirmation.
    """

    confirmed_at_s: float


@dataclass(frozen=True, slots=True)
class Isolated:
    """Represent a configuration that may be outdated; no attempt may start."""

    confirmed_at_s: float


ConfirmationStatus = Confirmed | Degraded | Isolated


@dataclass(frozen=True, slots=True)
class _PendingConfirmation:
    """Represent a peer's confirmation of records that aren't applied here yet."""

    config_offset: int
    confirmed_at_s: float


class ConfirmationTracker:
    """Track the last time at which the configuration was known to be the newest.

    Parameters
    ----------
    lifetime_s : float
        Age above which a confirmation has expired.
    """

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self.config_offset = 0
        self.confirmed_at_s = 0.0
        self._pending: dict[str, _PendingConfirmation] = {}

    def record_applied(self, config_offset: int) -> None:
        """Record the offset that follows the last applied record."""
        self.config_offset = max(self.config_offset, config_offset)
        for peer_id, pending in list(self._pending.items()):
            if pending.config_offset <= self.config_offset:
                self._confirm(pending.confirmed_at_s)
                del self._pending[peer_id]

    def record_log_end(self, config_offset: int, read_started_at_s: float) -> None:
        """Record the log's end that a read started at `read_started_at_s` found."""
        if config_offset <= self.config_offset:
            self._confirm(read_started_at_s)

    def record_peer_confirmation(
        self, peer_id: str, config_offset: int, confirmed_at_s: float, now_s: float
    ) -> None:
        """Record a peer's confirmation, used once all its records are applied here."""
        confirmed_at_s = min(confirmed_at_s, now_s)
        if config_offset <= self.config_offset:
            self._confirm(confirmed_at_s)
            self._pending.pop(peer_id, None)
        else:
            self._pending[peer_id] = _PendingConfirmation(config_offset, confirmed_at_s)

    def remove_peer(self, peer_id: str) -> None:
        """Remove the confirmation of a peer that is unreachable."""
        self._pending.pop(peer_id, None)

    def confirmation_status(
        self, now_s: float, reachable_share: float
    ) -> ConfirmationStatus:
        """Return the status, given the reachable share of the listed instances."""
        if now_s - self.confirmed_at_s <= self.lifetime_s:
            return Confirmed(self.confirmed_at_s)
        is_behind = any(
            pending.confirmed_at_s > self.confirmed_at_s
            for pending in self._pending.values()
        )
        if reachable_share > MAJORITY_SHARE and not is_behind:
            return Degraded(self.confirmed_at_s)
        return Isolated(self.confirmed_at_s)

    def _confirm(self, confirmed_at_s: float) -> None:
        self.confirmed_at_s = max(self.confirmed_at_s, confirmed_at_s)


def create_confirmation_tracker(
    lifetime_s: float = CONFIRMATION_LIFETIME_S,
) -> ConfirmationTracker:
    """Create a tracker without any confirmation."""
    if not lifetime_s > 0:
        raise ValueError(f"lifetime_s must be > 0, got {lifetime_s}")
    return ConfirmationTracker(lifetime_s)
