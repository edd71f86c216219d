"""The instance program."""
