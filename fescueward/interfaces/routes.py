"""Routes and grants of key ranges as the services see them."""

from __future__ import annotations

from typing import Protocol, runtime_checkable

from ..messages.configuration import Configuration, Route, VersionedConfiguration
from ..messages.group import KeyRange


@runtime_checkable
class Routes(Protocol):
    """The configuration in force and the choice of a route."""

    @property
    def current(self) -> VersionedConfiguration | None:
        """The newest configuration seen, or None before the first."""
        ...

    def observe(self, configuration: VersionedConfiguration) -> bool:
        """Takes a configuration whose version is higher; tells whether it was taken."""
        ...

    def select(self, configuration: Configuration, host: str, path: str) -> Route | None:
        """Returns the route of the host with the longest prefix that begins the path, or None."""
        ...

    def target(self, route: Route) -> str:
        """Returns the service of the next request on a route, by the shares of its targets."""
        ...


@runtime_checkable
class RangeGrants(Protocol):
    """Grants of key ranges to the upstream on this VM."""

    async def grant_range(self, found: KeyRange, hold_s: float) -> bool:
        """Grants keys to the upstream for a time.

        Args:
            found: Keys, epoch and handover token.
            hold_s: Length of the grant from its arrival, in seconds.

        Returns:
            False if the upstream has seen a higher epoch.

        Raises:
            UpstreamUnavailableError: No byte of it reached the upstream.
            OutcomeLostError: It was not confirmed; it may still take effect.
        """
        ...

    async def release_range(self, found: KeyRange) -> str:
        """Takes keys back; returns when their work has ended.

        Returns:
            The handover token, or an empty text.

        Raises:
            UpstreamUnavailableError: No byte of it reached the upstream.
            OutcomeLostError: It was not confirmed.
        """
        ...
