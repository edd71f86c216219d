"""Commands that the call engine gives to the shell."""

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
    """Stop an attempt and close its connection."""

    call_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AnswerCall:
    """Give a caller the final answer."""

    call: Call
    outcome: CallOutcome
    tries: tuple[str, ...]


Command = StartAttempt | CancelAttempt | AnswerCall
