"""Session of one command with its client, options and terminal."""

import json
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TextIO

from baobabapi import operators_pb2 as pb
from google.protobuf.message import Message

from baobabctl._client import LostReplyError, OperatorsClient
from baobabctl._exit_codes import ExitCode
from baobabctl._flags import Options
from baobabctl._json_messages import Finding, to_json_value


@dataclass(frozen=True, slots=True)
class Terminal:
    """Represent the streams that a command reads and writes."""

    stdin: TextIO
    stdout: TextIO
    stderr: TextIO

    def ask(self, question: str) -> bool:
        """Return whether the operator answered yes."""
        print(f"{question} [y/N] ", end="", file=self.stderr, flush=True)
        return self.stdin.readline().strip().lower() in ("y", "yes")

    def print_findings(self, findings: list[Finding]) -> None:
        """Print all findings with their places."""
        for finding in findings:
            print(f"{finding.place}: {finding.problem}", file=self.stderr)


class Session:
    """Send the requests of one command and print their outcomes."""

    def __init__(
        self, client: OperatorsClient, options: Options, terminal: Terminal
    ) -> None:
        self.client = client
        self.options = options
        self.terminal = terminal

    def list(
        self, method: str, request: Message, to_table: Callable[[Any], str]
    ) -> ExitCode:
        """Call a list method and print the reply."""
        reply = self.client.call(method, request)
        if self.options.output_format == "json":
            self._print(json.dumps(to_json_value(reply), indent=2, ensure_ascii=False))
        else:
            self._print(to_table(reply))
        return ExitCode.ACCEPTED

    def change(self, method: str, request: Any) -> ExitCode:
        """Send a change with its base revision and its id, and print the outcome."""
        request.base_revision = self._get_base_revision()
        request.change_id = self.options.change_id or str(uuid.uuid4())
        try:
            reply = self.client.call(method, request)
        except LostReplyError as error:
            return self._report_unconfirmed(request, request.change_id, str(error))
        match reply.WhichOneof("outcome"):
            case "accepted":
                return self._report_accepted(reply.accepted.revision)
            case "conflict":
                return self._report_conflict(request, reply.conflict.current_revision)
            case "invalid":
                return self._report_invalid(reply.invalid)
            case "unconfirmed":
                unconfirmed = reply.unconfirmed
                return self._report_unconfirmed(
                    request, unconfirmed.change_id, unconfirmed.reason
                )
        return self._report_unconfirmed(
            request, request.change_id, "the reply has no outcome"
        )

    def settle(self, request: pb.SettleOutcomeRequest) -> ExitCode:
        """Send a settlement and print the outcome."""
        try:
            reply = self.client.call("SettleOutcome", request)
        except LostReplyError as error:
            return self._report_error(
                ExitCode.UNCONFIRMED, "unconfirmed", reason=str(error)
            )
        match reply.WhichOneof("outcome"):
            case "settled":
                return self._report_success("settled")
            case "not_settleable":
                reason = reply.not_settleable.reason
                return self._report_error(
                    ExitCode.CONFLICT, "not settleable", reason=reason
                )
            case "invalid":
                return self._report_invalid(reply.invalid)
        reason = reply.unconfirmed.reason
        return self._report_error(ExitCode.UNCONFIRMED, "unconfirmed", reason=reason)

    def _get_base_revision(self) -> int:
        if self.options.base_revision is not None:
            return self.options.base_revision
        return self.client.call("ListServices", pb.ListServicesRequest()).revision

    def _report_accepted(self, revision: int) -> ExitCode:
        return self._report_success("accepted", revision=revision)

    def _report_conflict(self, request: Any, current_revision: int) -> ExitCode:
        return self._report_error(
            ExitCode.CONFLICT,
            "conflict",
            base_revision=request.base_revision,
            current_revision=current_revision,
        )

    def _report_invalid(self, invalid: pb.Invalid) -> ExitCode:
        findings = [Finding(f.place, f.problem) for f in invalid.findings]
        if self.options.output_format == "json":
            self._print(
                json.dumps(
                    {"outcome": "invalid", **to_json_value(invalid)},
                    ensure_ascii=False,
                )
            )
        self.terminal.print_findings(findings)
        return ExitCode.INVALID

    def _report_unconfirmed(
        self, request: Any, change_id: str, reason: str
    ) -> ExitCode:
        code = self._report_error(
            ExitCode.UNCONFIRMED,
            "unconfirmed",
            reason=reason,
            base_revision=request.base_revision,
            change_id=change_id,
        )
        hint = f"--base_revision {request.base_revision} --change_id {change_id}"
        print(f"to learn the outcome, run again with {hint}", file=self.terminal.stderr)
        return code

    def _report_success(self, outcome: str, **details: Any) -> ExitCode:
        self._print(self._format_outcome(outcome, details))
        return ExitCode.ACCEPTED

    def _report_error(self, code: ExitCode, outcome: str, **details: Any) -> ExitCode:
        text = self._format_outcome(outcome, details)
        if self.options.output_format == "json":
            self._print(text)
        else:
            print(text, file=self.terminal.stderr)
        return code

    def _format_outcome(self, outcome: str, details: dict[str, Any]) -> str:
        if self.options.output_format == "json":
            return json.dumps({"outcome": outcome, **details}, ensure_ascii=False)
        fields = [f"{name}={value}" for name, value in details.items()]
        return " ".join([outcome, *fields])

    def _print(self, text: str) -> None:
        print(text, file=self.terminal.stdout)
