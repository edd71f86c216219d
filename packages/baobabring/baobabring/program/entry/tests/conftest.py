"""Fixtures shared by several tests."""

import pytest

from baobabring.program.entry.tests.handovers import Handovers


@pytest.fixture
async def handovers() -> Handovers:
    """Return an instance and its peer."""
    return Handovers()
