"""Entry point of `python -m baobabring.program.entry`."""

from baobabring.program.entry._main import run

run()
