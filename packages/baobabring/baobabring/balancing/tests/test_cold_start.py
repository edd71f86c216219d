"""Tests of the limit on calls to targets in cold start."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabring.balancing._cold_start_replica import (
    ColdStartReplica,
    Lease,
    encode_records,
)
from baobabring.balancing.tests.fakes import (
    FakeLog,
    make_answered,
    make_balancer,
    make_configuration,
    make_target,
    make_warm_balancer,
    warm_up,
)
from baobabring.model import LoadReport, TargetState
from baobabring.platform import LogRecord, Page

CONFIGURATION = make_configuration([make_target(0, slots=4)])


def sync_with_log(balancer, log: FakeLog, now_s: float) -> None:
    log.append(balancer.cold_start.pop_due_proposal(now_s), now_s)
    balancer.cold_start.apply_page(log.page(), now_s)


def make_cold_balancer(log: FakeLog, name: str = "i0", seed: int = 1):
    balancer = make_balancer(name, log, seed)
    balancer.configure(CONFIGURATION, 0.0)
    return balancer


def turn_cold(balancer, log: FakeLog, now_s: float) -> None:
    balancer.record_attempt_start("t0", now_s)
    balancer.record_attempt_end("t0", make_answered(cold=True), now_s)
    sync_with_log(balancer, log, now_s + 0.3)


def test_warm_probe_report_ends_the_first_cold_start():
    log = FakeLog()
    balancer = make_cold_balancer(log)
    assert balancer.choose("menu", 0.0) is None
    balancer.record_report("t0", LoadReport(0, 4, False, False), 0.1)
    sync_with_log(balancer, log, 0.1)
    assert balancer.choose("menu", 0.1) == "t0"


def test_first_response_ends_the_first_cold_start():
    log = FakeLog()
    balancer = make_cold_balancer(log)
    balancer.choose("menu", 0.0)
    sync_with_log(balancer, log, 0.1)
    assert balancer.choose("menu", 0.2) == "t0"
    balancer.record_attempt_start("t0", 0.2)
    assert balancer.choose("menu", 0.2) is None
    balancer.record_attempt_end("t0", make_answered(), 0.25)
    sync_with_log(balancer, log, 0.3)
    for _ in range(4):
        balancer.record_attempt_start(balancer.choose("menu", 0.3), 0.3)


def test_attempt_on_a_cold_target_ends_with_the_lease():
    log = FakeLog()
    balancer = make_cold_balancer(log)
    balancer.choose("menu", 0.0)
    sync_with_log(balancer, log, 0.1)
    assert balancer.record_attempt_start("t0", 0.2, 60.0) == 10.1


def test_no_call_starts_without_the_log():
    balancer = make_cold_balancer(FakeLog())
    for step in range(100):
        assert balancer.choose("menu", 0.1 * step) is None


def test_second_instance_waits_for_the_lease_to_expire():
    log = FakeLog()
    first, second = make_cold_balancer(log, "i0"), make_cold_balancer(log, "i1", seed=2)
    first.choose("menu", 0.0)
    sync_with_log(first, log, 0.1)
    sync_with_log(second, log, 0.1)
    granted_s = None
    for step in range(130):
        now_s = 0.2 + 0.1 * step
        if second.choose("menu", now_s) is not None:
            granted_s = now_s
            break
        sync_with_log(second, log, now_s)
    assert 11.1 < granted_s < 11.6


def test_cold_report_stops_calls_at_once_and_at_peers_by_notice():
    log = FakeLog()
    first, second = make_cold_balancer(log, "i0"), make_cold_balancer(log, "i1", seed=2)
    warm_up(first, log, 0.5)
    second.cold_start.apply_page(log.page(), 1.0)
    assert second.choose("menu", 2.0) == "t0"
    first.record_attempt_start("t0", 2.0)
    first.record_attempt_end("t0", make_answered(cold=True), 2.0)
    assert first.choose("menu", 2.0) is None
    second.sharing.apply(first.sharing.pop_due_update(2.0), 2.0)
    assert second.choose("menu", 2.0) is None


def test_old_notice_doesnt_stop_a_target_that_warmed_up_again():
    log = FakeLog()
    balancer = make_cold_balancer(log)
    warm_up(balancer, log, 0.5)
    turn_cold(balancer, log, 2.0)
    warm_under_lease(balancer, log, 3.0)
    balancer.cold_start.apply_notice("t0", -1, 9.0)
    assert balancer.choose("menu", 9.0) == "t0"


def warm_under_lease(balancer, log: FakeLog, now_s: float) -> None:
    balancer.choose("menu", now_s)
    sync_with_log(balancer, log, now_s)
    for step in range(1, 6):
        at_s = now_s + 0.1 * step
        assert balancer.choose("menu", at_s) == "t0"
        balancer.record_attempt_start("t0", at_s)
        balancer.record_attempt_end("t0", make_answered(), at_s)
    sync_with_log(balancer, log, now_s + 1.0)


def test_target_that_turned_cold_needs_several_responses():
    log = FakeLog()
    balancer = make_cold_balancer(log)
    warm_up(balancer, log, 0.5)
    turn_cold(balancer, log, 2.0)
    balancer.record_report("t0", LoadReport(0, 4, False, False), 2.5)
    sync_with_log(balancer, log, 2.6)
    assert not balancer.cold_start.is_warm("t0")
    warm_under_lease(balancer, log, 3.0)
    assert balancer.cold_start.is_warm("t0")


def test_target_that_returns_from_draining_is_cold():
    balancer = make_warm_balancer(count=2)
    draining = [make_target(0, state=TargetState.DRAINING), make_target(1)]
    balancer.configure(make_configuration(draining, 2), 2.0)
    active = [make_target(0), make_target(1)]
    balancer.configure(make_configuration(active, 3), 3.0)
    assert balancer.choose("menu", 3.0, frozenset({"t1"})) is None


def test_lost_call_counts_as_in_flight_until_its_deadline():
    log = FakeLog()
    balancer = make_cold_balancer(log)
    balancer.choose("menu", 0.0)
    sync_with_log(balancer, log, 0.1)
    balancer.record_attempt_start("t0", 0.2, 3.0)
    balancer.record_attempt_end("t0", None, 0.3)
    assert balancer.choose("menu", 2.9) is None
    assert balancer.choose("menu", 3.1) == "t0"


def test_holder_whose_clock_is_behind_starts_no_calls():
    log = FakeLog()
    balancer = make_cold_balancer(log)
    balancer.choose("menu", 0.0)
    log.append(balancer.cold_start.pop_due_proposal(0.1), 5.0)
    balancer.cold_start.apply_page(log.page(), 0.2)
    assert balancer.choose("menu", 0.3) is None


def test_reading_goes_on_after_the_last_record_of_a_page():
    guard = make_balancer().cold_start
    record = LogRecord(4, 1.0, encode_records((Lease("t0", "i0/1", 10.0),)))
    guard.apply_page(Page(0, 9_000, (record,)), 1.0)
    assert guard.next_offset == 5


def test_reading_skips_records_that_have_expired():
    guard = make_balancer().cold_start
    guard.apply_page(Page(70, 70, ()), 1.0)
    assert guard.next_offset == 70


def test_lease_passes_to_another_holder_only_after_expiry_and_skew():
    replica = ColdStartReplica(lease_limit_s=10.0, clock_skew_s=1.0)
    first = encode_records((Lease("t0", "i0/1", 10.0),))
    second = encode_records((Lease("t0", "i1/1", 15.0),))
    replica.apply(LogRecord(0, 5.0, first))
    replica.apply(LogRecord(1, 11.0, second))
    assert replica.get_state("t0").holder == "i0/1"
    replica.apply(LogRecord(2, 11.1, second))
    assert replica.get_state("t0").holder == "i1/1"


CLOCK_OFFSETS_S = (0.0, 0.4, -0.4, 0.9)
INSTANCES = len(CLOCK_OFFSETS_S)
ACTIONS = ["call", "propose", "append", "read", "end", "restart", "view"]
ACTION_WEIGHTS = [8, 8, 8, 8, 8, 1, 1]
PAUSES_S = [0.0, 0.02, 0.1, 0.5, 9.0, 12.0]
PAUSE_WEIGHTS = [30, 30, 20, 5, 0.3, 0.3]
STEPS = 600


class FleetSimulation:
    """Simulate instances with different clocks over one log, and count calls.

    All calls go to one target and end at their deadline at the latest, by the clock
    of their instance.
    """

    def __init__(self) -> None:
        self.log = FakeLog()
        self.now_s = 1.0
        self.seed = 0
        self.calls = 0
        self.holders: set[object] = set()
        self.running: list[tuple[object, float]] = []
        self.proposals: list[bytes] = []
        self.balancers = [self.start_instance(i) for i in range(INSTANCES)]

    def start_instance(self, index: int):
        self.seed += 1
        balancer = make_cold_balancer(self.log, f"i{index}", self.seed)
        balancer.choose("menu", self.now_s + CLOCK_OFFSETS_S[index])
        return balancer

    def advance(self, elapsed_s: float) -> None:
        self.now_s += elapsed_s
        ended = [call for call in self.running if call[1] <= self.now_s]
        self.running = [call for call in self.running if call[1] > self.now_s]
        for balancer, _ in ended:
            if balancer in self.balancers:
                balancer.record_attempt_end("t0", None, self.now_s)

    def perform(self, action: str, index: int, rng: Random) -> None:
        balancer = self.balancers[index]
        now_s = self.now_s + CLOCK_OFFSETS_S[index]
        match action:
            case "call":
                if balancer.choose("menu", now_s) is not None:
                    deadline_s = balancer.record_attempt_start("t0", now_s)
                    end_s = deadline_s - CLOCK_OFFSETS_S[index]
                    self.running.append((balancer, end_s))
                    self.calls += 1
                    self.holders.add(balancer)
            case "propose":
                payload = balancer.cold_start.pop_due_proposal(now_s)
                self.proposals += [payload] if payload else []
            case "append":
                if self.proposals:
                    index = rng.randrange(len(self.proposals))
                    self.log.append(self.proposals.pop(index), self.now_s)
            case "read":
                balancer.cold_start.apply_page(self.log.page(), now_s)
            case "end":
                self.end_oldest_call(balancer, now_s)
            case "restart":
                self.balancers[index] = self.start_instance(index)
            case "view":
                view = {f"i{i}" for i in range(INSTANCES) if rng.random() < 0.5}
                balancer.cold_start.set_live(frozenset(view))

    def end_oldest_call(self, balancer, now_s: float) -> None:
        own = [call for call in self.running if call[0] is balancer]
        if own:
            self.running.remove(own[0])
            balancer.record_attempt_end("t0", make_answered(cold=True), now_s)


def run_fleet(seed: int) -> FleetSimulation:
    rng = Random(seed)
    fleet = FleetSimulation()
    for _ in range(STEPS):
        fleet.advance(rng.choices(PAUSES_S, PAUSE_WEIGHTS)[0])
        action = rng.choices(ACTIONS, ACTION_WEIGHTS)[0]
        fleet.perform(action, rng.randrange(INSTANCES), rng)
        assert len(fleet.running) <= 1
    return fleet


@settings(derandomize=True, max_examples=60, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_sum_over_instances_stays_within_the_cold_limit(seed):
    run_fleet(seed)


def test_simulated_fleet_makes_calls_and_moves_leases():
    fleets = [run_fleet(seed) for seed in range(20)]
    assert sum(fleet.calls for fleet in fleets) > 100
    assert sum(len(fleet.holders) > 1 for fleet in fleets) > 5


def test_next_offset_follows_the_last_record_of_a_partial_page():
    log = FakeLog()
    balancer = make_cold_balancer(log)
    payloads = [encode_records((Lease("t0", "other", 5.0),)) for _ in range(3)]
    records = tuple(LogRecord(i, 0.1, p) for i, p in enumerate(payloads))
    balancer.cold_start.apply_page(Page(0, 3, records[:2]), 0.2)
    assert balancer.cold_start.next_offset == 2


def test_instance_that_cannot_read_the_log_loads_warm_targets_from_a_peer():
    log = FakeLog()
    peer = make_cold_balancer(log, "i1")
    peer.record_report("t0", LoadReport(0, 4, False, False), 0.1)
    sync_with_log(peer, log, 0.4)
    fresh = make_cold_balancer(FakeLog(), "i2")
    assert fresh.choose("menu", 0.5) is None
    assert fresh.cold_start.load_snapshot(peer.cold_start.create_snapshot_payload())
    assert fresh.choose("menu", 0.5) == "t0"


def test_instance_that_missed_expired_records_loads_the_state_of_a_peer():
    log = FakeLog()
    peer = make_cold_balancer(log, "i1")
    peer.record_report("t0", LoadReport(0, 4, False, False), 0.1)
    sync_with_log(peer, log, 0.4)
    turn_cold(peer, log, 1.0)
    fresh = make_cold_balancer(FakeLog(), "i2")
    end = len(log.records)
    fresh.cold_start.apply_page(Page(end, end, ()), 2.0)
    assert fresh.cold_start.lacks_records
    assert fresh.cold_start.load_snapshot(peer.cold_start.create_snapshot_payload())
    assert not fresh.cold_start.lacks_records
    assert fresh.cold_start._replica.get_state(
        "t0"
    ) == peer.cold_start._replica.get_state("t0")


def test_snapshot_of_a_peer_that_is_behind_changes_nothing():
    log = FakeLog()
    peer = make_cold_balancer(log, "i1")
    payload = peer.cold_start.create_snapshot_payload()
    peer.record_report("t0", LoadReport(0, 4, False, False), 0.1)
    sync_with_log(peer, log, 0.4)
    assert not peer.cold_start.load_snapshot(payload)
    assert not peer.cold_start.load_snapshot(b"garbage")
    assert peer.choose("menu", 0.5) == "t0"
