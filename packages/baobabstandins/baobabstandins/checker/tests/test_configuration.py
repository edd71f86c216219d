import pytest

from baobabstandins.checker import (
    check_configuration_applied,
    check_configuration_never_reverts,
    check_no_conflicting_changes,
)
from baobabstandins.fleet import ChangeAccepted, ObservedConfiguration


def make_observed(revision, at_s, instance_id="sapporo-1", digest=None):
    return ObservedConfiguration(instance_id, revision, digest or str(revision), at_s)


@pytest.mark.parametrize(
    ("base_revision", "revision", "count"), [(3, 4, 2), (3, 5, 1), (2, 4, 1), (4, 5, 0)]
)
def test_two_changes_with_the_same_base_or_revision_are_found(
    base_revision, revision, count
):
    first = ChangeAccepted(3, 4, "a", 1.0)
    second = ChangeAccepted(base_revision, revision, "b", 1.0)
    assert len(check_no_conflicting_changes([first, second])) == count


def test_instance_that_returns_an_older_revision_is_found():
    (finding,) = check_configuration_never_reverts(
        [make_observed(4, 1.0), make_observed(3, 2.0)]
    )
    assert finding.problem == "revision 4 went back to 3"


def test_instances_may_differ_in_revision():
    observed = [make_observed(4, 1.0), make_observed(3, 2.0, "sapporo-2")]
    assert check_configuration_never_reverts(observed) == []


def test_one_revision_with_two_contents_is_found():
    observed = [
        make_observed(4, 1.0),
        make_observed(4, 2.0, "sapporo-2", digest="other"),
    ]
    assert len(check_configuration_never_reverts(observed)) == 1


def test_old_revision_after_the_grace_period_is_found():
    accepted = [ChangeAccepted(3, 4, "a", 10.0)]
    assert check_configuration_applied([make_observed(3, 12.0)], accepted, 3.0) == []
    assert (
        len(check_configuration_applied([make_observed(3, 14.0)], accepted, 3.0)) == 1
    )
