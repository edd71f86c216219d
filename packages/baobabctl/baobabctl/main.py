"""Entry point of the command line."""

import sys

from baobabctl._client import (
    LostReplyError,
    OperatorsClient,
    UnreachableError,
    read_credentials,
)
from baobabctl._commands import Invocation, commands_help, parse_invocation
from baobabctl._exit_codes import EXIT_CODES_HELP, ExitCode
from baobabctl._flags import Options, UsageError, flags_help, parse_command_line
from baobabctl._json_messages import InvalidFileError
from baobabctl._session import Session, Terminal


def run() -> None:
    """Run the command line of this process and exit."""
    terminal = Terminal(sys.stdin, sys.stdout, sys.stderr)
    sys.exit(execute(sys.argv[1:], terminal))


def execute(argv: list[str], terminal: Terminal) -> ExitCode:
    """Execute one command line and return its exit code."""
    try:
        command_line = parse_command_line(argv)
        if command_line.options.help:
            print(help_text(), file=terminal.stdout)
            return ExitCode.ACCEPTED
        invocation = parse_invocation(command_line.positional)
        return _invoke(invocation, command_line.options, terminal)
    except UsageError as error:
        print(error, file=terminal.stderr)
        return ExitCode.INVALID
    except InvalidFileError as error:
        terminal.print_findings(error.findings)
        return ExitCode.INVALID
    except (UnreachableError, LostReplyError) as error:
        print(f"unreachable: {error}", file=terminal.stderr)
        return ExitCode.UNREACHABLE


def help_text() -> str:
    """Return the whole help."""
    return "\n".join(
        (
            "Usage: baobabctl [FLAGS] SUBCOMMAND [VALUES]",
            "",
            "Subcommands:",
            commands_help(),
            "",
            EXIT_CODES_HELP,
            "Flags:",
            flags_help(),
        )
    )


def _invoke(invocation: Invocation, options: Options, terminal: Terminal) -> ExitCode:
    try:
        credentials = read_credentials(options.tls_files)
    except OSError as error:
        raise UsageError(f"cannot read {error.filename}: {error.strerror}") from error
    client = OperatorsClient(options.servers, options.timeout_s, credentials)
    return invocation.execute(Session(client, options, terminal))
