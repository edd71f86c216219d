"""Faults that tests can set while the platform stand-in runs."""

import msgspec


class PlatformFaults(msgspec.Struct, kw_only=True):
    """Represent the active faults.

    `lose_answers` is the number of next appends that are stored but get no
    response. `cut_instances` lists the ids of instances that get no response to
    any request.
    """

    outage: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    list_frozen: bool = False
    cut_instances: list[str] = []
    retention_ms: float = 600_000.0
    appends_per_s: float = 300.0
