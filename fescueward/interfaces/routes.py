"""Protocols of the configured routes and of the grants of key ranges."""

from __future__ import annotations

from typing import Protocol, runtime_checkable

from ..messages.configuration import Configuration, Route, VersionedConfiguration
from ..messages.group import KeyRange


@runtime_checkable
class Routes(Protocol):
    """Current configuration and the choice of routes and their targets."""

    @property
    def current(self) -> VersionedConfiguration | None:
        """Newest known configuration, or None before the first."""
        ...

    def observe(self, configuration: VersionedConfiguration) -> bool:
        """Applies a configuration if it is newer than the current one; returns whether it was."""
        ...

    def select(self, configuration: Configuration, host: str, path: str) -> Route | None:
        """Returns the route of the host with the longest matching path prefix, or None."""
        ...

    def target(self, route: Route) -> str:
        """Returns the service for the next request of a route, by the weights of its targets."""
        ...


@runtime_checkable
class RangeGrants(Protocol):
    """Grants of key ranges to the upstream on this VM."""

    @property
    def process(self) -> int:
        """Number of the process that connections to the upstream reach.

        It increases whenever connections may reach another process than before, also under the
        same instance id.
        """
        ...

    async def grant_range(self, key_range: KeyRange, hold_s: float, process: int) -> bool:
        """Grants a key range to one process of the upstream for a limited time.

        Args:
            key_range: Keys, epoch and handover token.
            hold_s: Time from this call to the end of the grant, in seconds. The upstream counts
                from the arrival, so a grant that waits for a connection is sent with less.
            process: Number of the process; no byte is sent to another one.

        Returns:
            False if the upstream has received a higher epoch for these keys.

        Raises:
            UpstreamUnavailableError: No byte of the grant reached the upstream: there is no
                connection, `process` has changed, or the time has passed.
            OutcomeLostError: The grant was not confirmed; it may still take effect.
        """
        ...

    async def release_range(self, key_range: KeyRange) -> str:
        """Revokes a key range and waits until the upstream has ended its requests for the keys.

        Returns:
            The handover token, or an empty string.

        Raises:
            UpstreamUnavailableError: No byte of the release reached the upstream.
            OutcomeLostError: The release was not confirmed.
        """
        ...
