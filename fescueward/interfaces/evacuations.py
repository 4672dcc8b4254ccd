"""Protocols of the evacuation of failure domains."""

from __future__ import annotations

from typing import Protocol, runtime_checkable

from ..messages.evacuations import Evacuations


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
    def domains(self) -> frozenset[str]:
        """Names of the evacuated failure domains."""
        ...

    def observe(self, evacuations: Evacuations) -> bool:
        """Applies evacuations of a higher version; returns whether they were applied."""
        ...

    def subscribe(self, listener: EvacuationListener) -> None:
        """Calls the listener at each change from now on."""
        ...


@runtime_checkable
class EvacuationGate(Protocol):
    """What the evacuation of its own failure domain means for an agent."""

    @property
    def begun(self) -> bool:
        """Whether the domain is evacuated: requests without a key are left to other agents."""
        ...

    @property
    def closed(self) -> bool:
        """Whether no request may be sent to the upstream, with a key or without."""
        ...
