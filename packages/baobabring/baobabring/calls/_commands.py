"""Commands that the call engine issues to the I/O code."""

from dataclasses import dataclass

from baobabring.model import Call, CallOutcome


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a call to a target once."""

    call: Call
    attempt: int
    target_id: str
    address: str
    deadline_s: float
    retries_left: int
    new_connection: bool


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt and close its connection."""

    call_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class FinishCall:
    """End a call and return its final outcome to the caller."""

    call: Call
    outcome: CallOutcome
    tried_targets: tuple[str, ...]


Command = StartAttempt | CancelAttempt | FinishCall
