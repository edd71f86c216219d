"""Messages between entry instances."""

import msgspec

from baobabring.entry._instance_list import InstanceChanges
from baobabring.entry._model import EntryConfiguration, EntryTarget, LastRegistration


class InstanceAlive(msgspec.Struct, array_like=True, frozen=True):
    """Report to the reader that an instance is running, its probe rate and failures.

    An instance that is joining has no view yet; the reader sends it the current one.
    `failures` counts failed calls by target id since the last such message.
    """

    sender: str
    address: str
    probes_per_s: float = 0.0
    failures: dict[str, int] = {}
    joining: bool = False
    leaving: bool = False


class ViewHeartbeat(msgspec.Struct, array_like=True, frozen=True):
    """Report that the view matched the store `age_ms` ago.

    `operator_offset` and `target_offset` are the offsets of the next reads.
    `probes_per_s` is the probe rate of all instances together, and `failures` counts
    their failed calls by target id since the last heartbeat. `store_era` is None if it
    is unknown, as for senders of earlier builds.
    """

    sender: str
    address: str
    operator_offset: int
    target_offset: int
    age_ms: float
    digest: int
    instances: InstanceChanges
    probes_per_s: float
    failures: dict[str, int]
    store_era: int | None = None


class ViewState(msgspec.Struct, array_like=True, frozen=True):
    """Send a complete view, its offsets in the store and the list of all instances.

    `instances` maps instance ids to addresses. `last_registrations` has
    those of targets that were removed lately; earlier builds send none.
    """

    sender: str
    operator_offset: int
    target_offset: int
    age_ms: float
    configuration: EntryConfiguration
    targets: list[EntryTarget]
    zones_out: list[str]
    instances: dict[str, str]
    store_era: int | None = None
    last_registrations: tuple[LastRegistration, ...] = ()


class ViewDelta(msgspec.Struct, array_like=True, frozen=True):
    """Send the changes since the view whose digest is `base_digest`.

    `configuration` is None if it did not change; `zones_out` is always complete.
    `last_registrations` has those of the removed targets, which peers know only as they
    were when something else than their sequence changed; earlier builds send none.
    """

    sender: str
    base_digest: int
    operator_offset: int
    target_offset: int
    age_ms: float
    configuration: EntryConfiguration | None
    targets: list[EntryTarget]
    removed: list[str]
    zones_out: list[str]
    store_era: int | None = None
    last_registrations: tuple[LastRegistration, ...] = ()


class LimitNotice(msgspec.Struct, array_like=True, frozen=True):
    """Report what a target's response said about its limit `age_ms` ago.

    A rate of None means that the limit has ended. `named_in` are the kinds of responses
    that named the limit.
    """

    target_id: str
    started_at_ms: int
    requests_per_s: float | None
    age_ms: float
    named_in: list[str]


class TargetLimitNotices(msgspec.Struct, array_like=True, frozen=True):
    """Pass on limits of targets, to the reader or from it to all instances."""

    sender: str
    notices: list[LimitNotice]


class ViewRequest(msgspec.Struct, array_like=True, frozen=True):
    """Request the complete view of a peer."""

    sender: str
    reply_address: str
