"""An entry whose address has characters beyond Latin-1 leaves requests unanswered."""

import asyncio
import json
import os
import random
from pathlib import Path

from standin_client import Client, Seen
from standin_deployment import LIMITS, Deployment, build_rule
from standin_record import Record, run_case
from standin_store import SERVER_TOPIC, Store
from standin_upstream import Upstream

HOST = "school.example"
MACHINES = 2
UPSTREAMS = 8
WORK_S = 0.29
REQUESTS_PER_S = 50.0
# The disturbance `burst` of the site.
BURST_FACTOR = 1.7
BURST_S = 3.0
# Figures of the kind of request `fee-pay` of the site.
TIMEOUT_MS = 1_200
DEADLINE_MS = 2_000
TARGET_LATENCY_MS = 800
MS_PER_S = 1_000
ANSWER_LAG_S = 0.5
# Requests that last so long before the rule judges.
JUDGED_REQUESTS = 8
BEFORE_S = 4.0
AFTER_S = 18.0
# Machines count as slowed for so long after a burst, so only later requests are judged.
CHOKED_S = 5.0
ADDRESS = "\u7d66\u98df.example:8080"


def _write_foreign_entry(store: Store, record: Record) -> None:
    """Write an entry as another writer might: all fields are there."""
    entry = {
        "address": ADDRESS,
        "info": {
            "service": "fees",
            "version": "v1",
            "zone": "zone-a",
            "max-concurrency": 2,
        },
        "status": {"state": "ready", "seq": 1, "warmup-left": "0ms"},
        "born": 1,
    }
    value = json.dumps(entry, ensure_ascii=False).encode()
    store.append(SERVER_TOPIC, "i-another1", value)
    record.write("entry of another writer", entry=entry)


async def _send_one(machine: str, record: Record) -> Seen:
    client = Client(machine, HOST, record, fresh=True)
    return await client.request("POST", "/fee/pay", DEADLINE_MS, b"x" * 1_200)


async def _send_all(deployment: Deployment, burst_at_s: float, until_s: float):
    """Send requests at a rate that is higher during the burst; return what was seen."""
    record = deployment.record
    fronts = [machine.front for machine in deployment.machines]
    requests = []
    while (now_s := record.now_s()) < until_s:
        in_burst = burst_at_s <= now_s < burst_at_s + BURST_S
        rate_per_s = REQUESTS_PER_S * (BURST_FACTOR if in_burst else 1.0)
        requests.append(asyncio.ensure_future(_send_one(random.choice(fronts), record)))
        await asyncio.sleep(random.expovariate(rate_per_s))
    return await asyncio.gather(*requests)


async def _play(record: Record, has_trouble: bool) -> bool:
    store = Store()
    await store.start()
    upstreams = [
        Upstream(f"i-{n:08x}", "fees", store, record, WORK_S, slots=2)
        for n in range(UPSTREAMS)
    ]
    for upstream in upstreams:
        await upstream.start()
    async with Deployment(store, record, count=MACHINES) as deployment:
        rule = build_rule("fee", "fees", "unsafe", TIMEOUT_MS, TARGET_LATENCY_MS)
        deployment.publish([rule], ["fees"], LIMITS)
        await deployment.start_all()
        burst_at_s = record.now_s() + BEFORE_S
        until_s = burst_at_s + BURST_S + AFTER_S
        sending = asyncio.ensure_future(_send_all(deployment, burst_at_s, until_s))
        await asyncio.sleep(BEFORE_S + BURST_S / 2)
        entry_at_s = record.now_s()
        if has_trouble:
            _write_foreign_entry(store, record)
        seen = await sending
        before = [one for one in seen if one.ended_at_s < entry_at_s]
        judged_from_s = burst_at_s + BURST_S + CHOKED_S
        after = [one for one in seen if one.sent_at_s > judged_from_s]
    for upstream in upstreams:
        await upstream.stop()
    await store.stop()
    held = _judge(record, "before", before)
    if not held or not any(one.status == 200 for one in before):
        raise RuntimeError("the deployment was not sound before the entry")
    return _judge(record, "after", after)


def _judge(record: Record, when: str, seen: list[Seen]) -> bool:
    """Return whether requests had an answer half a second after the timeout."""
    timeout_s = TIMEOUT_MS / MS_PER_S
    waits_s = [
        one.ended_at_s - one.sent_at_s if one.status is not None else float("inf")
        for one in seen
    ]
    at_timeout = [wait_s for wait_s in waits_s if wait_s > timeout_s]
    unanswered = [wait_s for wait_s in at_timeout if wait_s > timeout_s + ANSWER_LAG_S]
    record.write(
        "result",
        when=when,
        requests=len(seen),
        status_200=sum(one.status == 200 for one in seen),
        status_503=sum(one.status == 503 for one in seen),
        no_answer_at_timeout=len(at_timeout),
        no_answer_half_a_second_later=len(unanswered),
    )
    is_broken = len(at_timeout) >= JUDGED_REQUESTS and (
        2 * len(unanswered) > len(at_timeout)
    )
    return not is_broken


if __name__ == "__main__":
    # With TROUBLE=0, all but the disruption takes place.
    HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
    run_case(Path(__file__).parent, _play, HAS_TROUBLE)
