"""Exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Represent the outcome of a command."""

    ACCEPTED = 0
    INVALID = 2
    CONFLICT = 3
    UNCONFIRMED = 4
    UNREACHABLE = 5


EXIT_CODES_HELP = """\
Exit codes:
  0  accepted, or listed
  2  usage or invalid change; all findings are printed
  3  conflict: the configuration has another revision than --base_revision, or the
     outcome cannot be settled
  4  unconfirmed: the change may have taken effect
  5  no server could be reached; nothing was changed
"""
