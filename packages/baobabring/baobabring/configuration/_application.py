"""Application of valid changes to a configuration."""

from dataclasses import replace

from baobabring.configuration._changes import (
    Change,
    DeleteService,
    PutService,
    PutTarget,
    RemoveTarget,
    SetTargetState,
    SetZoneState,
)
from baobabring.model import Configuration, Service, Target, ZoneState


def apply_change(
    configuration: Configuration, change: Change, revision: int
) -> Configuration:
    """Return the configuration after a valid change, with the given revision."""
    match change:
        case SetZoneState():
            zones_out = _zones_out_after(configuration, change)
            return replace(configuration, revision=revision, zones_out=zones_out)
        case DeleteService(service_id=service_id):
            services = dict(configuration.services)
            del services[service_id]
            return replace(configuration, revision=revision, services=services)
        case _:
            service = _service_after(configuration, change)
            services = {**configuration.services, service.service_id: service}
            return replace(configuration, revision=revision, services=services)


def _zones_out_after(
    configuration: Configuration, change: SetZoneState
) -> frozenset[str]:
    if change.state is ZoneState.OUT:
        return configuration.zones_out | {change.zone}
    return configuration.zones_out - {change.zone}


def _service_after(
    configuration: Configuration,
    change: PutService | PutTarget | RemoveTarget | SetTargetState,
) -> Service:
    if isinstance(change, PutService):
        return _put_service(configuration, change.service)
    service = configuration.services[change.service_id]
    match change:
        case PutTarget(target=target):
            targets = _put_target(service, target)
        case RemoveTarget(target_id=target_id):
            targets = tuple(t for t in service.targets if t.target_id != target_id)
        case SetTargetState(target_id=target_id, state=state):
            targets = tuple(
                replace(t, state=state) if t.target_id == target_id else t
                for t in service.targets
            )
    return replace(service, targets=targets)


def _put_service(configuration: Configuration, service: Service) -> Service:
    previous = configuration.services.get(service.service_id)
    if service.targets or previous is None:
        return service
    return replace(service, targets=previous.targets)


def _put_target(service: Service, target: Target) -> tuple[Target, ...]:
    exists = any(t.target_id == target.target_id for t in service.targets)
    if not exists:
        return (*service.targets, target)
    return tuple(
        target if t.target_id == target.target_id else t for t in service.targets
    )
