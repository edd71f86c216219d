"""Registry of plug-in classes by name."""

from collections.abc import Callable
from typing import Generic, TypeVar

PluginT = TypeVar("PluginT")


class Registry(Generic[PluginT]):
    """Map names to the classes of one kind of plug-in.

    Parameters
    ----------
    kind : str
        Kind of plug-in, for error messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._classes: dict[str, type[PluginT]] = {}

    def register(self, name: str) -> Callable[[type[PluginT]], type[PluginT]]:
        """Return a class decorator that registers a plug-in under `name`."""

        def add(plugin: type[PluginT]) -> type[PluginT]:
            if name in self._classes:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._classes[name] = plugin
            return plugin

        return add

    def get(self, name: str) -> type[PluginT]:
        """Return the class registered under `name`, or raise ValueError."""
        if name not in self._classes:
            known = ", ".join(self.names())
            raise ValueError(f"unknown {self.kind} {name!r}; known: {known}")
        return self._classes[name]

    def names(self) -> list[str]:
        """Return the registered names, sorted."""
        return sorted(self._classes)
