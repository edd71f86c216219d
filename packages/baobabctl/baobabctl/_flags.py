"""Flags of the command line."""

import math
from dataclasses import dataclass
from pathlib import Path

from absl import flags

DEFAULT_SERVER = "127.0.0.1:7001"
DEFAULT_TIMEOUT_S = 10.0
FORMATS = ("table", "json")


class UsageError(Exception):
    """Report what is wrong with the command line."""


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Represent the PEM files of mutual TLS."""

    authority: Path
    certificate: Path
    key: Path


@dataclass(frozen=True, slots=True)
class Options:
    """Represent the values of all flags."""

    servers: tuple[str, ...]
    timeout_s: float
    base_revision: int | None
    change_id: str | None
    output_format: str
    yes: bool
    tls_files: TlsFiles | None
    help: bool


@dataclass(frozen=True, slots=True)
class CommandLine:
    """Represent the flags and the positional arguments."""

    options: Options
    positional: tuple[str, ...]


def parse_command_line(argv: list[str]) -> CommandLine:
    """Parse the arguments after the program's name; raises UsageError."""
    values = _define_flags()
    try:
        positional = values(["baobabctl", *argv])[1:]
    except flags.Error as error:
        raise UsageError(str(error)) from error
    return CommandLine(_build_options(values), tuple(positional))


def flags_help() -> str:
    """Return the help of all flags."""
    return _define_flags().get_help()


def _define_flags() -> flags.FlagValues:
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    flags.DEFINE_multi_string(
        "server",
        [DEFAULT_SERVER],
        "Address of an instance's operators' port; several are tried in order.",
        flag_values=values,
    )
    flags.DEFINE_float(
        "timeout_s", DEFAULT_TIMEOUT_S, "Timeout of one call.", flag_values=values
    )
    flags.DEFINE_integer(
        "base_revision",
        None,
        "Revision that a change is based on; by default the current one.",
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_string(
        "change_id",
        None,
        "Id of an earlier unconfirmed change, to send it again safely.",
        flag_values=values,
    )
    flags.DEFINE_enum("format", "table", FORMATS, "Output format.", flag_values=values)
    flags.DEFINE_boolean(
        "yes", False, "Change the state of a zone without asking.", flag_values=values
    )
    for name, description in (
        ("ca", "certificate authority of the servers"),
        ("cert", "certificate of the operator"),
        ("key", "private key of the operator"),
    ):
        flags.DEFINE_string(
            name, None, f"PEM file with the {description}.", flag_values=values
        )
    flags.DEFINE_boolean(
        "help", False, "Show this help.", short_name="h", flag_values=values
    )
    return values


def _build_options(values: flags.FlagValues) -> Options:
    # The comparison is also false for nan.
    if not 0 < values.timeout_s < math.inf:
        raise UsageError(f"--timeout_s must be positive, got {values.timeout_s}")
    return Options(
        servers=tuple(values.server),
        timeout_s=values.timeout_s,
        base_revision=values.base_revision,
        change_id=values.change_id,
        output_format=values.format,
        yes=values.yes,
        tls_files=_build_tls_files(values),
        help=values.help,
    )


def _build_tls_files(values: flags.FlagValues) -> TlsFiles | None:
    given = {name: values[name].value for name in ("ca", "cert", "key")}
    missing = [f"--{name}" for name, value in given.items() if not value]
    if len(missing) == len(given):
        return None
    if missing:
        raise UsageError(f"TLS also needs {' and '.join(missing)}")
    return TlsFiles(Path(given["ca"]), Path(given["cert"]), Path(given["key"]))
