"""What operators and targets write to the platform's store, decoded."""

from collections.abc import Iterator
from dataclasses import dataclass

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
from baobabring.platform.units import BadValueError, read_duration_ms

OPERATOR_TOPIC = "keyed.op"
TARGET_TOPIC = "keyed.servers"
# Our own: where instances announce their addresses.
INSTANCE_TOPIC = "keyed.instances"
CONFIGURATION_KEY = "config"
ZONE_OUT_PREFIX = "evacuate/"
IDEMPOTENT_TYPE = "safe"
ONCE_TYPE = "unsafe"
READY_STATE = "ready"
DRAINING_STATE = "draining"


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Hold one record; without a value the key has been dropped."""

    key: str
    value: bytes
    offset: int


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """Tell that a record says nothing usable, and why."""

    topic: str
    key: str
    offset: int
    problem: str


class _Wire(msgspec.Struct, rename="kebab"):
    """Base of what lies in the store, whose names have dashes."""


class _Split(_Wire):
    service: str
    weight: float


class _Match(_Wire):
    path_prefix: str


class _Action(_Wire):
    timeout: str
    attempts: int
    service: str | None = None
    traffic_split: list[_Split] | None = None


class _Rule(_Wire):
    name: str
    route_type: str
    target_latency: str
    match: _Match
    action: _Action
    priority: int = 0


class _Listener(_Wire):
    host: str
    rule_set: list[_Rule]


class _Cluster(_Wire):
    name: str
    health_path: str = "/health"
    max_conns: int = 100
    warmup_per_s: float = 1.0


class _Limits(_Wire):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout: str = "3s"
    idle_timeout: str = "15s"


class _Configuration(_Wire):
    version: int
    listeners: list[_Listener]
    clusters: list[_Cluster]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Info(_Wire):
    service: str
    zone: str
    max_concurrency: int


class _Status(_Wire):
    state: str
    # Counts the registrations since the target's start.
    seq: int
    warmup_left: str = "0ms"


class _Registration(_Wire):
    address: str
    info: _Info
    status: _Status
    # Unix milliseconds of the target's start.
    born: int = 0


_configurations = msgspec.json.Decoder(_Configuration)
_registrations = msgspec.json.Decoder(_Registration)


def decode_operator_record(record: KeyedRecord) -> FleetEvent | UnreadableRecord | None:
    """Return what an operator's record says, None for keys that don't concern us."""
    if record.key.startswith(ZONE_OUT_PREFIX):
        zone = record.key.removeprefix(ZONE_OUT_PREFIX)
        return ZoneTakenOut(zone) if record.value else ZoneReturned(zone)
    if record.key != CONFIGURATION_KEY or not record.value:
        return None
    try:
        return ConfigurationPublished(_decode_configuration(record.value))
    except (msgspec.MsgspecError, BadValueError, UnicodeDecodeError) as error:
        return _unreadable(OPERATOR_TOPIC, record, error)


def decode_target_record(record: KeyedRecord) -> FleetEvent | UnreadableRecord:
    """Return what a target's record says of it."""
    if not record.value:
        return TargetRemoved(record.key)
    try:
        return TargetRegistered(_decode_target(record))
    except (msgspec.MsgspecError, BadValueError, UnicodeDecodeError) as error:
        return _unreadable(TARGET_TOPIC, record, error)


def _unreadable(topic: str, record: KeyedRecord, error: Exception) -> UnreadableRecord:
    return UnreadableRecord(topic, record.key, record.offset, str(error))


def _decode_configuration(value: bytes) -> EntryConfiguration:
    wire = _configurations.decode(value)
    limits = CallerLimits(
        header_limit_bytes=wire.limits.max_header_bytes,
        body_limit_bytes=wire.limits.max_body_bytes,
        header_timeout_ms=read_duration_ms(wire.limits.header_timeout),
        idle_timeout_ms=read_duration_ms(wire.limits.idle_timeout),
    )
    services = {
        cluster.name: EntryService(
            service_id=cluster.name,
            health_path=cluster.health_path,
            connection_limit=cluster.max_conns,
            cold_calls_per_s=cluster.warmup_per_s,
        )
        for cluster in wire.clusters
    }
    return EntryConfiguration(wire.version, tuple(_routes(wire)), services, limits)


def _routes(wire: _Configuration) -> Iterator[EntryRoute]:
    for listener in wire.listeners:
        for rule in listener.rule_set:
            yield EntryRoute(
                route_id=rule.name,
                host=listener.host.lower(),
                path_prefix=rule.match.path_prefix,
                idempotent=_is_idempotent(rule),
                services=_weighted_services(rule),
                timeout_ms=read_duration_ms(rule.action.timeout),
                latency_goal_ms=read_duration_ms(rule.target_latency),
                attempt_limit=max(1, rule.action.attempts),
                priority=rule.priority,
            )


def _is_idempotent(rule: _Rule) -> bool:
    if rule.route_type not in (IDEMPOTENT_TYPE, ONCE_TYPE):
        raise BadValueError(f"route {rule.name!r} has the type {rule.route_type!r}")
    return rule.route_type == IDEMPOTENT_TYPE


def _weighted_services(rule: _Rule) -> tuple[WeightedService, ...]:
    if rule.action.traffic_split:
        return tuple(
            WeightedService(part.service, part.weight)
            for part in rule.action.traffic_split
        )
    if rule.action.service is None:
        raise BadValueError(f"route {rule.name!r} names no service")
    return (WeightedService(rule.action.service, 1.0),)


def _decode_target(record: KeyedRecord) -> EntryTarget:
    wire = _registrations.decode(record.value)
    if wire.status.state not in (READY_STATE, DRAINING_STATE):
        raise BadValueError(f"unknown state {wire.status.state!r}")
    host, _, port = wire.address.rpartition(":")
    if not host or not port.isdigit():
        raise BadValueError(f"address {wire.address!r} has no host or port")
    if wire.info.max_concurrency < 1:
        raise BadValueError(f"slots must be >= 1, got {wire.info.max_concurrency}")
    return EntryTarget(
        target_id=record.key,
        service_id=wire.info.service,
        address=wire.address,
        zone=wire.info.zone,
        slots=wire.info.max_concurrency,
        draining=wire.status.state == DRAINING_STATE,
        sequence=wire.status.seq,
        started_at_ms=wire.born,
        cold_ms=read_duration_ms(wire.status.warmup_left),
    )
