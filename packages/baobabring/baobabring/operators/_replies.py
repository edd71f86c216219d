"""Translation of typed outcomes and lists into replies."""

from collections.abc import Iterable

from baobabapi import operators_pb2 as pb

from baobabring.claims import UnknownOutcome
from baobabring.configuration import Accepted, Conflict, Finding, Rejected
from baobabring.model import Configuration, Rule, Service, Target, ZoneState
from baobabring.operators._control_plane import (
    InstanceStatus,
    NotSettleable,
    Settled,
    SettlementOutcome,
)
from baobabring.operators._requests import KEY_RULES, TARGET_STATES, ZONE_STATES
from baobabring.publication import ProposalOutcome, Unconfirmed

MAX_AGE_MS = 2**32 - 1
MS_PER_S = 1_000

_KEY_RULE_NUMBERS = {rule: number for number, rule in KEY_RULES.items()}
_TARGET_STATE_NUMBERS = {state: number for number, state in TARGET_STATES.items()}
_ZONE_STATE_NUMBERS = {state: number for number, state in ZONE_STATES.items()}


def to_change_reply(outcome: ProposalOutcome) -> pb.ChangeReply:
    """Return the reply for the outcome of a change."""
    match outcome:
        case Accepted(revision=revision):
            return pb.ChangeReply(accepted=pb.Accepted(revision=revision))
        case Conflict(current_revision=revision):
            return pb.ChangeReply(conflict=pb.Conflict(current_revision=revision))
        case Rejected(findings=findings):
            return pb.ChangeReply(invalid=to_invalid(findings))
        case Unconfirmed():
            return pb.ChangeReply(unconfirmed=_to_unconfirmed(outcome))
    raise TypeError(f"outcome must be a ProposalOutcome, got {type(outcome).__name__}")


def to_settle_reply(outcome: SettlementOutcome) -> pb.SettleOutcomeReply:
    """Return the reply for the outcome of a settlement."""
    match outcome:
        case Settled():
            return pb.SettleOutcomeReply(settled=pb.Settled())
        case NotSettleable(reason=reason):
            return pb.SettleOutcomeReply(not_settleable=pb.NotSettleable(reason=reason))
        case Unconfirmed():
            return pb.SettleOutcomeReply(unconfirmed=_to_unconfirmed(outcome))
    raise TypeError(
        f"outcome must be a SettlementOutcome, got {type(outcome).__name__}"
    )


def to_invalid(findings: Iterable[Finding]) -> pb.Invalid:
    """Return the message that lists all findings."""
    return pb.Invalid(
        findings=[pb.Finding(place=f.place, problem=f.problem) for f in findings]
    )


def to_services_reply(configuration: Configuration) -> pb.ListServicesReply:
    """Return the list of services and of the zones that are out or have targets."""
    services = configuration.services
    zones = set(configuration.zones_out)
    for service in services.values():
        zones.update(target.zone for target in service.targets)
    return pb.ListServicesReply(
        revision=configuration.revision,
        services=[_from_service(services[name]) for name in sorted(services)],
        zones=[
            _from_zone(zone, configuration.get_zone_state(zone))
            for zone in sorted(zones)
        ],
    )


def to_instances_reply(
    instances: Iterable[InstanceStatus],
) -> pb.ListInstancesReply:
    """Return the list of instances, sorted by id."""
    ordered = sorted(instances, key=lambda status: status.instance_id)
    return pb.ListInstancesReply(instances=[_from_instance(i) for i in ordered])


def to_outcomes_reply(
    outcomes: Iterable[UnknownOutcome],
) -> pb.ListUnknownOutcomesReply:
    """Return the list of unknown outcomes, oldest claim first."""
    ordered = sorted(outcomes, key=lambda o: (o.claimed_at_s, o.service_id, o.key))
    return pb.ListUnknownOutcomesReply(outcomes=[_from_outcome(o) for o in ordered])


def _to_unconfirmed(outcome: Unconfirmed) -> pb.Unconfirmed:
    return pb.Unconfirmed(change_id=outcome.change_id, reason=outcome.reason)


def _from_service(service: Service) -> pb.Service:
    return pb.Service(
        service_id=service.service_id,
        path_prefix=service.path_prefix,
        rules=[_from_rule(rule) for rule in service.rules],
        targets=[_from_target(target) for target in service.targets],
        cold_limit=service.cold_limit,
    )


def _from_rule(rule: Rule) -> pb.Rule:
    return pb.Rule(
        method=rule.method,
        path_pattern=rule.path_pattern,
        key_rule=_KEY_RULE_NUMBERS[rule.key_rule],
        deadline_limit_ms=rule.deadline_limit_ms,
        request_class=rule.request_class,
        priority=rule.priority,
    )


def _from_target(target: Target) -> pb.Target:
    return pb.Target(
        target_id=target.target_id,
        address=target.address,
        zone=target.zone,
        slots=target.slots,
        state=_TARGET_STATE_NUMBERS[target.state],
    )


def _from_zone(zone: str, state: ZoneState) -> pb.Zone:
    return pb.Zone(zone=zone, state=_ZONE_STATE_NUMBERS[state])


def _from_instance(status: InstanceStatus) -> pb.Instance:
    return pb.Instance(
        instance_id=status.instance_id,
        zone=status.zone,
        state=status.state,
        revision=status.revision,
        heartbeat_age_ms=min(max(status.heartbeat_age_ms, 0), MAX_AGE_MS),
        confirmed_age_ms=min(max(status.confirmed_age_ms, 0), MAX_AGE_MS),
    )


def _from_outcome(outcome: UnknownOutcome) -> pb.UnknownOutcome:
    return pb.UnknownOutcome(
        service_id=outcome.service_id,
        key=outcome.key,
        method=outcome.method,
        path=outcome.path,
        tenant=outcome.tenant,
        instance_id=outcome.instance_id,
        claimed_at_unix_ms=round(outcome.claimed_at_s * MS_PER_S),
    )
