"""Validation of changes against the configuration that they are based on."""

import ipaddress
import re
from collections.abc import Iterator

from baobabring.configuration._changes import (
    Change,
    DeleteService,
    PutService,
    PutTarget,
    RemoveTarget,
    SetTargetState,
    SetZoneState,
)
from baobabring.configuration._outcomes import Finding
from baobabring.model import Configuration, Rule, Service, Target, ZoneState

MAX_SLOTS = 10_000
MAX_DEADLINE_LIMIT_MS = 600_000
MAX_PRIORITY = 1_000
MAX_PORT = 65_535

_ID_PATTERN = re.compile(r"\w[\w.-]{0,62}")
_METHOD_PATTERN = re.compile(r"\*|[A-Z]{1,32}")
_ADDRESS_PATTERN = re.compile(
    r"(?:\[(?P<ipv6>[0-9a-fA-F:.]+)\]|(?P<ipv4>[0-9.]+)):(?P<port>[0-9]{1,5})",
    re.ASCII,
)


def validate_change(
    configuration: Configuration, change: Change
) -> tuple[Finding, ...]:
    """Return all findings about a change; an empty tuple means that it is valid."""
    return tuple(_change_findings(configuration, change))


def _change_findings(configuration: Configuration, change: Change) -> Iterator[Finding]:
    match change:
        case PutService(service=service):
            yield from _service_findings(configuration, service)
        case DeleteService(service_id=service_id):
            yield from _missing_service_findings(configuration, service_id)
        case PutTarget(service_id=service_id, target=target):
            yield from _missing_service_findings(configuration, service_id)
            yield from _target_findings("target", target)
            if service_id in configuration.services:
                yield from _target_owner_findings(
                    configuration, service_id, "target", target
                )
            yield from _address_owner_findings(configuration, service_id, target)
        case RemoveTarget(service_id=service_id, target_id=target_id):
            yield from _missing_target_findings(configuration, service_id, target_id)
        case SetTargetState(service_id=service_id, target_id=target_id):
            yield from _missing_target_findings(configuration, service_id, target_id)
        case SetZoneState(zone=zone, state=state):
            yield from _zone_findings(configuration, zone, state)


def _service_findings(
    configuration: Configuration, service: Service
) -> Iterator[Finding]:
    yield from _id_findings("service.service_id", service.service_id)
    yield from _prefix_findings(configuration, service)
    yield from _range_findings("service.cold_limit", service.cold_limit, 1, MAX_SLOTS)
    for index, rule in enumerate(service.rules):
        yield from _rule_findings(f"service.rules[{index}]", rule)
    for index, target in enumerate(service.targets):
        place = f"service.targets[{index}]"
        yield from _target_findings(place, target)
        yield from _target_owner_findings(
            configuration, service.service_id, place, target
        )
    yield from _duplicate_findings(service, "target_id")
    yield from _duplicate_findings(service, "address")


def _prefix_findings(
    configuration: Configuration, service: Service
) -> Iterator[Finding]:
    place = "service.path_prefix"
    prefix = service.path_prefix
    if not prefix.startswith("/"):
        yield Finding(place, f'must start with "/", got {prefix!r}')
    for other in configuration.services.values():
        if other.service_id != service.service_id and other.path_prefix == prefix:
            yield Finding(place, f"{prefix!r} belongs to service {other.service_id!r}")


def _rule_findings(place: str, rule: Rule) -> Iterator[Finding]:
    if not _METHOD_PATTERN.fullmatch(rule.method):
        yield Finding(
            f"{place}.method", f'must be upper case or "*", got {rule.method!r}'
        )
    if not rule.path_pattern.startswith(("/", "*")):
        yield Finding(
            f"{place}.path_pattern",
            f'must start with "/" or "*", got {rule.path_pattern!r}',
        )
    yield from _range_findings(
        f"{place}.deadline_limit_ms", rule.deadline_limit_ms, 1, MAX_DEADLINE_LIMIT_MS
    )
    yield from _id_findings(f"{place}.request_class", rule.request_class)
    yield from _range_findings(f"{place}.priority", rule.priority, 0, MAX_PRIORITY)


def _target_findings(place: str, target: Target) -> Iterator[Finding]:
    yield from _id_findings(f"{place}.target_id", target.target_id)
    yield from _address_findings(f"{place}.address", target.address)
    yield from _id_findings(f"{place}.zone", target.zone)
    yield from _range_findings(f"{place}.slots", target.slots, 1, MAX_SLOTS)


def _target_owner_findings(
    configuration: Configuration, service_id: str, place: str, target: Target
) -> Iterator[Finding]:
    # Calls in flight, ejections and cold starts are tracked by target id alone, so an
    # id must be unique across all services.
    for other in configuration.services.values():
        if other.service_id == service_id:
            continue
        if any(
            target.target_id == other_target.target_id for other_target in other.targets
        ):
            problem = f"{target.target_id!r} belongs to service {other.service_id!r}"
            yield Finding(f"{place}.target_id", problem)


def _duplicate_findings(service: Service, field: str) -> Iterator[Finding]:
    first_places: dict[str, str] = {}
    for index, target in enumerate(service.targets):
        value = getattr(target, field)
        place = f"service.targets[{index}].{field}"
        if value in first_places:
            yield Finding(place, f"{value!r} repeats {first_places[value]}")
        else:
            first_places[value] = place


def _address_owner_findings(
    configuration: Configuration, service_id: str, target: Target
) -> Iterator[Finding]:
    service = configuration.services.get(service_id)
    if service is None:
        return
    for other in service.targets:
        if other.target_id != target.target_id and other.address == target.address:
            yield Finding(
                "target.address",
                f"{target.address!r} belongs to target {other.target_id!r}",
            )


def _missing_service_findings(
    configuration: Configuration, service_id: str
) -> Iterator[Finding]:
    if service_id not in configuration.services:
        yield Finding("service_id", f"no service {service_id!r}")


def _missing_target_findings(
    configuration: Configuration, service_id: str, target_id: str
) -> Iterator[Finding]:
    service = configuration.services.get(service_id)
    if service is None:
        yield Finding("service_id", f"no service {service_id!r}")
        return
    if all(target.target_id != target_id for target in service.targets):
        yield Finding("target_id", f"no target {target_id!r} in service {service_id!r}")


def _zone_findings(
    configuration: Configuration, zone: str, state: ZoneState
) -> Iterator[Finding]:
    yield from _id_findings("zone", zone)
    # Without this check a mistyped zone would be accepted as taken out.
    known = _known_zones(configuration)
    if state is ZoneState.OUT and zone not in known:
        names = ", ".join(sorted(known)) or "none"
        yield Finding("zone", f"no target is in zone {zone!r}; known: {names}")


def _known_zones(configuration: Configuration) -> set[str]:
    zones = set(configuration.zones_out)
    for service in configuration.services.values():
        zones.update(target.zone for target in service.targets)
    return zones


def _id_findings(place: str, value: str) -> Iterator[Finding]:
    if not _ID_PATTERN.fullmatch(value):
        yield Finding(
            place,
            "must be 1 to 63 letters, digits, '_', '.' or '-', starting with a letter, "
            f"digit or '_', got {value!r}",
        )


def _range_findings(place: str, value: int, low: int, high: int) -> Iterator[Finding]:
    if not low <= value <= high:
        yield Finding(place, f"must be from {low} to {high}, got {value}")


def _address_findings(place: str, address: str) -> Iterator[Finding]:
    if not _is_address(address):
        yield Finding(place, f"must be an IP number and a port, got {address!r}")


def _is_address(address: str) -> bool:
    match = _ADDRESS_PATTERN.fullmatch(address)
    if match is None:
        return False
    if not 1 <= int(match["port"]) <= MAX_PORT:
        return False
    try:
        if match["ipv6"] is not None:
            ipaddress.IPv6Address(match["ipv6"])
        else:
            ipaddress.IPv4Address(match["ipv4"])
    except ValueError:
        return False
    return True
