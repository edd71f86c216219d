"""Check the configurations that instances returned against the accepted changes."""

from collections import Counter, defaultdict

from baobabstandins.checker._findings import Finding
from baobabstandins.fleet import ChangeAccepted, ObservedConfiguration


def check_no_conflicting_changes(accepted: list[ChangeAccepted]) -> list[Finding]:
    """Find base revisions and new revisions that belong to two accepted changes."""
    bases = Counter(f"base {change.base_revision}" for change in accepted)
    revisions = Counter(f"revision {change.revision}" for change in accepted)
    return [
        Finding("one change accepted", place, f"{count} changes were accepted")
        for place, count in (bases + revisions).items()
        if count > 1
    ]


def check_configuration_never_reverts(
    observed: list[ObservedConfiguration],
) -> list[Finding]:
    """Find instances that returned an older revision, and revisions that differ."""
    findings = []
    newest_revision: dict[str, int] = defaultdict(int)
    digests: dict[int, str] = {}
    for sample in sorted(observed, key=lambda sample: sample.requested_at_s):
        if sample.revision < newest_revision[sample.instance_id]:
            problem = (
                f"{newest_revision[sample.instance_id]} went back to {sample.revision}"
            )
            findings.append(_create_revert_finding(sample.instance_id, problem))
        newest_revision[sample.instance_id] = max(
            newest_revision[sample.instance_id], sample.revision
        )
        if digests.setdefault(sample.revision, sample.digest) != sample.digest:
            findings.append(
                _create_revert_finding(sample.instance_id, f"{sample.revision} differs")
            )
    return findings


def check_configuration_applied(
    observed: list[ObservedConfiguration],
    accepted: list[ChangeAccepted],
    grace_s: float,
) -> list[Finding]:
    """Find instances that returned an older revision `grace_s` after a change."""
    findings = []
    for sample in observed:
        due = [c.revision for c in accepted if c.at_s + grace_s < sample.requested_at_s]
        if due and sample.revision < max(due):
            problem = (
                f"returned revision {sample.revision}; expected at least {max(due)}"
            )
            findings.append(
                Finding("configuration in force", sample.instance_id, problem)
            )
    return findings


def _create_revert_finding(instance_id: str, problem: str) -> Finding:
    return Finding("configuration never reverts", instance_id, f"revision {problem}")
