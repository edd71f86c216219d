"""Observation of which services this instance can connect to."""

import logbook

from baobabring.entry import (
    EntryTarget,
    ProbeFailure,
    ServiceReachability,
    ServiceRegained,
    TargetTable,
)
from baobabring.program.entry._metrics import LOST_SERVICES, PROBE_FAILURES
from baobabring.utils import Clock

LOG = logbook.Logger("targets")


class ReachabilityObserver:
    """Record responses and failed probes of targets, and log lost services."""

    def __init__(
        self, reachability: ServiceReachability, target_table: TargetTable, clock: Clock
    ) -> None:
        self.reachability = reachability
        self.target_table = target_table
        self.clock = clock

    def record_failure(self, target: EntryTarget, failure: ProbeFailure) -> None:
        """Record a probe without a response from its target."""
        PROBE_FAILURES.labels(failure.value).inc()
        usable = self.target_table.usable_targets(target.service_id)
        lost = self.reachability.record_failure(
            target.service_id,
            target.target_id,
            failure,
            {record.target.target_id for record in usable},
            self.clock.now_s(),
        )
        if lost is None:
            return
        self._update_gauge()
        LOG.warning(
            "service lost",
            service=lost.service_id,
            failed_targets=lost.failed_targets,
            usable_targets=len(usable),
        )

    def record_response(self, target: EntryTarget) -> None:
        """Record a response of a target to a probe or a call."""
        now_s = self.clock.now_s()
        regained = self.reachability.record_response(target.service_id, now_s)
        if regained is not None:
            self._on_regained(regained, target)

    def _on_regained(self, regained: ServiceRegained, target: EntryTarget) -> None:
        self._update_gauge()
        LOG.info(
            "service regained",
            service=regained.service_id,
            target=target.target_id,
            lost_for_s=round(regained.lost_for_s, 3),
        )

    def _update_gauge(self) -> None:
        LOST_SERVICES.set(len(self.reachability.lost_services()))
