"""Translation of requests into typed changes, with validation findings."""

from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

from baobabapi import operators_pb2 as pb

from baobabring.claims import Settlement
from baobabring.configuration import (
    Change,
    DeleteService,
    Finding,
    PutService,
    PutTarget,
    RemoveTarget,
    SetTargetState,
    SetZoneState,
    validate_change,
)
from baobabring.model import (
    Configuration,
    KeyRule,
    Rule,
    Service,
    Target,
    TargetState,
    ZoneState,
)

MAX_CHANGE_ID_CHARACTERS = 64
MAX_KEY_CHARACTERS = 256
DEFAULT_COLD_LIMIT = 1

KEY_RULES = {
    pb.KEY_RULE_NONE: KeyRule.NONE,
    pb.KEY_RULE_OPTIONAL: KeyRule.OPTIONAL,
    pb.KEY_RULE_REQUIRED: KeyRule.REQUIRED,
}
TARGET_STATES = {
    pb.TARGET_STATE_ACTIVE: TargetState.ACTIVE,
    pb.TARGET_STATE_DRAINING: TargetState.DRAINING,
}
ZONE_STATES = {pb.ZONE_STATE_IN: ZoneState.IN, pb.ZONE_STATE_OUT: ZoneState.OUT}
SETTLEMENTS = {
    pb.SETTLEMENT_RAN: Settlement.RAN,
    pb.SETTLEMENT_NOT_RUN: Settlement.NOT_RUN,
}

EnumT = TypeVar("EnumT", bound=Enum)


@dataclass(frozen=True, slots=True)
class ParsedChange:
    """Represent the change of a request and all findings about it."""

    change: Change
    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class ParsedSettlement:
    """Represent the settlement of a request and all findings about it."""

    settlement: Settlement
    findings: tuple[Finding, ...]


def parse_change(request: Any, configuration: Configuration) -> ParsedChange:
    """Return the change that a request asks for.

    A field with an unknown enum value is a finding, and the rest is validated
    nevertheless, so that the operator gets all findings at once.
    """
    findings: list[Finding] = []
    if len(request.change_id) > MAX_CHANGE_ID_CHARACTERS:
        problem = f"must be at most {MAX_CHANGE_ID_CHARACTERS} characters"
        findings.append(Finding("change_id", problem))
    change = _to_change(request, findings)
    if findings:
        findings.extend(validate_change(configuration, change))
    return ParsedChange(change, tuple(findings))


def parse_settlement(request: pb.SettleOutcomeRequest) -> ParsedSettlement:
    """Return the settlement that a request asks for."""
    findings: list[Finding] = []
    for place in ("service_id", "key"):
        length = len(getattr(request, place))
        if not 1 <= length <= MAX_KEY_CHARACTERS:
            problem = f"must have 1 to {MAX_KEY_CHARACTERS} characters, got {length}"
            findings.append(Finding(place, problem))
    settlement = _to_enum(
        SETTLEMENTS, request.settlement, Settlement.RAN, "settlement", findings
    )
    return ParsedSettlement(settlement, tuple(findings))


def _to_change(request: Any, findings: list[Finding]) -> Change:
    match request:
        case pb.PutServiceRequest():
            return PutService(_to_service(request.service, findings))
        case pb.DeleteServiceRequest():
            return DeleteService(request.service_id)
        case pb.PutTargetRequest():
            target = _to_target(request.target, "target", findings)
            return PutTarget(request.service_id, target)
        case pb.RemoveTargetRequest():
            return RemoveTarget(request.service_id, request.target_id)
        case pb.SetTargetStateRequest():
            state = _to_enum(
                TARGET_STATES, request.state, TargetState.ACTIVE, "state", findings
            )
            return SetTargetState(request.service_id, request.target_id, state)
        case pb.SetZoneStateRequest():
            state = _to_enum(
                ZONE_STATES, request.state, ZoneState.IN, "state", findings
            )
            return SetZoneState(request.zone, state)
    raise TypeError(f"request must ask for a change, got {type(request).__name__}")


def _to_service(message: pb.Service, findings: list[Finding]) -> Service:
    return Service(
        service_id=message.service_id,
        path_prefix=message.path_prefix,
        rules=tuple(
            _to_rule(rule, f"service.rules[{index}]", findings)
            for index, rule in enumerate(message.rules)
        ),
        targets=tuple(
            _to_target(target, f"service.targets[{index}]", findings)
            for index, target in enumerate(message.targets)
        ),
        cold_limit=message.cold_limit or DEFAULT_COLD_LIMIT,
    )


def _to_rule(message: pb.Rule, place: str, findings: list[Finding]) -> Rule:
    key_rule = _to_enum(
        KEY_RULES, message.key_rule, KeyRule.REQUIRED, f"{place}.key_rule", findings
    )
    return Rule(
        method=message.method,
        path_pattern=message.path_pattern,
        key_rule=key_rule,
        deadline_limit_ms=message.deadline_limit_ms,
        request_class=message.request_class,
        priority=message.priority,
    )


def _to_target(message: pb.Target, place: str, findings: list[Finding]) -> Target:
    state = TargetState.ACTIVE
    # A target without a state is active.
    if message.state != pb.TARGET_STATE_UNSPECIFIED:
        state = _to_enum(
            TARGET_STATES, message.state, state, f"{place}.state", findings
        )
    return Target(
        target_id=message.target_id,
        address=message.address,
        zone=message.zone,
        slots=message.slots,
        state=state,
    )


def _to_enum(
    known: dict[int, EnumT],
    value: int,
    fallback: EnumT,
    place: str,
    findings: list[Finding],
) -> EnumT:
    if value in known:
        return known[value]
    names = ", ".join(member.name.lower() for member in known.values())
    findings.append(Finding(place, f"must be one of {names}, got {value}"))
    return fallback
