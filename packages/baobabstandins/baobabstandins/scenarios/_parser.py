"""Parse scenarios."""

from dataclasses import replace
from importlib import resources

from lark import Lark, Transformer, v_args

from baobabstandins.fleet import PlatformOptions, TargetOptions
from baobabstandins.scenarios import _expectation_types as expectation_types
from baobabstandins.scenarios import _model as model
from baobabstandins.scenarios._expectation_types import EXPECTATION_TYPES
from baobabstandins.scenarios._model import SETUP_TYPES

MS_PER_S = 1000


def parse_scenario(text: str) -> model.Scenario:
    """Parse the text of a scenario.

    Raises
    ------
    lark.exceptions.UnexpectedInput
        If the text does not follow the grammar. The error has line and column.
    """
    return _ModelBuilder().transform(_PARSER.parse(text))


def _create_parser() -> Lark:
    package = resources.files("baobabstandins.scenarios")
    grammar = package.joinpath("grammar.lark").read_text()
    return Lark(grammar, parser="lalr", maybe_placeholders=True)


_PARSER = _create_parser()


def _identity(self, value):
    return value


@v_args(inline=True)
class _ModelBuilder(Transformer):
    """Build the model of a scenario from its parse tree."""

    INT = int
    NUMBER = float
    NAME = str
    VALUE = str
    PATH = str
    KEY_RULE = str
    ZONE_STATE = str
    UNIT = str

    def STRING(self, token):  # noqa: N802
        return str(token)[1:-1]

    def start(self, title, *statements):
        name, seed = title
        return model.Scenario(
            name=name,
            seed=seed,
            settings=_select(statements, model.Setting),
            setup=_select(statements, SETUP_TYPES),
            loads=_select(statements, model.Load),
            events=_select(statements, model.Event),
            expectations=_select(statements, EXPECTATION_TYPES),
        )

    def title(self, name, seed):
        return name, seed

    def duration(self, number, unit):
        return number / MS_PER_S if unit == "ms" else number

    def start_platform(self, *options):
        return model.StartPlatform(replace(PlatformOptions(), **dict(options)))

    def start_targets(self, service_id, count, zone, *options):
        target_options = replace(TargetOptions(), **dict(options))
        return model.StartTargets(service_id, count, zone, target_options)

    def start_instances(self, count, zone):
        return model.StartInstances(count, zone or model.DEFAULT_ZONE)

    def publish_service(self, service_id, prefix, key_rule, cold_limit):
        return model.PublishService(service_id, prefix, key_rule, cold_limit or 1)

    def load(self, service_id, rate_per_s, duration_s, *options):
        return model.Load(service_id, rate_per_s, duration_s, **dict(options))

    def list_lag(self, duration_s):
        return "list_lag_ms", duration_s * MS_PER_S

    def appends_per_s(self, rate_per_s):
        return "appends_per_s", rate_per_s

    def retention(self, duration_s):
        return "retention_s", duration_s

    def slots(self, count):
        return "slots", count

    def service_time(self, duration_s):
        return "service_ms", duration_s * MS_PER_S

    def queue_limit(self, count):
        return "queue_limit", count

    def cold_limit(self, count):
        return "cold_limit", count

    def cold_time(self, duration_s):
        return "cold_ms", duration_s * MS_PER_S

    def cold_at_start(self):
        return "cold_at_start", True

    def repeats(self, count):
        return "repeats", count

    def leaving(self, percent):
        return "disconnect_percent", percent

    def twice(self, percent):
        return "duplicate_percent", percent

    def without_key(self):
        return "send_key", False

    def tenant(self, name):
        return "tenant", name

    def deadline(self, duration_s):
        return "deadline_ms", round(duration_s * MS_PER_S)

    setting = model.Setting
    event = model.Event
    kill_instance = model.KillInstance
    terminate_instance = model.TerminateInstance
    pause_instance = model.PauseInstance
    cut_instance = model.CutInstance
    lose_answers = model.LoseAppendResponses
    keep_records = model.SetRetention
    outage = model.LogOutage
    slow_platform = model.SlowPlatform
    freeze_list = model.FreezeList
    set_zone = model.SetZone
    race_zone = model.SetZoneConcurrently
    remove_target = model.RemoveTarget
    drain_target = model.DrainTarget
    fail_fast = model.FailFast
    slow_target = model.SlowTarget
    shed_all = model.ShedAll
    lie = model.ReportNoLoad
    go_silent = model.SilenceConnections
    reset_after_run = model.ResetAfterRun
    close_before_run = model.CloseBeforeRun
    turn_cold = model.TurnCold

    expectation = _identity
    at_most_once = expectation_types.AtMostOnce
    not_run_is_true = expectation_types.NotRunOutcomesHold
    own_whole_answers = expectation_types.ResponseIntegrity
    every_call_stated = expectation_types.EveryCallHasOutcome
    no_call_cut_off = expectation_types.NoCallLost
    share_completed = expectation_types.ShareCompleted
    no_work_in_zone = expectation_types.NoNewCallsInZone
    no_work_at_target = expectation_types.NoNewCallsAtTarget
    work_at_target = expectation_types.CallsAtTarget
    cold_limit_kept = expectation_types.ColdLimitKept
    probe_budget = expectation_types.ProbeBudget
    configuration_in_force = expectation_types.ConfigurationApplied
    ready_within = expectation_types.ReadyWithin
    instances_end_well = expectation_types.InstancesExitCleanly


def _select(statements, kind):
    return tuple(statement for statement in statements if isinstance(statement, kind))
