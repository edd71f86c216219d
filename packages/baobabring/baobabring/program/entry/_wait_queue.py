"""Queue of calls that wait for a slot, with shared rounds of probes."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

import logbook

from baobabring.entry import (
    Admission,
    CallProblem,
    EntryCall,
    Offer,
    ProbeAgain,
    ProbeRateBudget,
    RefuseCall,
    SendCall,
    TargetRanker,
    TargetRecord,
)
from baobabring.program.entry._metrics import TASK_FAILURES
from baobabring.program.entry._prober import Prober, ProbeResponse
from baobabring.program.entry._progress import CallProgress
from baobabring.utils import Clock

LOG = logbook.Logger("queue")

# The free slots of a target change noticeably within about this time.
ROUND_INTERVAL_S = 0.012
SCARCE_ROUND_INTERVAL_S = 0.04
PROBES_PER_WAITING_CALL = 2


@dataclass(frozen=True, slots=True)
class Assignment:
    """Represent the assignment of a call to a target and to its probed connection."""

    record: TargetRecord
    probe_response: ProbeResponse
    offer: Offer


def assign(
    target_id: str,
    offers: Sequence[Offer],
    responses: dict[str, ProbeResponse],
    ranker: TargetRanker,
    now_s: float,
) -> Assignment:
    """Return the assignment to a target and remove its response from `responses`."""
    ranker.record_call_assigned(target_id, now_s)
    offer = next(offer for offer in offers if offer.target_id == target_id)
    return Assignment(
        ranker.target_table.get_record(target_id), responses.pop(target_id), offer
    )


@dataclass(slots=True, eq=False)
class Waiter:
    """Represent a waiting call and the future of the decision about it."""

    progress: CallProgress
    excluded_targets: frozenset[str]
    decision: asyncio.Future[Assignment | RefuseCall]
    order: tuple[int, float] = field(init=False)

    def __post_init__(self) -> None:
        call = self.progress.call
        self.order = (call.route.priority, call.arrived_at_s)


class WaitQueue:
    """Probe targets in rounds for all waiting calls of a service.

    In each round, calls are handled in order of priority, then of arrival.
    """

    def __init__(
        self,
        ranker: TargetRanker,
        admission: Admission,
        prober: Prober,
        probe_budget: ProbeRateBudget,
        clock: Clock,
    ) -> None:
        self.ranker = ranker
        self.admission = admission
        self.prober = prober
        self.probe_budget = probe_budget
        self.clock = clock
        self._waiters: dict[str, list[Waiter]] = {}
        self._rounds: dict[str, asyncio.Task] = {}

    def has_calls_ahead_of(self, call: EntryCall) -> bool:
        """Return whether calls of the same or a more urgent priority are waiting."""
        return any(
            waiter.progress.call.route.priority <= call.route.priority
            for waiter in self._waiters.get(call.service_id, ())
        )

    async def wait(
        self, progress: CallProgress, excluded_targets: frozenset[str]
    ) -> Assignment | RefuseCall:
        """Wait until the call is assigned to a target or refused; return the result.

        The call is refused at its deadline, whatever becomes of the rounds of probes.
        """
        deadline_s = progress.call.deadline_s
        try:
            async with asyncio.timeout(deadline_s - self.clock.now_s()):
                return await self._wait_for_decision(progress, excluded_targets)
        except TimeoutError:
            return RefuseCall(deadline_s, CallProblem.TIMEOUT)

    async def _wait_for_decision(
        self, progress: CallProgress, excluded_targets: frozenset[str]
    ) -> Assignment | RefuseCall:
        call = progress.call
        progress.waited = True
        decision = asyncio.get_running_loop().create_future()
        waiter = Waiter(progress, excluded_targets, decision)
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
                self._release_assignment(decision.result())
            raise
        finally:
            if waiter in waiters:
                waiters.remove(waiter)

    def _release_assignment(self, decided: Assignment | RefuseCall) -> None:
        if isinstance(decided, Assignment):
            self.prober.release(decided.probe_response)

    async def _probe_in_rounds(self, service_id: str) -> None:
        waiters = self._waiters[service_id]
        try:
            while waiters:
                await self._probe_round_or_refuse(service_id, waiters)
                is_scarce = self.probe_budget.is_scarce
                pause_s = SCARCE_ROUND_INTERVAL_S if is_scarce else ROUND_INTERVAL_S
                await asyncio.sleep(pause_s)
        finally:
            del self._rounds[service_id]

    async def _probe_round_or_refuse(
        self, service_id: str, waiters: list[Waiter]
    ) -> None:
        """Refuse the waiting calls if an error ends their round: none has been sent."""
        try:
            await self._probe_round(service_id, waiters)
        except Exception:
            TASK_FAILURES.labels("wait queue").inc()
            LOG.exception(
                "round of probes failed", service=service_id, refused_calls=len(waiters)
            )
            for waiter in waiters:
                if not waiter.decision.done():
                    waiter.decision.set_result(self._refuse_after_error(waiter))
            waiters.clear()

    def _refuse_after_error(self, waiter: Waiter) -> RefuseCall:
        call = waiter.progress.call
        after_ms = call.route.latency_goal_ms / 2
        reason = CallProblem.INTERNAL
        return self.admission.refuse(call, after_ms, reason, self.clock.now_s())

    async def _probe_round(self, service_id: str, waiters: list[Waiter]) -> None:
        now_s = self.clock.now_s()
        service = self.ranker.configuration.services.get(service_id)
        responses: dict[str, ProbeResponse] = {}
        if service is not None:
            wanted = len(waiters) * PROBES_PER_WAITING_CALL
            wanted = max(wanted, self.ranker.settings.probed_targets)
            granted = self.probe_budget.grant(wanted)
            records = self.ranker.take_probes(service_id, (), now_s, granted)
            responses = await self.prober.probe(records, service.health_path)
            responses = {response.report.target_id: response for response in responses}
        try:
            for waiter in list(waiters):
                if not waiter.decision.done():
                    self._decide(waiter, responses)
        finally:
            for unused in responses.values():
                self.prober.release(unused)
        waiters[:] = [waiter for waiter in waiters if not waiter.decision.done()]

    def _decide(self, waiter: Waiter, responses: dict[str, ProbeResponse]) -> None:
        now_s = self.clock.now_s()
        reports = [
            response.report
            for response in responses.values()
            if response.report.target_id not in waiter.excluded_targets
        ]
        call = waiter.progress.call
        waiter.progress.target_responded |= bool(reports)
        offers = self.ranker.offers(call, reports, now_s)
        waiter.progress.offers = offers
        decision = self.admission.decide(call, offers, False, now_s)
        if isinstance(decision, ProbeAgain):
            return
        if isinstance(decision, SendCall):
            target_id = decision.target_id
            assigned = assign(target_id, offers, responses, self.ranker, now_s)
            waiter.decision.set_result(assigned)
            return
        waiter.decision.set_result(decision)
