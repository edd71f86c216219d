"""Times until which targets want no calls and no probes from this instance."""

from random import Random

from baobabring.entry._handover_messages import LeavingTarget
from baobabring.entry._model import EntryTarget

# Pauses are prolonged by up to this time, so that instances return one by one.
MAX_PROLONGATION_S = 0.5
# Oldest entries beyond this number are dropped.
MAX_PAUSES = 10_000


class TargetPauses:
    """Maintain until when targets are left alone, whether they are registered or not.

    A pause holds for all starts of a target, since the one that asked for it may not be
    registered yet. Leaving belongs to one start, and does not end.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self._pause_end_s: dict[str, float] = {}
        self._leaving: dict[tuple[str, int], None] = {}

    @property
    def has_any(self) -> bool:
        """Return whether any target may be left alone."""
        return bool(self._pause_end_s) or bool(self._leaving)

    def end_s(self, target: EntryTarget) -> float:
        """Return when a target is no longer left alone, minus infinity if it is not."""
        if self.is_leaving(target):
            return float("inf")
        return self._pause_end_s.get(target.target_id, float("-inf"))

    def pause(self, target: EntryTarget, until_s: float) -> bool:
        """Leave a target alone until a time, at least; return whether that is new."""
        if until_s <= self.end_s(target):
            return False
        prolongation_s = self.rng.uniform(0.0, MAX_PROLONGATION_S)
        self._pause_end_s[target.target_id] = until_s + prolongation_s
        _drop_oldest(self._pause_end_s)
        return True

    def mark_leaving(self, target: EntryTarget) -> bool:
        """Leave one start of a target alone for good; return whether that is new."""
        if self.is_leaving(target):
            return False
        self.apply_leaving(LeavingTarget(target.target_id, target.started_at_ms))
        return True

    def apply_leaving(self, leaving: LeavingTarget) -> None:
        """Leave one start of a target alone for good because a peer heard of it."""
        self._leaving[leaving.target_id, leaving.started_at_ms] = None
        _drop_oldest(self._leaving)

    def is_leaving(self, target: EntryTarget) -> bool:
        """Return whether a target said that it is leaving."""
        return (target.target_id, target.started_at_ms) in self._leaving

    def remove_ended(self, now_s: float) -> None:
        """Remove the pauses that have ended."""
        self._pause_end_s = {
            target_id: end_s
            for target_id, end_s in self._pause_end_s.items()
            if end_s > now_s
        }


def _drop_oldest(entries: dict) -> None:
    if len(entries) > MAX_PAUSES:
        del entries[next(iter(entries))]
