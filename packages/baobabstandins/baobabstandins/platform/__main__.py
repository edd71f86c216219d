"""Run the platform stand-in."""

import asyncio

from absl import app, flags

from baobabstandins._serving import start_site, wait_for_stop_signal
from baobabstandins.platform import PlatformFaults, create_platform

FLAGS = flags.FLAGS
flags.DEFINE_string("host", "127.0.0.1", "IP number to listen on")
flags.DEFINE_integer("port", 6000, "port to listen on; 0 picks a free one")
flags.DEFINE_float("retention_s", 600.0, "retention of records, in s")
flags.DEFINE_float(
    "appends_per_s", 300.0, "limit on appends per second over all streams"
)
flags.DEFINE_float("list_lag_ms", 1000.0, "lag of the instance list, in ms")
flags.DEFINE_float(
    "list_expiry_ms",
    5000.0,
    "time after which an entry that is not renewed expires, in ms",
)


async def serve() -> None:
    """Serve until SIGTERM or SIGINT arrives."""
    faults = PlatformFaults(
        retention_ms=FLAGS.retention_s * 1000, appends_per_s=FLAGS.appends_per_s
    )
    platform = create_platform(faults, FLAGS.list_lag_ms, FLAGS.list_expiry_ms)
    runner, port = await start_site(
        platform.create_app(), FLAGS.host, FLAGS.port, cancel_on_disconnect=False
    )
    print(f"listening {FLAGS.host}:{port}", flush=True)
    await wait_for_stop_signal()
    await runner.cleanup()


def main(argv: list[str]) -> None:
    """Serve with the settings of the command line."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    asyncio.run(serve())


if __name__ == "__main__":
    app.run(main)
