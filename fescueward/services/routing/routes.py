"""The active configuration: selection of routes and of their targets."""

from __future__ import annotations

from ...interfaces import Routes
from ...kernel import Event, Level, Registry
from ...kernel.errors import UnknownServiceError
from ...messages import Entry, RequestClass, VersionedEntry
from ...messages.configuration import Configuration, Route, Target, VersionedConfiguration
from ...messages.entry import Limits

_CONFIGURATION_APPLIED = Event(
    2110,
    "configuration_applied",
    Level.INFO,
    "A newer configuration is active, all of its routes and services at once.",
)

# Queue limit of one upstream. Most requests are refused earlier because of their expected wait.
_MAX_QUEUE_LENGTH = 256
# A slot becomes free about this often, so a refused caller need not wait longer to retry.
_RETRY_AFTER_MS = 100


class _WeightedTargets:
    """Distributes the requests of one route by smooth weighted round robin."""

    def __init__(self, targets: tuple[Target, ...]) -> None:
        self._targets = targets
        self._total_weight = sum(target.weight for target in targets)
        self._current_weights = [0.0] * len(targets)

    def next_service(self) -> str:
        for index, target in enumerate(self._targets):
            self._current_weights[index] += target.weight
        selected = max(range(len(self._targets)), key=self._current_weights.__getitem__)
        self._current_weights[selected] -= self._total_weight
        return self._targets[selected].service


class _HostRoutes:
    """The routes of one host by their prefixes, each of which ends with a slash."""

    def __init__(self, routes: dict[str, Route]) -> None:
        self._routes = routes
        self._longest_prefix = max(map(len, routes))

    def select(self, path: str) -> Route | None:
        end = min(len(path), self._longest_prefix)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get(path[: end + 1])
            if route is not None:
                return route
        return None


class RouteTable:
    """The `routes` service.

    A request uses one configuration from start to end. Only higher versions are accepted, so a
    change is not reverted while the process runs.
    """

    name = "routes"
    requires: tuple[str, ...] = ()

    def __init__(self) -> None:
        self._current: VersionedConfiguration | None = None
        self._routes_by_host: dict[str, _HostRoutes] = {}
        self._weighted_targets: dict[Route, _WeightedTargets] = {}

    @property
    def current(self) -> VersionedConfiguration | None:
        """The newest configuration received, or None before the first."""
        return self._current

    def bind(self, registry: Registry) -> None:
        """Looks up nothing: this service uses no other."""

    async def start(self) -> None:
        """Starts nothing: the `groups` service watches for configurations."""

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""

    def observe(self, configuration: VersionedConfiguration) -> bool:
        """Activates a configuration with a higher version; returns whether it was activated."""
        current = self._current
        if current is not None and current.version >= configuration.version:
            return False
        self._current = configuration
        self._routes_by_host = _group_by_host(configuration.configuration)
        routes = configuration.configuration.routes
        self._weighted_targets = {
            route: targets
            for route, targets in self._weighted_targets.items()
            if routes.get(route.name) == route
        }
        _CONFIGURATION_APPLIED.emit(
            version=configuration.configuration.version,
            routes=len(routes),
            services=len(configuration.configuration.services),
        )
        return True

    def select(self, configuration: Configuration, host: str, path: str) -> Route | None:
        """Returns the route of the host with the longest prefix of the path, or None."""
        current = self._current
        routes_by_host = (
            self._routes_by_host
            if current is not None and current.configuration is configuration
            else _group_by_host(configuration)
        )
        host_name = host.rpartition(":")[0] if host.rpartition(":")[2].isdigit() else host
        routes = routes_by_host.get(host_name.lower())
        return routes.select(path) if routes is not None else None

    def target(self, route: Route) -> str:
        """Returns the service of the next request on a route, by the weights of its targets."""
        if len(route.targets) == 1:
            return route.targets[0].service
        targets = self._weighted_targets.get(route)
        if targets is None:
            targets = self._weighted_targets[route] = _WeightedTargets(route.targets)
        return targets.next_service()


def _group_by_host(configuration: Configuration) -> dict[str, _HostRoutes]:
    hosts: dict[str, dict[str, Route]] = {}
    for route in configuration.routes.values():
        # Of two routes that match the same requests the first is used.
        hosts.setdefault(route.host.lower(), {}).setdefault(route.prefix, route)
    return {host: _HostRoutes(routes) for host, routes in hosts.items()}


class ConfiguredCatalogue:
    """The `catalogue` service of platforms with a configuration in place of entries."""

    name = "catalogue"
    requires = ("routes",)

    def bind(self, registry: Registry) -> None:
        """Looks up the `routes` service."""
        self._routes = registry.find("routes", Routes)

    async def start(self) -> None:
        """Starts nothing: this service has no background task."""

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""

    @property
    def digest(self) -> int:
        """Always 0: agents compare versions of the configuration, not entries."""
        return 0

    async def wait_until_loaded(self) -> None:
        """Returns at once: readiness depends on the `routes` service instead."""

    def mark_loaded(self) -> None:
        """Ignored: entries are derived from the configuration."""

    def entry(self, service: str) -> VersionedEntry:
        """Returns an entry derived from the configuration; see `Catalogue.entry`.

        A service that the configuration lacks has an entry too, so that its members stay in their
        group: a later configuration may contain it.
        """
        if not service:
            raise UnknownServiceError("the service name is empty")
        current = self._routes.current
        entry = Entry(
            service,
            owner="configuration",
            request_class=RequestClass.REPEATABLE,
            shard_count=1,
            limits=Limits(queue_length=_MAX_QUEUE_LENGTH, retry_after_ms=_RETRY_AFTER_MS),
        )
        return VersionedEntry(current.version if current is not None else 0, entry)

    def entries(self) -> tuple[VersionedEntry, ...]:
        """Returns the entries of all configured services, by name."""
        current = self._routes.current
        services = current.configuration.services if current is not None else {}
        return tuple(self.entry(service) for service in sorted(services))

    def versions(self) -> dict[str, int]:
        """Returns nothing: agents exchange configurations, not entries."""
        return {}

    def newer_than(self, versions: dict[str, int]) -> tuple[VersionedEntry, ...]:
        """Returns nothing: agents exchange configurations, not entries."""
        return ()

    def observe(self, entry: VersionedEntry) -> bool:
        """Ignores the entry and returns False."""
        return False

    async def apply(self, entry: Entry, expected_version: int) -> VersionedEntry:
        """Raises `UnknownServiceError`: operators edit the configuration at the platform."""
        raise UnknownServiceError("entries are derived from the configuration at the platform")

    async def delete(self, service: str, expected_version: int) -> VersionedEntry:
        """Raises `UnknownServiceError`: operators edit the configuration at the platform."""
        raise UnknownServiceError("entries are derived from the configuration at the platform")
