"""Age of the configuration, and whether new work may go on under it."""

from dataclasses import dataclass

CONFIRMATION_LIFETIME_S = 3.0
MAJORITY = 0.5


@dataclass(frozen=True, slots=True)
class Confirmed:
    """Tell that the configuration was the newest at `confirmed_at_s`."""

    confirmed_at_s: float


@dataclass(frozen=True, slots=True)
class Degraded:
    """Tell that nobody in reach can confirm; go on with what is known."""

    confirmed_at_s: float


@dataclass(frozen=True, slots=True)
class Isolated:
    """Tell that the configuration may be outdated; start no new work."""

    confirmed_at_s: float


Verdict = Confirmed | Degraded | Isolated


@dataclass(frozen=True, slots=True)
class _PeerAhead:
    """Hold a peer's confirmation of records that are not applied here yet."""

    config_offset: int
    confirmed_at_s: float


class ConfirmationTracker:
    """Follow up to which point in time the configuration is known as newest.

    Parameters
    ----------
    lifetime_s : float
        Age from which a confirmation does not count any more.
    """

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self.config_offset = 0
        self.confirmed_at_s = 0.0
        self._ahead: dict[str, _PeerAhead] = {}

    def applied(self, config_offset: int) -> None:
        """Record the next offset after all records applied so far."""
        self.config_offset = max(self.config_offset, config_offset)
        for peer_id, ahead in list(self._ahead.items()):
            if ahead.config_offset <= self.config_offset:
                self._confirm(ahead.confirmed_at_s)
                del self._ahead[peer_id]

    def end_read(self, config_offset: int, asked_at_s: float) -> None:
        """Record that a read asked for then found this offset as the log's end."""
        if config_offset <= self.config_offset:
            self._confirm(asked_at_s)

    def peer_confirmed(
        self, peer_id: str, config_offset: int, confirmed_at_s: float, now_s: float
    ) -> None:
        """Take over a peer's confirmation if all that it applied is applied here."""
        confirmed_at_s = min(confirmed_at_s, now_s)
        if config_offset <= self.config_offset:
            self._confirm(confirmed_at_s)
            self._ahead.pop(peer_id, None)
        else:
            self._ahead[peer_id] = _PeerAhead(config_offset, confirmed_at_s)

    def forget_peer(self, peer_id: str) -> None:
        """Drop the confirmation of a peer that is out of reach."""
        self._ahead.pop(peer_id, None)

    def verdict(self, now_s: float, reachable_share: float) -> Verdict:
        """Judge the confirmation's age; the share is of the listed instances."""
        if now_s - self.confirmed_at_s <= self.lifetime_s:
            return Confirmed(self.confirmed_at_s)
        behind = any(
            ahead.confirmed_at_s > self.confirmed_at_s for ahead in self._ahead.values()
        )
        if reachable_share > MAJORITY and not behind:
            return Degraded(self.confirmed_at_s)
        return Isolated(self.confirmed_at_s)

    def _confirm(self, confirmed_at_s: float) -> None:
        self.confirmed_at_s = max(self.confirmed_at_s, confirmed_at_s)


def create_confirmation_tracker(
    lifetime_s: float = CONFIRMATION_LIFETIME_S,
) -> ConfirmationTracker:
    """Create a tracker of a process that has confirmed nothing yet."""
    if not lifetime_s > 0:
        raise ValueError(f"lifetime_s must be > 0, got {lifetime_s}")
    return ConfirmationTracker(lifetime_s)
