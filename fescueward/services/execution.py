"""The owner's side of one request, from top to bottom."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack, aclosing
from dataclasses import replace

from ..interfaces import (
    Admission,
    Catalogue,
    Load,
    Outcomes,
    Ownership,
    Peers,
    Quarantine,
    Ticket,
    Upstream,
)
from ..interfaces.metrics import RunListener
from ..kernel import Clock, Event, Level, Registry
from ..kernel.errors import (
    BodyTooLargeError,
    BodyTruncatedError,
    LeaseExpiredError,
    OutcomeLostError,
    TokenRequiredError,
)
from ..messages import Body, Entry, Request, RequestClass, Response
from ..messages.request import BytesBody

_EXECUTED = Event(
    3401, "request_executed", Level.INFO, "A request ran on the upstream here.", frequent=True
)


class OwnerExecution:
    """The `execution` service."""

    name = "execution"
    requires = ("catalogue", "ownership", "outcomes", "admission", "quarantine", "upstream")

    def __init__(self) -> None:
        self._listeners: list[RunListener] = []

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._ownership = registry.find("ownership", Ownership)
        self._outcomes = registry.find("outcomes", Outcomes)
        self._admission = registry.find("admission", Admission)
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
        entry = self._catalogue.entry(request.service).entry
        request = _bounded(request, entry)
        ticket = await self._ownership.admit(request.service, request.key, request.deadline)
        async with AsyncExitStack() as stack:
            stack.enter_context(ticket)

            async def run(admitted: Request) -> Response:
                return await self._run(admitted, entry, ticket, stack)

            if entry.request_class is RequestClass.ONCE:
                if request.token is None:
                    token = self._outcomes.issue(ticket.shard, ticket.epoch)
                    raise TokenRequiredError("the request needs a token", token=token)
                response = await self._outcomes.run_once(request, ticket.shard, ticket.epoch, run)
            else:
                response = await run(request)
            _check_after_run(ticket)
            _EXECUTED.emit(
                request=request.id,
                service=request.service,
                key=request.key,
                shard=ticket.shard,
                epoch=ticket.epoch,
                status=response.status,
                forwarded_by=request.forwarded_by,
            )
            if isinstance(response.body, BytesBody):
                return response
            return replace(response, body=_HeldBody(response.body, ticket, stack.pop_all()))

    async def _run(
        self, request: Request, entry: Entry, ticket: Ticket, stack: AsyncExitStack
    ) -> Response:
        request = await stack.enter_async_context(self._quarantine.guard(request))
        await stack.enter_async_context(self._admission.slot(request, entry))
        ticket.check()
        started = self._clock.now()
        deadline = min(request.deadline, started + entry.limits.max_request_ms / 1000)
        response = await self._upstream.run(request, ticket.shard, ticket.epoch, deadline)
        for listener in self._listeners:
            listener.run_ended(request.service, self._clock.now() - started)
        self._load.record(ticket.shard, request.key, self._clock.now() - started)
        if not isinstance(response.body, BytesBody):
            stack.push_async_callback(response.body.close)
        return response


def _check_after_run(ticket: Ticket) -> None:
    try:
        ticket.check()
    except LeaseExpiredError as error:
        # The request has run here, so `not_run` would be wrong, and another owner may run it.
        raise OutcomeLostError(f"the request ran, but its lease ended: {error}") from error


class _HeldBody:
    """A response body that keeps slot and ticket until it has been sent or closed."""

    def __init__(self, body: Body, ticket: Ticket, stack: AsyncExitStack) -> None:
        self.length = body.length
        self.started = False
        self._body = body
        self._ticket = ticket
        self._stack = stack

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        self.started = True
        async with self._stack, aclosing(self._body.chunks()) as chunks:
            async for chunk in chunks:
                try:
                    self._ticket.check()
                except LeaseExpiredError as error:
                    raise BodyTruncatedError(f"the lease ended in a response: {error}") from error
                yield chunk

    async def close(self) -> None:
        await self._stack.aclose()


class _BoundedBody:
    """A request body that may not grow beyond the limit of the entry."""

    def __init__(self, body: Body, limit: int) -> None:
        self.length = body.length
        self.started = False
        self._body = body
        self._limit = limit

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        self.started = True
        size = 0
        async with aclosing(self._body.chunks()) as chunks:
            async for chunk in chunks:
                size += len(chunk)
                if size > self._limit:
                    raise BodyTooLargeError(f"the body exceeds {self._limit} bytes")
                yield chunk

    async def close(self) -> None:
        await self._body.close()


def _bounded(request: Request, entry: Entry) -> Request:
    limit = entry.limits.max_body_bytes
    length = request.body.length
    if length is not None and length > limit:
        raise BodyTooLargeError(f"the body has {length} bytes; at most {limit} are allowed")
    if isinstance(request.body, BytesBody):
        return request
    return replace(request, body=_BoundedBody(request.body, limit))
