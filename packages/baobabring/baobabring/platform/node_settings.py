"""The settings file that the platform writes for a process."""

import tomllib
from dataclasses import dataclass
from pathlib import Path

from baobabring.entry import EntrySettings, FleetLimits
from baobabring.platform.units import BadValueError, read_duration_ms

SETTINGS_VARIABLE = "BAOBABRING_SETTINGS"


@dataclass(frozen=True, slots=True)
class FieldFinding:
    """Hold one problem with its place in the settings file."""

    path: Path
    field: str
    problem: str

    def __str__(self) -> str:
        return f"{self.path}: {self.field}: {self.problem}"


class InvalidNodeSettingsError(Exception):
    """Tell everything that is wrong with a settings file.

    Parameters
    ----------
    findings : list of FieldFinding
        One for each faulty field.
    """

    def __init__(self, findings: list[FieldFinding]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class _Fields:
    """Read fields of nested tables and collect what is wrong with them."""

    def __init__(self, path: Path, tables: dict) -> None:
        self.path = path
        self.findings: list[FieldFinding] = []
        self._tables = tables

    def text(self, place: str) -> str:
        """Return a text that isn't empty."""
        value = self._value(place)
        if isinstance(value, str) and value:
            return value
        self._add(place, f"expected a text, got {value!r}")
        return ""

    def address(self, place: str) -> str:
        """Return an IP address with a port."""
        value = self._value(place)
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("",) * 3
        if host and port.isdigit() and 0 < int(port) < 65_536:
            return value
        self._add(place, f"expected an address such as 10.0.0.1:80, got {value!r}")
        return ""

    def duration_ms(self, place: str, default_ms: float) -> float:
        """Return a duration, or the default if the field is absent."""
        value = self._value(place)
        if value is None:
            return default_ms
        try:
            return read_duration_ms(value)
        except BadValueError as error:
            self._add(place, str(error))
            return default_ms

    def number(self, place: str, default: float) -> float:
        """Return a number, or the default if the field is absent."""
        value = self._value(place)
        if value is None:
            return default
        if (
            isinstance(value, int | float)
            and not isinstance(value, bool)
            and value >= 0
        ):
            return float(value)
        self._add(place, f"expected a number >= 0, got {value!r}")
        return default

    def first_port(self, place: str) -> int:
        """Return the first port of a range of two."""
        value = self._value(place)
        whole = isinstance(value, list) and len(value) == 2
        if whole and all(isinstance(port, int) and 0 < port < 65_536 for port in value):
            return value[0]
        self._add(place, f"expected two ports, got {value!r}")
        return 0

    def _value(self, place: str):
        value = self._tables
        for name in place.split("."):
            if not isinstance(value, dict):
                return None
            value = value.get(name)
        return value

    def _add(self, place: str, problem: str) -> None:
        self.findings.append(FieldFinding(self.path, place, problem))


def read_node_settings(path: Path) -> EntrySettings:
    """Read the settings of an entry instance; raises `InvalidNodeSettingsError`."""
    try:
        tables = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise InvalidNodeSettingsError(
            [FieldFinding(path, "file", str(error))]
        ) from error
    fields = _Fields(path, tables)
    ip = fields.text("local-node.ip")
    peer_port = fields.first_port("network.internal-ports")
    settings = EntrySettings(
        instance_id=fields.text("local-node.node"),
        zone=fields.text("local-node.zone"),
        caller_address=fields.address("network.listen.front"),
        ready_address=fields.address("network.listen.ready"),
        peer_address=f"{ip}:{peer_port}",
        store_address=fields.address("platform.platform.address"),
        metrics_host=ip,
        limits=_read_limits(fields),
    )
    if fields.findings:
        raise InvalidNodeSettingsError(fields.findings)
    return settings


def _read_limits(fields: _Fields) -> FleetLimits:
    bounds = "terms.bounds"
    return FleetLimits(
        retry_share=fields.number(f"{bounds}.budget-ratio", 0.2),
        retry_slack=fields.number(f"{bounds}.budget-slack", 20.0),
        retry_window_ms=fields.duration_ms(f"{bounds}.budget-window", 10_000.0),
        probes_per_target_s=fields.number(f"{bounds}.probes-per-s", 60.0),
        shutdown_ms=fields.duration_ms(f"{bounds}.grace", 6_000.0),
    )
