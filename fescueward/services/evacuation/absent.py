"""Stand-in for the `evacuations` service in a fleet that has none."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ...interfaces import EvacuationGate, EvacuationListener, EvacuationState
from ...interfaces.platform import Changes
from ...kernel import Registry
from ...messages.evacuations import Evacuations

_SERVICE = "evacuations"


class NoEvacuations:
    """State and gate of an agent whose platform cannot request an evacuation."""

    current = Evacuations()
    known = True
    domains: frozenset[str] = frozenset()
    begun = False
    closed = False

    def observe(self, evacuations: Evacuations) -> bool:
        """Learns nothing."""
        return False

    def observe_changes(self, changes: Changes) -> bool:
        """Learns nothing."""
        return False

    def subscribe(self, listener: EvacuationListener) -> None:
        """Registers nothing: the domains never change."""

    def check(self, keyed: bool) -> None:
        """Refuses nothing."""

    @asynccontextmanager
    async def waiting(self, keyed: bool) -> AsyncIterator[None]:
        """Ends no wait."""
        yield


def find_evacuations(registry: Registry) -> EvacuationState:
    """Returns the `evacuations` service, or one without any evacuation."""
    if _SERVICE in registry.names:
        return registry.find(_SERVICE, EvacuationState)
    return NoEvacuations()


def find_gate(registry: Registry) -> EvacuationGate:
    """Returns the gate of the `evacuations` service, or one that is always open."""
    if _SERVICE in registry.names:
        return registry.find(_SERVICE, EvacuationGate)
    return NoEvacuations()
