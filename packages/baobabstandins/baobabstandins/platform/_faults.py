"""Faults that tests steer while the platform stand-in runs."""

import msgspec


class PlatformFaults(msgspec.Struct, kw_only=True):
    """Hold the faults in force.

    `lose_answers` counts the next appends that take effect without an answer.
    `cut_instances` names the instances whose requests are not answered at all.
    """

    outage: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    list_frozen: bool = False
    cut_instances: list[str] = []
    retention_ms: float = 600_000.0
    appends_per_s: float = 300.0
