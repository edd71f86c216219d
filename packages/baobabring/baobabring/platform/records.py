"""Decoding of the records of operators and targets in the platform's store."""

from collections.abc import Iterator
from dataclasses import dataclass

import logbook
import msgspec

from baobabring.entry import (
    CallerLimits,
    ConfigurationPublished,
    EntryConfiguration,
    EntryRoute,
    EntryService,
    EntryTarget,
    FleetEvent,
    TargetRegistered,
    TargetRemoved,
    WeightedService,
    ZoneReturned,
    ZoneTakenOut,
)
from baobabring.platform.ranges import (
    Count,
    CountOrZero,
    Name,
    Rate,
    UrlPath,
    Weight,
    WholeNumber,
    check_address,
    check_target_id,
    shorten,
)
from baobabring.platform.units import InvalidValueError, parse_duration_ms
from baobabring.utils import DECODE_ERRORS

LOG = logbook.Logger("records")

OPERATOR_TOPIC = "keyed.op"
TARGET_TOPIC = "keyed.servers"
# Written by the instances themselves to announce their addresses.
INSTANCE_TOPIC = "keyed.instances"
# Requests that crashed several targets, by their digests.
BLOCKED_REQUEST_TOPIC = "keyed.blocked-requests"
CONFIGURATION_KEY = "config"
ZONE_OUT_PREFIX = "evacuate/"
# The calls of a route whose type is unknown here are not repeated either.
IDEMPOTENT_ROUTE_TYPES = frozenset({"safe", "download"})
NON_IDEMPOTENT_ROUTE_TYPE = "unsafe"
READY_STATE = "ready"
DRAINING_STATE = "draining"


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Represent one record of a key; an empty value means that the key was removed."""

    key: str
    value: bytes
    offset: int


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """Represent a record that could not be decoded."""

    topic: str
    key: str
    offset: int
    problem: str


class _StoredObject(msgspec.Struct, rename="kebab"):
    """Base of the JSON objects in the store, whose keys are in kebab case."""


class _SplitPart(_StoredObject):
    service: Name
    weight: Weight


class _Match(_StoredObject):
    path_prefix: str


class _Action(_StoredObject):
    timeout: str
    attempts: CountOrZero
    service: Name | None = None
    traffic_split: list[_SplitPart] | None = None


class _Rule(_StoredObject):
    name: Name
    route_type: str
    target_latency: str
    match: _Match
    action: _Action
    priority: CountOrZero = 0


class _Listener(_StoredObject):
    host: str
    rule_set: list[_Rule]


class _Cluster(_StoredObject):
    name: Name
    health_path: UrlPath = "/health"
    max_conns: Count = 100
    warmup_per_s: Rate = 1.0


class _Limits(_StoredObject):
    max_header_bytes: Count = 16_384
    max_body_bytes: WholeNumber = 67_108_864
    header_timeout: str = "3s"
    idle_timeout: str = "15s"


class _Configuration(_StoredObject):
    version: WholeNumber
    listeners: list[_Listener]
    clusters: list[_Cluster]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _TargetInfo(_StoredObject):
    service: Name
    zone: Name
    max_concurrency: Count


class _TargetStatus(_StoredObject):
    state: str
    # Number of registrations since the target's start.
    seq: WholeNumber
    warmup_left: str = "0ms"


class _Registration(_StoredObject):
    address: str
    info: _TargetInfo
    status: _TargetStatus
    # Unix milliseconds of the target's start.
    born: WholeNumber = 0


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_registration_decoder = msgspec.json.Decoder(_Registration)


def decode_operator_record(record: KeyedRecord) -> FleetEvent | UnreadableRecord | None:
    """Return the event of an operator's record, None if it is ignored."""
    if record.key.startswith(ZONE_OUT_PREFIX):
        zone = record.key.removeprefix(ZONE_OUT_PREFIX)
        return ZoneTakenOut(zone) if record.value else ZoneReturned(zone)
    if record.key != CONFIGURATION_KEY or not record.value:
        return None
    try:
        return ConfigurationPublished(_decode_configuration(record.value))
    except DECODE_ERRORS as error:
        return _create_unreadable_record(OPERATOR_TOPIC, record, error)


def decode_target_record(record: KeyedRecord) -> FleetEvent | UnreadableRecord:
    """Return the event of a target's record."""
    if not record.value:
        return TargetRemoved(record.key)
    try:
        return TargetRegistered(_decode_target(record))
    except DECODE_ERRORS as error:
        return _create_unreadable_record(TARGET_TOPIC, record, error)


def _create_unreadable_record(
    topic: str, record: KeyedRecord, error: Exception
) -> UnreadableRecord:
    return UnreadableRecord(topic, record.key, record.offset, str(error))


def _decode_configuration(value: bytes) -> EntryConfiguration:
    stored = _configuration_decoder.decode(value)
    _log_unknown_route_types(stored)
    limits = CallerLimits(
        header_limit_bytes=stored.limits.max_header_bytes,
        body_limit_bytes=stored.limits.max_body_bytes,
        header_timeout_ms=_parse_field("header-timeout", stored.limits.header_timeout),
        idle_timeout_ms=_parse_field("idle-timeout", stored.limits.idle_timeout),
    )
    services = {
        cluster.name: EntryService(
            service_id=cluster.name,
            health_path=cluster.health_path,
            connection_limit=cluster.max_conns,
            cold_calls_per_s=cluster.warmup_per_s,
        )
        for cluster in stored.clusters
    }
    return EntryConfiguration(
        stored.version, tuple(_decode_routes(stored)), services, limits
    )


def _decode_routes(stored: _Configuration) -> Iterator[EntryRoute]:
    for listener in stored.listeners:
        for rule in listener.rule_set:
            yield EntryRoute(
                route_id=rule.name,
                host=listener.host.lower(),
                path_prefix=rule.match.path_prefix,
                idempotent=rule.route_type in IDEMPOTENT_ROUTE_TYPES,
                services=_decode_services(rule),
                timeout_ms=_parse_field("timeout", rule.action.timeout),
                latency_goal_ms=_parse_field("target-latency", rule.target_latency),
                attempt_limit=max(1, rule.action.attempts),
                priority=rule.priority,
            )


def _log_unknown_route_types(stored: _Configuration) -> None:
    known_types = IDEMPOTENT_ROUTE_TYPES | {NON_IDEMPOTENT_ROUTE_TYPE}
    for listener in stored.listeners:
        for rule in listener.rule_set:
            if rule.route_type not in known_types:
                LOG.warning(
                    "unknown route type, its calls are not repeated",
                    route=rule.name,
                    route_type=rule.route_type,
                    configuration=stored.version,
                )


def _decode_services(rule: _Rule) -> tuple[WeightedService, ...]:
    if rule.action.traffic_split:
        return tuple(
            WeightedService(part.service, part.weight)
            for part in rule.action.traffic_split
        )
    if rule.action.service is None:
        raise InvalidValueError(
            f"route {shorten(repr(rule.name))}: action has no service"
        )
    return (WeightedService(rule.action.service, 1.0),)


def _decode_target(record: KeyedRecord) -> EntryTarget:
    stored = _registration_decoder.decode(record.value)
    if stored.status.state not in (READY_STATE, DRAINING_STATE):
        raise InvalidValueError(f"unknown state {shorten(repr(stored.status.state))}")
    check_target_id(record.key)
    check_address(stored.address)
    return EntryTarget(
        target_id=record.key,
        service_id=stored.info.service,
        address=stored.address,
        zone=stored.info.zone,
        slots=stored.info.max_concurrency,
        draining=stored.status.state == DRAINING_STATE,
        sequence=stored.status.seq,
        started_at_ms=stored.born,
        cold_ms=_parse_field("warmup-left", stored.status.warmup_left),
    )


def _parse_field(field: str, value: str) -> float:
    """Return the duration of a field in ms; raises `InvalidValueError`."""
    try:
        return parse_duration_ms(value)
    except InvalidValueError as error:
        raise InvalidValueError(f"{field}: {error}") from error
