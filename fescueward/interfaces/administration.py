"""Protocols of status reporting to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, runtime_checkable

if TYPE_CHECKING:
    # Most agents report no status; creating its data classes takes a share of their start.
    from ..messages.status import AgentStatus, Explanation, FleetStatus


@runtime_checkable
class StatusReports(Protocol):
    """Status of this agent and of services, and the placement of single keys."""

    def agent(self) -> AgentStatus:
        """Returns the status of this agent."""
        ...

    async def fleet(self, service: str | None = None) -> FleetStatus:
        """Returns the status of one service or of all services.

        Args:
            service: Name of the service, or None for all.

        Raises:
            UnknownServiceError: No catalogue entry has this service name.
        """
        ...

    async def explain(self, service: str, key: str) -> Explanation:
        """Returns the owner of a key, the reasons, and whether a request would be served now.

        Raises:
            UnknownServiceError: No catalogue entry has this service name.
        """
        ...


@runtime_checkable
class PlatformState(Protocol):
    """Availability of the platform to this agent."""

    @property
    def unavailable_since(self) -> float | None:
        """Start of the present outage in seconds of CLOCK_BOOTTIME, or None if none is known."""
        ...


@runtime_checkable
class WatchState(Protocol):
    """State of this agent's watch of the platform."""

    @property
    def watching(self) -> bool:
        """Whether this agent watches the platform for its group and the watch is healthy."""
        ...


@runtime_checkable
class WorkState(Protocol):
    """Requests in progress on this agent."""

    @property
    def in_flight(self) -> int:
        """Number of requests that are running or queued on this agent."""
        ...
