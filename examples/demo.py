"""Run three instances with realistic numbers of targets and check the outcomes."""

import asyncio
import json
import sys
import tempfile
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import aiohttp
from baobabstandins.checker import (
    Finding,
    check_every_call_has_outcome,
    check_not_run_outcomes,
    check_response_integrity,
    check_runs_at_most_once,
)
from baobabstandins.fleet import (
    Fleet,
    HistoryCaller,
    Invoked,
    PlatformOptions,
    Returned,
    TargetMember,
    TargetOptions,
    create_call,
)
from baobabstandins.target import JournalEntry
from hdrh.histogram import HdrHistogram
from tabulate import tabulate

SERVICES_DIRECTORY = Path(__file__).parent / "services"
ZONES = ("sapporo", "asahikawa", "hakodate")
WARM_UP_S = 3.0
LOAD_DURATION_S = 8.0
OUTAGE_WAIT_S = 3.0
OUTAGE_CALLS = 20
MAX_REFUSAL_TIME_MS = 50.0
US_PER_S = 1_000_000
MS_PER_S = 1_000
US_PER_MS = 1_000


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Describe the targets of a service and the calls sent to it."""

    service_id: str
    targets_per_zone: tuple[int, int, int]
    calls_per_s: float
    idempotent: bool
    repeats: int


SERVICE_LOADS = (
    ServiceLoad("menu", (4, 4, 4), 60.0, idempotent=True, repeats=1),
    ServiceLoad("fees", (3, 3, 2), 8.0, idempotent=False, repeats=3),
    ServiceLoad("orders", (2, 2, 2), 15.0, idempotent=False, repeats=3),
)


async def start_fleet(fleet: Fleet) -> None:
    """Start the stand-ins, and one instance in each zone."""
    await fleet.start_platform(PlatformOptions())
    for load in SERVICE_LOADS:
        for zone, count in zip(ZONES, load.targets_per_zone, strict=True):
            prefix = f"{load.service_id}-{zone}"
            await fleet.start_targets(prefix, count, zone, TargetOptions())
    for zone in ZONES:
        await fleet.start_instance(zone)


async def publish(fleet: Fleet, load: ServiceLoad) -> None:
    """Publish a service with its targets through the operators' command line."""
    service = json.loads((SERVICES_DIRECTORY / f"{load.service_id}.json").read_text())
    service["targets"] = [
        _build_target(member)
        for member in fleet.targets.values()
        if member.target_id.startswith(f"{load.service_id}-")
    ]
    path = fleet.directory / f"{load.service_id}.json"
    path.write_text(json.dumps(service))
    print(await run_baobabctl(fleet, "service", "put", str(path)), end="")


def _build_target(member: TargetMember) -> dict:
    return {
        "target_id": member.target_id,
        "address": member.address,
        "zone": member.zone,
        "slots": member.slots,
        "state": "active",
    }


async def run_baobabctl(fleet: Fleet, *arguments: str) -> str:
    """Run the operators' command line against the first instance."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "baobabctl",
        f"--server={fleet.instances[0].operator_address}",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise RuntimeError(
            f"baobabctl {arguments} exited with code {process.returncode}"
        )
    return output.decode()


async def send_load(caller: HistoryCaller, load: ServiceLoad, until_s: float) -> None:
    """Send calls on a schedule; send every tenth call with a key twice concurrently."""
    call_tasks = set()
    count = 0
    next_s = time.monotonic()
    while time.monotonic() < until_s:
        count += 1
        call = create_call(f"/{load.service_id}", idempotent=load.idempotent)
        if not load.idempotent and count % 10 == 0:
            coroutine = caller.call_concurrently(call, load.repeats)
        else:
            coroutine = caller.call(call, load.repeats)
        call_tasks.add(asyncio.ensure_future(coroutine))
        next_s += 1.0 / load.calls_per_s
        await asyncio.sleep(max(0.0, next_s - time.monotonic()))
    await asyncio.gather(*call_tasks)


def print_results(callers: Iterable[HistoryCaller]) -> None:
    """Print outcomes and latency for each service."""
    rows = []
    for load, caller in zip(SERVICE_LOADS, callers, strict=True):
        sent_at_s = {}
        outcomes: dict[str, int] = {}
        histogram = HdrHistogram(1, 60 * US_PER_S, 3)
        for event in caller.history:
            if isinstance(event, Invoked):
                sent_at_s[event.call_id, event.attempt] = event.at_s
            elif isinstance(event, Returned):
                outcomes[event.outcome] = outcomes.get(event.outcome, 0) + 1
                elapsed_s = event.at_s - sent_at_s[event.call_id, event.attempt]
                histogram.record_value(int(elapsed_s * US_PER_S))
        rows.append(
            (
                load.service_id,
                *(
                    outcomes.get(name, 0)
                    for name in ("completed", "not-run", "unknown")
                ),
                *(histogram.get_value_at_percentile(p) / US_PER_MS for p in (50, 99)),
            )
        )
    headers = ("service", "completed", "not run", "unknown", "p50 ms", "p99 ms")
    print(tabulate(rows, headers, floatfmt=".1f"))


async def check_outage_refusals(
    fleet: Fleet, max_refusal_time_ms: float
) -> list[Finding]:
    """Send orders while the log is down; find any that ran or were refused late."""
    await fleet.put_faults(fleet.platform.address, {"outage": True})
    await asyncio.sleep(OUTAGE_WAIT_S)
    findings = []
    request_ids = set()
    slowest_ms = 0.0
    async with aiohttp.ClientSession() as session:
        for _ in range(OUTAGE_CALLS):
            call = create_call("/orders", idempotent=False)
            sent_s = time.monotonic()
            url = f"http://{fleet.instances[0].caller_address}{call.path}"
            headers = {"Idempotency-Key": call.key}
            async with session.post(url, data=call.body, headers=headers) as response:
                elapsed_ms = (time.monotonic() - sent_s) * MS_PER_S
                slowest_ms = max(slowest_ms, elapsed_ms)
                request_ids.add(response.headers["Baobab-Request-Id"])
                outcome = response.headers["Baobab-Outcome"]
                if outcome != "not-run" or "Retry-After" not in response.headers:
                    findings.append(Finding("outage", call.call_id, outcome))
    await fleet.put_faults(fleet.platform.address, {"outage": False})
    if slowest_ms > max_refusal_time_ms:
        findings.append(Finding("outage", "refusal", f"took {slowest_ms:.0f} ms"))
    for entry in await read_journals(fleet):
        if entry.request_id in request_ids:
            findings.append(Finding("outage", entry.request_id, "ran"))
    print(f"log down: {OUTAGE_CALLS} orders refused, slowest {slowest_ms:.1f} ms")
    return findings


async def check_histories(
    fleet: Fleet, callers: Iterable[HistoryCaller]
) -> list[Finding]:
    """Check the histories against the journals of the targets."""
    history = [event for caller in callers for event in caller.history]
    entries = await read_journals(fleet)
    return [
        *check_runs_at_most_once(entries),
        *check_not_run_outcomes(history, entries),
        *check_response_integrity(history),
        *check_every_call_has_outcome(history),
        *_find_keys_not_run(history, entries),
    ]


async def read_journals(fleet: Fleet) -> list[JournalEntry]:
    """Return the journal entries of all targets."""
    entries = []
    for target in fleet.targets.values():
        entries += await fleet.get_journal(target)
    return entries


def _find_keys_not_run(history, entries) -> list[Finding]:
    """Find keys that never ran, which is an error since no fault was injected."""
    keys = {event.key for event in history if isinstance(event, Invoked) and event.key}
    ran = {entry.key for entry in entries}
    return [Finding("ran once", f"key {key}", "never ran") for key in keys - ran]


async def run_demo(
    directory: Path,
    load_duration_s: float = LOAD_DURATION_S,
    max_refusal_time_ms: float = MAX_REFUSAL_TIME_MS,
) -> int:
    """Run the demonstration and return the exit code."""
    async with Fleet(directory) as fleet:
        await start_fleet(fleet)
        for load in SERVICE_LOADS:
            await publish(fleet, load)
        await asyncio.sleep(WARM_UP_S)
        print(await run_baobabctl(fleet, "instance", "list"))
        callers = [
            HistoryCaller(fleet.get_rotation, seed)
            for seed in range(len(SERVICE_LOADS))
        ]
        until_s = time.monotonic() + load_duration_s
        async with callers[0], callers[1], callers[2]:
            await asyncio.gather(
                *(
                    send_load(caller, load, until_s)
                    for caller, load in zip(callers, SERVICE_LOADS, strict=True)
                )
            )
        print_results(callers)
        findings = await check_histories(fleet, callers)
        findings += await check_outage_refusals(fleet, max_refusal_time_ms)
    for finding in findings:
        print(finding)
    ran_once = "every order and payment ran exactly once"
    print(f"{len(findings)} findings" if findings else ran_once)
    return 1 if findings else 0


def main() -> None:
    """Run the demonstration in a temporary directory."""
    with tempfile.TemporaryDirectory() as directory:
        sys.exit(asyncio.run(run_demo(Path(directory))))


if __name__ == "__main__":
    main()
