"""Test single failures of instances and of the log, one after another."""

import pytest

from baobabring.claims._records import Settlement
from baobabring.claims.tests._models import AppendFate
from baobabring.claims.tests._simulation import FleetSimulation
from baobabring.claims.tests._support import KEY


@pytest.fixture
def simulation():
    simulation = FleetSimulation()
    for instance in simulation.instances:
        simulation.read_all(instance)
    return simulation


def win_claim(simulation, instance):
    simulation.request(instance, KEY, b"f", 4.0)
    simulation.append(instance, AppendFate.CONFIRMED)
    simulation.read_all(instance)


def settle_not_run(simulation, instance):
    simulation.read_all(instance)
    simulation.settle(instance, KEY, Settlement.NOT_RUN)
    simulation.append(instance, AppendFate.CONFIRMED)
    simulation.read_all(instance)


def unknown_keys(simulation, instance):
    outcomes = instance.claims.get_unknown_outcomes(
        simulation.get_local_time_s(instance)
    )
    return [outcome.key for outcome in outcomes]


def test_instance_killed_before_its_claim_leaves_the_key_free(simulation):
    first, second, _ = simulation.instances
    simulation.request(first, KEY, b"f", 4.0)
    simulation.crash(first)
    simulation.serve(second, KEY, b"f", 4.0)
    assert len(simulation.runs[KEY]) == 1


def test_instance_killed_after_its_claim_leaves_an_unknown_outcome(simulation):
    first, second, _ = simulation.instances
    win_claim(simulation, first)
    simulation.crash(first)
    simulation.now_s += 8
    simulation.read_all(second)
    simulation.serve(second, KEY, b"f", 4.0)
    assert KEY not in simulation.runs
    assert unknown_keys(simulation, second) == [KEY]


def test_key_settled_as_not_run_runs_again(simulation):
    first, second, _ = simulation.instances
    win_claim(simulation, first)
    simulation.crash(first)
    simulation.now_s += 8
    settle_not_run(simulation, second)
    simulation.serve(second, KEY, b"f", 4.0)
    assert len(simulation.runs[KEY]) == 1


def test_instance_killed_while_its_request_runs_leaves_an_unknown_outcome(simulation):
    first, second, _ = simulation.instances
    win_claim(simulation, first)
    simulation.dispatch_all(first)
    simulation.crash(first)
    simulation.now_s += 8
    simulation.read_all(second)
    simulation.serve(second, KEY, b"f", 4.0)
    assert unknown_keys(simulation, second) == [KEY]


def test_holder_paused_past_a_settlement_does_not_run(simulation):
    first, second, _ = simulation.instances
    win_claim(simulation, first)
    simulation.pause(first)
    simulation.now_s += 8
    settle_not_run(simulation, second)
    simulation.serve(second, KEY, b"f", 4.0)
    simulation.resume(first)
    assert len(simulation.runs[KEY]) == 1


def test_settlement_before_the_deadline_does_not_free_the_key(simulation):
    first, second, _ = simulation.instances
    win_claim(simulation, first)
    simulation.read_all(second)
    simulation.settle_early(second, KEY)
    simulation.read_all(second)
    simulation.serve(second, KEY, b"f", 4.0)
    simulation.dispatch_all(first)
    assert len(simulation.runs[KEY]) == 1


def test_early_settlement_appended_again_does_not_free_the_key(simulation):
    first, second, _ = simulation.instances
    win_claim(simulation, first)
    simulation.read_all(second)
    simulation.settle_early(second, KEY)
    simulation.dispatch_all(first)
    simulation.crash(first)
    simulation.now_s += 8
    simulation.repeat_record(len(simulation.stream.records) - 1)
    simulation.read_all(second)
    simulation.serve(second, KEY, b"f", 4.0)
    assert len(simulation.runs[KEY]) == 1


@pytest.mark.parametrize("fate", [AppendFate.REPLY_LOST, AppendFate.LOST])
def test_claim_whose_append_reply_is_lost_runs_once(simulation, fate):
    first, second, _ = simulation.instances
    simulation.request(first, KEY, b"f", 4.0)
    simulation.append(first, fate)
    simulation.now_s += 0.5
    simulation.read_all(first)
    simulation.append(first, AppendFate.CONFIRMED)
    simulation.read_all(first)
    simulation.dispatch_all(first)
    assert len(simulation.stream.records) == 1
    simulation.serve(second, KEY, b"f", 4.0)
    assert len(simulation.runs[KEY]) == 1


def test_claim_stored_after_its_copy_runs_once(simulation):
    first = simulation.instances[0]
    simulation.request(first, KEY, b"f", 4.0)
    simulation.append(first, AppendFate.DELAYED)
    simulation.now_s += 0.5
    simulation.read_all(first)
    simulation.append(first, AppendFate.CONFIRMED)
    simulation.flush_delayed_append(0)
    simulation.read_all(first)
    simulation.dispatch_all(first)
    assert len(simulation.runs[KEY]) == 1


def test_claim_stored_after_its_call_ended_does_not_block_the_key(simulation):
    first, second, _ = simulation.instances
    simulation.request(first, KEY, b"f", 4.0)
    simulation.append(first, AppendFate.DELAYED)
    simulation.now_s += 4
    simulation.tick(first)
    simulation.read_all(first)
    simulation.append(first, AppendFate.CONFIRMED)
    simulation.flush_delayed_append(0)
    simulation.read_all(second)
    simulation.serve(second, KEY, b"f", 4.0)
    assert len(simulation.runs[KEY]) == 1


def test_new_instance_after_retention_does_not_run_an_older_key(simulation):
    first, second, _ = simulation.instances
    simulation.serve(first, KEY, b"f", 4.0)
    simulation.expire_records(len(simulation.stream.records))
    simulation.crash(second)
    simulation.read_all(second)
    simulation.serve(second, KEY, b"f", 4.0)
    assert len(simulation.runs[KEY]) == 1


def test_instance_that_read_too_late_does_not_run_an_older_key(simulation):
    first, second, _ = simulation.instances
    simulation.serve(first, KEY, b"f", 4.0)
    simulation.expire_records(len(simulation.stream.records))
    simulation.read_all(second)
    simulation.serve(second, KEY, b"f", 4.0)
    assert len(simulation.runs[KEY]) == 1


def test_call_pending_while_records_expire_releases_its_claim(simulation):
    first, second, _ = simulation.instances
    simulation.request(first, KEY, b"f", 4.0)
    simulation.append(first, AppendFate.CONFIRMED)
    simulation.read_all(second)
    simulation.expire_records(len(simulation.stream.records))
    simulation.read_all(first)
    assert not first.calls
    simulation.append(first, AppendFate.CONFIRMED)
    simulation.read_all(second)
    simulation.serve(second, KEY, b"f", 4.0)
    assert len(simulation.runs[KEY]) == 1


def test_log_that_is_down_refuses_and_recovers(simulation):
    first = simulation.instances[0]
    simulation.request(first, KEY, b"f", 4.0)
    for _ in range(4):
        simulation.append(first, AppendFate.LOST)
        simulation.now_s += 1
        simulation.fail_read(first)
        simulation.tick(first)
    assert not first.calls
    simulation.read_all(first)
    simulation.append(first, AppendFate.CONFIRMED)
    simulation.read_all(first)
    simulation.serve(first, KEY, b"f", 4.0)
    assert len(simulation.runs[KEY]) == 1
