"""Calls of this instance that have requested a claim."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from baobabring.claims._table import KeyId


class KeyedCallState(Enum):
    """Represent the state of a call with an idempotency key."""

    PENDING = "pending"
    WAITING = "waiting"
    WON = "won"


@dataclass(slots=True, eq=False)
class KeyedCall:
    """Represent a call with an idempotency key; `claim_id` is its newest claim."""

    call_id: str
    service_id: str
    key: str
    key_created_at_s: float
    partition: int
    fingerprint: bytes
    tenant: str
    method: str
    path: str
    requested_at_s: float
    deadline_s: float
    claim_id: bytes = b""
    state: KeyedCallState = KeyedCallState.PENDING
    dispatched: bool = False

    @property
    def key_id(self) -> KeyId:
        """Return the identifier of the key in the claim table."""
        return (self.service_id, self.key)


class CallRegistry:
    """Index calls by identifier, claim and key, and schedule their reviews."""

    def __init__(self) -> None:
        self._calls: dict[str, KeyedCall] = {}
        self._by_claim_id: dict[bytes, KeyedCall] = {}
        self._by_key_id: dict[KeyId, dict[str, KeyedCall]] = {}
        self._review_queue: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: KeyedCall) -> None:
        """Add a call; raise ValueError if its identifier is in use."""
        if call.call_id in self._calls:
            raise ValueError(f"call_id {call.call_id!r} is in use")
        self._calls[call.call_id] = call
        self._by_key_id.setdefault(call.key_id, {})[call.call_id] = call

    def get(self, call_id: str) -> KeyedCall | None:
        """Return a call, or None if it has ended."""
        return self._calls.get(call_id)

    def set_claim(self, call: KeyedCall, claim_id: bytes) -> None:
        """Set the claim of a call, in place of an earlier one."""
        self._by_claim_id.pop(call.claim_id, None)
        call.claim_id = claim_id
        self._by_claim_id[claim_id] = call

    def get_by_claim_id(self, claim_id: bytes) -> KeyedCall | None:
        """Return the call whose newest claim has this identifier."""
        return self._by_claim_id.get(claim_id)

    def list_by_key(self, key_id: KeyId) -> list[KeyedCall]:
        """Return the calls of a key in the order in which they were added."""
        return list(self._by_key_id.get(key_id, {}).values())

    def list_by_partition(self, partition: int) -> list[KeyedCall]:
        """Return the calls of a partition in the order in which they were added."""
        return [call for call in self._calls.values() if call.partition == partition]

    def remove(self, call: KeyedCall) -> None:
        """Remove a call."""
        del self._calls[call.call_id]
        self._by_claim_id.pop(call.claim_id, None)
        calls_of_key = self._by_key_id[call.key_id]
        del calls_of_key[call.call_id]
        if not calls_of_key:
            del self._by_key_id[call.key_id]

    def schedule_review(self, call: KeyedCall, at_s: float) -> None:
        """Schedule a review of a call at a Unix time."""
        heapq.heappush(self._review_queue, (at_s, call.call_id))

    def pop_due(self, now_s: float) -> Iterator[KeyedCall]:
        """Remove the reviews that are due and yield their calls."""
        while self._review_queue and self._review_queue[0][0] <= now_s:
            call = self._calls.get(heapq.heappop(self._review_queue)[1])
            if call is not None:
                yield call
