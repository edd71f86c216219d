"""Records of cold starts in the platform's log, and the replica that applies them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from baobabring.platform import LogRecord

COLD_START_STREAM = "cold-leases"
NEVER_COLD = -1


class Lease(msgspec.Struct, frozen=True, tag="lease"):
    """Request that only the holder may call a cold target until the lease expires."""

    target_id: str
    holder: str
    expires_at_s: float


class TurnedWarm(msgspec.Struct, frozen=True, tag="warm"):
    """Record that a target can take full load after the cold record `cold_epoch`."""

    target_id: str
    cold_epoch: int


class TurnedCold(msgspec.Struct, frozen=True, tag="cold"):
    """Record that a target turned cold, or returned in a configuration revision.

    Without a revision the record takes effect only if `cold_epoch` is the newest.
    """

    target_id: str
    cold_epoch: int
    revision: int = 0


ColdStartRecord = Lease | TurnedWarm | TurnedCold

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[ColdStartRecord, ...])


def encode_records(records: tuple[ColdStartRecord, ...]) -> bytes:
    """Encode records as one payload."""
    return _encoder.encode(records)


class ColdStartState(msgspec.Struct):
    """Represent the state of one target after the records applied so far.

    `cold_epoch` is the offset of the target's newest cold record.
    """

    cold_epoch: int = NEVER_COLD
    cold_at_s: float = 0.0
    warm: bool = False
    warm_at_s: float = 0.0
    revision: int = 0
    holder: str = ""
    expires_at_s: float = float("-inf")


class ColdStartSnapshot(msgspec.Struct, frozen=True):
    """Represent the state of all targets before the record at `next_offset`."""

    next_offset: int
    lacks_records: bool
    states: dict[str, ColdStartState]


_snapshot_decoder = msgspec.msgpack.Decoder(ColdStartSnapshot)


def encode_snapshot(snapshot: ColdStartSnapshot) -> bytes:
    """Encode a snapshot for a peer."""
    return _encoder.encode(snapshot)


def decode_snapshot(payload: bytes) -> ColdStartSnapshot:
    """Decode a peer's snapshot; raises one of `DECODE_ERRORS` if it is invalid."""
    return _snapshot_decoder.decode(payload)


class ColdStartReplica:
    """Apply records in the order of the log.

    Two replicas that applied the same records have the same state.

    Parameters
    ----------
    lease_limit_s : float
        Longest accepted lease, counted from its append.
    clock_skew_s : float
        Largest assumed difference between the clocks of a holder and the log.
    """

    def __init__(self, lease_limit_s: float, clock_skew_s: float) -> None:
        self._lease_limit_s = lease_limit_s
        self._clock_skew_s = clock_skew_s
        self._states: dict[str, ColdStartState] = {}

    def get_state(self, target_id: str) -> ColdStartState:
        """Return the state of a target; a target without records is in cold start."""
        return self._states.get(target_id) or ColdStartState()

    def has_state(self, target_id: str) -> bool:
        """Return whether any record names the target."""
        return target_id in self._states

    def create_snapshot(
        self, next_offset: int, lacks_records: bool
    ) -> ColdStartSnapshot:
        """Return the state of all targets before the record at `next_offset`."""
        return ColdStartSnapshot(next_offset, lacks_records, self._states)

    def load_snapshot(self, snapshot: ColdStartSnapshot) -> None:
        """Load each state of a peer's snapshot unless its cold record is older."""
        for target_id, state in snapshot.states.items():
            if state.cold_epoch >= self.get_state(target_id).cold_epoch:
                self._states[target_id] = state

    def apply(self, log_record: LogRecord) -> None:
        """Apply one record of the log, and ignore it if its payload is invalid."""
        try:
            records = _decoder.decode(log_record.payload)
        except msgspec.DecodeError:
            return
        for record in records:
            state = self._states.setdefault(record.target_id, ColdStartState())
            match record:
                case Lease():
                    self._apply_lease(state, record, log_record.appended_at_s)
                case TurnedWarm():
                    _apply_warm(state, record, log_record.appended_at_s)
                case TurnedCold():
                    _apply_cold(state, record, log_record)

    def _apply_lease(
        self, state: ColdStartState, lease: Lease, appended_at_s: float
    ) -> None:
        latest_s = appended_at_s + self._lease_limit_s + self._clock_skew_s
        if not appended_at_s < lease.expires_at_s <= latest_s:
            return
        if lease.holder == state.holder:
            state.expires_at_s = max(state.expires_at_s, lease.expires_at_s)
            return
        if appended_at_s <= state.expires_at_s + self._clock_skew_s:
            return
        state.holder = lease.holder
        state.expires_at_s = lease.expires_at_s


def _apply_warm(state: ColdStartState, warm: TurnedWarm, appended_at_s: float) -> None:
    if warm.cold_epoch != state.cold_epoch or state.warm:
        return
    state.warm = True
    state.warm_at_s = appended_at_s


def _apply_cold(state: ColdStartState, cold: TurnedCold, log_record: LogRecord) -> None:
    if cold.revision:
        if cold.revision <= state.revision:
            return
        state.revision = cold.revision
    elif cold.cold_epoch != state.cold_epoch:
        return
    state.cold_epoch = log_record.offset
    state.cold_at_s = log_record.appended_at_s
    state.warm = False
