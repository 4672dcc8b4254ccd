"""The evacuated failure domains as an agent knows them, and the gate of its own."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager

from ...interfaces import EvacuationListener, Warmup
from ...interfaces.platform import Changes
from ...kernel import Clock, Event, Kernel, Level, Registry
from ...kernel.bounds import Bounds
from ...kernel.settings import Settings
from ...messages.evacuations import Evacuations
from .gate import DomainGate
from .versions import lost_to_store, merged, with_changes

_EVACUATION_BEGUN = Event(
    2220,
    "evacuation_begun",
    Level.WARNING,
    "The operator evacuates a failure domain; `own` says whether it is that of this agent.",
)
_EVACUATION_ENDED = Event(
    2221, "evacuation_ended", Level.WARNING, "A failure domain is not evacuated any more."
)
_EVACUATION_LOST = Event(
    2223,
    "evacuation_lost",
    Level.WARNING,
    "The store was restored from an older copy without this evacuation, which stays in force "
    "until it is written and removed again.",
)


class EvacuatedDomains:
    """The `evacuations` service.

    It holds what the watchers of the store have read, and learns nothing by itself.
    """

    name = "evacuations"
    requires: tuple[str, ...] = ()

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._current = Evacuations()
        self._domains: frozenset[str] = frozenset()
        self._listeners: list[EvacuationListener] = []
        self._warmup: Warmup | None = None

    @property
    def current(self) -> Evacuations:
        """Newest known evacuations; version 0 before the first."""
        return self._current

    @property
    def known(self) -> bool:
        """Whether all evacuations have been read from the platform or received once."""
        return bool(self._current.version)

    @property
    def domains(self) -> frozenset[str]:
        """Names of the evacuated failure domains."""
        return self._domains

    @property
    def begun(self) -> bool:
        """Whether the domain of this agent is evacuated; see `EvacuationGate.begun`."""
        return self._gate.begun

    @property
    def closed(self) -> bool:
        """Whether no request may be sent to the upstream; see `EvacuationGate.closed`."""
        return self._gate.closed

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        clock = registry.find("clock", Clock)
        bounds = registry.find("bounds", Bounds)
        self._own_domain = registry.find("settings", Settings).agent.failure_domain
        self._gate = DomainGate(self._tasks, clock, bounds.evacuate_s)
        if "warmup" in registry.names:
            self._warmup = registry.find("warmup", Warmup)

    async def start(self) -> None:
        """Starts nothing: the `groups` service watches for evacuations."""

    async def stop(self) -> None:
        """Cancels the tasks of the service."""
        await self._tasks.cancel()

    def observe(self, evacuations: Evacuations) -> bool:
        """Applies what another agent knows; see `EvacuationState.observe`."""
        return bool(evacuations.version) and self._apply(merged(self._current, evacuations))

    def observe_changes(self, changes: Changes) -> bool:
        """Applies what was read from the platform; see `EvacuationState.observe_changes`."""
        return self._apply(with_changes(self._current, changes))

    def subscribe(self, listener: EvacuationListener) -> None:
        """Calls the listener at each change from now on."""
        self._listeners.append(listener)

    def check(self, keyed: bool) -> None:
        """Refuses a request that may not be sent to the upstream; see `EvacuationGate.check`."""
        self._gate.check(keyed)

    def waiting(self, keyed: bool) -> AbstractAsyncContextManager[None]:
        """Ends a wait as soon as the request is refused; see `EvacuationGate.waiting`."""
        return self._gate.waiting(keyed)

    def _apply(self, newest: Evacuations) -> bool:
        previous, previous_domains, was_known = self._current, self._domains, self.known
        self._current, self._domains = newest, frozenset(newest.domains)
        for domain in sorted(lost_to_store(newest) - lost_to_store(previous)):
            _EVACUATION_LOST.emit(domain=domain, version=newest.domains[domain])
        if was_known and self._domains == previous_domains:
            return False
        for domain in sorted(self._domains - previous_domains):
            own = domain == self._own_domain
            _EVACUATION_BEGUN.emit(domain=domain, own=own, version=newest.domains[domain])
        for domain in sorted(previous_domains - self._domains):
            _EVACUATION_ENDED.emit(domain=domain, own=domain == self._own_domain)
        self._gate.update(self._own_domain in self._domains)
        if self._own_domain in previous_domains - self._domains and self._warmup is not None:
            self._warmup.suspect_cold()
        for listener in self._listeners:
            listener.evacuations_changed(self._domains)
        return True
