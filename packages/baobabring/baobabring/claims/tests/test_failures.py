"""Test single failures of instances and of the log, one after another."""

import pytest

from baobabring.claims._records import Settlement
from baobabring.claims.tests._models import AppendFate
from baobabring.claims.tests._support import KEY
from baobabring.claims.tests._world import World


@pytest.fixture
def world():
    world = World()
    for instance in world.instances:
        world.read_all(instance)
    return world


def win(world, instance):
    world.request(instance, KEY, b"f", 4.0)
    world.append(instance, AppendFate.CONFIRMED)
    world.read_all(instance)


def settle_not_run(world, instance):
    world.read_all(instance)
    world.settle(instance, KEY, Settlement.NOT_RUN)
    world.append(instance, AppendFate.CONFIRMED)
    world.read_all(instance)


def unknown_keys(world, instance):
    outcomes = instance.claims.unknown_outcomes(world.time_of(instance))
    return [outcome.key for outcome in outcomes]


def test_instance_killed_before_its_claim_leaves_the_key_free(world):
    first, second, _ = world.instances
    world.request(first, KEY, b"f", 4.0)
    world.crash(first)
    world.serve(second, KEY, b"f", 4.0)
    assert len(world.runs[KEY]) == 1


def test_instance_killed_after_its_claim_leaves_an_unknown_outcome(world):
    first, second, _ = world.instances
    win(world, first)
    world.crash(first)
    world.now_s += 8
    world.read_all(second)
    world.serve(second, KEY, b"f", 4.0)
    assert KEY not in world.runs
    assert unknown_keys(world, second) == [KEY]


def test_key_settled_as_not_run_runs_again(world):
    first, second, _ = world.instances
    win(world, first)
    world.crash(first)
    world.now_s += 8
    settle_not_run(world, second)
    world.serve(second, KEY, b"f", 4.0)
    assert len(world.runs[KEY]) == 1


def test_instance_killed_while_its_request_runs_leaves_an_unknown_outcome(world):
    first, second, _ = world.instances
    win(world, first)
    world.dispatch_all(first)
    world.crash(first)
    world.now_s += 8
    world.read_all(second)
    world.serve(second, KEY, b"f", 4.0)
    assert unknown_keys(world, second) == [KEY]


def test_holder_paused_past_a_settlement_does_not_run(world):
    first, second, _ = world.instances
    win(world, first)
    world.pause(first)
    world.now_s += 8
    settle_not_run(world, second)
    world.serve(second, KEY, b"f", 4.0)
    world.resume(first)
    assert len(world.runs[KEY]) == 1


def test_settlement_before_the_deadline_does_not_free_the_key(world):
    first, second, _ = world.instances
    win(world, first)
    world.read_all(second)
    world.settle_early(second, KEY)
    world.read_all(second)
    world.serve(second, KEY, b"f", 4.0)
    world.dispatch_all(first)
    assert len(world.runs[KEY]) == 1


def test_early_settlement_that_lands_again_does_not_free_the_key(world):
    first, second, _ = world.instances
    win(world, first)
    world.read_all(second)
    world.settle_early(second, KEY)
    world.dispatch_all(first)
    world.crash(first)
    world.now_s += 8
    world.repeat(len(world.stream.records) - 1)
    world.read_all(second)
    world.serve(second, KEY, b"f", 4.0)
    assert len(world.runs[KEY]) == 1


@pytest.mark.parametrize("fate", [AppendFate.ANSWER_LOST, AppendFate.LOST])
def test_claim_whose_answer_is_lost_runs_once(world, fate):
    first, second, _ = world.instances
    world.request(first, KEY, b"f", 4.0)
    world.append(first, fate)
    world.now_s += 0.5
    world.read_all(first)
    world.append(first, AppendFate.CONFIRMED)
    world.read_all(first)
    world.dispatch_all(first)
    assert len(world.stream.records) == 1
    world.serve(second, KEY, b"f", 4.0)
    assert len(world.runs[KEY]) == 1


def test_claim_that_lands_after_its_copy_runs_once(world):
    first = world.instances[0]
    world.request(first, KEY, b"f", 4.0)
    world.append(first, AppendFate.DELAYED)
    world.now_s += 0.5
    world.read_all(first)
    world.append(first, AppendFate.CONFIRMED)
    world.land(0)
    world.read_all(first)
    world.dispatch_all(first)
    assert len(world.runs[KEY]) == 1


def test_claim_that_lands_after_its_call_ended_blocks_nobody(world):
    first, second, _ = world.instances
    world.request(first, KEY, b"f", 4.0)
    world.append(first, AppendFate.DELAYED)
    world.now_s += 4
    world.tick(first)
    world.read_all(first)
    world.append(first, AppendFate.CONFIRMED)
    world.land(0)
    world.read_all(second)
    world.serve(second, KEY, b"f", 4.0)
    assert len(world.runs[KEY]) == 1


def test_new_instance_after_retention_does_not_run_an_older_key(world):
    first, second, _ = world.instances
    world.serve(first, KEY, b"f", 4.0)
    world.expire(len(world.stream.records))
    world.crash(second)
    world.read_all(second)
    world.serve(second, KEY, b"f", 4.0)
    assert len(world.runs[KEY]) == 1


def test_instance_that_read_too_late_does_not_run_an_older_key(world):
    first, second, _ = world.instances
    world.serve(first, KEY, b"f", 4.0)
    world.expire(len(world.stream.records))
    world.read_all(second)
    world.serve(second, KEY, b"f", 4.0)
    assert len(world.runs[KEY]) == 1


def test_call_pending_across_a_gap_gives_its_claim_back(world):
    first, second, _ = world.instances
    world.request(first, KEY, b"f", 4.0)
    world.append(first, AppendFate.CONFIRMED)
    world.read_all(second)
    world.expire(len(world.stream.records))
    world.read_all(first)
    assert not first.calls
    world.append(first, AppendFate.CONFIRMED)
    world.read_all(second)
    world.serve(second, KEY, b"f", 4.0)
    assert len(world.runs[KEY]) == 1


def test_log_that_is_down_refuses_and_recovers(world):
    first = world.instances[0]
    world.request(first, KEY, b"f", 4.0)
    for _ in range(4):
        world.append(first, AppendFate.LOST)
        world.now_s += 1
        world.fail_read(first)
        world.tick(first)
    assert not first.calls
    world.read_all(first)
    world.append(first, AppendFate.CONFIRMED)
    world.read_all(first)
    world.serve(first, KEY, b"f", 4.0)
    assert len(world.runs[KEY]) == 1
