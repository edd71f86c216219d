"""Processing of each call, from its arrival to its outcome and its log line."""

import asyncio
from dataclasses import dataclass, replace
from random import Random

import logbook

from baobabring.entry import (
    CallProblem,
    Delivered,
    EntryCall,
    EntryConfiguration,
    EntryOutcome,
    EntryRoute,
    NotRun,
    Rejected,
    RouteTable,
    SharedView,
    Undetermined,
    WeightedRoundRobin,
)
from baobabring.platform.wire import parse_caller_headers
from baobabring.program.entry._forwarder import Forwarder
from baobabring.program.entry._metrics import ENTRY_CALL_SECONDS, ENTRY_CALLS
from baobabring.program.entry._progress import CallProgress, HandoverOrigin
from baobabring.utils import Clock

LOG = logbook.Logger("call")

MS_PER_S = 1_000
# The response must reach the caller before its deadline or the route's timeout.
RESPONSE_MARGIN_S = 0.01
DEFAULT_RETRY_DELAY_S = 0.3
# Other instances take the calls that one which shuts down refuses.
SHUTDOWN_RETRY_DELAY_S = 0.03
MAX_LOGGED_OFFERS = 3


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Represent a caller's request as received; header names are in lower case."""

    method: str
    path: str
    host: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    arrived_at_s: float


class CallRunner:
    """Route requests, forward them as calls and record their outcomes."""

    def __init__(
        self, shared_view: SharedView, forwarder: Forwarder, clock: Clock, rng: Random
    ) -> None:
        self.shared_view = shared_view
        self.forwarder = forwarder
        self.clock = clock
        self.rng = rng
        self.ready = False
        self.in_progress = 0
        self._drain_ends_at_s: float | None = None
        self._configuration = EntryConfiguration()
        self._route_table = RouteTable(self._configuration)
        self._round_robins: dict[str, WeightedRoundRobin] = {}
        self._progress: dict[asyncio.Task, CallProgress] = {}

    @property
    def body_limit_bytes(self) -> int:
        """Return the size limit of a request's body."""
        return self._configuration.limits.body_limit_bytes

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration in force."""
        return self._configuration.version

    @property
    def shutting_down(self) -> bool:
        """Return whether the instance is shutting down."""
        return self._drain_ends_at_s is not None

    def start_drain(self, ends_at_s: float) -> None:
        """Refuse further calls that may last beyond the end of the drain."""
        self._drain_ends_at_s = ends_at_s

    async def end_calls(self) -> None:
        """End the calls in progress; those that were not sent are refused."""
        tasks = list(self._progress)
        for task, progress in self._progress.items():
            progress.ended_by_shutdown = True
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_configuration(self, configuration: EntryConfiguration) -> None:
        """Route new calls by a configuration."""
        self._configuration = configuration
        self._route_table = RouteTable(configuration)
        self._round_robins = {
            route.route_id: self._reuse_round_robin(route)
            for route in configuration.routes
        }

    def start(
        self, request: CallerRequest, origin: HandoverOrigin | None = None
    ) -> asyncio.Future[EntryOutcome]:
        """Start a call of a caller or a peer, and return a future of its outcome."""
        call = self._build_call(request, origin)
        if isinstance(call, EntryCall) and origin is not None:
            call = replace(call, deadline_s=min(call.deadline_s, origin.deadline_s))
        if isinstance(call, EntryCall) and self._may_outlast_drain(call):
            retry_at_s = self.clock.now_s() + SHUTDOWN_RETRY_DELAY_S
            call = NotRun(CallProblem.SHUTTING_DOWN, retry_at_s)
        if not isinstance(call, EntryCall):
            return self._end_unforwarded(request, call)
        if origin is None:
            return asyncio.ensure_future(self._run(CallProgress(call)))
        progress = CallProgress(
            call,
            tried_targets=origin.tried_targets,
            handed_over_by=origin.peer_id,
            lost_handovers=origin.lost_handovers,
        )
        return asyncio.ensure_future(self._run(progress))

    def on_caller_disconnect(self, task: asyncio.Task) -> None:
        """Cancel a call, unless it isn't idempotent and has been sent."""
        progress = self._progress.get(task)
        if progress is None:
            return
        if progress.sent and not progress.call.route.idempotent:
            return
        task.cancel()

    def _may_outlast_drain(self, call: EntryCall) -> bool:
        """Return whether the process may end before a call does."""
        ends_at_s = self._drain_ends_at_s
        return ends_at_s is not None and call.deadline_s > ends_at_s

    async def _run(self, progress: CallProgress) -> EntryOutcome:
        task = asyncio.current_task()
        self._progress[task] = progress
        self.in_progress += 1
        outcome: EntryOutcome = Undetermined(CallProblem.CALLER_LEFT)
        try:
            outcome = await self.forwarder.forward(progress)
        except asyncio.CancelledError:
            if not progress.ended_by_shutdown:
                raise
            outcome = self._create_failure(progress, CallProblem.SHUTTING_DOWN)
        except Exception:
            # The call may have been sent before the error.
            LOG.exception("call failed", call=progress.call.call_id)
            outcome = self._create_failure(progress, CallProblem.INTERNAL)
        finally:
            self.in_progress -= 1
            del self._progress[task]
            self._record_outcome(progress, outcome)
        return outcome

    def _create_failure(
        self, progress: CallProgress, problem: CallProblem
    ) -> EntryOutcome:
        """Return the outcome of a call that this instance does not complete."""
        if progress.sent:
            return Undetermined(problem)
        return NotRun(problem, self.clock.now_s() + DEFAULT_RETRY_DELAY_S)

    def _build_call(
        self, request: CallerRequest, origin: HandoverOrigin | None
    ) -> EntryCall | EntryOutcome:
        if not self.shared_view.is_complete:
            retry_at_s = request.arrived_at_s + DEFAULT_RETRY_DELAY_S
            return NotRun(CallProblem.NO_CONFIGURATION, retry_at_s)
        path = request.path.partition("?")[0]
        route = self._route_table.match(request.host, path)
        if route is None:
            return Rejected(CallProblem.NO_ROUTE)
        headers = parse_caller_headers(request.headers)
        wait_ms = route.timeout_ms
        if headers.time_left_ms is not None:
            wait_ms = min(wait_ms, headers.time_left_ms)
        arrived_at_s = request.arrived_at_s
        call_id = headers.call_id or b""
        return EntryCall(
            call_id=call_id.decode("latin-1"),
            route=route,
            service_id=self._choose_service(route, origin),
            method=request.method,
            path=request.path,
            headers=tuple(request.headers),
            body=request.body,
            arrived_at_s=arrived_at_s,
            deadline_s=arrived_at_s + wait_ms / MS_PER_S - RESPONSE_MARGIN_S,
            goal_at_s=arrived_at_s + route.latency_goal_ms / MS_PER_S,
        )

    def _choose_service(self, route: EntryRoute, origin: HandoverOrigin | None) -> str:
        """Return the service that a peer chose for a call, else the next by weight."""
        services = {part.service_id for part in route.services}
        if origin is not None and origin.service_id in services:
            return origin.service_id
        return self._round_robins[route.route_id].next_service()

    def _reuse_round_robin(self, route: EntryRoute) -> WeightedRoundRobin:
        known = self._round_robins.get(route.route_id)
        if known is not None and known.services == route.services:
            return known
        return WeightedRoundRobin(route, self.rng.random())

    def _end_unforwarded(
        self, request: CallerRequest, outcome: EntryOutcome
    ) -> asyncio.Future[EntryOutcome]:
        future = asyncio.get_running_loop().create_future()
        future.set_result(outcome)
        ENTRY_CALLS.labels("", _outcome_name(outcome)).inc()
        call_id = parse_caller_headers(request.headers).call_id or b""
        LOG.info(
            "call ended",
            call=call_id.decode("latin-1"),
            outcome=_outcome_name(outcome),
            host=request.host,
            path=request.path,
            configuration=self._configuration.version,
        )
        return future

    def _record_outcome(self, progress: CallProgress, outcome: EntryOutcome) -> None:
        call = progress.call
        now_s = self.clock.now_s()
        name = _outcome_name(outcome)
        took_s = now_s - call.arrived_at_s
        if progress.handed_over_by is None:
            ENTRY_CALLS.labels(call.route.route_id, name).inc()
            ENTRY_CALL_SECONDS.labels(call.route.route_id).observe(took_s)
        LOG.info(
            "call ended",
            call=call.call_id,
            outcome=name,
            status=outcome.response.status if isinstance(outcome, Delivered) else None,
            route=call.route.route_id,
            service=call.service_id,
            tried=progress.tried_targets,
            request=progress.request_digest,
            handed_over_by=progress.handed_over_by,
            handed_over_to=progress.handed_over_to,
            took_ms=round(took_s * MS_PER_S, 1),
            probes=progress.probes,
            waited=progress.waited,
            offers=[
                (
                    offer.target_id,
                    offer.has_free_slot,
                    round(offer.finish_ms),
                    round(offer.cost_ms),
                    round(offer.slowdown, 1),
                )
                for offer in progress.offers[:MAX_LOGGED_OFFERS]
            ],
            time_left_ms=round((call.deadline_s - now_s) * MS_PER_S),
            configuration=self._configuration.version,
            view_age_ms=self._view_age_ms(now_s),
        )

    def _view_age_ms(self, now_s: float) -> int | None:
        confirmed_at_s = self.shared_view.confirmed_at_s
        if confirmed_at_s is None:
            return None
        return round((now_s - confirmed_at_s) * MS_PER_S)


def _outcome_name(outcome: EntryOutcome) -> str:
    if isinstance(outcome, Delivered):
        return "delivered"
    prefix = {NotRun: "not-run", Rejected: "rejected", Undetermined: "undetermined"}
    return f"{prefix[type(outcome)]}:{outcome.problem.value}"
