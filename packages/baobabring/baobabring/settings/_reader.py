"""Reader of a settings file that collects all findings."""

import configparser
import difflib
from dataclasses import dataclass
from pathlib import Path

from pydantic import ValidationError

from baobabring.settings._models import Settings


@dataclass(frozen=True, slots=True)
class SettingsFinding:
    """Represent one problem and its location in a settings file."""

    path: Path
    line: int | None
    section: str
    key: str | None
    value: str | None
    problem: str

    def __str__(self) -> str:
        """Return the finding as one line of text."""
        line = "" if self.line is None else f":{self.line}"
        key = "" if self.key is None else f" {self.key}"
        value = "" if self.value is None else f" = {self.value!r}"
        return f"{self.path}{line}: [{self.section}]{key}{value}: {self.problem}"


@dataclass(frozen=True, slots=True)
class InvalidSettings:
    """Represent a settings file that is not valid, with all findings."""

    findings: tuple[SettingsFinding, ...]


def read_settings(path: Path) -> Settings | InvalidSettings:
    """Read and validate a settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return _single_finding(path, None, str(error))
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=str(path))
    except configparser.Error as error:
        line = getattr(error, "lineno", None)
        return _single_finding(path, line, error.message.replace("\n", " "))
    sections = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return Settings.model_validate(sections)
    except ValidationError as error:
        line_index = _LineIndex(text)
        findings = [_to_finding(path, line_index, sections, e) for e in error.errors()]
        return InvalidSettings(tuple(sorted(findings, key=lambda f: f.line or 0)))


def _single_finding(path: Path, line: int | None, problem: str) -> InvalidSettings:
    finding = SettingsFinding(path, line, "file", None, None, problem)
    return InvalidSettings((finding,))


class _LineIndex:
    """Map sections and keys to their lines in a settings file."""

    def __init__(self, text: str) -> None:
        self._lines: dict[tuple[str, str | None], int] = {}
        section = ""
        for number, line in enumerate(text.splitlines(), start=1):
            stripped = line.strip()
            if stripped.startswith("["):
                section = stripped.strip("[]")
                self._lines.setdefault((section, None), number)
            elif "=" in stripped and not stripped.startswith(("#", ";")):
                key = stripped.partition("=")[0].strip().lower()
                self._lines.setdefault((section, key), number)

    def get_line(self, section: str, key: str | None) -> int | None:
        """Return the line of a key, or of its section if the key is absent."""
        found = self._lines.get((section, key))
        return found or self._lines.get((section, None))


def _to_finding(path, line_index, sections, error) -> SettingsFinding:
    section = str(error["loc"][0])
    key = str(error["loc"][1]) if len(error["loc"]) > 1 else None
    value = sections.get(section, {}).get(key) if key else None
    problem = error["msg"].removeprefix("Value error, ")
    if error["type"] == "extra_forbidden":
        problem = _unknown_name_problem(section, key)
    if error["type"] == "missing":
        problem = "missing"
    return SettingsFinding(
        path, line_index.get_line(section, key), section, key, value, problem
    )


def _unknown_name_problem(section: str, key: str | None) -> str:
    known = list(Settings.model_fields)
    name = section
    if key is not None:
        known = list(Settings.model_fields[section].annotation.model_fields)
        name = key
    nearest = difflib.get_close_matches(name, known, n=1, cutoff=0.0)
    kind = "section" if key is None else "key"
    return f"unknown {kind}; the nearest known is {nearest[0]!r}"
