"""Selection of the service and the rule that apply to a request."""

import fnmatch
from dataclasses import dataclass

from baobabring.model import Configuration, KeyRule, Rule, Service

DEFAULT_DEADLINE_LIMIT_MS = 10_000
DEFAULT_PRIORITY = 5
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

DEFAULT_SAFE_RULE = Rule(
    "*", "*", KeyRule.NONE, DEFAULT_DEADLINE_LIMIT_MS, "default", DEFAULT_PRIORITY
)
DEFAULT_UNSAFE_RULE = Rule(
    "*", "*", KeyRule.OPTIONAL, DEFAULT_DEADLINE_LIMIT_MS, "default", DEFAULT_PRIORITY
)


@dataclass(frozen=True, slots=True)
class Route:
    """Represent the service and the rule that apply to a request."""

    service: Service
    rule: Rule


class Router:
    """Match paths to services by longest prefix, and requests to rules in order."""

    def __init__(self, configuration: Configuration) -> None:
        services = configuration.services.values()
        self._services = sorted(
            services, key=lambda service: len(service.path_prefix), reverse=True
        )

    def route(self, method: str, path: str) -> Route | None:
        """Return the route of a request, or None if no service has its path."""
        for service in self._services:
            if _has_prefix(path, service.path_prefix):
                return Route(service, _find_rule(service, method, path))
        return None


def get_longest_deadline_ms(configuration: Configuration) -> int:
    """Return the longest time that any rule allows from arrival to deadline."""
    limits_ms = [
        rule.deadline_limit_ms
        for service in configuration.services.values()
        for rule in service.rules
    ]
    return max([DEFAULT_DEADLINE_LIMIT_MS, *limits_ms])


def _has_prefix(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or path[len(prefix) : len(prefix) + 1] in ("", "/")


def _find_rule(service: Service, method: str, path: str) -> Rule:
    for rule in service.rules:
        if rule.method not in ("*", method):
            continue
        if fnmatch.fnmatchcase(path, rule.path_pattern):
            return rule
    return DEFAULT_SAFE_RULE if method in SAFE_METHODS else DEFAULT_UNSAFE_RULE
