"""Calls of this instance that ask for a claim or hold one."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from baobabring.claims._table import KeyId


class CallState(Enum):
    """State of a call with an idempotency key."""

    PENDING = "pending"
    WAITING = "waiting"
    WON = "won"


@dataclass(slots=True, eq=False)
class Call:
    """Hold one call; `claim_id` is that of its newest claim."""

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
    state: CallState = CallState.PENDING
    dispatched: bool = False

    @property
    def key_id(self) -> KeyId:
        """Return what the table knows the key by."""
        return (self.service_id, self.key)


class CallBook:
    """Find calls by identifier, claim and key, and those to look at by time."""

    def __init__(self) -> None:
        self._calls: dict[str, Call] = {}
        self._by_claim_id: dict[bytes, Call] = {}
        self._by_key_id: dict[KeyId, dict[str, Call]] = {}
        self._wakes: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: Call) -> None:
        """Add a call; ValueError if its identifier is in use."""
        if call.call_id in self._calls:
            raise ValueError(f"call_id {call.call_id!r} is in use")
        self._calls[call.call_id] = call
        self._by_key_id.setdefault(call.key_id, {})[call.call_id] = call

    def get(self, call_id: str) -> Call | None:
        """Return a call, None once it has ended."""
        return self._calls.get(call_id)

    def set_claim(self, call: Call, claim_id: bytes) -> None:
        """Give a call a new claim in place of an earlier one."""
        self._by_claim_id.pop(call.claim_id, None)
        call.claim_id = claim_id
        self._by_claim_id[claim_id] = call

    def by_claim_id(self, claim_id: bytes) -> Call | None:
        """Return the call whose newest claim this is."""
        return self._by_claim_id.get(claim_id)

    def of_key(self, key_id: KeyId) -> list[Call]:
        """Return the calls of a key in the order of their requests."""
        return list(self._by_key_id.get(key_id, {}).values())

    def of_partition(self, partition: int) -> list[Call]:
        """Return the calls of a partition in the order of their requests."""
        return [call for call in self._calls.values() if call.partition == partition]

    def remove(self, call: Call) -> None:
        """Forget a call."""
        del self._calls[call.call_id]
        self._by_claim_id.pop(call.claim_id, None)
        of_key = self._by_key_id[call.key_id]
        del of_key[call.call_id]
        if not of_key:
            del self._by_key_id[call.key_id]

    def wake(self, call: Call, at_s: float) -> None:
        """Have a call looked at again at a point in time."""
        heapq.heappush(self._wakes, (at_s, call.call_id))

    def due(self, now_s: float) -> Iterator[Call]:
        """Yield the calls to look at now."""
        while self._wakes and self._wakes[0][0] <= now_s:
            call = self._calls.get(heapq.heappop(self._wakes)[1])
            if call is not None:
                yield call
