"""Write the settings file of an instance."""

from configparser import ConfigParser
from pathlib import Path

SettingsSections = dict[str, dict[str, str]]


def write_settings(path: Path, sections: SettingsSections) -> None:
    """Write sections of settings to an INI file."""
    parser = ConfigParser(interpolation=None)
    parser.read_dict(sections)
    with path.open("w") as file:
        parser.write(file)
