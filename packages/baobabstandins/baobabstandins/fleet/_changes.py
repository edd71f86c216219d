"""Create the configuration changes that operators publish in scenarios."""

from baobabapi import operators_pb2

from baobabstandins.fleet._members import TargetMember
from baobabstandins.fleet._operator import Change

MAX_DEADLINE_MS = 10_000

KEY_RULES = {
    "none": operators_pb2.KEY_RULE_NONE,
    "optional": operators_pb2.KEY_RULE_OPTIONAL,
    "required": operators_pb2.KEY_RULE_REQUIRED,
}
ZONE_STATES = {"in": operators_pb2.ZONE_STATE_IN, "out": operators_pb2.ZONE_STATE_OUT}


def put_service(
    service_id: str,
    prefix: str,
    key_rule: str,
    cold_limit: int,
    targets: list[TargetMember],
) -> Change:
    """Return the change that publishes a service with one rule."""
    rule = operators_pb2.Rule(
        method="*",
        path_pattern=f"{prefix}/*",
        key_rule=KEY_RULES[key_rule],
        deadline_limit_ms=MAX_DEADLINE_MS,
        request_class=service_id,
        priority=1,
    )
    service = operators_pb2.Service(
        service_id=service_id,
        path_prefix=prefix,
        rules=[rule],
        targets=[_create_target_message(member) for member in targets],
        cold_limit=cold_limit,
    )
    request = operators_pb2.PutServiceRequest(service=service)
    return Change(f"put service {service_id}", "PutService", request)


def set_zone_state(zone: str, state: str) -> Change:
    """Return the change that takes a zone out of service or back in."""
    request = operators_pb2.SetZoneStateRequest(zone=zone, state=ZONE_STATES[state])
    return Change(f"zone {zone} {state}", "SetZoneState", request)


def put_target(service_id: str, member: TargetMember) -> Change:
    """Return the change that adds a target to a service."""
    request = operators_pb2.PutTargetRequest(
        service_id=service_id, target=_create_target_message(member)
    )
    return Change(f"put target {member.target_id}", "PutTarget", request)


def remove_target(service_id: str, target_id: str) -> Change:
    """Return the change that removes a target from a service."""
    request = operators_pb2.RemoveTargetRequest(
        service_id=service_id, target_id=target_id
    )
    return Change(f"remove target {target_id}", "RemoveTarget", request)


def drain_target(service_id: str, target_id: str) -> Change:
    """Return the change that drains a target."""
    request = operators_pb2.SetTargetStateRequest(
        service_id=service_id,
        target_id=target_id,
        state=operators_pb2.TARGET_STATE_DRAINING,
    )
    return Change(f"drain target {target_id}", "SetTargetState", request)


def _create_target_message(member: TargetMember) -> operators_pb2.Target:
    return operators_pb2.Target(
        target_id=member.target_id,
        address=member.address,
        zone=member.zone,
        slots=member.slots,
        state=operators_pb2.TARGET_STATE_ACTIVE,
    )
