"""Execution of requests without tokens; all requests to the upstream on this VM pass here."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from dataclasses import replace

from ...interfaces import (
    Admission,
    BodyTransit,
    CallRoom,
    Catalogue,
    Departure,
    DepartureRecord,
    Membership,
    Ownership,
    Peers,
    Quarantine,
    Shutdown,
    SlotLoad,
    Upstream,
    Warmup,
)
from ...interfaces.metrics import RunListener
from ...interfaces.placement import Load
from ...kernel import Clock, Event, Level, RefusalError, Registry
from ...kernel.body_budget import BodyBudget
from ...kernel.errors import (
    DeadlineExceededError,
    DrainingError,
    NotOwnerError,
    OverloadedError,
    UpstreamUnavailableError,
)
from ...kernel.tasks import finish_despite_cancellation, raise_delayed_cancellation
from ...messages import AnnouncedState, Request, Response
from ...messages.request import BytesBody, Occupancy
from ..evacuation import find_gate
from .arrivals import BodyArrivals
from .response_sizes import ResponseSizes

_REQUEST_RUN = Event(
    3410,
    "request_run",
    Level.INFO,
    "A request ran on the upstream of this VM.",
    frequent=True,
)
_REQUEST_NOT_RUN = Event(
    3411,
    "request_not_run",
    Level.INFO,
    "A request got no response from the upstream of this VM; `outcome` says whether it may have "
    "run.",
    frequent=True,
)

# A request without a key that took this much longer than others on its way is left to other
# upstreams: its caller may have left, and the cancellation takes as long.
_MAX_DELAY_S = 0.5
# Larger responses are sent in parts, which share the link.
_LARGE_RESPONSE_BYTES = 16_384
# Shortest time after which a caller is told to come back because of the link.
_MIN_WAIT_S = 0.1


class GateExecution:
    """The `execution` service of platforms that give each attempt its own id and use no tokens.

    A request that is refused before it is sent to the upstream has not run, so the router may send
    it to another agent without using the retry budget.
    """

    name = "execution"
    requires = ("catalogue", "ownership", "admission", "quarantine", "upstream", "shutdown")

    def __init__(self) -> None:
        self._listeners: list[RunListener] = []
        self._call_room: CallRoom | None = None

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._arrivals = BodyArrivals(self._clock)
        self._bodies = registry.find("bodies", BodyBudget)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._membership = registry.find("membership", Membership)
        self._ownership = registry.find("ownership", Ownership)
        self._departure = registry.find("membership", Departure)
        self._departure_record = registry.find("membership", DepartureRecord)
        self._shutdown = registry.find("shutdown", Shutdown)
        self._admission = registry.find("admission", Admission)
        self._slots = registry.find("admission", SlotLoad)
        self._quarantine = registry.find("quarantine", Quarantine)
        self._upstream = registry.find("upstream", Upstream)
        self._warmup = registry.find("warmup", Warmup)
        self._load = registry.find("load", Load)
        self._response_sizes = ResponseSizes()
        self._transit = registry.find("peers", BodyTransit)
        self._evacuation = find_gate(registry)
        registry.find("peers", Peers).serve(self.execute)

    async def start(self) -> None:
        """Starts nothing: this service has no background task."""

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""

    def subscribe(self, listener: RunListener) -> None:
        """Registers a listener to be called after each run on the upstream."""
        self._listeners.append(listener)

    def watch_runs(self, room: CallRoom) -> None:
        """Asks for room for the calls of each run; see `RunGate.watch_runs`."""
        self._call_room = room

    async def execute(self, request: Request) -> Response:
        """Runs a request on the upstream of this agent; see `Execution.execute`.

        A cancellation withdraws a request that waits. Once a request that must not repeat has been
        sent to the upstream, the cancellation takes effect after its run.
        """
        arrived_at = self._clock.now()
        try:
            with self._shutdown.open_request(request.id):
                response = await self._execute(request, arrived_at)
            raise_delayed_cancellation()
            return response
        except RefusalError as error:
            error.occupancy = self._occupancy()
            if request.key and isinstance(error, OverloadedError):
                # Keys are moved according to demand. Counting only the requests that ran would cap
                # the load of a hot key at what its server can run.
                expected_run_s = error.occupancy.run_ms / 1000
                self._load.record(int(request.key), request.key, expected_run_s)
            _REQUEST_NOT_RUN.emit(
                request=request.id,
                service=request.service,
                label=error.label,
                outcome=error.outcome,
                reason=error,
                occupancy=error.occupancy,
                waited_ms=round((self._clock.now() - arrived_at) * 1000, 1),
                left_ms=round((request.deadline - self._clock.now()) * 1000),
                source=request.forwarded_by,
                delayed_ms=round(request.delayed_s * 1000),
            )
            raise_delayed_cancellation()
            raise

    async def _execute(self, request: Request, arrived_at: float) -> Response:
        entry = self._catalogue.entry(request.service).entry
        self._check_accepting(request)
        self._check_in_time(request, arrived_at)
        async with AsyncExitStack() as run_context:
            async with (
                self._shutdown.waiting(request.deadline, _is_movable(request)),
                self._evacuation.waiting(keyed=bool(request.key)),
            ):
                await self._admitted_epoch(request)
                if self._call_room is not None:
                    self._call_room.check(request)
                if not isinstance(request.body, BytesBody):
                    length = request.body.length or 0
                    self._arrivals.check(length)
                    run_context.enter_context(self._bodies.hold(length))
                    self._admission.check(self._without_arrival_time(request), entry)
                    request = await self._with_received_body(request)
                guard = self._quarantine.guard(request)
                request = await run_context.enter_async_context(guard)
                self._check_sending(request)
                slot = self._admission.slot(request, entry)
                await run_context.enter_async_context(slot)
                # The upstream may have begun to leave, its domain may be evacuated, or the key may
                # have moved, during the wait.
                epoch = await self._epoch_to_send(request)
            started_at = self._clock.now()
            run_until = self._shutdown.limit(request.deadline)
            run = self._upstream.run(request, int(request.key or 0), epoch, run_until)
            if self._call_room is not None:
                self._call_room.run_began(request, run_until)
            try:
                response = await (run if request.repeatable else self._finish(run))
            finally:
                if self._call_room is not None:
                    self._call_room.run_ended(request, run_until)
                run_s = self._clock.now() - started_at
                if request.key:
                    self._load.record(int(request.key), request.key, run_s)
        self._response_sizes.add(request.route, response.body.length or 0)
        occupancy = self._occupancy()
        _REQUEST_RUN.emit(
            request=request.id,
            service=request.service,
            key=request.key,
            epoch=epoch,
            status=response.status,
            waited_ms=round((started_at - arrived_at) * 1000, 1),
            run_ms=round(run_s * 1000, 1),
            source=request.forwarded_by,
            delayed_ms=round(request.delayed_s * 1000),
        )
        for listener in self._listeners:
            listener.run_ended(request.service, run_s)
        return replace(response, occupancy=occupancy, epoch=epoch)

    def _occupancy(self) -> Occupancy:
        announcement = self._membership.announcement
        leaving = announcement is not None and announcement.state is AnnouncedState.LEAVING
        link_ms = int(self._transit.expected_send_s(0) * 1000)
        return replace(self._slots.occupancy, leaving=leaving, link_ms=link_ms)

    async def _finish(self, run: Coroutine[None, None, Response]) -> Response:
        return await finish_despite_cancellation(run, self._shutdown.closing.done)

    def _without_arrival_time(self, request: Request) -> Request:
        """Returns a request with the time that is left once its body has arrived."""
        arrival_s = self._arrivals.expected_s(request.body.length or 0)
        useful_until = request.useful_until or request.deadline
        return replace(
            request,
            useful_until=useful_until - arrival_s,
            deadline=request.deadline - arrival_s,
        )

    def _check_sending(self, request: Request) -> None:
        """Checks whether a large response could be sent to the agent that forwarded the request.

        A run whose response is late on the link would take a slot and the link from others. Small
        responses are sent ahead of the bodies of large ones.

        Raises:
            OverloadedError: It could not, or another upstream may respond in time.
        """
        expected_bytes = self._response_sizes.expected_bytes(request.route)
        if expected_bytes <= _LARGE_RESPONSE_BYTES or request.forwarded_by is None:
            return
        sending_s = self._transit.expected_send_s(expected_bytes)
        ends_at = self._clock.now() + self._slots.occupancy.run_ms / 1000 + sending_s
        useful_until = request.useful_until or request.deadline
        if ends_at > (useful_until if request.has_alternatives else request.deadline):
            raise OverloadedError(
                "the response would be late on the link", retry_after_s=max(sending_s, _MIN_WAIT_S)
            )

    async def _with_received_body(self, request: Request) -> Request:
        """Receives a streamed body, which would otherwise arrive while its run holds a slot.

        Afterwards the request stays here even if its response will be late, because sending the
        body to another upstream takes as long again.
        """
        try:
            async with asyncio.timeout(max(request.deadline - self._clock.now(), 0)):
                body = await self._arrivals.receive(request.body)
        except TimeoutError:
            raise DeadlineExceededError(
                "the deadline passed before the request body arrived"
            ) from None
        return replace(request, body=BytesBody(body), has_alternatives=False)

    async def _admitted_epoch(self, request: Request) -> int:
        """Returns the epoch of the request's key, or 0 without a key; raises as `admit`."""
        if not request.key:
            return 0
        pending_ticket = self._ownership.admit(request.service, request.key, request.deadline)
        with await pending_ticket as ticket:
            return ticket.epoch

    async def _epoch_to_send(self, request: Request) -> int:
        """Returns the epoch of the request's key once the upstream may get the request."""
        while True:
            self._check_accepting(request)
            epoch = await self._admitted_epoch(request)
            wait_s = self._warmup.begin_send()
            if wait_s <= 0:
                return epoch
            await self._clock.sleep(wait_s)

    def _check_in_time(self, request: Request, now: float) -> None:
        if request.deadline <= now:
            raise DeadlineExceededError("the deadline passed on the way to this agent")
        if request.delayed_s > _MAX_DELAY_S and request.has_alternatives and not request.key:
            raise OverloadedError(f"the request took {request.delayed_s:.1f} s longer than others")

    def _check_accepting(self, request: Request) -> None:
        announcement = self._membership.announcement
        if announcement is None:
            raise UpstreamUnavailableError("the upstream has not announced itself")
        if request.departed_start and request.departed_start == announcement.start:
            self._departure_record.upstream_leaves(announcement.start)
            raise DrainingError("the upstream has told other agents that it leaves")
        if announcement.service != request.service:
            raise NotOwnerError(f"the upstream of this agent serves {announcement.service!r}")
        if announcement.state is AnnouncedState.LEAVING or self._departure.closed:
            raise DrainingError("the upstream is leaving its group")
        self._evacuation.check(keyed=bool(request.key))
        self._shutdown.check(request.deadline, _is_movable(request))


def _is_movable(request: Request) -> bool:
    """Returns whether the agent that sent the request can send it to another one instead.

    A key has one owner, and callers of this agent are not routed elsewhere at once.
    """
    return request.forwarded_by is not None and not request.key
