"""Order of the eras that the store names; offsets are compared within one era only."""

from collections.abc import Sequence
from dataclasses import dataclass

from baobabring.entry._model import EntryTarget
from baobabring.entry._view import FleetEvent


@dataclass(frozen=True, slots=True)
class StoreContents:
    """Represent all that was read from the store in one era, and the next offsets."""

    store_era: int
    operator_events: Sequence[FleetEvent]
    operator_offset: int
    targets: Sequence[EntryTarget]
    target_offset: int


def is_newer_era(store_era: int | None, known_era: int | None) -> bool:
    """Return whether an era is newer; an unknown one is neither newer nor older."""
    return None not in (store_era, known_era) and store_era > known_era
