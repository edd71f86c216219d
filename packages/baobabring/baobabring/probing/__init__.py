"""Probes of targets that traffic does not show, within the fleet's budget."""

from baobabring.probing._budget import ProbeBudget
from baobabring.probing._rendezvous import ranked_probers
from baobabring.probing._scheduler import (
    ProbeNeed,
    ProbeScheduler,
    ProbeSettings,
    ProbeSpend,
    SharedProbe,
    create_probe_scheduler,
)

__all__ = [
    "ProbeBudget",
    "ProbeNeed",
    "ProbeScheduler",
    "ProbeSettings",
    "ProbeSpend",
    "SharedProbe",
    "create_probe_scheduler",
    "ranked_probers",
]
