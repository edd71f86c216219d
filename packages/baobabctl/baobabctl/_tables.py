"""Formatting of replies as tables."""

from datetime import UTC, datetime

from baobabapi import operators_pb2 as pb
from tabulate import tabulate

from baobabctl._json_messages import get_enum_name

MS_PER_S = 1_000

_TABLE_FORMAT = "simple"


def services_table(reply: pb.ListServicesReply) -> str:
    """Return services, rules, targets and zones as tables."""
    parts = [
        f"revision {reply.revision}",
        _format_table(
            ("service", "prefix", "cold limit", "rules", "targets"),
            [
                (
                    s.service_id,
                    s.path_prefix,
                    s.cold_limit,
                    len(s.rules),
                    len(s.targets),
                )
                for s in reply.services
            ],
        ),
        _format_table(
            ("service", "method", "path", "key", "limit ms", "class", "priority"),
            [_rule_row(s, rule) for s in reply.services for rule in s.rules],
        ),
        _format_table(
            ("service", "target", "address", "zone", "slots", "state"),
            [_target_row(s, target) for s in reply.services for target in s.targets],
        ),
        _format_table(
            ("zone", "state"),
            [
                (z.zone, get_enum_name(pb.ZoneState.DESCRIPTOR, z.state))
                for z in reply.zones
            ],
        ),
    ]
    return "\n\n".join(parts)


def instances_table(reply: pb.ListInstancesReply) -> str:
    """Return instances as a table."""
    return _format_table(
        ("instance", "zone", "state", "revision", "heartbeat ms", "confirmed ms"),
        [
            (
                i.instance_id,
                i.zone,
                i.state,
                i.revision,
                i.heartbeat_age_ms,
                i.confirmed_age_ms,
            )
            for i in reply.instances
        ],
    )


def outcomes_table(reply: pb.ListUnknownOutcomesReply) -> str:
    """Return unknown outcomes as a table."""
    return _format_table(
        ("service", "key", "method", "path", "tenant", "instance", "claimed at"),
        [
            (
                o.service_id,
                o.key,
                o.method,
                o.path,
                o.tenant,
                o.instance_id,
                _format_time(o.claimed_at_unix_ms),
            )
            for o in reply.outcomes
        ],
    )


def _service_row(service: pb.Service) -> tuple[str | int, ...]:
    return (
        service.service_id,
        service.path_prefix,
        service.cold_limit,
        len(service.rules),
        len(service.targets),
    )


def _rule_row(service: pb.Service, rule: pb.Rule) -> tuple[str | int, ...]:
    return (
        service.service_id,
        rule.method,
        rule.path_pattern,
        get_enum_name(pb.KeyRule.DESCRIPTOR, rule.key_rule),
        rule.deadline_limit_ms,
        rule.request_class,
        rule.priority,
    )


def _target_row(service: pb.Service, target: pb.Target) -> tuple[str | int, ...]:
    return (
        service.service_id,
        target.target_id,
        target.address,
        target.zone,
        target.slots,
        get_enum_name(pb.TargetState.DESCRIPTOR, target.state),
    )


def _format_table(headers: tuple[str, ...], rows: list[tuple[str | int, ...]]) -> str:
    # Parsing as numbers would change ids of digits, such as "01".
    return tabulate(rows, headers, tablefmt=_TABLE_FORMAT, disable_numparse=True)


def _format_time(unix_ms: int) -> str:
    time = datetime.fromtimestamp(unix_ms / MS_PER_S, tz=UTC)
    return time.isoformat(timespec="milliseconds")
