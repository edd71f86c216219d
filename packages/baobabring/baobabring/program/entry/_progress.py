"""How far a call has come."""

from dataclasses import dataclass, field

from baobabring.entry import CallProblem, EntryCall, Offer, TargetResponse


@dataclass(slots=True)
class CallProgress:
    """Hold how far a call has come, for its decisions and its log line."""

    call: EntryCall
    tried: list[str] = field(default_factory=list)
    probes: int = 0
    waited: bool = False
    may_have_run: bool = False
    sent: bool = False
    last_answer: TargetResponse | None = None
    last_problem: CallProblem = CallProblem.OVERLOAD
    offers: list[Offer] = field(default_factory=list)
