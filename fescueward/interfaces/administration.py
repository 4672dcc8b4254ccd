"""What operators are told, as the services see it."""

from __future__ import annotations

from typing import Protocol, runtime_checkable

from ..messages.status import AgentStatus, Explanation, FleetStatus


@runtime_checkable
class StatusReports(Protocol):
    """Statements about this agent, the services and single keys."""

    def agent(self) -> AgentStatus:
        """Returns the status of this agent."""
        ...

    async def fleet(self, service: str | None = None) -> FleetStatus:
        """Returns the status of one service or of all.

        Args:
            service: Name of the service, or None for all.

        Raises:
            UnknownServiceError: No catalogue entry has this name.
        """
        ...

    async def explain(self, service: str, key: str) -> Explanation:
        """Returns where a key is, why, and whether a request to it would be served now.

        Raises:
            UnknownServiceError: No catalogue entry has this name.
        """
        ...


@runtime_checkable
class PlatformState(Protocol):
    """Reachability of the platform."""

    @property
    def unavailable_since(self) -> float | None:
        """When calls began to fail, in seconds of CLOCK_BOOTTIME, or None."""
        ...


@runtime_checkable
class WatchState(Protocol):
    """State of this agent's watch of the platform."""

    @property
    def watching(self) -> bool:
        """Whether this agent watches the platform for its group and the watch works."""
        ...


@runtime_checkable
class WorkState(Protocol):
    """Work that this agent has at hand."""

    @property
    def in_flight(self) -> int:
        """Number of requests that run or wait here."""
        ...
