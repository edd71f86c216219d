"""Updates of the state of targets and services by the outcomes of attempts."""

from baobabring.balancing._cold_start import ColdStartGuard
from baobabring.balancing._peers import PeerLoad
from baobabring.balancing._service import ServiceState, TargetEntry
from baobabring.balancing._settings import BalancingSettings
from baobabring.model import (
    Answered,
    AttemptOutcome,
    LoadReport,
    Lost,
    Reason,
    Shed,
)

MIN_DECAY_S = 0.02
MAX_DECAY_S = 2.0
MIN_DECAY_CHANGE_RATIO = 1.5
FAILURE_DECAY_S = 2.0
MIN_SERVER_ERROR_STATUS = 500


class OutcomeObserver:
    """Update latency, failure cost, ejection and cold start by attempt outcomes."""

    def __init__(
        self, settings: BalancingSettings, peers: PeerLoad, cold_start: ColdStartGuard
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._cold_start = cold_start

    def record_outcome(
        self, entry: TargetEntry, outcome: AttemptOutcome, now_s: float
    ) -> bool:
        """Record an outcome; return whether the set of ejected targets changed."""
        report = None if isinstance(outcome, Lost) else outcome.report
        was_ejected = report is not None and self.record_report(entry, report, now_s)
        return self._apply_outcome(entry, outcome, now_s) or was_ejected

    def record_report(
        self, entry: TargetEntry, report: LoadReport, now_s: float
    ) -> bool:
        """Record a load report; return whether the set of ejected targets changed."""
        entry.candidate.probe_in_flight = report.in_flight
        entry.candidate.probe_at_s = now_s
        if not report.draining:
            return False
        return entry.service.ejection.eject_draining(entry.target.target_id, now_s)

    def _apply_outcome(
        self, entry: TargetEntry, outcome: AttemptOutcome, now_s: float
    ) -> bool:
        match outcome:
            case Answered(response, report, first_byte_ms):
                self._record_cold_report(entry, report, now_s)
                if response.status >= MIN_SERVER_ERROR_STATUS:
                    return self._add_failure(entry, False, now_s)
                return self._add_success(entry, report, first_byte_ms, now_s)
            case Shed(report, reached_target):
                self._record_cold_report(entry, report, now_s)
                if reached_target:
                    entry.add_failure_cost(now_s, FAILURE_DECAY_S)
                else:
                    return self._add_failure(entry, True, now_s)
            case Lost(reason) if reason is not Reason.CALLER_LEFT:
                unreachable = reason is Reason.CONNECTION_LOST
                return self._add_failure(entry, unreachable, now_s)
        return False

    def _record_cold_report(
        self, entry: TargetEntry, report: LoadReport | None, now_s: float
    ) -> None:
        if report is not None and report.cold:
            self._cold_start.record_response(entry.target.target_id, report, now_s)

    def _add_success(
        self,
        entry: TargetEntry,
        report: LoadReport | None,
        first_byte_ms: float,
        now_s: float,
    ) -> bool:
        target_id = entry.target.target_id
        service = entry.service
        entry.record_latency(first_byte_ms, now_s)
        self._update_decay(service, now_s)
        if report is None or not report.cold:
            self._cold_start.record_response(target_id, report, now_s)
        ratio = entry.candidate.latency_ratio
        if entry.probation_responses_left:
            entry.probation_responses_left -= 1
            entry.update_limits(self._settings.oversubscription)
        return service.ejection.record_success(target_id, ratio, now_s)

    def _add_failure(self, entry: TargetEntry, unreachable: bool, now_s: float) -> bool:
        service = entry.service
        entry.add_failure_cost(now_s, FAILURE_DECAY_S)
        return service.ejection.record_failure(
            entry.target.target_id, unreachable, now_s
        )

    def _update_decay(self, service: ServiceState, now_s: float) -> None:
        """Set the decay of peers' counts to a few mean service times."""
        service_times = self._settings.decay_service_times
        decay_s = service_times * service.mean_latency_ms / 1000.0
        decay_s = min(max(decay_s, MIN_DECAY_S), MAX_DECAY_S)
        change = decay_s / service.scale.decay_s
        if change > MIN_DECAY_CHANGE_RATIO or change < 1.0 / MIN_DECAY_CHANGE_RATIO:
            self._peers.set_decay(service.scale, decay_s, now_s)
