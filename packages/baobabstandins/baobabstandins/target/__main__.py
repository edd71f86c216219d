"""Run one or several target stand-ins in one process."""

import asyncio
from dataclasses import replace

from absl import app, flags

from baobabstandins._serving import start_site, wait_for_stop_signal
from baobabstandins.target import TargetSettings, create_target, parse_specs

FLAGS = flags.FLAGS
flags.DEFINE_string("host", "127.0.0.1", "IP number to listen on")
flags.DEFINE_integer("port", 6100, "first port to listen on; 0 picks free ports")
flags.DEFINE_string(
    "target_id", "target", "id of the target, or its prefix if there are several"
)
flags.DEFINE_integer("targets", 1, "number of targets, on consecutive ports")
flags.DEFINE_list("spec", [], "targets as id:port:slots, instead of --targets")
flags.DEFINE_integer("slots", 2, "maximum of calls that run at once")
flags.DEFINE_integer("queue_limit", 8, "maximum of calls that wait")
flags.DEFINE_float("service_ms", 20.0, "median service time, in ms")
flags.DEFINE_float("service_sigma", 0.3, "sigma of the lognormal service time")
flags.DEFINE_float("probe_ms", 6.0, "processing time of a probe, in ms")
flags.DEFINE_integer("padding_bytes", 256, "padding of responses, in bytes")
flags.DEFINE_integer("cold_calls", 20, "calls to serve before a cold start can end")
flags.DEFINE_float("cold_ms", 1000.0, "minimum duration of a cold start, in ms")
flags.DEFINE_integer("cold_limit", 1, "concurrent calls that a cold target can serve")
flags.DEFINE_bool("cold_at_start", False, "whether targets start cold")
flags.DEFINE_integer("seed", 0, "seed for drawing service times")


def settings_from_flags() -> list[TargetSettings]:
    """Return the settings of each target of this process."""
    defaults = TargetSettings(
        target_id=FLAGS.target_id,
        port=FLAGS.port,
        slots=FLAGS.slots,
        queue_limit=FLAGS.queue_limit,
        service_ms=FLAGS.service_ms,
        service_sigma=FLAGS.service_sigma,
        probe_ms=FLAGS.probe_ms,
        padding_bytes=FLAGS.padding_bytes,
        cold_calls=FLAGS.cold_calls,
        cold_ms=FLAGS.cold_ms,
        cold_limit=FLAGS.cold_limit,
        cold_at_start=FLAGS.cold_at_start,
        seed=FLAGS.seed,
    )
    if FLAGS.spec:
        return parse_specs(FLAGS.spec, defaults)
    if FLAGS.targets == 1:
        return [defaults]
    return [
        _create_numbered_settings(defaults, index) for index in range(FLAGS.targets)
    ]


def _create_numbered_settings(defaults: TargetSettings, index: int) -> TargetSettings:
    port = defaults.port + index if defaults.port else 0
    return replace(defaults, target_id=f"{defaults.target_id}-{index + 1}", port=port)


async def serve(all_settings: list[TargetSettings]) -> None:
    """Serve all targets until SIGTERM or SIGINT arrives."""
    runners = []
    for settings in all_settings:
        target = create_target(settings)
        runner, port = await start_site(
            target.create_app(), FLAGS.host, settings.port, cancel_on_disconnect=True
        )
        runners.append(runner)
        print(f"listening {FLAGS.host}:{port} {settings.target_id}", flush=True)
    await wait_for_stop_signal()
    await asyncio.gather(*(runner.cleanup() for runner in runners))


def main(argv: list[str]) -> None:
    """Serve the targets that the command line defines."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    asyncio.run(serve(settings_from_flags()))


if __name__ == "__main__":
    app.run(main)
