"""Tests of the policies that choose a target."""

from random import Random

import pytest

from baobabring.balancing import POLICIES, Candidate


def choose_often(name: str, candidates: list[Candidate]) -> set[str]:
    policy = POLICIES.get(name)()
    rng = Random(1)
    return {policy.choose(candidates, 10.0, rng).target_id for _ in range(200)}


@pytest.mark.parametrize("name", POLICIES.names())
def test_policy_chooses_the_only_candidate(name):
    assert choose_often(name, [Candidate("t0", 2)]) == {"t0"}


@pytest.mark.parametrize("name", POLICIES.names())
def test_policy_chooses_each_of_equal_candidates(name):
    candidates = [Candidate(f"t{index}", 2) for index in range(4)]
    assert choose_often(name, candidates) == {"t0", "t1", "t2", "t3"}


@pytest.mark.parametrize("name", ["least-in-flight", "two-choices", "shared"])
def test_policy_prefers_fewer_own_calls(name):
    policy = POLICIES.get(name)()
    busy = Candidate("t0", 2, own_in_flight=2)
    idle = Candidate("t1", 2)
    rng = Random(1)
    chosen = [policy.choose([busy, idle], 10.0, rng) for _ in range(400)]
    assert chosen.count(idle) > 250


def test_peak_policy_avoids_the_target_that_was_slow_once():
    slow = Candidate("t0", 2, peak_latency_ms=200.0)
    fast = Candidate("t1", 2, peak_latency_ms=20.0)
    policy = POLICIES.get("two-choices-peak")()
    rng = Random(1)
    chosen = [policy.choose([slow, fast], 10.0, rng) for _ in range(400)]
    assert chosen.count(fast) > 250


def test_peak_policy_chooses_a_target_again_that_was_slow_long_ago():
    slow = Candidate("t0", 2, peak_latency_ms=200.0, latency_at_s=0.0)
    fast = Candidate("t1", 2, peak_latency_ms=20.0, latency_at_s=60.0)
    policy = POLICIES.get("two-choices-peak")()
    rng = Random(1)
    chosen = [policy.choose([slow, fast], 60.0, rng) for _ in range(400)]
    assert chosen.count(slow) > 100


def test_hot_cold_prefers_the_fastest_target_that_is_not_hot():
    hot = [Candidate(f"h{i}", 2, own_in_flight=9, latency_ms=1.0) for i in range(2)]
    not_hot = [Candidate(f"c{i}", 2, latency_ms=10.0 + i) for i in range(10)]
    policy = POLICIES.get("hot-cold")()
    rng = Random(1)
    chosen = [policy.choose(hot + not_hot, 10.0, rng) for _ in range(200)]
    assert not any(candidate in hot for candidate in chosen)
    assert chosen.count(not_hot[0]) > chosen.count(not_hot[5])


def test_shared_policy_prefers_fewer_peer_calls_and_failures():
    candidates = [
        Candidate("peers", 4, peers_in_flight=3.0),
        Candidate("failing", 4, failure_cost=8.0, failure_at_s=9.9),
        Candidate("idle", 4),
    ]
    policy = POLICIES.get("shared")()
    rng = Random(1)
    chosen = [policy.choose(candidates, 10.0, rng) for _ in range(400)]
    assert chosen.count(candidates[2]) > 270
