"""Parse scenarios."""

from dataclasses import replace
from importlib import resources

from lark import Lark, Transformer, v_args

from baobabstandins.fleet import PlatformOptions, TargetOptions
from baobabstandins.scenarios import _model as model
from baobabstandins.scenarios import _promises as promises
from baobabstandins.scenarios._model import SETUP
from baobabstandins.scenarios._promises import EXPECTATIONS

MS_PER_S = 1000


def parse_scenario(text: str) -> model.Scenario:
    """Parse the text of a scenario.

    Raises
    ------
    lark.exceptions.UnexpectedInput
        If the text does not follow the grammar; it tells line and column.
    """
    return _ToModel().transform(_PARSER.parse(text))


def _make_parser() -> Lark:
    package = resources.files("baobabstandins.scenarios")
    grammar = package.joinpath("grammar.lark").read_text()
    return Lark(grammar, parser="lalr", maybe_placeholders=True)


_PARSER = _make_parser()


def _identity(self, value):
    return value


@v_args(inline=True)
class _ToModel(Transformer):
    """Turn the tree of a scenario into its typed form."""

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
            settings=_only(statements, model.Setting),
            setup=_only(statements, SETUP),
            loads=_only(statements, model.Load),
            events=_only(statements, model.Event),
            expectations=_only(statements, EXPECTATIONS),
        )

    def title(self, name, seed):
        return name, seed

    def duration(self, number, unit):
        return number / MS_PER_S if unit == "ms" else number

    def start_platform(self, *options):
        return model.StartPlatform(replace(PlatformOptions(), **dict(options)))

    def start_targets(self, service_id, count, zone, *options):
        chosen = replace(TargetOptions(), **dict(options))
        return model.StartTargets(service_id, count, zone, chosen)

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
        return "leaving_percent", percent

    def twice(self, percent):
        return "twice_percent", percent

    def without_key(self):
        return "key_sent", False

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
    lose_answers = model.LoseAnswers
    keep_records = model.KeepRecords
    outage = model.Outage
    slow_platform = model.SlowPlatform
    freeze_list = model.FreezeList
    set_zone = model.SetZone
    race_zone = model.RaceZone
    remove_target = model.RemoveTarget
    drain_target = model.DrainTarget
    fail_fast = model.FailFast
    slow_target = model.SlowTarget
    shed_all = model.ShedAll
    lie = model.Lie
    go_silent = model.GoSilent
    reset_after_run = model.ResetAfterRun
    close_before_run = model.CloseBeforeRun
    turn_cold = model.TurnCold

    expectation = _identity
    at_most_once = promises.AtMostOnce
    not_run_is_true = promises.NotRunIsTrue
    own_whole_answers = promises.OwnWholeAnswers
    every_call_stated = promises.EveryCallStated
    no_call_cut_off = promises.NoCallCutOff
    share_completed = promises.ShareCompleted
    no_work_in_zone = promises.NoWorkInZone
    no_work_at_target = promises.NoWorkAtTarget
    work_at_target = promises.WorkAtTarget
    cold_limit_kept = promises.ColdLimitKept
    probe_budget = promises.ProbeBudget
    configuration_in_force = promises.ConfigurationInForce
    ready_within = promises.ReadyWithin
    instances_end_well = promises.InstancesEndWell


def _only(statements, kind):
    return tuple(statement for statement in statements if isinstance(statement, kind))
