"""Stand-in for a target that queues, sheds, starts cold and fails on demand."""

from baobabstandins.target._answer import AnswerBody, answer_body, check_answer
from baobabstandins.target._faults import TargetFaults
from baobabstandins.target._journal import Counters, Journal, JournalEntry
from baobabstandins.target._server import TargetServer, make_target
from baobabstandins.target._settings import TargetSettings, parse_specs

__all__ = [
    "AnswerBody",
    "Counters",
    "Journal",
    "JournalEntry",
    "TargetFaults",
    "TargetServer",
    "TargetSettings",
    "answer_body",
    "check_answer",
    "make_target",
    "parse_specs",
]
