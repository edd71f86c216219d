"""Attempts of calls at targets, from the request to the end of the response."""

import asyncio

from baobabring.connections import (
    INVALID_RESPONSE_FAILURES,
    BodyMemory,
    ConnectionPool,
    ExchangeError,
    ExchangeFailure,
    HttpResponse,
)
from baobabring.entry import (
    AttemptAnswered,
    AttemptEnd,
    AttemptLost,
    AttemptNotRun,
    BodyEnd,
    CallProblem,
    EntryCall,
    Offer,
    ResponseKind,
    TargetRanker,
    TargetResponse,
)
from baobabring.platform.wire import (
    CALL_ID_HEADER,
    build_target_request,
    filter_response_headers,
    has_target_signature,
    is_not_run_response,
    is_of_expected_target,
    parse_load,
)
from baobabring.program.entry._crash_observer import CrashObserver
from baobabring.program.entry._failure_counts import FailureCounts
from baobabring.program.entry._metrics import ENTRY_ATTEMPTS, ENTRY_STREAMS
from baobabring.program.entry._progress import CallProgress
from baobabring.program.entry._reachability_observer import ReachabilityObserver
from baobabring.program.entry._target_observer import TargetObserver
from baobabring.program.entry._wait_queue import Assignment
from baobabring.utils import Clock

MS_PER_S = 1_000
SUCCESS_STATUSES = range(200, 300)
FAILURE_STATUSES = range(500, 600)


def is_failure(end: AttemptAnswered) -> bool:
    """Return whether the target responded that it failed."""
    return end.response.status in FAILURE_STATUSES


def _has_stream(end: AttemptEnd) -> bool:
    return isinstance(end, AttemptAnswered) and end.response.stream is not None


class AttemptRunner:
    """Send calls to assigned targets and read the responses."""

    def __init__(
        self,
        ranker: TargetRanker,
        failure_counts: FailureCounts,
        target_observer: TargetObserver,
        reachability_observer: ReachabilityObserver,
        crash_observer: CrashObserver,
        pool: ConnectionPool,
        body_memory: BodyMemory,
        clock: Clock,
    ) -> None:
        self.ranker = ranker
        self.failure_counts = failure_counts
        self.target_observer = target_observer
        self.reachability_observer = reachability_observer
        self.crash_observer = crash_observer
        self.pool = pool
        self.body_memory = body_memory
        self.clock = clock

    async def run(self, progress: CallProgress, assignment: Assignment) -> AttemptEnd:
        """Send a call to its assigned target and return how the attempt ended.

        If the response has a stream, the rest of the body is still being received.
        """
        call, target = progress.call, assignment.record.target
        sent_at_s = self.clock.now_s()
        time_left_ms = (call.deadline_s - sent_at_s) * MS_PER_S
        request = build_target_request(call, target, time_left_ms)
        progress.tried_targets.append(target.target_id)
        progress.sent = True
        self.ranker.record_call_sent(target.target_id, sent_at_s)
        self.target_observer.count_request(target, ResponseKind.CALL)
        end: AttemptEnd = AttemptLost(CallProblem.CALLER_LEFT)
        try:
            end = await self._exchange(progress, assignment, request)
        finally:
            if isinstance(end, AttemptLost):
                self._record_unfinished(call, assignment.offer, sent_at_s)
            if not _has_stream(end):
                self._release(assignment)
        ENTRY_ATTEMPTS.labels(call.service_id, type(end).__name__).inc()
        self._record_end(progress, assignment, end)
        return end

    async def _exchange(
        self, progress: CallProgress, assignment: Assignment, request: bytes
    ) -> AttemptEnd:
        call = progress.call
        sent_at_s = self.clock.now_s()
        call_id = call.call_id.encode("latin-1")
        connection = assignment.probe_response.connection
        target = assignment.record.target

        def observe(response: HttpResponse) -> None:
            self.target_observer.observe_call(target, response, sent_at_s)

        try:
            async with asyncio.timeout(call.deadline_s - sent_at_s):
                response = await connection.exchange(
                    request, CALL_ID_HEADER, call_id, self.body_memory, observe
                )
        except TimeoutError:
            return AttemptLost(CallProblem.TIMEOUT)
        except ExchangeError as error:
            if error.failure is ExchangeFailure.NOT_SENT:
                return AttemptNotRun()
            self.target_observer.log_invalid_response(target, error, ResponseKind.CALL)
            if error.failure in INVALID_RESPONSE_FAILURES:
                return AttemptLost(CallProblem.BAD_ANSWER)
            self.crash_observer.on_connection_lost(call, target, sent_at_s)
            return AttemptLost(CallProblem.CONNECTION_LOST)
        now_s = self.clock.now_s()
        load = parse_load(response)
        if load is not None:
            assignment.record.record_load(load, now_s)
        if is_of_expected_target(response):
            self.reachability_observer.record_response(target)
        return self._read_response(call, assignment, response, sent_at_s)

    def _read_response(
        self,
        call: EntryCall,
        assignment: Assignment,
        response: HttpResponse,
        sent_at_s: float,
    ) -> AttemptEnd:
        is_not_run = is_not_run_response(response)
        if is_not_run or not has_target_signature(response):
            if response.stream is not None:
                response.stream.abandon()
            return (
                AttemptNotRun() if is_not_run else AttemptLost(CallProblem.BAD_ANSWER)
            )
        if response.status in SUCCESS_STATUSES:
            took_s = self.clock.now_s() - sent_at_s
            self._record_work(call, assignment.offer, response, took_s)
        if response.stream is not None:
            self._follow_stream(call, assignment, response, sent_at_s)
        headers = tuple(filter_response_headers(response))
        return AttemptAnswered(
            TargetResponse(
                response.status, headers, bytes(response.body), response.stream
            )
        )

    def _record_work(
        self, call: EntryCall, offer: Offer, response: HttpResponse, took_s: float
    ) -> None:
        estimates = self.ranker.estimates
        if offer.has_free_slot:
            work_ms = (took_s - response.body_took_s) * MS_PER_S
            estimates.record_work(call, work_ms, offer.slowdown, offer.saturated)
            if not offer.saturated:
                estimates.record_speed(call, work_ms, offer.reported_slowdown)
        if response.stream is None:
            estimates.record_transfer(call.route, response.body_took_s * MS_PER_S)

    def _record_unfinished(
        self, call: EntryCall, offer: Offer, sent_at_s: float
    ) -> None:
        if offer.has_free_slot and not offer.saturated:
            took_ms = (self.clock.now_s() - sent_at_s) * MS_PER_S
            self.ranker.estimates.record_speed(
                call, took_ms, offer.reported_slowdown, finished=False
            )

    def _record_end(
        self, progress: CallProgress, assignment: Assignment, end: AttemptEnd
    ) -> None:
        if isinstance(end, AttemptNotRun):
            return
        progress.may_have_run = True
        if isinstance(end, AttemptLost) or is_failure(end):
            self.failure_counts.count_failure(assignment.record.target.target_id)

    def _follow_stream(
        self,
        call: EntryCall,
        assignment: Assignment,
        response: HttpResponse,
        sent_at_s: float,
    ) -> None:
        """Release the connection when the body ends, at the deadline at the latest."""
        loop = asyncio.get_running_loop()
        left_s = call.deadline_s - self.clock.now_s()
        timer = loop.call_later(left_s, response.stream.expire)
        headers_at_s = loop.time() - response.body_took_s

        def on_end(end: BodyEnd) -> None:
            timer.cancel()
            self._release(assignment)
            ENTRY_STREAMS.labels(call.service_id, end.value).inc()
            if end is BodyEnd.CUT_SHORT:
                target = assignment.record.target
                self.failure_counts.count_failure(target.target_id)
                self.crash_observer.on_connection_lost(call, target, sent_at_s)
            elif end is BodyEnd.COMPLETE:
                transfer_ms = (loop.time() - headers_at_s) * MS_PER_S
                self.ranker.estimates.record_transfer(call.route, transfer_ms)

        response.stream.add_end_callback(on_end)

    def _release(self, assignment: Assignment) -> None:
        """Count the end of an attempt, and keep its connection if it is reusable."""
        assignment.record.record_call_ended()
        connection = assignment.probe_response.connection
        if connection.busy:
            connection.abandon()
        else:
            self.pool.return_connection(assignment.record.target.address, connection)
