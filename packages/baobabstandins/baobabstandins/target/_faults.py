"""Faults that tests can set while a target stand-in runs."""

import msgspec


class TargetFaults(msgspec.Struct, kw_only=True):
    """Represent the active faults.

    Setting `cold` starts a new cold start. After `silent` is set, the connections
    that are open at that moment get no more responses. `lying` reports no calls in
    flight. `slow_until_s` is in Unix seconds. `reset_after_run` and
    `close_before_run` are the number of next calls to which they apply.
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
