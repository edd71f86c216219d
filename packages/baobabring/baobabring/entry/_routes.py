"""Choice of a route and of one of its services."""

from baobabring.entry._model import EntryConfiguration, EntryRoute

# Even a service with one call in a hundred comes first at some instance.
STAGGER_CALLS = 100


class RouteTable:
    """Match hosts and paths to routes by the longest path prefix."""

    def __init__(self, configuration: EntryConfiguration) -> None:
        self._hosts: dict[str, list[EntryRoute]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def match(self, host: str, path: str) -> EntryRoute | None:
        """Return the route of a request, or None when there is none."""
        name = host.partition(":")[0].lower()
        for route in self._hosts.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class WeightedTurns:
    """Divide the calls of a route among its services in proportion to weights.

    Each service gathers credit with every call and the richest is chosen, so that
    every run of calls comes as close to the weights as whole calls allow.
    """

    def __init__(self, route: EntryRoute, first_turn: float) -> None:
        self.services = route.services
        total = sum(service.weight for service in self.services)
        self._shares = [
            service.weight / total if total else 1.0 / len(self.services)
            for service in self.services
        ]
        self._credits = [0.0] * len(self._shares)
        # Instances that start together must not send their first calls alike.
        for _ in range(int(first_turn * STAGGER_CALLS)):
            self.next_service()

    def next_service(self) -> str:
        """Return the service that gets the next call."""
        if len(self.services) == 1:
            return self.services[0].service_id
        for number, share in enumerate(self._shares):
            self._credits[number] += share
        chosen = max(range(len(self._credits)), key=self._credits.__getitem__)
        self._credits[chosen] -= 1.0
        return self.services[chosen].service_id
