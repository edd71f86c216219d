"""Publication of configuration through the platform's log."""

from baobabring.publication._publisher import (
    ConfigurationPublisher,
    ProposalOutcome,
    Unconfirmed,
)
from baobabring.publication._reader import CONFIGURATION_STREAM, ConfigurationReader

__all__ = [
    "CONFIGURATION_STREAM",
    "ConfigurationPublisher",
    "ConfigurationReader",
    "ProposalOutcome",
    "Unconfirmed",
]
