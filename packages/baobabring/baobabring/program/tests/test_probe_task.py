"""Test that ejections make probes urgent."""

from baobabring.balancing.tests.fakes import make_warm_balancer
from baobabring.model import Lost, Reason
from baobabring.probing import ProbeScheduler, ProbeSettings
from baobabring.program._probe_task import ProbeTask

SETTINGS = ProbeSettings(min_instances=1, settle_s=0.0, idle_after_s=100.0)


class NoLink:
    """Stand in for the link to peers, which has none."""

    def subscribe(self, message_type, handler) -> None:
        """Take a handler."""

    def broadcast(self, message) -> None:
        """Send to nobody."""


def fail(balancer, target_id: str, now_s: float) -> None:
    """Let a target fail until it is ejected."""
    for _ in range(5):
        balancer.attempt_started(target_id, now_s)
        balancer.attempt_ended(target_id, Lost(Reason.CONNECTION_LOST), now_s)


def test_ejected_target_is_due_soon_and_again_when_it_comes_back():
    balancer = make_warm_balancer(count=4)
    scheduler = ProbeScheduler("i0", SETTINGS)
    scheduler.set_instances([], 1, 0.0)
    scheduler.set_targets([f"t{n}" for n in range(4)], 1.0)
    task = ProbeTask(scheduler, balancer, None, NoLink(), None)
    for target_id in ("t0", "t1", "t2", "t3"):
        scheduler.record_traffic(target_id, 1.0)
    assert scheduler.start_due_probes(3.0) == []
    fail(balancer, "t0", 3.0)
    assert balancer.ejected == {"t0"}
    task.note_ejections(3.0)
    assert scheduler.start_due_probes(3.6) == ["t0"]
    scheduler.record_probe_end("t0", True, 3.6)
    balancer.has_capacity("menu", 5.0)
    assert balancer.ejected == frozenset()
    task.note_ejections(5.0)
    assert scheduler.start_due_probes(5.6) == ["t0"]
