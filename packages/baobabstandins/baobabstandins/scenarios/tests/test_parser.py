import pytest
from lark.exceptions import UnexpectedInput

from baobabstandins.fleet import PlatformOptions, TargetOptions
from baobabstandins.scenarios import _expectation_types as expectation_types
from baobabstandins.scenarios import _model as model
from baobabstandins.scenarios import parse_scenario

TEXT = """
# Non-idempotent calls run at most once.
scenario "instance killed after dispatch" seed 7

set callers leave_lag_ms = 500
start platform list lag 200 ms
start targets orders count 3 zone sapporo slots 2 cold  # cold at first
start instances 3
publish service orders prefix /orders key required
load orders rate 40 for 5 s via any repeat 2 leaving 10 percent
at 1 s kill instance 2
at 2.5 s platform lose answers 3
expect at most once
expect no new work in zone sapporo after 3 s
"""


def test_scenario_text_is_parsed_into_the_model():
    scenario = parse_scenario(TEXT)
    assert scenario == model.Scenario(
        name="instance killed after dispatch",
        seed=7,
        settings=(model.Setting("callers", "leave_lag_ms", "500"),),
        setup=(
            model.StartPlatform(PlatformOptions(list_lag_ms=200.0)),
            model.StartTargets(
                "orders", 3, "sapporo", TargetOptions(slots=2, cold_at_start=True)
            ),
            model.StartInstances(3),
            model.PublishService("orders", "/orders", "required"),
        ),
        loads=(model.Load("orders", 40.0, 5.0, repeats=2, disconnect_percent=10.0),),
        events=(
            model.Event(1.0, model.KillInstance(2)),
            model.Event(2.5, model.LoseAppendResponses(3)),
        ),
        expectations=(
            expectation_types.AtMostOnce(),
            expectation_types.NoNewCallsInZone("sapporo", 3.0),
        ),
    )


def test_unknown_statement_is_rejected_with_its_line():
    with pytest.raises(UnexpectedInput) as error:
        parse_scenario('scenario "x" seed 1\nstart platfrom\n')
    assert error.value.line == 2
