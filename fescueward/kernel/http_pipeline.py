"""HTTP server connections whose requests are handled concurrently and answered in order.

aiohttp handles the requests of one connection one after the other, so a pipelined request waits
for the whole run of the one before it.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

# `aiohttp.web` would also import applications, routes and files, which delays each start.
from aiohttp.streams import StreamReader
from aiohttp.web_exceptions import HTTPException
from aiohttp.web_protocol import ERROR, RequestHandler, RequestPayloadError
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from aiohttp.web_server import Server

from .caller_budget import CallerBudget
from .http_exchange import Exchange, OrderedWriter, PipelinedRequest, PipelineLimits, head_bytes
from .http_inbound import InboundConnection
from .http_meter import InboundLimits
from .receive_buffers import ReceiveBuffers

# Period in which connections are checked for slow callers.
_CHECK_PERIOD_S = 1.0

Handler = Callable[[Any], Awaitable[StreamResponse]]


class PipelinedConnection(InboundConnection):
    """A connection that begins each request when it arrives.

    A response with `Connection: close` tells the caller that no request behind it was read. A
    handler that closes the connection therefore closes it after the last request that has been
    begun; later requests are discarded.

    Args:
        manager: The server.
        limits: Limits on pipelined requests.
        inbound: Limits on what the caller sends.
        budget: Limit that the connection shares with others, or None.
        **options: Options of `aiohttp.web_protocol.RequestHandler`.

    """

    __slots__ = (
        "_budget",
        "_draining",
        "_exchanges",
        "_finishing",
        "_held_bytes",
        "_last_payload",
        "_limits",
        "_server",
    )

    def __init__(
        self,
        manager: PipelinedServer,
        limits: PipelineLimits,
        inbound: InboundLimits,
        budget: CallerBudget | None = None,
        **options: Any,
    ) -> None:
        super().__init__(manager, inbound, **options)
        self._budget = budget
        self._held_bytes = 0
        self._server = manager
        self._limits = limits
        self._exchanges: deque[Exchange] = deque()
        # Body of the last request that was begun, which may arrive when later data is discarded.
        self._last_payload: StreamReader | None = None
        # Whether a response closes the connection, so that no further request is begun.
        self._finishing = False
        # Whether the connection is closed as soon as no request is in progress.
        self._draining = False

    @property
    def waiting_bytes(self) -> int:
        """Bytes of finished responses that wait for earlier ones."""
        return sum(exchange.waiting_bytes for exchange in self._exchanges)

    def held_changed(self) -> None:
        """Records what the connection holds in the budget of the process."""
        if self._budget is None:
            return
        held_bytes = 0
        if self.transport is not None and not self._evicted:
            held_bytes = self.inbound_bytes
            for exchange in self._exchanges:
                held_bytes += exchange.head_bytes + exchange.request.response_bytes
            for message, _ in self._messages:
                held_bytes += head_bytes(message)
        if held_bytes != self._held_bytes:
            self._held_bytes = held_bytes
            self._budget.update(self, held_bytes)

    def _discards_input(self) -> bool:
        return self._finishing and self._last_payload_complete()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails the reading of bodies; the handlers are cancelled with the task of `start`."""
        for exchange in self._exchanges:
            exchange.request._cancel(exc or ConnectionResetError("the caller disconnected"))
        if self._budget is not None:
            self._budget.update(self, 0)
        super().connection_lost(exc)

    @property
    def busy(self) -> bool:
        """Whether a request is in progress or a part of a response has not been sent."""
        return bool(self._exchanges) or self.unsent_bytes > 0

    def close(self) -> None:
        """Closes the connection once no request is in progress.

        Requests that are read until then are begun. aiohttp discards them, so their caller would
        get no response to a request that this process has read.
        """
        self._draining = True
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def shutdown(self, timeout: float | None = 15.0) -> None:
        """Waits for the requests that have been begun, then closes the connection."""
        if self._keepalive_handle is not None:
            self._keepalive_handle.cancel()
        self.close()
        task = self._task_handler
        if task is not None:
            await asyncio.wait((task,), timeout=timeout)
            task.cancel()
        self.force_close()

    async def start(self) -> None:
        """Writes the responses in the order of their requests; aiohttp runs this as a task."""
        try:
            while not self._force_close:
                if not self._exchanges:
                    if self._draining or self._finishing:
                        break
                    await self._wait_for_request()
                    continue
                if not await self._finish_first():
                    break
                self._begin_requests()
                self._schedule_keepalive()
        finally:
            while self._exchanges:
                self._discard(self._exchanges[-1])
            self.held_changed()
        if self._refused and not self._force_close:
            await self._linger()
        if not self._force_close:
            self._task_handler = None
            if self.transport is not None:
                self.transport.close()

    async def _wait_for_request(self) -> None:
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    async def _finish_first(self) -> bool:
        """Completes the oldest exchange; returns whether the connection can be used further."""
        exchange = self._exchanges[0]
        assert exchange.task is not None
        if not exchange.turn.done():
            exchange.turn.set_result(None)
        try:
            keep_alive, disconnected = await exchange.task
            # The response counts as held until its caller has read it.
            await self._drain_helper()
        except ConnectionError:
            return False
        except asyncio.CancelledError as error:
            self.force_close()
            # The frames of the handler refer to this task, which would keep them, and with them
            # the response, until the next collection.
            raise error.with_traceback(None) from None
        except Exception as error:
            self.log_exception("Unhandled exception", exc_info=error)
            self.force_close()
            return False
        self._discard(exchange)
        self._idle_since = self._loop.time()
        self.held_changed()
        if disconnected:
            return False
        self._keepalive = keep_alive
        await self._discard_body(exchange.request)
        return self._keepalive and not self._force_close

    def _begin_requests(self) -> None:
        while self._messages and self._may_begin():
            message, payload = self._messages.popleft()
            if self._parser is not None:
                self._parser.message_consumed()
            self._begin(message, payload)
        if self._buffer_paused and len(self._messages) <= self._msg_queue_resume_size:
            self._resume_reading_if_drained()

    def _may_begin(self) -> bool:
        if self._force_close or self._finishing or self._manager is None:
            return False
        if not self._exchanges:
            return True
        return (
            len(self._exchanges) < self._limits.requests
            and self.waiting_bytes <= self._limits.response_bytes
            and self._server.requests_ahead < self._limits.total_requests
        )

    def _last_payload_complete(self) -> bool:
        return self._last_payload is None or self._last_payload.is_eof()

    def _begin(self, message: Any, payload: Any) -> None:
        assert self._request_handler is not None and self._manager is not None
        self._last_payload = payload
        self._manager.requests_count += 1
        handler: Handler = self._request_handler
        if not hasattr(message, "headers"):
            handler, message = self._make_error_handler(message), ERROR
        turn = self._loop.create_future()
        if not self._exchanges:
            turn.set_result(None)
        request = PipelinedRequest(
            message,
            payload,
            self,
            OrderedWriter(self, self._loop, turn),
            self._task_handler,
            self._loop,
            turn=turn,
        )
        exchange = Exchange(request, turn, bool(self._exchanges), head_bytes(message))
        self._server.requests_ahead += exchange.ahead
        self.pipelined = self.pipelined or exchange.ahead
        self._exchanges.append(exchange)
        exchange.task = self._loop.create_task(self._handle(exchange, handler))

    async def _handle(self, exchange: Exchange, handler: Handler) -> tuple[bool, bool]:
        """Writes the response; returns whether the connection is kept, and whether it ended."""
        request = exchange.request
        try:
            response = await handler(request)
        except HTTPException as error:
            response = error
        except Exception as error:
            response = self.handle_error(request, 500, error)
        if not response.prepared:
            body = getattr(response, "body", None)
            # They stay counted until the response has been sent.
            exchange.waiting_bytes = len(body) if isinstance(body, bytes) else 0
            request.hold_response(exchange.waiting_bytes)
            await request.wait_for_turn()
            is_last = self._exchanges[-1] is exchange
            if response.keep_alive is False and not is_last:
                self._finishing = True
                # aiohttp has no public call that takes back `force_close`.
                response._keep_alive = None
            elif (self._finishing or self._draining) and is_last:
                response.force_close()
        response, disconnected = await self.finish_response(request, response, None)
        return bool(response.keep_alive), disconnected

    async def _discard_body(self, request: BaseRequest) -> None:
        """Reads the rest of a body for a bounded time, so that the caller gets the response."""
        payload = request.content
        if payload.is_eof():
            return
        # A caller that disconnects fails the reading with the error of its connection.
        with suppress(OSError, RequestPayloadError):
            async with asyncio.timeout(self._lingering_time):
                while not payload.is_eof() and not self._force_close:
                    await payload.readany()
        if not payload.is_eof():
            self.close()

    def _discard(self, exchange: Exchange) -> None:
        """Removes an exchange; one that is not complete is cancelled."""
        self._exchanges.remove(exchange)
        self._server.requests_ahead -= exchange.ahead
        task, exchange.task = exchange.task, None
        # A cancelled task keeps the frames of its error. Without the way back from them the
        # response is freed at once, not by the next collection.
        if task is not None and not task.done():
            task.cancel()

    def _schedule_keepalive(self) -> None:
        self._next_keepalive_close_time = self._loop.time() + self._keepalive_timeout
        if self._keepalive_handle is None and not self._draining:
            self._keepalive_handle = self._loop.call_at(
                self._next_keepalive_close_time, self._process_keepalive
            )


class PipelinedServer(Server):
    """Creates a `PipelinedConnection` for each accepted connection.

    Args:
        handler: Handles one request; it is cancelled when the caller disconnects.
        limits: Limits on pipelined requests, or None for the usual ones.
        inbound: Returns the limits on what a caller sends, which may change.
        budget: Memory for what all connections hold, or None for no limit.
        receive_buffers: Sets the receive buffers of the connections, or None to leave them.
        **options: Options of `aiohttp.web_protocol.RequestHandler`.

    Attributes:
        requests_ahead: Requests of all connections that wait for an earlier response.
    """

    connection_class: type[PipelinedConnection] = PipelinedConnection

    def __init__(
        self,
        handler: Handler,
        limits: PipelineLimits | None = None,
        inbound: Callable[[], InboundLimits] = InboundLimits,
        budget: CallerBudget | None = None,
        receive_buffers: ReceiveBuffers | None = None,
        **options: Any,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._receive_buffers = receive_buffers
        self.requests_ahead = 0
        self._limits = limits or PipelineLimits()
        self._inbound = inbound
        self._budget = budget
        self._check: asyncio.TimerHandle | None = None
        # A body is forwarded under the header that names its encoding.
        self._options = {"auto_decompress": False, **options}

    @property
    def busy(self) -> bool:
        """Whether a connection has a request in progress or a response to send."""
        return any(
            isinstance(connection, PipelinedConnection) and connection.busy
            for connection in self.connections
        )

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        """Records a connection; above their limit, the one that is idle for longest is closed."""
        super().connection_made(handler, transport)
        if self._receive_buffers is not None:
            self._receive_buffers.assign(handler, transport)
        if self._check is None:
            loop = asyncio.get_running_loop()
            self._check = loop.call_later(_CHECK_PERIOD_S, self._check_times)
        if len(self.connections) > self._inbound().connections:
            self._surplus(handler).evict()

    def connection_lost(self, handler: RequestHandler, exc: BaseException | None = None) -> None:
        """Removes a connection that has ended."""
        super().connection_lost(handler, exc)
        if self._receive_buffers is not None:
            self._receive_buffers.release(handler)

    def _surplus(self, newest: RequestHandler) -> InboundConnection:
        connections = [
            connection
            for connection in self.connections
            if isinstance(connection, InboundConnection) and connection is not newest
        ]
        idle = [connection for connection in connections if not connection.busy]
        unread = [connection for connection in connections if connection.unsent_bytes]
        assert isinstance(newest, InboundConnection)
        return min(idle or unread or [newest], key=lambda connection: connection.idle_since)

    def _check_times(self) -> None:
        self._check = None
        limits = self._inbound()
        loop = asyncio.get_running_loop()
        for connection in self.connections:
            if isinstance(connection, InboundConnection):
                connection.use_limits(limits)
                connection.check_times(loop.time())
        if self.connections:
            self._check = loop.call_later(_CHECK_PERIOD_S, self._check_times)

    def __call__(self) -> RequestHandler:
        """Returns the aiohttp protocol of a new connection."""
        return self.connection_class(
            self,
            self._limits,
            self._inbound(),
            self._budget,
            loop=asyncio.get_running_loop(),
            access_log=None,
            **self._options,
        )
