from baobabstandins.scenarios import parse_scenario, run_scenario

NO_LOAD = """
scenario "targets without load" seed 1
start platform
start targets orders count 2 zone sapporo
at 0 s target orders-1 turns cold
at 0 s platform lose answers 1
expect cold limit kept
expect completed at least 1 percent
"""


async def test_scenario_without_calls_does_not_pass(tmp_path):
    findings = await run_scenario(parse_scenario(NO_LOAD), tmp_path)
    assert [finding.invariant for finding in findings] == ["share completed"]
