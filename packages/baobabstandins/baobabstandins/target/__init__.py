"""Stand-in for a target with a queue, load shedding, cold starts and faults."""

from baobabstandins.target._faults import TargetFaults
from baobabstandins.target._journal import Counters, Journal, JournalEntry
from baobabstandins.target._response import (
    ResponseBody,
    check_response,
    create_response_body,
)
from baobabstandins.target._server import TargetServer, make_target
from baobabstandins.target._settings import TargetSettings, parse_specs

__all__ = [
    "ResponseBody",
    "Counters",
    "Journal",
    "JournalEntry",
    "TargetFaults",
    "TargetServer",
    "TargetSettings",
    "create_response_body",
    "check_response",
    "make_target",
    "parse_specs",
]
