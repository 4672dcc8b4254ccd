"""The owner's side of a request without tokens: the only way to the upstream on this VM."""

from __future__ import annotations

from dataclasses import replace

from ...interfaces import (
    Admission,
    Catalogue,
    Departure,
    Membership,
    Ownership,
    Peers,
    Quarantine,
    Shutdown,
    SlotLoad,
    Upstream,
)
from ...interfaces.metrics import RunListener
from ...interfaces.placement import Load
from ...kernel import Clock, Event, Level, RefusalError, Registry
from ...kernel.errors import (
    DrainingError,
    NotOwnerError,
    OverloadedError,
    UpstreamUnavailableError,
)
from ...messages import AnnouncedState, Request, Response

_EXECUTED = Event(
    3410, "request_run", Level.INFO, "A request ran on the upstream here.", frequent=True
)
_TURNED_AWAY = Event(
    3411, "request_not_run", Level.INFO, "The upstream here did not serve it.", frequent=True
)


class GateExecution:
    """The `execution` service where each attempt has an id of its own and no token.

    A request that is refused here before it was sent has not run, so another agent may take it
    without a cost to the retry budget.
    """

    name = "execution"
    requires = ("catalogue", "ownership", "admission", "quarantine", "upstream", "shutdown")

    def __init__(self) -> None:
        self._listeners: list[RunListener] = []

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._membership = registry.find("membership", Membership)
        self._ownership = registry.find("ownership", Ownership)
        self._departure = registry.find("membership", Departure)
        self._shutdown = registry.find("shutdown", Shutdown)
        self._admission = registry.find("admission", Admission)
        self._slots = registry.find("admission", SlotLoad)
        self._quarantine = registry.find("quarantine", Quarantine)
        self._upstream = registry.find("upstream", Upstream)
        self._load = registry.find("load", Load)
        registry.find("peers", Peers).serve(self.execute)

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    def subscribe(self, listener: RunListener) -> None:
        """Tells a service of the end of each run on the upstream from now on."""
        self._listeners.append(listener)

    async def execute(self, request: Request) -> Response:
        """Runs a request on the upstream of this agent; see `Execution.execute`."""
        try:
            with self._shutdown.open_request(request.id):
                return await self._execute(request)
        except RefusalError as error:
            error.occupancy = self._slots.occupancy
            if request.key and isinstance(error, OverloadedError):
                # What a hot key asks for is the measure of a move, not what its server can run.
                expected_s = error.occupancy.run_ms / 1000
                self._load.record(int(request.key), request.key, expected_s)
            _TURNED_AWAY.emit(
                request=request.id,
                service=request.service,
                label=error.label,
                outcome=error.outcome,
                reason=error,
                occupancy=error.occupancy,
                source=request.forwarded_by,
            )
            raise

    async def _execute(self, request: Request) -> Response:
        entry = self._catalogue.entry(request.service).entry
        self._check_open(request)
        await self._admitted_epoch(request)
        async with (
            self._quarantine.guard(request) as request,
            self._admission.slot(request, entry),
        ):
            # Departure and loss of the keys may have come while the request waited.
            self._check_open(request)
            epoch = await self._admitted_epoch(request)
            started = self._clock.now()
            try:
                response = await self._upstream.run(
                    request, int(request.key or 0), epoch, request.deadline
                )
            finally:
                seconds = self._clock.now() - started
                if request.key:
                    self._load.record(int(request.key), request.key, seconds)
        occupancy = self._slots.occupancy
        _EXECUTED.emit(
            request=request.id,
            service=request.service,
            key=request.key,
            epoch=epoch,
            status=response.status,
            run_ms=round(seconds * 1000, 1),
            source=request.forwarded_by,
        )
        for listener in self._listeners:
            listener.run_ended(request.service, seconds)
        return replace(response, occupancy=occupancy, epoch=epoch)

    async def _admitted_epoch(self, request: Request) -> int:
        """Returns the epoch of the request's key, or 0 if it has none; raises as `admit`."""
        if not request.key:
            return 0
        admitted = self._ownership.admit(request.service, request.key, request.deadline)
        with await admitted as ticket:
            return ticket.epoch

    def _check_open(self, request: Request) -> None:
        announced = self._membership.announcement
        if announced is None:
            raise UpstreamUnavailableError("the upstream has not announced itself")
        if announced.service != request.service:
            raise NotOwnerError(f"this agent is beside {announced.service!r}")
        if announced.state is AnnouncedState.LEAVING or self._departure.closed:
            raise DrainingError("this upstream is leaving")
        self._shutdown.check(request.deadline)
