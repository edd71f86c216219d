"""Selection of a route and of one of its services."""

from baobabring.entry._model import EntryConfiguration, EntryRoute

# With this many start positions, even a service with 1 % of the calls comes first at
# some instance.
STAGGER_CYCLE_CALLS = 100


class RouteTable:
    """Match hosts and paths to routes by the longest path prefix."""

    def __init__(self, configuration: EntryConfiguration) -> None:
        self._hosts: dict[str, list[EntryRoute]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def match(self, host: str, path: str) -> EntryRoute | None:
        """Return the route of a request, or None if no route matches."""
        name = host.partition(":")[0].lower()
        for route in self._hosts.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class WeightedRoundRobin:
    """Distribute the calls of a route among its services by weighted round robin.

    Each call adds a service's share to its credit, and the service with the highest
    credit is chosen. Any sequence of calls is thus as close to the weights as whole
    calls allow. `start_fraction`, from 0 to 1, is the start position in the cycle.
    """

    def __init__(self, route: EntryRoute, start_fraction: float) -> None:
        self.services = route.services
        total = sum(service.weight for service in self.services)
        self._shares = [
            service.weight / total if total else 1.0 / len(self.services)
            for service in self.services
        ]
        self._credits = [0.0] * len(self._shares)
        # Instances that start together must not all send their first calls to the same
        # service.
        for _ in range(int(start_fraction * STAGGER_CYCLE_CALLS)):
            self.next_service()

    def next_service(self) -> str:
        """Return the id of the service that gets the next call."""
        if len(self.services) == 1:
            return self.services[0].service_id
        for index, share in enumerate(self._shares):
            self._credits[index] += share
        chosen = max(range(len(self._credits)), key=self._credits.__getitem__)
        self._credits[chosen] -= 1.0
        return self.services[chosen].service_id
