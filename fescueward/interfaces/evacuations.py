"""Protocols of the evacuation of failure domains."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager
from typing import Protocol, runtime_checkable

from ..messages.evacuations import Evacuations
from .platform import Changes


class EvacuationListener(Protocol):
    """Subscriber to changes of the evacuated failure domains."""

    def evacuations_changed(self, domains: frozenset[str]) -> None:
        """Called with the domains that are evacuated from now on, once for each change."""
        ...


@runtime_checkable
class EvacuationState(Protocol):
    """Failure domains whose upstreams are sent no requests."""

    @property
    def current(self) -> Evacuations:
        """Newest known evacuations; version 0 before the first."""
        ...

    @property
    def known(self) -> bool:
        """Whether all evacuations have been read from the platform or received once."""
        ...

    @property
    def domains(self) -> frozenset[str]:
        """Names of the evacuated failure domains."""
        ...

    def observe(self, evacuations: Evacuations) -> bool:
        """Applies what another agent knows; returns whether this agent has learned from it."""
        ...

    def observe_changes(self, changes: Changes) -> bool:
        """Applies what was read from the platform; returns whether this agent has learned."""
        ...

    def subscribe(self, listener: EvacuationListener) -> None:
        """Calls the listener at each change from now on."""
        ...


@runtime_checkable
class EvacuationGate(Protocol):
    """What the evacuation of its own failure domain means for an agent.

    An agent that does not know the evacuations yet sends its upstream no request.
    """

    @property
    def begun(self) -> bool:
        """Whether the domain is evacuated: requests without a key are left to other agents."""
        ...

    @property
    def closed(self) -> bool:
        """Whether no request may be sent to the upstream, with a key or without."""
        ...

    def check(self, keyed: bool) -> None:
        """Refuses a request that may not be sent to the upstream now.

        Raises:
            EvacuatedError: The request is left to other agents.
        """
        ...

    def waiting(self, keyed: bool) -> AbstractAsyncContextManager[None]:
        """Ends a wait with an `EvacuatedError` as soon as `check` refuses the request."""
        ...
