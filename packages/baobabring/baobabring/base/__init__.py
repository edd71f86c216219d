"""Registry of plug-ins."""

from baobabring.base._registry import Registry

__all__ = ["Registry"]
