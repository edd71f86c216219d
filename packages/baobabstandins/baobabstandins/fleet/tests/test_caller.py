import pytest_asyncio

from baobabstandins.fleet import (
    Fleet,
    HistoryCaller,
    InstanceMember,
    Invoked,
    Left,
    Lost,
    Returned,
    TargetOptions,
    make_call,
)


@pytest_asyncio.fixture
async def member(tmp_path):
    """Give a target where the caller expects an instance."""
    async with Fleet(tmp_path) as fleet:
        options = TargetOptions(service_ms=200.0)
        (target,) = await fleet.start_targets("orders", 1, "sapporo", options)
        yield InstanceMember(
            "sapporo-1", "sapporo", target.address, "", "", target.child
        )


async def history_of(member, **options):
    async with HistoryCaller(lambda: [member], seed=1) as caller:
        await caller.call(make_call("/orders", idempotent=False), **options)
    return caller.history


async def test_answer_without_outcome_is_returned_as_such(member):
    invoked, returned = await history_of(member, repeats=0)
    assert isinstance(invoked, Invoked)
    assert isinstance(returned, Returned)
    assert (returned.status, returned.outcome) == (200, "")


async def test_caller_that_leaves_repeats_with_the_same_key(member):
    history = await history_of(member, repeats=1, leaves=True)
    assert isinstance(history[1], Left)
    assert history[0].key == history[2].key != ""


async def test_refused_connection_is_lost(member):
    await member.child.stop()
    _, lost = await history_of(member, repeats=0)
    assert isinstance(lost, Lost)
