"""Check which configurations instances showed against the accepted changes."""

from collections import Counter, defaultdict

from baobabstandins.checker._findings import Finding
from baobabstandins.fleet import ChangeAccepted, ConfigurationSeen


def check_one_change_accepted(accepted: list[ChangeAccepted]) -> list[Finding]:
    """Find revisions under which, or based on which, two changes were accepted."""
    bases = Counter(f"base {change.base_revision}" for change in accepted)
    revisions = Counter(f"revision {change.revision}" for change in accepted)
    return [
        Finding("one change accepted", place, f"{count} changes were accepted")
        for place, count in (bases + revisions).items()
        if count > 1
    ]


def check_configuration_never_reverts(seen: list[ConfigurationSeen]) -> list[Finding]:
    """Find instances that went back, and revisions that look different."""
    findings = []
    newest: dict[str, int] = defaultdict(int)
    digests: dict[int, str] = {}
    for view in sorted(seen, key=lambda view: view.asked_at_s):
        if view.revision < newest[view.instance_id]:
            problem = f"{newest[view.instance_id]} went back to {view.revision}"
            findings.append(_reverted(view.instance_id, problem))
        newest[view.instance_id] = max(newest[view.instance_id], view.revision)
        if digests.setdefault(view.revision, view.digest) != view.digest:
            findings.append(_reverted(view.instance_id, f"{view.revision} differs"))
    return findings


def check_configuration_in_force(
    seen: list[ConfigurationSeen], accepted: list[ChangeAccepted], grace_s: float
) -> list[Finding]:
    """Find instances that showed an older revision a while after acceptance."""
    findings = []
    for view in seen:
        due = [c.revision for c in accepted if c.at_s + grace_s < view.asked_at_s]
        if due and view.revision < max(due):
            problem = f"showed revision {view.revision} when {max(due)} was due"
            findings.append(
                Finding("configuration in force", view.instance_id, problem)
            )
    return findings


def _reverted(instance_id: str, problem: str) -> Finding:
    return Finding("configuration never reverts", instance_id, f"revision {problem}")
