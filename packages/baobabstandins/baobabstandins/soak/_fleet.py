"""Fleet whose connections to store and targets go through proxies."""

from pathlib import Path

from baobabstandins.soak._proxy import FaultyLink
from baobabstandins.usersplatform import EntryFleet, StandinTarget, build_rule

INSTANCE_COUNT = 4
TARGETS_PER_SERVICE = 4
ZONES = ("north", "south")
MENU_RULE = build_rule("menu", "menuboard")
FEES_RULE = build_rule("fees", "feedesk", idempotent=False)
SERVICES = ("menuboard", "feedesk")
SERVICE_TIME_S = 0.05
DISTURBABLE_ENTRY = "baobabstandins.soak.disturbable_entry"


class SoakFleet(EntryFleet):
    """Manage store, targets, instances and the links between them.

    Each instance has its own link to the store. Each target has one link, which
    all instances share.
    """

    def __init__(self, directory: Path) -> None:
        super().__init__(directory, INSTANCE_COUNT, program=DISTURBABLE_ENTRY)
        self.store_links: list[FaultyLink] = []
        self.target_links: dict[str, FaultyLink] = {}
        self.zones_out: set[str] = set()
        # Paths of calls that crash the targets that run them.
        self.crashing_paths: set[str] = set()

    async def start(self) -> None:
        """Start links, targets and instances."""
        for _ in range(INSTANCE_COUNT):
            link = FaultyLink(self.store.address)
            await link.start()
            self.store_links.append(link)
        for number in range(TARGETS_PER_SERVICE):
            for service in SERVICES:
                target_id = f"i-{service}-{number}"
                zone = ZONES[number % len(ZONES)]
                target = StandinTarget(
                    target_id, service, zone, service_time_s=SERVICE_TIME_S
                )
                target.crashing_paths = self.crashing_paths
                await self.start_target(target)
                self.targets.append(target)
        self.publish([MENU_RULE, FEES_RULE], list(SERVICES))
        await super().start()

    async def start_target(self, target: StandinTarget) -> None:
        """Start a target behind a new link and register it."""
        await target.start()
        link = FaultyLink(target.address)
        await link.start()
        target.address = link.address
        previous_link = self.target_links.get(target.target_id)
        if previous_link is not None:
            await previous_link.stop()
        self.target_links[target.target_id] = link
        target.register(self.store)

    def write_again(self, zones_out_before: set[str]) -> None:
        """Write what operators and running targets wrote since a copy was taken."""
        self.publish([MENU_RULE, FEES_RULE], list(SERVICES))
        for zone in self.zones_out - zones_out_before:
            self.set_zone_out(zone)
        for zone in zones_out_before - self.zones_out:
            self.set_zone_in(zone)
        for target in self.targets:
            if target.is_serving:
                target.register(self.store)

    async def stop_links(self) -> None:
        """Stop all links."""
        for link in (*self.store_links, *self.target_links.values()):
            await link.stop()

    def get_store_address(self, number: int) -> str:
        """Return the address of the store for an instance."""
        return self.store_links[number].address

    async def restart(self, number: int) -> None:
        """Wait until the process of an instance has exited, then start it again."""
        instance = self.instances[number]
        await instance.process.wait()
        await instance.start()
