"""Test that ejections cause early probes."""

from baobabring.balancing.tests.fakes import make_warm_balancer
from baobabring.model import Lost, Reason
from baobabring.probing import ProbeScheduler, ProbeSettings
from baobabring.program._probe_task import ProbeTask

SETTINGS = ProbeSettings(min_instances=1, settle_s=0.0, idle_after_s=100.0)


class NullLink:
    """Represent a link without peers."""

    def subscribe(self, message_type, handler) -> None:
        """Ignore the subscription."""

    def broadcast(self, message) -> None:
        """Ignore the message."""


def fail_until_ejected(balancer, target_id: str, now_s: float) -> None:
    """Record failures of a target until it is ejected."""
    for _ in range(5):
        balancer.record_attempt_start(target_id, now_s)
        balancer.record_attempt_end(target_id, Lost(Reason.CONNECTION_LOST), now_s)


def test_target_is_probed_soon_after_ejection_and_after_return():
    balancer = make_warm_balancer(count=4)
    scheduler = ProbeScheduler("i0", SETTINGS)
    scheduler.set_instances([], 1, 0.0)
    scheduler.set_targets([f"t{n}" for n in range(4)], 1.0)
    task = ProbeTask(scheduler, balancer, None, NullLink(), None)
    for target_id in ("t0", "t1", "t2", "t3"):
        scheduler.record_traffic(target_id, 1.0)
    assert scheduler.start_due_probes(3.0) == []
    fail_until_ejected(balancer, "t0", 3.0)
    assert balancer.ejected == {"t0"}
    task.schedule_ejection_probes(3.0)
    assert scheduler.start_due_probes(3.6) == ["t0"]
    scheduler.record_probe_end("t0", True, 3.6)
    balancer.has_capacity("menu", 5.0)
    assert balancer.ejected == frozenset()
    task.schedule_ejection_probes(5.0)
    assert scheduler.start_due_probes(5.6) == ["t0"]
