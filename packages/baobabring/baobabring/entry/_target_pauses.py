"""Times until which targets want no calls and no probes from this instance."""

from random import Random

from baobabring.entry._handover_messages import LeavingTarget
from baobabring.entry._model import EntryTarget

# Pauses are prolonged by up to this time, so that instances return one by one.
MAX_PROLONGATION_S = 0.5
# Oldest entries beyond this number are dropped.
MAX_PAUSES = 10_000


class TargetPauses:
    """Maintain until when targets are left alone.

    A pause belongs to one start of a target, and holds whether the target is registered
    or not. That of a leaving target does not end.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self._end_s: dict[tuple[str, int], float] = {}

    @property
    def has_any(self) -> bool:
        """Return whether any target may be left alone."""
        return bool(self._end_s)

    def end_s(self, target: EntryTarget) -> float:
        """Return when the pause of a target ends, minus infinity if it has none."""
        return self._end_s.get(_key(target), float("-inf"))

    def pause(self, target: EntryTarget, until_s: float) -> bool:
        """Leave a target alone until a time, at least; return whether that is new."""
        known_end_s = self.end_s(target)
        if until_s <= known_end_s:
            return False
        prolongation_s = self.rng.uniform(0.0, MAX_PROLONGATION_S)
        self._end_s[_key(target)] = until_s + prolongation_s
        if len(self._end_s) > MAX_PAUSES:
            del self._end_s[next(iter(self._end_s))]
        return True

    def mark_leaving(self, target: EntryTarget) -> bool:
        """Leave a target alone for good; return whether that is new."""
        return self.pause(target, float("inf"))

    def apply_leaving(self, leaving: LeavingTarget) -> None:
        """Leave a target alone for good because a peer heard that it is leaving."""
        self._end_s[leaving.target_id, leaving.started_at_ms] = float("inf")

    def is_leaving(self, target: EntryTarget) -> bool:
        """Return whether a target is left alone for good."""
        return self.end_s(target) == float("inf")

    def remove_ended(self, now_s: float) -> None:
        """Remove the pauses that have ended."""
        self._end_s = {key: end for key, end in self._end_s.items() if end > now_s}


def _key(target: EntryTarget) -> tuple[str, int]:
    return target.target_id, target.started_at_ms
