"""Validated models of the sections of a settings file."""

from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

MAX_PORT = 65535


def _check_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator or not host:
        raise ValueError("expected HOST:PORT")
    if not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"port must be a number from 0 to {MAX_PORT}")
    return value


Address = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=64)]
Share = Annotated[float, Field(gt=0, le=1)]
Positive = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(ge=1)]


class Section(BaseModel):
    """Base of all sections: unknown keys are errors, and instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class InstanceSection(Section):
    """Identify this instance and its availability zone."""

    id: Name
    zone: Name


class CallersSection(Section):
    """Set the address for callers, their body limit and the delay before shutdown."""

    address: Address
    body_limit_bytes: Count = 1_048_576
    leave_lag_ms: Annotated[int, Field(ge=0)] = 2_000


class PeersSection(Section):
    """Set the address for peers and the CURVE keys that authenticate them."""

    address: Address
    announced_address: Address | None = None
    heartbeat_interval_ms: Count = 600
    key_file: Path | None = None


class OperatorsSection(Section):
    """Set the address for operators and the certificates for mutual TLS."""

    address: Address
    authority_file: Path | None = None
    certificate_file: Path | None = None
    key_file: Path | None = None


class PlatformSection(Section):
    """Set the URL of the platform and the limits of its log."""

    url: Annotated[str, Field(pattern=r"^https?://")]
    log_appends_per_s: Positive = 200
    log_retention_s: Positive = 3_600


class BalancingSection(Section):
    """Choose the policy that chooses targets and set its limits."""

    policy: str = "shared"
    share_interval_ms: Positive = 5
    share_bytes_per_s: Positive = 20_000
    oversubscription: Positive = 1.0
    ejection_share: Annotated[float, Field(ge=0, lt=1)] = 0.5


class AdmissionSection(Section):
    """Choose the queue of calls that wait for a target."""

    queue: str = "fair"
    waiting_per_tenant: Count = 256
    wait_limit_ms: Count = 500


class RetriesSection(Section):
    """Limit retries and choose the hedging policy."""

    share: Share = 0.1
    hedge: str = "never"
    attempt_timeout_ms: Count = 1_000


class ProbingSection(Section):
    """Limit the cost of probes for the targets of the whole fleet."""

    budget_ms_per_s: Positive = 100
    cost_ms: Positive = 6


class ClaimsSection(Section):
    """Set how claims on idempotency keys are stored."""

    partitions: Annotated[int, Field(ge=1, le=1024)] = 1
    window_s: Positive = 1_800
    replay_limit_bytes: Annotated[int, Field(ge=0)] = 16_384


class LoggingSection(Section):
    """Choose the format and level of log lines."""

    format: Annotated[str, Field(pattern=r"^(json|keyvalue)$")] = "keyvalue"
    level: Annotated[str, Field(pattern=r"^(debug|info|warning|error)$")] = "info"


class Settings(Section):
    """Represent all sections of a settings file."""

    instance: InstanceSection
    callers: CallersSection
    peers: PeersSection
    operators: OperatorsSection
    platform: PlatformSection
    balancing: BalancingSection = BalancingSection()
    admission: AdmissionSection = AdmissionSection()
    retries: RetriesSection = RetriesSection()
    probing: ProbingSection = ProbingSection()
    claims: ClaimsSection = ClaimsSection()
    logging: LoggingSection = LoggingSection()
