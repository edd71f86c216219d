"""Health probes of targets without recent traffic, within the fleet's budget."""

from baobabring.probing._budget import ProbeBudget
from baobabring.probing._rendezvous import ranked_probers
from baobabring.probing._scheduler import (
    ProbeReason,
    ProbeScheduler,
    ProbeSettings,
    ProbeTotals,
    SharedProbe,
    create_probe_scheduler,
)

__all__ = [
    "ProbeBudget",
    "ProbeReason",
    "ProbeScheduler",
    "ProbeSettings",
    "ProbeTotals",
    "SharedProbe",
    "create_probe_scheduler",
    "ranked_probers",
]
