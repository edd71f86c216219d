"""Faults that tests steer while a target stand-in runs."""

import msgspec


class TargetFaults(msgspec.Struct, kw_only=True):
    """Hold the faults in force.

    `cold` starts a new cold start whenever it is put. `silent` makes the
    connections that are open when it is put never answer again. `slow_until_s`
    is in Unix seconds. `reset_after_run` and `close_before_run` count the next
    calls to which they apply.
    """

    cold: bool = False
    draining: bool = False
    fail_fast: bool = False
    lying: bool = False
    slow_factor: float = 1.0
    slow_until_s: float = 0.0
    silent: bool = False
    reset_after_run: int = 0
    close_before_run: int = 0
