"""Check of the plug-ins that the settings name."""

from pathlib import Path

from baobabring.admission import ADMISSION_QUEUES
from baobabring.balancing import POLICIES
from baobabring.base import Registry
from baobabring.retries import HEDGE_POLICIES
from baobabring.settings import Settings, SettingsFinding


def find_unknown_plugins(path: Path, settings: Settings) -> tuple[SettingsFinding, ...]:
    """Return a finding for each plug-in name that isn't registered."""
    choices: list[tuple[str, str, str, Registry]] = [
        ("balancing", "policy", settings.balancing.policy, POLICIES),
        ("admission", "queue", settings.admission.queue, ADMISSION_QUEUES),
        ("retries", "hedge", settings.retries.hedge, HEDGE_POLICIES),
    ]
    findings = []
    for section, key, name, registry in choices:
        try:
            registry.get(name)
        except ValueError as error:
            finding = SettingsFinding(path, None, section, key, name, str(error))
            findings.append(finding)
    return tuple(findings)
