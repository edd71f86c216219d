"""Calls as the decision logic sees them."""

from dataclasses import dataclass

from baobabring.model._config import Rule


@dataclass(frozen=True, slots=True)
class Call:
    """Represent one caller's request with the data that decisions depend on."""

    call_id: str
    service_id: str
    rule: Rule
    tenant: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str | None
    deadline_s: float
    retries_left: int
    arrived_at_s: float
