"""The configuration in force: the choice of a route and of a part of its traffic."""

from __future__ import annotations

from ...interfaces import Routes
from ...kernel import Event, Level, Registry
from ...kernel.errors import UnknownServiceError
from ...messages import Entry, RequestClass, VersionedEntry
from ...messages.configuration import Configuration, Route, Target, VersionedConfiguration
from ...messages.entry import Limits

_APPLIED = Event(
    2110, "configuration_applied", Level.INFO, "A newer configuration is in force as a whole."
)

# Longest queue in front of one upstream; the expected wait refuses earlier in most cases.
_QUEUE_LENGTH = 256
# A slot becomes free about this often, so a refused caller need not wait longer.
_RETRY_AFTER_MS = 100


class _Shares:
    """Deals requests to the targets of one route by smooth weighted round robin."""

    def __init__(self, targets: tuple[Target, ...]) -> None:
        self._targets = targets
        self._total = sum(target.weight for target in targets)
        self._credit = [0.0] * len(targets)

    def next(self) -> str:
        for index, target in enumerate(self._targets):
            self._credit[index] += target.weight
        chosen = max(range(len(self._targets)), key=self._credit.__getitem__)
        self._credit[chosen] -= self._total
        return self._targets[chosen].service


class RouteTable:
    """The `routes` service.

    A request keeps the configuration that it began with. Versions only grow, so a change never
    reverts in one life of the process.
    """

    name = "routes"
    requires: tuple[str, ...] = ()

    def __init__(self) -> None:
        self._current: VersionedConfiguration | None = None
        self._by_host: dict[str, tuple[Route, ...]] = {}
        self._shares: dict[Route, _Shares] = {}

    @property
    def current(self) -> VersionedConfiguration | None:
        """The newest configuration seen, or None before the first."""
        return self._current

    def bind(self, registry: Registry) -> None:
        """Does nothing."""

    async def start(self) -> None:
        """Does nothing; configurations arrive by the watch of `groups`."""

    async def stop(self) -> None:
        """Does nothing."""

    def observe(self, configuration: VersionedConfiguration) -> bool:
        """Takes a configuration whose version is higher than the one held."""
        held = self._current
        if held is not None and held.version >= configuration.version:
            return False
        self._current = configuration
        self._by_host = _by_host(configuration.configuration)
        routes = set(configuration.configuration.routes.values())
        self._shares = {route: kept for route, kept in self._shares.items() if route in routes}
        _APPLIED.emit(
            version=configuration.configuration.version,
            revision=configuration.version,
            routes=len(routes),
            services=len(configuration.configuration.services),
        )
        return True

    def select(self, configuration: Configuration, host: str, path: str) -> Route | None:
        """Returns the route of the host with the longest prefix that begins the path."""
        held = self._current
        table = (
            self._by_host
            if held is not None and held.configuration is configuration
            else _by_host(configuration)
        )
        name = host.rpartition(":")[0] if host.rpartition(":")[2].isdigit() else host
        for route in table.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def target(self, route: Route) -> str:
        """Returns the service of the next request on a route."""
        if len(route.targets) == 1:
            return route.targets[0].service
        shares = self._shares.get(route)
        if shares is None:
            shares = self._shares[route] = _Shares(route.targets)
        return shares.next()


def _by_host(configuration: Configuration) -> dict[str, tuple[Route, ...]]:
    hosts: dict[str, list[Route]] = {}
    for route in configuration.routes.values():
        hosts.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
        for host, routes in hosts.items()
    }


class ConfiguredCatalogue:
    """The `catalogue` service where the operator's configuration takes the place of entries."""

    name = "catalogue"
    requires = ("routes",)

    def bind(self, registry: Registry) -> None:
        """Finds the routes."""
        self._routes = registry.find("routes", Routes)

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    @property
    def digest(self) -> int:
        """Always 0: the directory compares the configuration itself."""
        return 0

    async def wait_until_loaded(self) -> None:
        """Returns at once: readiness asks the routes."""

    def mark_loaded(self) -> None:
        """Does nothing."""

    def entry(self, service: str) -> VersionedEntry:
        """Returns the entry that follows from the configuration; see `Catalogue.entry`.

        A service that is not in the configuration keeps its members: it may come with the next.
        """
        if not service:
            raise UnknownServiceError("no service is named")
        held = self._routes.current
        entry = Entry(
            service,
            owner="configuration",
            request_class=RequestClass.REPEATABLE,
            shard_count=1,
            limits=Limits(queue_length=_QUEUE_LENGTH, retry_after_ms=_RETRY_AFTER_MS),
        )
        return VersionedEntry(held.version if held is not None else 0, entry)

    def entries(self) -> tuple[VersionedEntry, ...]:
        """Returns the entries of all configured services."""
        held = self._routes.current
        services = held.configuration.services if held is not None else {}
        return tuple(self.entry(service) for service in sorted(services))

    def versions(self) -> dict[str, int]:
        """Returns nothing: entries do not travel by themselves."""
        return {}

    def newer_than(self, versions: dict[str, int]) -> tuple[VersionedEntry, ...]:
        """Returns nothing: entries do not travel by themselves."""
        return ()

    def observe(self, entry: VersionedEntry) -> bool:
        """Takes no entry."""
        return False

    async def apply(self, entry: Entry, expected_version: int) -> VersionedEntry:
        """Refuses: the operator edits the configuration at the platform."""
        raise UnknownServiceError("entries follow from the configuration")

    async def delete(self, service: str, expected_version: int) -> VersionedEntry:
        """Refuses: the operator edits the configuration at the platform."""
        raise UnknownServiceError("entries follow from the configuration")
