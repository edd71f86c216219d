"""Plans of overlapping faults, drawn from a seed."""

import random
from dataclasses import dataclass
from enum import StrEnum


class FaultKind(StrEnum):
    """Represent the kind of a fault; the order determines what a seed draws."""

    STORE_DOWN = "store-down"
    STORE_SILENT = "store-silent"
    STORE_FORGETS = "store-forgets"
    STORE_CUT = "store-cut"
    STORE_SLOW = "store-slow"
    STORE_ANSWERS_LOST = "store-answers-lost"
    TARGET_RESET = "target-reset"
    TARGET_ANSWERS_LOST = "target-answers-lost"
    TARGET_REQUESTS_LOST = "target-requests-lost"
    TARGET_SLOW = "target-slow"
    TARGET_CRASH = "target-crash"
    TARGET_FAILS = "target-fails"
    INSTANCE_KILLED = "instance-killed"
    INSTANCE_ENDED = "instance-ended"
    INSTANCE_PAUSED = "instance-paused"
    ALL_KILLED = "all-killed"
    CLOCK_JUMP = "clock-jump"
    CONFIGURATION = "configuration"
    ZONE_OUT = "zone-out"
    TARGET_LIMITED = "target-limited"
    TARGET_LEAVING = "target-leaving"
    TARGET_WANTS_PAUSES = "target-wants-pauses"
    LINKS_CUT = "links-cut"
    STORE_RETURNS = "store-returns"
    CRASHING_CALLS = "crashing-calls"


# Faults that stop all instances at once are drawn rarely.
RARE_KINDS = frozenset({FaultKind.ALL_KILLED})
# Announcements of targets are drawn apart, so that seeds keep their other faults.
ANNOUNCEMENT_KINDS = (
    FaultKind.TARGET_LIMITED,
    FaultKind.TARGET_LEAVING,
    FaultKind.TARGET_WANTS_PAUSES,
)
ANNOUNCEMENTS_PER_S = 0.4
MIN_ANNOUNCEMENT_S = 2.0
MAX_ANNOUNCEMENT_S = 9.0
# Cuts between an instance and all targets are drawn apart as well.
CUTS_PER_S = 0.3
MIN_CUT_S = 1.0
MAX_CUT_S = 8.0
# So are returns of the store from an older copy, and calls that crash targets.
RETURNS_PER_S = 0.15
MIN_COPY_AGE_S = 0.5
MAX_COPY_AGE_S = 5.0
CRASHING_CALLS_PER_S = 0.1
MIN_CRASHING_CALLS_S = 4.0
MAX_CRASHING_CALLS_S = 10.0
DRAWN_APART = RARE_KINDS.union(
    ANNOUNCEMENT_KINDS,
    {FaultKind.LINKS_CUT, FaultKind.STORE_RETURNS, FaultKind.CRASHING_CALLS},
)
RARE_SHARE = 0.04
FAULTS_PER_S = 0.8
MIN_FAULT_DURATION_S = 0.2
MAX_FAULT_DURATION_S = 4.0


@dataclass(frozen=True, slots=True)
class Fault:
    """Represent one fault, with times since the start of the run.

    `selector` is a random number that selects the affected component.
    """

    kind: FaultKind
    at_s: float
    until_s: float
    selector: int


def draw_plan(seed: int, duration_s: float) -> tuple[Fault, ...]:
    """Return the faults of a run, sorted by their start."""
    rng = random.Random(seed)
    common_kinds = [kind for kind in FaultKind if kind not in DRAWN_APART]
    faults = []
    for _ in range(round(FAULTS_PER_S * duration_s)):
        is_rare = rng.random() < RARE_SHARE
        kind = rng.choice(sorted(RARE_KINDS) if is_rare else common_kinds)
        at_s = rng.uniform(0.0, duration_s)
        until_s = min(
            at_s + rng.uniform(MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S), duration_s
        )
        faults.append(Fault(kind, at_s, until_s, rng.randrange(1_000)))
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def draw_announcements(seed: int, duration_s: float) -> tuple[Fault, ...]:
    """Return the announcements of targets in a run, sorted by their start."""
    rng = random.Random(f"announcements {seed}")
    faults = []
    for _ in range(round(ANNOUNCEMENTS_PER_S * duration_s)):
        kind = rng.choice(ANNOUNCEMENT_KINDS)
        at_s = rng.uniform(0.0, duration_s / 2)
        until_s = min(
            at_s + rng.uniform(MIN_ANNOUNCEMENT_S, MAX_ANNOUNCEMENT_S), duration_s
        )
        faults.append(Fault(kind, at_s, until_s, rng.randrange(1_000)))
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def draw_cuts(seed: int, duration_s: float) -> tuple[Fault, ...]:
    """Return the cuts between instances and targets in a run, sorted by their start."""
    rng = random.Random(f"cuts {seed}")
    return _draw_kind(
        FaultKind.LINKS_CUT, CUTS_PER_S, (MIN_CUT_S, MAX_CUT_S), duration_s, rng
    )


def draw_store_returns(seed: int, duration_s: float) -> tuple[Fault, ...]:
    """Return when copies of the store are taken and when it returns from them."""
    rng = random.Random(f"store returns {seed}")
    ages_s = (MIN_COPY_AGE_S, MAX_COPY_AGE_S)
    return _draw_kind(FaultKind.STORE_RETURNS, RETURNS_PER_S, ages_s, duration_s, rng)


def draw_crashing_calls(seed: int, duration_s: float) -> tuple[Fault, ...]:
    """Return when calls come that crash the targets that run them."""
    rng = random.Random(f"crashing calls {seed}")
    return _draw_kind(
        FaultKind.CRASHING_CALLS,
        CRASHING_CALLS_PER_S,
        (MIN_CRASHING_CALLS_S, MAX_CRASHING_CALLS_S),
        duration_s,
        rng,
    )


def _draw_kind(
    kind: FaultKind,
    faults_per_s: float,
    limits_s: tuple[float, float],
    duration_s: float,
    rng: random.Random,
) -> tuple[Fault, ...]:
    """Return faults of one kind, each of which lasts between the limits."""
    faults = []
    for _ in range(max(1, round(faults_per_s * duration_s))):
        at_s = rng.uniform(0.0, duration_s)
        until_s = min(at_s + rng.uniform(*limits_s), duration_s)
        faults.append(Fault(kind, at_s, until_s, rng.randrange(1_000)))
    return tuple(sorted(faults, key=lambda fault: fault.at_s))
