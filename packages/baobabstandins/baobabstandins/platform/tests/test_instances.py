from baobabstandins.platform import InstanceEntry, ListedInstances

ENTRY = InstanceEntry("sapporo-1", "sapporo", "127.0.0.1:9001", "live")


def test_list_lags():
    instances = ListedInstances(lag_s=1.0, expiry_s=5.0)
    instances.announce(ENTRY, now_s=10.0)
    assert instances.view(now_s=10.5) == []
    assert instances.view(now_s=11.0) == [ENTRY]


def test_entry_without_renewal_goes_away():
    instances = ListedInstances(lag_s=1.0, expiry_s=5.0)
    instances.announce(ENTRY, now_s=10.0)
    assert instances.view(now_s=16.0) == []
