"""Soak test of entry instances under overlapping faults drawn from a seed."""

from baobabstandins.soak._plan import (
    Fault,
    FaultKind,
    draw_announcements,
    draw_crashing_calls,
    draw_cuts,
    draw_plan,
    draw_store_returns,
)
from baobabstandins.soak._run import run_soak

__all__ = [
    "Fault",
    "FaultKind",
    "draw_announcements",
    "draw_crashing_calls",
    "draw_cuts",
    "draw_plan",
    "draw_store_returns",
    "run_soak",
]
