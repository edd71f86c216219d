"""Reader of the settings file that the platform writes for a process."""

import tomllib
from dataclasses import dataclass
from pathlib import Path

from baobabring.entry import EntrySettings, FleetLimits
from baobabring.platform.units import InvalidValueError, parse_duration_ms

SETTINGS_VARIABLE = "BAOBABRING_SETTINGS"
DEFAULT_MEMORY_MB = 256.0
# The rest is for the program itself, and for copies of bodies that are being sent.
BODY_SHARE_OF_MEMORY = 0.125
REQUEST_SHARE_OF_MEMORY = 0.25
BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, slots=True)
class FieldFinding:
    """Represent one problem and its field in the settings file."""

    path: Path
    field: str
    problem: str

    def __str__(self) -> str:
        return f"{self.path}: {self.field}: {self.problem}"


class InvalidNodeSettingsError(Exception):
    """Report that a settings file is not valid, with all findings.

    Parameters
    ----------
    findings : list of FieldFinding
        One for each invalid field.
    """

    def __init__(self, findings: list[FieldFinding]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class _FieldReader:
    """Read fields of nested tables and collect findings about invalid ones.

    Fields are named by dotted paths.
    """

    def __init__(self, path: Path, tables: dict) -> None:
        self.path = path
        self.findings: list[FieldFinding] = []
        self._tables = tables

    def get_text(self, field_name: str) -> str:
        """Return a string that is not empty."""
        value = self._get_value(field_name)
        if isinstance(value, str) and value:
            return value
        self._add_finding(field_name, f"expected a non-empty string, got {value!r}")
        return ""

    def get_address(self, field_name: str) -> str:
        """Return an IP address with a port."""
        value = self._get_value(field_name)
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("",) * 3
        if host and port.isdigit() and 0 < int(port) < 65_536:
            return value
        self._add_finding(
            field_name, f"expected an address such as 10.0.0.1:80, got {value!r}"
        )
        return ""

    def get_duration_ms(self, field_name: str, default_ms: float) -> float:
        """Return a duration, or the default if the field is absent."""
        value = self._get_value(field_name)
        if value is None:
            return default_ms
        try:
            return parse_duration_ms(value)
        except InvalidValueError as error:
            self._add_finding(field_name, str(error))
            return default_ms

    def get_number(self, field_name: str, default: float) -> float:
        """Return a number, or the default if the field is absent."""
        value = self._get_value(field_name)
        if value is None:
            return default
        if (
            isinstance(value, int | float)
            and not isinstance(value, bool)
            and value >= 0
        ):
            return float(value)
        self._add_finding(field_name, f"expected a number >= 0, got {value!r}")
        return default

    def get_first_port(self, field_name: str) -> int:
        """Return the first port of a range, given as first and last port."""
        value = self._get_value(field_name)
        is_pair = isinstance(value, list) and len(value) == 2
        if is_pair and all(_is_port(port) for port in value):
            return value[0]
        self._add_finding(field_name, f"expected a list of two ports, got {value!r}")
        return 0

    def _get_value(self, field_name: str):
        value = self._tables
        for name in field_name.split("."):
            if not isinstance(value, dict):
                return None
            value = value.get(name)
        return value

    def _add_finding(self, field_name: str, problem: str) -> None:
        self.findings.append(FieldFinding(self.path, field_name, problem))


def _is_port(value) -> bool:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return is_integer and 0 < value < 65_536


def read_node_settings(path: Path) -> EntrySettings:
    """Return the settings of an entry instance, or raise `InvalidNodeSettingsError`."""
    try:
        tables = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise InvalidNodeSettingsError(
            [FieldFinding(path, "file", str(error))]
        ) from error
    reader = _FieldReader(path, tables)
    ip = reader.get_text("local-node.ip")
    peer_port = reader.get_first_port("network.internal-ports")
    settings = EntrySettings(
        instance_id=reader.get_text("local-node.node"),
        zone=reader.get_text("local-node.zone"),
        caller_address=reader.get_address("network.listen.front"),
        ready_address=reader.get_address("network.listen.ready"),
        peer_address=f"{ip}:{peer_port}",
        store_address=reader.get_address("platform.platform.address"),
        metrics_host=ip,
        limits=_read_limits(reader),
        body_memory_bytes=_read_memory_bytes(reader, BODY_SHARE_OF_MEMORY),
        request_memory_bytes=_read_memory_bytes(reader, REQUEST_SHARE_OF_MEMORY),
    )
    if reader.findings:
        raise InvalidNodeSettingsError(reader.findings)
    return settings


def _read_memory_bytes(reader: _FieldReader, share: float) -> int:
    memory_mb = reader.get_number("local-node.limits.memory-mb", DEFAULT_MEMORY_MB)
    return int(memory_mb * share * BYTES_PER_MB)


def _read_limits(reader: _FieldReader) -> FleetLimits:
    table = "terms.bounds"
    return FleetLimits(
        retry_share=reader.get_number(f"{table}.budget-ratio", 0.2),
        retry_slack=reader.get_number(f"{table}.budget-slack", 20.0),
        retry_window_ms=reader.get_duration_ms(f"{table}.budget-window", 10_000.0),
        probes_per_target_s=reader.get_number(f"{table}.probes-per-s", 60.0),
        shutdown_ms=reader.get_duration_ms(f"{table}.grace", 6_000.0),
    )
