"""Progress of a call."""

from dataclasses import dataclass, field

from baobabring.entry import CallProblem, EntryCall, Offer, TargetResponse


@dataclass(slots=True)
class CallProgress:
    """Represent the progress of a call, for decisions about it and its log line."""

    call: EntryCall
    tried_targets: list[str] = field(default_factory=list)
    probes: int = 0
    waited: bool = False
    may_have_run: bool = False
    sent: bool = False
    last_response: TargetResponse | None = None
    last_problem: CallProblem = CallProblem.OVERLOAD
    offers: list[Offer] = field(default_factory=list)
