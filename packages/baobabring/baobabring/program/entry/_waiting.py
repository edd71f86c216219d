"""Calls that wait for a slot, and the probes sent for all of them."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from baobabring.entry import (
    Admission,
    EntryCall,
    Offer,
    ProbeAgain,
    ProbeRateBudget,
    RefuseCall,
    SendCall,
    TargetRanker,
    TargetRecord,
    TargetTable,
)
from baobabring.program.entry._prober import ProbeAnswer, Prober
from baobabring.program.entry._progress import CallProgress
from baobabring.utils import Clock

# Between two rounds of probes about as much time passes as a slot's change takes
# to matter.
ROUND_INTERVAL_S = 0.012
SCARCE_ROUND_INTERVAL_S = 0.04
PROBES_PER_WAITING_CALL = 2


@dataclass(frozen=True, slots=True)
class Assigned:
    """Give a call to a target on the connection on which that was probed."""

    record: TargetRecord
    answer: ProbeAnswer
    offer: Offer


def assign(
    target_id: str,
    offers: Sequence[Offer],
    answers: dict[str, ProbeAnswer],
    target_table: TargetTable,
) -> Assigned:
    """Give a call to a target, and take that one's answer out of the others."""
    offer = next(offer for offer in offers if offer.target_id == target_id)
    return Assigned(target_table.get_record(target_id), answers.pop(target_id), offer)


@dataclass(slots=True, eq=False)
class Waiter:
    """Hold a call that waits and the future that ends its wait."""

    progress: CallProgress
    exclude: frozenset[str]
    decision: asyncio.Future[Assigned | RefuseCall]
    order: tuple[int, float] = field(init=False)

    def __post_init__(self) -> None:
        call = self.progress.call
        self.order = (call.route.priority, call.arrived_at_s)


class WaitQueue:
    """Probe targets in rounds for all calls of a service that wait.

    More urgent calls choose first in each round, then earlier ones.
    """

    def __init__(
        self,
        ranker: TargetRanker,
        admission: Admission,
        prober: Prober,
        budget: ProbeRateBudget,
        clock: Clock,
    ) -> None:
        self.ranker = ranker
        self.admission = admission
        self.prober = prober
        self.budget = budget
        self.clock = clock
        self._waiters: dict[str, list[Waiter]] = {}
        self._rounds: dict[str, asyncio.Task] = {}

    def is_ahead_of(self, call: EntryCall) -> bool:
        """Tell whether calls wait that are as urgent as this one or more."""
        return any(
            waiter.progress.call.route.priority <= call.route.priority
            for waiter in self._waiters.get(call.service_id, ())
        )

    async def wait(
        self, progress: CallProgress, exclude: frozenset[str]
    ) -> Assigned | RefuseCall:
        """Wait for a slot, or for the decision to refuse the call."""
        call = progress.call
        progress.waited = True
        decision = asyncio.get_running_loop().create_future()
        waiter = Waiter(progress, exclude, decision)
        waiters = self._waiters.setdefault(call.service_id, [])
        waiters.append(waiter)
        waiters.sort(key=lambda waiter: waiter.order)
        if call.service_id not in self._rounds:
            task = asyncio.ensure_future(self._probe_in_rounds(call.service_id))
            self._rounds[call.service_id] = task
        try:
            return await decision
        except asyncio.CancelledError:
            if decision.done() and not decision.cancelled():
                self._return_assigned(decision.result())
            raise
        finally:
            if waiter in waiters:
                waiters.remove(waiter)

    def _return_assigned(self, decided: Assigned | RefuseCall) -> None:
        if isinstance(decided, Assigned):
            self.prober.release(decided.answer)

    async def _probe_in_rounds(self, service_id: str) -> None:
        waiters = self._waiters[service_id]
        try:
            while waiters:
                await self._probe_round(service_id, waiters)
                is_scarce = self.budget.is_scarce
                pause_s = SCARCE_ROUND_INTERVAL_S if is_scarce else ROUND_INTERVAL_S
                await asyncio.sleep(pause_s)
        finally:
            del self._rounds[service_id]

    async def _probe_round(self, service_id: str, waiters: list[Waiter]) -> None:
        now_s = self.clock.now_s()
        service = self.ranker.configuration.services.get(service_id)
        answers: dict[str, ProbeAnswer] = {}
        if service is not None:
            wanted = len(waiters) * PROBES_PER_WAITING_CALL
            wanted = max(wanted, self.ranker.settings.probed_targets)
            granted = self.budget.grant(wanted)
            records = self.ranker.targets_to_probe(service_id, (), now_s, granted)
            answers = await self.prober.probe(records, service.health_path)
            answers = {answer.report.target_id: answer for answer in answers}
        for waiter in list(waiters):
            if not waiter.decision.done():
                self._decide(waiter, answers)
        waiters[:] = [waiter for waiter in waiters if not waiter.decision.done()]
        for left_over in answers.values():
            self.prober.release(left_over)

    def _decide(self, waiter: Waiter, answers: dict[str, ProbeAnswer]) -> None:
        now_s = self.clock.now_s()
        reports = [
            answer.report
            for answer in answers.values()
            if answer.report.target_id not in waiter.exclude
        ]
        call = waiter.progress.call
        offers = self.ranker.offers(call, reports, now_s)
        waiter.progress.offers = offers
        decision = self.admission.decide(call, offers, False, now_s)
        if isinstance(decision, ProbeAgain):
            return
        if isinstance(decision, SendCall):
            target_id = decision.target_id
            assigned = assign(target_id, offers, answers, self.ranker.target_table)
            waiter.decision.set_result(assigned)
            return
        waiter.decision.set_result(decision)
