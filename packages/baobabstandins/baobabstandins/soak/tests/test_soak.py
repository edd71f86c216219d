"""Run the soak test for a short time. Add seeds that have failed."""

from baobabstandins.soak import run_soak

FAULTS_S = 6.0
FIXED_SEED = 5
ANNOUNCEMENTS_SEED = 11
CUTS_SEED = 12
RETURNS_SEED = 15
CRASHES_SEED = 14


async def test_fixed_seed_breaks_no_promise(tmp_path):
    findings = await run_soak(FIXED_SEED, FAULTS_S, tmp_path)
    assert [str(finding) for finding in findings] == []


# Guards against what targets announce getting lost among other faults.
async def test_fixed_seed_with_announcements_breaks_no_promise(tmp_path):
    findings = await run_soak(ANNOUNCEMENTS_SEED, FAULTS_S, tmp_path, True)
    assert [str(finding) for finding in findings] == []


# Guards against calls that run twice or get lost on their way through a peer.
async def test_fixed_seed_with_cuts_breaks_no_promise(tmp_path):
    findings = await run_soak(
        CUTS_SEED, FAULTS_S, tmp_path, announcements=True, cuts=True
    )
    assert [str(finding) for finding in findings] == []


# Guards against instances that miss a configuration when the store comes back from an
# older copy.
async def test_fixed_seed_with_store_returns_breaks_no_promise(tmp_path):
    findings = await run_soak(RETURNS_SEED, FAULTS_S, tmp_path, store_returns=True)
    assert [str(finding) for finding in findings] == []


# Guards against requests that go on crashing targets among other faults.
async def test_fixed_seed_with_crashing_calls_breaks_no_promise(tmp_path):
    findings = await run_soak(CRASHES_SEED, FAULTS_S, tmp_path, crashing_calls=True)
    assert [str(finding) for finding in findings] == []
