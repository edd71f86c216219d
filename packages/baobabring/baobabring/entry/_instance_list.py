"""List of all instances, which the reader sends to its peers as changes."""

from collections.abc import Mapping

import msgspec
import xxhash

_encoder = msgspec.msgpack.Encoder()


class InstanceChanges(msgspec.Struct, array_like=True, frozen=True):
    """Represent the changes of the list of instances and the digest of the whole list.

    `joined` maps the ids of new instances, and of those with a new address, to their
    addresses.
    """

    joined: dict[str, str]
    left: list[str]
    digest: int

    @property
    def is_empty(self) -> bool:
        """Return whether the list did not change."""
        return not self.joined and not self.left


class InstanceList:
    """Represent the list that the reader sent last, as addresses by instance id."""

    def __init__(self) -> None:
        self._addresses: dict[str, str] = {}
        self._digest: int | None = None

    @property
    def addresses(self) -> Mapping[str, str]:
        """Return the addresses of the instances, by id."""
        return self._addresses

    def digest(self) -> int:
        """Return a hash that is equal for equal lists."""
        if self._digest is None:
            fields = _encoder.encode(sorted(self._addresses.items()))
            self._digest = xxhash.xxh64_intdigest(fields)
        return self._digest

    def replace(self, addresses: Mapping[str, str]) -> None:
        """Replace the whole list."""
        self._addresses = dict(addresses)
        self._digest = None

    def replace_and_diff(self, addresses: Mapping[str, str]) -> InstanceChanges:
        """Replace the whole list and return the changes."""
        known = self._addresses
        joined = {
            instance_id: address
            for instance_id, address in addresses.items()
            if known.get(instance_id) != address
        }
        left = [instance_id for instance_id in known if instance_id not in addresses]
        if joined or left:
            self.replace(addresses)
        return InstanceChanges(joined, left, self.digest())

    def apply(self, changes: InstanceChanges) -> bool:
        """Apply changes; return whether the list now equals that of the sender."""
        if not changes.is_empty:
            self._addresses.update(changes.joined)
            for instance_id in changes.left:
                self._addresses.pop(instance_id, None)
            self._digest = None
        return self.digest() == changes.digest
