"""Settings from an INI file."""

from baobabring.settings._models import Settings
from baobabring.settings._reader import (
    InvalidSettings,
    SettingsFinding,
    read_settings,
)

__all__ = ["InvalidSettings", "Settings", "SettingsFinding", "read_settings"]
