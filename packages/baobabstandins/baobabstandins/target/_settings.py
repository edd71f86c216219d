"""Settings of target stand-ins."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class TargetSettings:
    """Describe one target stand-in.

    `service_ms` is the median and `service_sigma` the lognormal shape of the
    service time. A target is cold until it has served `cold_calls` calls and
    `cold_ms` have passed.
    """

    target_id: str
    port: int = 0
    slots: int = 2
    queue_limit: int = 8
    service_ms: float = 20.0
    service_sigma: float = 0.3
    probe_ms: float = 6.0
    padding_bytes: int = 256
    cold_calls: int = 20
    cold_ms: float = 1000.0
    cold_limit: int = 1
    cold_at_start: bool = False
    seed: int = 0


def parse_specs(specs: list[str], common: TargetSettings) -> list[TargetSettings]:
    """Return settings from texts of the form `id:port:slots`.

    Raises
    ------
    ValueError
        If a text is not of that form.
    """
    return [_parse_spec(spec, common) for spec in specs]


def _parse_spec(spec: str, common: TargetSettings) -> TargetSettings:
    parts = spec.split(":")
    if len(parts) != 3 or not parts[1].isdecimal() or not parts[2].isdecimal():
        raise ValueError(f"spec must be id:port:slots; got {spec!r}")
    return replace(common, target_id=parts[0], port=int(parts[1]), slots=int(parts[2]))
