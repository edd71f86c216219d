"""Subcommands of the command line."""

import difflib
from collections.abc import Callable
from dataclasses import dataclass

from baobabapi import operators_pb2 as pb

from baobabctl._exit_codes import ExitCode
from baobabctl._flags import UsageError
from baobabctl._json_messages import is_unicode, read_message
from baobabctl._session import Session
from baobabctl._tables import instances_table, outcomes_table, services_table

SETTLEMENTS = {"ran": pb.SETTLEMENT_RAN, "not_run": pb.SETTLEMENT_NOT_RUN}
MAX_SLOTS_DIGITS = 9  # Every number of this length fits into uint32.
WORDS_PER_NAME = 2


@dataclass(frozen=True, slots=True)
class Command:
    """Represent one subcommand."""

    name: str
    arguments: tuple[str, ...]
    summary: str
    execute: Callable[..., ExitCode]

    @property
    def usage(self) -> str:
        """Return the name with its arguments."""
        return " ".join((self.name, *self.arguments))


@dataclass(frozen=True, slots=True)
class Invocation:
    """Represent a subcommand with the values of its arguments."""

    command: Command
    values: tuple[str, ...]

    def execute(self, session: Session) -> ExitCode:
        """Run the subcommand."""
        return self.command.execute(session, *self.values)


def parse_invocation(positional: tuple[str, ...]) -> Invocation:
    """Return the subcommand with its values; raises UsageError."""
    name = " ".join(positional[:WORDS_PER_NAME])
    commands = {command.name: command for command in COMMANDS}
    if name not in commands:
        raise UsageError(_describe_unknown_command(name, list(commands)))
    command = commands[name]
    values = positional[WORDS_PER_NAME:]
    if len(values) != len(command.arguments):
        raise UsageError(f"usage: baobabctl {command.usage}; got {len(values)} values")
    for argument, value in zip(command.arguments, values, strict=True):
        if not is_unicode(value):
            raise UsageError(f"{argument} must be Unicode text, got {value!r}")
    return Invocation(command, values)


def commands_help() -> str:
    """Return one line for each subcommand."""
    width = max(len(command.usage) for command in COMMANDS)
    return "\n".join(f"  {c.usage:<{width}}  {c.summary}" for c in COMMANDS)


def _describe_unknown_command(name: str, known: list[str]) -> str:
    nearest = difflib.get_close_matches(name, known, n=1, cutoff=0.0)
    if not name:
        return "a subcommand must be given; see --help"
    return f"unknown subcommand {name!r}; did you mean {nearest[0]!r}?"


def _service_put(session: Session, path: str) -> ExitCode:
    request = pb.PutServiceRequest()
    request.service.SetInParent()
    read_message(path, request.service, "service")
    return session.change("PutService", request)


def _service_delete(session: Session, service_id: str) -> ExitCode:
    request = pb.DeleteServiceRequest(service_id=service_id)
    return session.change("DeleteService", request)


def _service_list(session: Session) -> ExitCode:
    return session.list("ListServices", pb.ListServicesRequest(), services_table)


def _target_put(
    session: Session,
    service_id: str,
    target_id: str,
    address: str,
    zone: str,
    slots: str,
) -> ExitCode:
    target = pb.Target(
        target_id=target_id,
        address=address,
        zone=zone,
        slots=_parse_slots(slots),
        state=pb.TARGET_STATE_ACTIVE,
    )
    request = pb.PutTargetRequest(service_id=service_id, target=target)
    return session.change("PutTarget", request)


def _target_remove(session: Session, service_id: str, target_id: str) -> ExitCode:
    request = pb.RemoveTargetRequest(service_id=service_id, target_id=target_id)
    return session.change("RemoveTarget", request)


def _target_drain(session: Session, service_id: str, target_id: str) -> ExitCode:
    return _set_target_state(session, service_id, target_id, pb.TARGET_STATE_DRAINING)


def _target_activate(session: Session, service_id: str, target_id: str) -> ExitCode:
    return _set_target_state(session, service_id, target_id, pb.TARGET_STATE_ACTIVE)


def _set_target_state(
    session: Session, service_id: str, target_id: str, state: pb.TargetState
) -> ExitCode:
    request = pb.SetTargetStateRequest(
        service_id=service_id, target_id=target_id, state=state
    )
    return session.change("SetTargetState", request)


def _zone_out(session: Session, zone: str) -> ExitCode:
    return _set_zone_state(
        session, zone, pb.ZONE_STATE_OUT, f"Take zone {zone!r} out of service?"
    )


def _zone_in(session: Session, zone: str) -> ExitCode:
    return _set_zone_state(
        session, zone, pb.ZONE_STATE_IN, f"Return zone {zone!r} to service?"
    )


def _set_zone_state(
    session: Session, zone: str, state: pb.ZoneState, question: str
) -> ExitCode:
    if not session.options.yes and not session.terminal.ask(question):
        raise UsageError("not confirmed; nothing was changed")
    request = pb.SetZoneStateRequest(zone=zone, state=state)
    return session.change("SetZoneState", request)


def _instance_list(session: Session) -> ExitCode:
    return session.list("ListInstances", pb.ListInstancesRequest(), instances_table)


def _outcome_list(session: Session) -> ExitCode:
    request = pb.ListUnknownOutcomesRequest()
    return session.list("ListUnknownOutcomes", request, outcomes_table)


def _outcome_settle(
    session: Session, service_id: str, key: str, settlement: str
) -> ExitCode:
    if settlement not in SETTLEMENTS:
        known = " or ".join(SETTLEMENTS)
        raise UsageError(f"SETTLEMENT must be {known}, got {settlement!r}")
    request = pb.SettleOutcomeRequest(
        service_id=service_id, key=key, settlement=SETTLEMENTS[settlement]
    )
    return session.settle(request)


def _parse_slots(text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_SLOTS_DIGITS):
        raise UsageError(f"SLOTS must be a whole number, got {text!r}")
    return int(text)


COMMANDS = (
    Command("service put", ("FILE",), "Create or replace a service", _service_put),
    Command("service delete", ("SERVICE",), "Delete a service", _service_delete),
    Command("service list", (), "List services, targets and zones", _service_list),
    Command(
        "target put",
        ("SERVICE", "TARGET", "ADDRESS", "ZONE", "SLOTS"),
        "Create or replace an active target",
        _target_put,
    ),
    Command("target remove", ("SERVICE", "TARGET"), "Remove a target", _target_remove),
    Command(
        "target drain",
        ("SERVICE", "TARGET"),
        "Stop new calls to a target",
        _target_drain,
    ),
    Command(
        "target activate",
        ("SERVICE", "TARGET"),
        "Allow new calls to a target again",
        _target_activate,
    ),
    Command("zone out", ("ZONE",), "Take a zone out of service", _zone_out),
    Command("zone in", ("ZONE",), "Return a zone to service", _zone_in),
    Command("instance list", (), "List instances", _instance_list),
    Command("outcome list", (), "List unknown outcomes", _outcome_list),
    Command(
        "outcome settle",
        ("SERVICE", "KEY", "SETTLEMENT"),
        "Record whether a call ran (ran, not_run)",
        _outcome_settle,
    ),
)
