"""Settings from an INI file."""
