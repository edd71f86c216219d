"""Measure time and memory of the view of the fleet against its size."""

from baobabring.membership import Heartbeat, Membership, create_membership
from baobabring.platform import InstanceInfo, InstanceState
from capacity_slopes import measure_memory_slope, measure_time_slope, print_slopes

FLEET_SIZES = (14, 100, 400, 1400)
NOW_S = 1.8e9


def make_instance_list(instance_count: int) -> tuple[InstanceInfo, ...]:
    """Return the platform's list of this many instances."""
    return tuple(
        InstanceInfo(
            f"instance-{number:04}",
            f"zone-{number % 10}",
            f"10.0.0.1:{number}",
            InstanceState.LIVE,
        )
        for number in range(instance_count)
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


def make_view(instance_count: int) -> Membership:
    """Return a view with a heartbeat from each listed instance."""
    view = create_membership("instance-0000")
    listed = make_instance_list(instance_count)
    view.apply_list(listed, NOW_S)
    for info in listed:
        view.record_heartbeat(make_heartbeat(info, 1), NOW_S)
    return view


def prepare_record_heartbeats(instance_count: int):
    """Return an action that records one heartbeat of each instance."""
    view = create_membership("instance-0000")
    listed = make_instance_list(instance_count)
    sequence = 0

    def record_heartbeats() -> None:
        nonlocal sequence
        sequence += 1
        for info in listed:
            view.record_heartbeat(make_heartbeat(info, sequence), NOW_S)

    return record_heartbeats


def main() -> None:
    """Print the slopes."""
    method_names = (
        "get_live_instances",
        "get_members",
        "suspected_peers",
        "get_reachable_share",
    )
    slopes = [
        measure_time_slope(
            f"{method_name}, per instance",
            FLEET_SIZES,
            lambda n, method_name=method_name: _bind(
                getattr(make_view(n), method_name)
            ),
        )
        for method_name in method_names
    ]
    slopes.append(
        measure_time_slope(
            "record_heartbeat, per heartbeat", FLEET_SIZES, prepare_record_heartbeats
        )
    )
    slopes.append(measure_memory_slope("view, per instance", FLEET_SIZES, make_view))
    print_slopes("View of the fleet", slopes)


def _bind(method):
    return lambda: method(NOW_S + 0.1)


if __name__ == "__main__":
    main()
