"""Times until which targets want no calls and no probes from this instance."""

from dataclasses import dataclass
from random import Random

from baobabring.entry._handover_messages import LeavingTarget
from baobabring.entry._model import EntryTarget

# Pauses are prolonged by up to this time, so that instances return one by one.
MAX_PROLONGATION_S = 0.5
# A start that began before its target was heard to leave, and is registered later, may
# be the one that leaves. It is left alone for as long as targets take for that.
UNREGISTERED_LEAVING_S = 30.0
# Oldest entries beyond this number are dropped.
MAX_PAUSES = 10_000


@dataclass(frozen=True, slots=True)
class _HeardLeaving:
    """Represent when a target said that it leaves, in Unix time and the own clock."""

    heard_at_unix_ms: float
    heard_at_s: float


class TargetPauses:
    """Maintain until when targets are left alone, whether they are registered or not.

    A pause holds for all starts of a target, since the one that asked for it may not be
    registered yet. Leaving belongs to the start that is known, for good, and for some
    time also to one that turns out to have begun before it was heard of.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self._pause_end_s: dict[str, float] = {}
        self._leaving: dict[tuple[str, int], None] = {}
        self._heard_leaving: dict[str, _HeardLeaving] = {}

    @property
    def has_any(self) -> bool:
        """Return whether any target may be left alone."""
        return bool(self._pause_end_s) or bool(self._leaving)

    def end_s(self, target: EntryTarget) -> float:
        """Return when a target is no longer left alone, minus infinity if it is not."""
        if self.is_leaving(target):
            return float("inf")
        pause_end_s = self._pause_end_s.get(target.target_id, float("-inf"))
        return max(pause_end_s, self._unregistered_leaving_end_s(target))

    def _unregistered_leaving_end_s(self, target: EntryTarget) -> float:
        heard = self._heard_leaving.get(target.target_id)
        if heard is None or target.started_at_ms > heard.heard_at_unix_ms:
            return float("-inf")
        return heard.heard_at_s + UNREGISTERED_LEAVING_S

    def pause(self, target: EntryTarget, until_s: float) -> bool:
        """Leave a target alone until a time, at least; return whether that is new."""
        if until_s <= self.end_s(target):
            return False
        prolongation_s = self.rng.uniform(0.0, MAX_PROLONGATION_S)
        self._pause_end_s[target.target_id] = until_s + prolongation_s
        _drop_oldest(self._pause_end_s)
        return True

    def mark_leaving(
        self, target: EntryTarget, unix_time_ms: float, now_s: float
    ) -> bool:
        """Leave one start of a target alone for good; return whether that is new."""
        is_new = not self.is_leaving(target)
        leaving = LeavingTarget(target.target_id, target.started_at_ms)
        self.apply_leaving(leaving, unix_time_ms, now_s)
        return is_new

    def apply_leaving(
        self, leaving: LeavingTarget, unix_time_ms: float, now_s: float
    ) -> None:
        """Leave one start of a target alone for good because a peer heard of it."""
        self._leaving[leaving.target_id, leaving.started_at_ms] = None
        self._heard_leaving.setdefault(
            leaving.target_id, _HeardLeaving(unix_time_ms, now_s)
        )
        _drop_oldest(self._leaving)

    def is_leaving(self, target: EntryTarget) -> bool:
        """Return whether a target said that it is leaving."""
        return (target.target_id, target.started_at_ms) in self._leaving

    def remove_ended(self, now_s: float) -> None:
        """Remove the pauses that have ended."""
        self._heard_leaving = {
            target_id: heard
            for target_id, heard in self._heard_leaving.items()
            if heard.heard_at_s + UNREGISTERED_LEAVING_S > now_s
        }
        self._pause_end_s = {
            target_id: end_s
            for target_id, end_s in self._pause_end_s.items()
            if end_s > now_s
        }


def _drop_oldest(entries: dict) -> None:
    if len(entries) > MAX_PAUSES:
        del entries[next(iter(entries))]
