"""Records of cold starts in the platform's log, and their fold."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from baobabring.platform import LogRecord

COLD_STREAM = "cold-leases"
NEVER_COLD = -1


class Lease(msgspec.Struct, frozen=True, tag="lease"):
    """Propose that the holder alone may call a cold target until a point in time."""

    target_id: str
    holder: str
    expires_at_s: float


class Warm(msgspec.Struct, frozen=True, tag="warm"):
    """Tell that a target bears full load after the record of coldness named."""

    target_id: str
    cold_epoch: int


class Cold(msgspec.Struct, frozen=True, tag="cold"):
    """Tell that a target turned cold, or came back as of a configuration revision.

    Without a revision the record counts only while `cold_epoch` is the newest.
    """

    target_id: str
    cold_epoch: int
    revision: int = 0


ColdRecord = Lease | Warm | Cold

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[ColdRecord, ...])


def encode_records(records: tuple[ColdRecord, ...]) -> bytes:
    """Encode records as one payload."""
    return _encoder.encode(records)


class ColdState(msgspec.Struct):
    """Hold what the log says of one target.

    `cold_epoch` is the offset of the newest record of coldness.
    """

    cold_epoch: int = NEVER_COLD
    cold_at_s: float = 0.0
    warm: bool = False
    warm_at_s: float = 0.0
    revision: int = 0
    holder: str = ""
    expires_at_s: float = float("-inf")


class ColdSnapshot(msgspec.Struct, frozen=True):
    """Hold the state of all targets before the record of an offset."""

    next_offset: int
    lacks_records: bool
    states: dict[str, ColdState]


_snapshot_decoder = msgspec.msgpack.Decoder(ColdSnapshot)


def encode_snapshot(snapshot: ColdSnapshot) -> bytes:
    """Encode a snapshot for a peer."""
    return _encoder.encode(snapshot)


def decode_snapshot(payload: bytes) -> ColdSnapshot:
    """Decode a peer's snapshot; raises msgspec.MsgspecError for anything else."""
    return _snapshot_decoder.decode(payload)


class ColdFold:
    """Fold records in the log's order, the same way at every instance.

    Parameters
    ----------
    lease_limit_s : float
        Longest lease, from its append on, that is accepted.
    clock_skew_s : float
        Largest difference assumed between the clocks of a holder and the log.
    """

    def __init__(self, lease_limit_s: float, clock_skew_s: float) -> None:
        self._lease_limit_s = lease_limit_s
        self._clock_skew_s = clock_skew_s
        self._states: dict[str, ColdState] = {}

    def state(self, target_id: str) -> ColdState:
        """Return what is known of a target; an unknown one is in cold start."""
        return self._states.get(target_id) or ColdState()

    def knows(self, target_id: str) -> bool:
        """Tell whether any record names the target."""
        return target_id in self._states

    def snapshot(self, next_offset: int, lacks_records: bool) -> ColdSnapshot:
        """Return the state of all targets, as of the offset to read next."""
        return ColdSnapshot(next_offset, lacks_records, self._states)

    def load(self, snapshot: ColdSnapshot) -> None:
        """Take over what a peer knows better; the newer record of coldness wins."""
        for target_id, state in snapshot.states.items():
            if state.cold_epoch >= self.state(target_id).cold_epoch:
                self._states[target_id] = state

    def apply(self, log_record: LogRecord) -> None:
        """Apply one record of the log; payloads that can't be read have no effect."""
        try:
            records = _decoder.decode(log_record.payload)
        except msgspec.DecodeError:
            return
        for record in records:
            state = self._states.setdefault(record.target_id, ColdState())
            match record:
                case Lease():
                    self._apply_lease(state, record, log_record.appended_at_s)
                case Warm():
                    _apply_warm(state, record, log_record.appended_at_s)
                case Cold():
                    _apply_cold(state, record, log_record)

    def _apply_lease(
        self, state: ColdState, lease: Lease, appended_at_s: float
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


def _apply_warm(state: ColdState, warm: Warm, appended_at_s: float) -> None:
    if warm.cold_epoch != state.cold_epoch or state.warm:
        return
    state.warm = True
    state.warm_at_s = appended_at_s


def _apply_cold(state: ColdState, cold: Cold, log_record: LogRecord) -> None:
    if cold.revision:
        if cold.revision <= state.revision:
            return
        state.revision = cold.revision
    elif cold.cold_epoch != state.cold_epoch:
        return
    state.cold_epoch = log_record.offset
    state.cold_at_s = log_record.appended_at_s
    state.warm = False
