"""Measure time and memory of the view of the fleet against its size."""

from baobabring.membership import Heartbeat, Membership, create_membership
from baobabring.platform import InstanceInfo, InstanceState
from capacity_slopes import memory_slope, print_slopes, time_slope

FLEET_SIZES = (14, 100, 400, 1400)
NOW_S = 1.8e9


def make_list(instances: int) -> tuple[InstanceInfo, ...]:
    """Return the platform's list of this many instances."""
    return tuple(
        InstanceInfo(
            f"instance-{number:04}",
            f"zone-{number % 10}",
            f"10.0.0.1:{number}",
            InstanceState.LIVE,
        )
        for number in range(instances)
    )


def make_heartbeat(info: InstanceInfo, sequence: int) -> Heartbeat:
    """Return a heartbeat of a listed instance."""
    return Heartbeat(
        info.instance_id,
        info.zone,
        info.peer_address,
        sequence,
        NOW_S,
        info.state,
        100_000,
        100_000,
        NOW_S,
    )


def make_view(instances: int) -> Membership:
    """Return a view in which all listed instances were heard."""
    view = create_membership("instance-0000")
    listed = make_list(instances)
    view.apply_list(listed, NOW_S)
    for info in listed:
        view.record_heartbeat(make_heartbeat(info, 1), NOW_S)
    return view


def hear_all(instances: int):
    """Return an action that takes over one heartbeat of each instance."""
    view = create_membership("instance-0000")
    listed = make_list(instances)
    sequence = 0

    def hear() -> None:
        nonlocal sequence
        sequence += 1
        for info in listed:
            view.record_heartbeat(make_heartbeat(info, sequence), NOW_S)

    return hear


def main() -> None:
    """Print the slopes."""
    calls = (
        "get_live_instances",
        "get_members",
        "suspected_peers",
        "get_reachable_share",
    )
    slopes = [
        time_slope(
            f"{call}, each instance",
            FLEET_SIZES,
            lambda n, call=call: _bind(getattr(make_view(n), call)),
        )
        for call in calls
    ]
    slopes.append(time_slope("heard, each heartbeat", FLEET_SIZES, hear_all))
    slopes.append(memory_slope("view, each instance", FLEET_SIZES, make_view))
    print_slopes("View of the fleet", slopes)


def _bind(method):
    return lambda: method(NOW_S + 0.1)


if __name__ == "__main__":
    main()
