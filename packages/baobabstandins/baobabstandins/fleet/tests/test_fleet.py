import pytest

from baobabstandins.fleet import Fleet, PlatformOptions, TargetOptions


async def test_fleet_starts_and_stops_stand_ins(tmp_path):
    async with Fleet(tmp_path) as fleet:
        platform = await fleet.start_platform(PlatformOptions())
        await fleet.put_faults(platform.address, {"outage": True})
        targets = await fleet.start_targets("orders", 2, "sapporo", TargetOptions())
        assert [target.target_id for target in targets] == ["orders-1", "orders-2"]
        assert await fleet.get_journal(targets[1]) == []
    assert not platform.child.is_running
    assert not targets[0].child.is_running


async def test_unknown_fault_is_rejected(tmp_path):
    async with Fleet(tmp_path) as fleet:
        platform = await fleet.start_platform(PlatformOptions())
        with pytest.raises(ValueError, match="unknown fault 'outtage'"):
            await fleet.put_faults(platform.address, {"outtage": True})
