"""Unknown outcomes and what operators find out about them."""

import random
from collections import OrderedDict

from baobabring.claims._batcher import ID_BYTES
from baobabring.claims._events import (
    NotSettleable,
    NotSettleableReason,
    SettlementState,
    SettleRequested,
    UnknownOutcome,
)
from baobabring.claims._partition import Partition
from baobabring.claims._records import Settled, Settlement
from baobabring.claims._settings import ClaimSettings
from baobabring.claims._table import KeyEntry, KeyId, KeyState, SettlementFolded

_REMEMBERED_SETTLEMENTS = 1000


class Settlements:
    """List unknown outcomes, record settlements and follow what became of them."""

    def __init__(self, settings: ClaimSettings, rng: random.Random) -> None:
        self.settings = settings
        self._rng = rng
        self._states: OrderedDict[bytes, SettlementState] = OrderedDict()

    def unknown_outcomes(
        self, partition: Partition, now_s: float
    ) -> list[UnknownOutcome]:
        """Return the claims of a partition whose outcome nobody knows."""
        return [
            _describe(key_id, entry)
            for key_id, entry in partition.table.unresolved()
            if is_unknown(entry, now_s, self.settings)
        ]

    def settle(
        self,
        partition: Partition,
        key_id: KeyId,
        settlement: Settlement,
        now_s: float,
    ) -> SettleRequested | NotSettleable:
        """Queue a settlement if the outcome is unknown and can't change any more."""
        problem = self._problem(partition, key_id, settlement, now_s)
        if problem is not None:
            return NotSettleable(problem)
        service_id, key = key_id
        claim_id = partition.table.entry(key_id).holder.claim_id
        settlement_id = self._rng.randbytes(ID_BYTES)
        record = Settled(settlement_id, claim_id, service_id, key, settlement)
        partition.batcher.add(record, now_s)
        self._remember(settlement_id)
        return SettleRequested(settlement_id)

    def folded(self, effect: SettlementFolded) -> None:
        """Take in what became of a settlement; the first verdict stands."""
        if self._states.get(effect.settlement_id) is SettlementState.REQUESTED:
            accepted = effect.accepted
            state = SettlementState.ACCEPTED if accepted else SettlementState.REJECTED
            self._states[effect.settlement_id] = state

    def state(self, settlement_id: bytes) -> SettlementState | None:
        """Return the state of a settlement requested here, None if not remembered."""
        return self._states.get(settlement_id)

    def _remember(self, settlement_id: bytes) -> None:
        self._states[settlement_id] = SettlementState.REQUESTED
        if len(self._states) > _REMEMBERED_SETTLEMENTS:
            self._states.popitem(last=False)

    def _problem(
        self,
        partition: Partition,
        key_id: KeyId,
        settlement: Settlement,
        now_s: float,
    ) -> NotSettleableReason | None:
        if not partition.table.read_to_end:
            return NotSettleableReason.NOT_READ
        entry = partition.table.entry(key_id)
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
    """Tell whether nobody can be expected to report how the holder's call ended."""
    if entry.state is KeyState.UNDETERMINED:
        return True
    if entry.state is not KeyState.CLAIMED:
        return False
    return now_s > unknown_at_s(entry, settings)


def unknown_at_s(entry: KeyEntry, settings: ClaimSettings) -> float:
    """Return until when the result of a claimed key may be waited for."""
    return entry.holder.dispatch_deadline_s + settings.result_grace_s


def _describe(key_id: KeyId, entry: KeyEntry) -> UnknownOutcome:
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
