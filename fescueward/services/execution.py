"""Execution of a request by the agent that owns its key."""

from __future__ import annotations

import asyncio
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
    RequestWithdrawnError,
    TokenRequiredError,
)
from ..kernel.tasks import finish_despite_cancellation, raise_delayed_cancellation
from ..messages import Body, Entry, Request, RequestClass, Response
from ..messages.request import BytesBody

_REQUEST_EXECUTED = Event(
    3401,
    "request_executed",
    Level.INFO,
    "A request ran on the upstream of this VM.",
    frequent=True,
)


class OwnerExecution:
    """The `execution` service.

    Runs a request on the upstream of this VM while it holds the ticket of the key's shard. The
    ticket is checked after the run and between the chunks of a streamed response. A cancellation
    withdraws a request that waits; the run of a request with a token ends first, so that its
    outcome is retained.
    """

    name = "execution"
    requires = ("catalogue", "ownership", "outcomes", "admission", "quarantine", "upstream")

    def __init__(self) -> None:
        self._listeners: list[RunListener] = []
        self._stopped = False

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
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
        """Starts nothing: this service has no background task."""

    async def stop(self) -> None:
        """Lets cancellations break off runs from now on."""
        self._stopped = True

    def subscribe(self, listener: RunListener) -> None:
        """Registers a listener to be called after each run on the upstream."""
        self._listeners.append(listener)

    async def execute(self, request: Request) -> Response:
        """Runs a request on the upstream of this agent; see `Execution.execute`."""
        entry = self._catalogue.entry(request.service).entry
        request = _with_body_limit(request, entry)
        ticket = await self._ownership.admit(request.service, request.key, request.deadline)
        async with AsyncExitStack() as stack:
            stack.enter_context(ticket)

            async def run(request_to_run: Request) -> Response:
                return await self._run(request_to_run, entry, ticket, stack)

            if entry.request_class is RequestClass.ONCE:
                if request.token is None:
                    token = self._outcomes.issue(ticket.shard, ticket.epoch)
                    raise TokenRequiredError("the request needs a token", token=token)
                try:
                    response = await self._outcomes.run_once(
                        request, ticket.shard, ticket.epoch, run
                    )
                finally:
                    raise_delayed_cancellation()
            else:
                response = await run(request)
            _check_after_run(ticket)
            _REQUEST_EXECUTED.emit(
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
            return replace(response, body=_TicketBody(response.body, ticket, stack.pop_all()))

    async def _run(
        self, request: Request, entry: Entry, ticket: Ticket, stack: AsyncExitStack
    ) -> Response:
        once = entry.request_class is RequestClass.ONCE
        try:
            request = await stack.enter_async_context(self._quarantine.guard(request))
            await stack.enter_async_context(self._admission.slot(request, entry))
        except asyncio.CancelledError:
            if not once:
                raise
            # Its token stays valid, because it has not run.
            raise RequestWithdrawnError("the caller left while the request waited") from None
        ticket.check()
        started_at = self._clock.now()
        deadline = min(request.deadline, started_at + entry.limits.max_request_ms / 1000)
        upstream_run = self._upstream.run(request, ticket.shard, ticket.epoch, deadline)
        if once:
            response = await finish_despite_cancellation(upstream_run, lambda: self._stopped)
        else:
            response = await upstream_run
        for listener in self._listeners:
            listener.run_ended(request.service, self._clock.now() - started_at)
        self._load.record(ticket.shard, request.key, self._clock.now() - started_at)
        if not isinstance(response.body, BytesBody):
            stack.push_async_callback(response.body.close)
        return response


def _check_after_run(ticket: Ticket) -> None:
    try:
        ticket.check()
    except LeaseExpiredError as error:
        # The request has run here, and another owner may run it again, so the outcome is not
        # `not_run`.
        raise OutcomeLostError(f"the lease ended while the request ran: {error}") from error


class _TicketBody:
    """A response body that holds the slot and the ticket until it is read to its end or closed."""

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
                    raise BodyTruncatedError(
                        f"the lease ended during the response: {error}"
                    ) from error
                yield chunk

    async def close(self) -> None:
        await self._stack.aclose()


class _LimitedBody:
    """A request body that raises `BodyTooLargeError` beyond the size limit of the entry."""

    def __init__(self, body: Body, limit_bytes: int) -> None:
        self.length = body.length
        self.started = False
        self._body = body
        self._limit_bytes = limit_bytes

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        self.started = True
        size_bytes = 0
        async with aclosing(self._body.chunks()) as chunks:
            async for chunk in chunks:
                size_bytes += len(chunk)
                if size_bytes > self._limit_bytes:
                    raise BodyTooLargeError(f"the request body exceeds {self._limit_bytes} bytes")
                yield chunk

    async def close(self) -> None:
        await self._body.close()


def _with_body_limit(request: Request, entry: Entry) -> Request:
    limit_bytes = entry.limits.max_body_bytes
    length_bytes = request.body.length
    if length_bytes is not None and length_bytes > limit_bytes:
        raise BodyTooLargeError(
            f"the request body has {length_bytes} bytes; the limit is {limit_bytes}"
        )
    if isinstance(request.body, BytesBody):
        return request
    return replace(request, body=_LimitedBody(request.body, limit_bytes))
