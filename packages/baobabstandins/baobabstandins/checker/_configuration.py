"""Check the configurations that instances returned against the accepted changes."""

from collections import Counter, defaultdict

from baobabstandins.checker._findings import Finding
from baobabstandins.fleet import ChangeAccepted, ConfigurationSeen


def check_no_conflicting_changes(accepted: list[ChangeAccepted]) -> list[Finding]:
    """Find base revisions and new revisions that belong to two accepted changes."""
    bases = Counter(f"base {change.base_revision}" for change in accepted)
    revisions = Counter(f"revision {change.revision}" for change in accepted)
    return [
        Finding("one change accepted", place, f"{count} changes were accepted")
        for place, count in (bases + revisions).items()
        if count > 1
    ]


def check_configuration_never_reverts(seen: list[ConfigurationSeen]) -> list[Finding]:
    """Find instances that returned an older revision, and revisions that differ."""
    findings = []
    newest_revision: dict[str, int] = defaultdict(int)
    digests: dict[int, str] = {}
    for view in sorted(seen, key=lambda view: view.requested_at_s):
        if view.revision < newest_revision[view.instance_id]:
            problem = (
                f"{newest_revision[view.instance_id]} went back to {view.revision}"
            )
            findings.append(_create_revert_finding(view.instance_id, problem))
        newest_revision[view.instance_id] = max(
            newest_revision[view.instance_id], view.revision
        )
        if digests.setdefault(view.revision, view.digest) != view.digest:
            findings.append(
                _create_revert_finding(view.instance_id, f"{view.revision} differs")
            )
    return findings


def check_configuration_applied(
    seen: list[ConfigurationSeen], accepted: list[ChangeAccepted], grace_s: float
) -> list[Finding]:
    """Find instances that returned an older revision `grace_s` after a change."""
    findings = []
    for view in seen:
        due = [c.revision for c in accepted if c.at_s + grace_s < view.requested_at_s]
        if due and view.revision < max(due):
            problem = f"returned revision {view.revision}; expected at least {max(due)}"
            findings.append(
                Finding("configuration in force", view.instance_id, problem)
            )
    return findings


def _create_revert_finding(instance_id: str, problem: str) -> Finding:
    return Finding("configuration never reverts", instance_id, f"revision {problem}")
