from baobabstandins.platform import InstanceEntry, LaggedInstanceList

ENTRY = InstanceEntry("sapporo-1", "sapporo", "127.0.0.1:9001", "live")


def test_announced_entry_is_listed_after_the_lag():
    instances = LaggedInstanceList(lag_s=1.0, expiry_s=5.0)
    instances.announce(ENTRY, now_s=10.0)
    assert instances.get_entries(now_s=10.5) == []
    assert instances.get_entries(now_s=11.0) == [ENTRY]


def test_entry_without_renewal_expires():
    instances = LaggedInstanceList(lag_s=1.0, expiry_s=5.0)
    instances.announce(ENTRY, now_s=10.0)
    assert instances.get_entries(now_s=16.0) == []
