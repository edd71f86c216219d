"""Stand-in for a target with a queue, load shedding, cold starts and faults."""

from baobabstandins.target._faults import TargetFaults
from baobabstandins.target._journal import Counters, Journal, JournalEntry
from baobabstandins.target._response import (
    ResponseBody,
    check_response,
    create_response_body,
)
from baobabstandins.target._server import TargetServer, create_target
from baobabstandins.target._settings import TargetSettings, parse_specs

__all__ = [
    "Counters",
    "Journal",
    "JournalEntry",
    "ResponseBody",
    "TargetFaults",
    "TargetServer",
    "TargetSettings",
    "check_response",
    "create_response_body",
    "create_target",
    "parse_specs",
]
