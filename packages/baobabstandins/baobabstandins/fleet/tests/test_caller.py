import pytest_asyncio

from baobabstandins.fleet import (
    CallerDisconnected,
    Fleet,
    HistoryCaller,
    InstanceMember,
    Invoked,
    Lost,
    Returned,
    TargetOptions,
    create_call,
)


@pytest_asyncio.fixture
async def member(tmp_path):
    """Return an instance member whose caller address is that of a target."""
    async with Fleet(tmp_path) as fleet:
        options = TargetOptions(service_ms=200.0)
        (target,) = await fleet.start_targets("orders", 1, "sapporo", options)
        yield InstanceMember(
            "sapporo-1", "sapporo", target.address, "", "", target.child
        )


async def record_history(member, **options):
    async with HistoryCaller(lambda: [member], seed=1) as caller:
        await caller.call(create_call("/orders", idempotent=False), **options)
    return caller.history


async def test_response_without_outcome_is_recorded_as_returned(member):
    invoked, returned = await record_history(member, repeats=0)
    assert isinstance(invoked, Invoked)
    assert isinstance(returned, Returned)
    assert (returned.status, returned.outcome) == (200, "")


async def test_disconnected_caller_repeats_with_the_same_key(member):
    history = await record_history(member, repeats=1, disconnects=True)
    assert isinstance(history[1], CallerDisconnected)
    assert history[0].key == history[2].key != ""


async def test_refused_connection_is_recorded_as_lost(member):
    await member.child.stop()
    _, lost = await record_history(member, repeats=0)
    assert isinstance(lost, Lost)
