"""Estimates of the processing time of calls at targets."""

from baobabring.entry._decay import MovingAverage
from baobabring.entry._model import EntryCall, EntryRoute

# Initial estimate: work usually takes about a third of the route's latency goal.
INITIAL_WORK_SHARE_OF_GOAL = 0.33
WORK_GAIN = 0.05
SLOWDOWN_GAIN = 0.02
INITIAL_SLOWDOWN = 1.5
# Factor on the processing time of a call that takes the last slot of a target.
INITIAL_SATURATION_SLOWDOWN = 1.15
SATURATION_GAIN = 0.05
SATURATION_SLOWDOWN_RANGE = (1.0, 3.0)
# Initial estimate of how long the speed of a target stays constant, and the number of
# observed changes of speed that it counts for.
INITIAL_SPEED_LIFETIME_MS = 150.0
INITIAL_SPEED_CHANGES = 3.0
# Weight that older observations keep with each new one.
SPEED_RETENTION = 0.995
# Calls at targets of nearly the mean speed do not show how long speeds last.
MIN_SLOWDOWN_DIFFERENCE = 0.5
# A call that ran at the reported speed for a smaller share of its work saw a change.
MIN_CONSTANT_SHARE = 0.8


class _SpeedLifetime:
    """Estimate how long speeds last from the time observed between changes."""

    def __init__(self) -> None:
        self._observed_ms = INITIAL_SPEED_LIFETIME_MS * INITIAL_SPEED_CHANGES
        self._changes = INITIAL_SPEED_CHANGES

    def add(self, constant_ms: float, changed: bool) -> None:
        """Add a time at constant speed and whether a change ended it."""
        self._observed_ms = self._observed_ms * SPEED_RETENTION + constant_ms
        self._changes = self._changes * SPEED_RETENTION + changed

    @property
    def mean_ms(self) -> float:
        """Return the mean time between changes."""
        return self._observed_ms / self._changes


class WorkEstimates:
    """Estimate the processing time of calls at normal target speed, and slowdowns."""

    def __init__(self) -> None:
        self._routes: dict[str, MovingAverage] = {}
        self._services: dict[str, MovingAverage] = {}
        self._transfers: dict[str, MovingAverage] = {}
        self._slowdowns: dict[str, MovingAverage] = {}
        self._speed_lifetimes: dict[str, _SpeedLifetime] = {}
        self._saturation_slowdowns: dict[str, MovingAverage] = {}

    def work_ms(self, route: EntryRoute) -> float:
        """Return the mean processing time of a route's calls at normal speed."""
        average = self._routes.get(route.route_id)
        if average is None:
            return route.latency_goal_ms * INITIAL_WORK_SHARE_OF_GOAL
        return average.value

    def service_work_ms(self, service_id: str) -> float:
        """Return the mean processing time of a service's calls at normal speed."""
        average = self._services.get(service_id)
        return average.value if average is not None else 100.0

    def transfer_ms(self, route: EntryRoute) -> float:
        """Return the mean time that the bodies of a route's responses take to arrive.

        It depends on the link of this instance, not on the speed of the target.
        """
        average = self._transfers.get(route.route_id)
        return average.value if average is not None else 0.0

    def record_transfer(self, route: EntryRoute, took_ms: float) -> None:
        """Update the estimate with the time from a response's headers to its end."""
        average = self._transfers.get(route.route_id)
        if average is None:
            average = MovingAverage(took_ms, WORK_GAIN)
            self._transfers[route.route_id] = average
        average.add(took_ms)

    def saturation_slowdown(self, service_id: str) -> float:
        """Return the factor on the processing time at a target without free slots."""
        average = self._saturation_slowdowns.get(service_id)
        value = average.value if average is not None else INITIAL_SATURATION_SLOWDOWN
        min_slowdown, max_slowdown = SATURATION_SLOWDOWN_RANGE
        return min(max(value, min_slowdown), max_slowdown)

    def expected_slowdown(self, call: EntryCall, reported: float) -> float:
        """Return the expected mean slowdown during a call, given the reported one."""
        weight = self._reported_weight(call, reported)
        mean = self.mean_slowdown(call.service_id)
        return weight * reported + (1.0 - weight) * mean

    def speed_lifetime_ms(self, service_id: str) -> float:
        """Return how long the speed of a service's targets stays constant."""
        lifetime = self._speed_lifetimes.get(service_id)
        return lifetime.mean_ms if lifetime is not None else INITIAL_SPEED_LIFETIME_MS

    def record_speed(
        self, call: EntryCall, took_ms: float, reported: float, finished: bool = True
    ) -> None:
        """Update the lifetime of speeds by the duration of a call that had a slot.

        `reported` is the slowdown that the target reported before the call. A call
        that was not finished would have taken longer than `took_ms`.
        """
        mean = self.mean_slowdown(call.service_id)
        if abs(reported - mean) < MIN_SLOWDOWN_DIFFERENCE:
            return
        work_ms = max(self.work_ms(call.route), 1.0)
        share = (took_ms / work_ms - mean) / (reported - mean)
        share = min(max(share, 0.0), 1.0)
        changed = share < MIN_CONSTANT_SHARE
        if not finished:
            is_slow = reported > mean
            if not is_slow and not changed:
                return
            changed = not is_slow
        lifetime = self._speed_lifetimes.setdefault(call.service_id, _SpeedLifetime())
        lifetime.add(share * work_ms * reported, changed)

    def _reported_weight(self, call: EntryCall, reported: float) -> float:
        """Return the share of a call's work that runs at the reported speed."""
        work_ms = self.work_ms(call.route) * reported
        lifetime_ms = self.speed_lifetime_ms(call.service_id)
        return min(1.0, lifetime_ms / max(work_ms, 1.0))

    def mean_slowdown(self, service_id: str) -> float:
        """Return the mean slowdown that a service's targets reported."""
        average = self._slowdowns.get(service_id)
        return average.value if average is not None else INITIAL_SLOWDOWN

    def record_slowdown(self, service_id: str, slowdown: float) -> None:
        """Update the mean slowdown of a service with one that a target reported."""
        average = self._slowdowns.get(service_id)
        if average is None:
            average = MovingAverage(INITIAL_SLOWDOWN, SLOWDOWN_GAIN)
            self._slowdowns[service_id] = average
        average.add(slowdown)

    def record_work(
        self, call: EntryCall, took_ms: float, slowdown: float, saturated: bool
    ) -> None:
        """Update the estimates with the duration of a call that found a free slot.

        `took_ms` ends with the headers of the response, since the body's transfer does
        not depend on the target's speed.
        `slowdown` is the slowdown expected during the call. `saturated` is set if the
        call took the target's last slot.
        """
        work_ms = took_ms / max(slowdown, 0.1)
        route_id = call.route.route_id
        if saturated:
            average = self._saturation_slowdowns.get(call.service_id)
            if average is None:
                average = MovingAverage(INITIAL_SATURATION_SLOWDOWN, SATURATION_GAIN)
                self._saturation_slowdowns[call.service_id] = average
            average.add(work_ms / self.work_ms(call.route))
            return
        if route_id not in self._routes:
            first_ms = self.work_ms(call.route)
            self._routes[route_id] = MovingAverage(first_ms, WORK_GAIN)
        self._routes[route_id].add(work_ms)
        if call.service_id not in self._services:
            self._services[call.service_id] = MovingAverage(work_ms, WORK_GAIN)
        self._services[call.service_id].add(work_ms)
