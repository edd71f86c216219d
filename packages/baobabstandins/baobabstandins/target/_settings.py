"""Settings of target stand-ins."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class TargetSettings:
    """Represent the settings of one target stand-in.

    `service_ms` is the median and `service_sigma` the sigma of the lognormal
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


def parse_specs(specs: list[str], defaults: TargetSettings) -> list[TargetSettings]:
    """Return the settings for specs of the form `id:port:slots`.

    `defaults` provides the other settings.

    Raises
    ------
    ValueError
        If a spec does not have this form.
    """
    return [_parse_spec(spec, defaults) for spec in specs]


def _parse_spec(spec: str, defaults: TargetSettings) -> TargetSettings:
    parts = spec.split(":")
    if len(parts) != 3 or not parts[1].isdecimal() or not parts[2].isdecimal():
        raise ValueError(f"spec must be id:port:slots, got {spec!r}")
    return replace(
        defaults, target_id=parts[0], port=int(parts[1]), slots=int(parts[2])
    )
