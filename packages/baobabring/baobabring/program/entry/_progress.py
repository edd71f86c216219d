"""Progress of a call."""

from dataclasses import dataclass, field

from baobabring.entry import CallProblem, EntryCall, Offer, TargetResponse


@dataclass(frozen=True, slots=True)
class HandoverOrigin:
    """Represent the peer that handed a call over, and the limits that it set.

    The targets that are tried here are added to `tried_targets`. `service_id` is the
    service that the peer chose by weight, None if an earlier build did not name it.
    """

    peer_id: str
    deadline_s: float
    tried_targets: list[str]
    lost_handovers: int
    service_id: str | None = None


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
    # Whether any target responded to a probe for the call.
    target_responded: bool = False
    # The peer that handed the call over, and the one to which it was handed over.
    handed_over_by: str | None = None
    handed_over_to: str | None = None
    # Set while any request is suspected of crashing targets.
    request_digest: str | None = None
    # Set when the instance ends the call, as the process is about to end.
    ended_by_shutdown: bool = False
    # Handovers after which it is unknown what the peer did.
    lost_handovers: int = 0

    @property
    def attempts_made(self) -> int:
        """Return the number of targets that may have received the call."""
        return len(self.tried_targets) + self.lost_handovers
