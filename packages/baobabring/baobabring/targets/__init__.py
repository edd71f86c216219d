"""HTTP client for targets."""

from baobabring.targets._client import (
    AttemptPlan,
    HttpTargetClient,
    TargetClient,
    create_target_client,
    parse_load_report,
)

__all__ = [
    "AttemptPlan",
    "HttpTargetClient",
    "TargetClient",
    "create_target_client",
    "parse_load_report",
]
