"""Unknown outcomes and their settlement by operators."""

import random
from collections import OrderedDict

from baobabring.claims._batcher import ID_BYTES
from baobabring.claims._events import (
    NotSettleable,
    NotSettleableReason,
    SettlementRequested,
    SettlementState,
    UnknownOutcome,
)
from baobabring.claims._partition import Partition
from baobabring.claims._records import Settled, Settlement
from baobabring.claims._settings import ClaimSettings
from baobabring.claims._table import KeyEntry, KeyId, KeyState, SettlementDecided

_MAX_TRACKED_SETTLEMENTS = 1000


class SettlementTracker:
    """List unknown outcomes, record settlements and track their states."""

    def __init__(self, settings: ClaimSettings, rng: random.Random) -> None:
        self.settings = settings
        self._rng = rng
        self._states: OrderedDict[bytes, SettlementState] = OrderedDict()

    def get_unknown_outcomes(
        self, partition: Partition, now_s: float
    ) -> list[UnknownOutcome]:
        """Return the claims of a partition whose outcome is unknown."""
        return [
            _create_unknown_outcome(key_id, entry)
            for key_id, entry in partition.table.iter_unresolved()
            if is_unknown(entry, now_s, self.settings)
        ]

    def settle(
        self,
        partition: Partition,
        key_id: KeyId,
        settlement: Settlement,
        now_s: float,
    ) -> SettlementRequested | NotSettleable:
        """Queue a settlement if the outcome is unknown and can no longer change."""
        problem = self._find_problem(partition, key_id, settlement, now_s)
        if problem is not None:
            return NotSettleable(problem)
        service_id, key = key_id
        claim_id = partition.table.get_entry(key_id).holder.claim_id
        settlement_id = self._rng.randbytes(ID_BYTES)
        record = Settled(settlement_id, claim_id, service_id, key, settlement)
        partition.batcher.add(record, now_s)
        self._add_state(settlement_id)
        return SettlementRequested(settlement_id)

    def record_decision(self, effect: SettlementDecided) -> None:
        """Record whether a settlement was accepted; only the first decision counts."""
        if self._states.get(effect.settlement_id) is SettlementState.REQUESTED:
            accepted = effect.accepted
            state = SettlementState.ACCEPTED if accepted else SettlementState.REJECTED
            self._states[effect.settlement_id] = state

    def get_state(self, settlement_id: bytes) -> SettlementState | None:
        """Return the state of a settlement requested here, or None if not tracked."""
        return self._states.get(settlement_id)

    def _add_state(self, settlement_id: bytes) -> None:
        self._states[settlement_id] = SettlementState.REQUESTED
        if len(self._states) > _MAX_TRACKED_SETTLEMENTS:
            self._states.popitem(last=False)

    def _find_problem(
        self,
        partition: Partition,
        key_id: KeyId,
        settlement: Settlement,
        now_s: float,
    ) -> NotSettleableReason | None:
        if not partition.table.has_reached_end:
            return NotSettleableReason.NOT_READ
        entry = partition.table.get_entry(key_id)
        if entry is None or entry.state is KeyState.FREE:
            return NotSettleableReason.NO_CLAIM
        if entry.state in (KeyState.ANSWERED, KeyState.SETTLED_RAN):
            return NotSettleableReason.OUTCOME_KNOWN
        if not is_unknown(entry, now_s, self.settings):
            return NotSettleableReason.MAY_STILL_RUN
        margin_s = self.settings.settlement_margin_s
        runs_until_s = entry.holder.dispatch_deadline_s + margin_s
        if settlement is Settlement.NOT_RUN and now_s <= runs_until_s:
            return NotSettleableReason.MAY_STILL_RUN
        return None


def is_unknown(entry: KeyEntry, now_s: float, settings: ClaimSettings) -> bool:
    """Return whether no report of how the holder's call ended can be expected."""
    if entry.state is KeyState.UNDETERMINED:
        return True
    if entry.state is not KeyState.CLAIMED:
        return False
    return now_s > get_unknown_at_s(entry, settings)


def get_unknown_at_s(entry: KeyEntry, settings: ClaimSettings) -> float:
    """Return the time after which a claimed key without result is unknown."""
    return entry.holder.dispatch_deadline_s + settings.result_grace_s


def _create_unknown_outcome(key_id: KeyId, entry: KeyEntry) -> UnknownOutcome:
    service_id, key = key_id
    holder = entry.holder
    return UnknownOutcome(
        service_id=service_id,
        key=key,
        method=holder.method,
        path=holder.path,
        tenant=holder.tenant,
        instance_id=holder.instance_id,
        claimed_at_s=holder.claimed_at_s,
    )
