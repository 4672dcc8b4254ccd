"""HTTP server connections whose requests are handled concurrently and answered in order.

aiohttp handles the requests of one connection one after the other, so a pipelined request waits
for the whole run of the one before it.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

# `aiohttp.web` would also import applications, routes and files, which delays each start.
from aiohttp.http_writer import StreamWriter
from aiohttp.streams import StreamReader
from aiohttp.web_exceptions import HTTPException
from aiohttp.web_protocol import ERROR, RequestHandler, RequestPayloadError
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from aiohttp.web_server import Server

_HEAD_END = b"\r\n\r\n"

Handler = Callable[[Any], Awaitable[StreamResponse]]


@dataclass(frozen=True, slots=True)
class PipelineLimits:
    """Limits on the requests that are handled before earlier ones of their connection.

    Attributes:
        requests: Requests of one connection that are handled at the same time.
        response_bytes: Bytes of finished responses of one connection that wait for earlier ones;
            above it, no further request of that connection is begun.
        total_requests: Requests of all connections that wait for an earlier response.
    """

    requests: int = 16
    response_bytes: int = 1 << 20
    total_requests: int = 1024


class _OrderedWriter(StreamWriter):
    """Writes a response once all earlier responses of its connection are complete."""

    def __init__(
        self,
        protocol: PipelinedConnection,
        loop: asyncio.AbstractEventLoop,
        turn: asyncio.Future[None],
    ) -> None:
        super().__init__(protocol, loop)
        self._turn = turn

    async def write_headers(self, status_line: str, headers: Any) -> None:
        if not self._turn.done():
            await asyncio.shield(self._turn)
        await super().write_headers(status_line, headers)


class PipelinedRequest(BaseRequest):
    """A request that may have been read before earlier ones of its connection were answered."""

    def __init__(self, *args: Any, turn: asyncio.Future[None]) -> None:
        super().__init__(*args)
        self._turn = turn

    @property
    def pipelined(self) -> bool:
        """Whether the caller has sent requests on this connection before earlier responses."""
        connection = self.protocol
        assert isinstance(connection, PipelinedConnection)
        return connection.pipelined

    @property
    def has_turn(self) -> bool:
        """Whether all earlier requests of the connection have been answered."""
        return self._turn.done()

    async def wait_for_turn(self) -> None:
        """Waits until all earlier requests of the connection have been answered."""
        if not self._turn.done():
            await asyncio.shield(self._turn)


class _Exchange:
    """A request in progress.

    Attributes:
        request: The request.
        turn: Done once all earlier responses are complete, so that this one may be written.
        ahead: Whether the request was begun while an earlier one was in progress.
        waiting_bytes: Size of the finished response while it waits for its turn.
        task: Runs the handler and writes the response.
    """

    def __init__(self, request: PipelinedRequest, turn: asyncio.Future[None], ahead: bool) -> None:
        self.request = request
        self.turn = turn
        self.ahead = ahead
        self.waiting_bytes = 0
        self.task: asyncio.Task[tuple[StreamResponse, bool]] | None = None


class PipelinedConnection(RequestHandler):
    """A connection that begins each request when it arrives.

    A response with `Connection: close` tells the caller that no request behind it was read. A
    handler that closes the connection therefore closes it after the last request that has been
    begun; later requests are discarded.

    Args:
        manager: The server.
        limits: Limits on pipelined requests.
        **options: Options of `aiohttp.web_protocol.RequestHandler`.

    Attributes:
        pipelined: Whether a request was begun before the response to an earlier one.
    """

    __slots__ = (
        "_draining",
        "_exchanges",
        "_finishing",
        "_last_payload",
        "_limits",
        "_server",
        "pipelined",
    )

    def __init__(self, manager: PipelinedServer, limits: PipelineLimits, **options: Any) -> None:
        super().__init__(manager, **options)
        self._server = manager
        self._limits = limits
        self._exchanges: deque[_Exchange] = deque()
        self.pipelined = False
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

    def data_received(self, data: bytes) -> None:
        """Parses requests and begins those within the limits."""
        # aiohttp discards the requests that it has parsed from the same data as malformed bytes.
        # It therefore gets the data in parts that end with a head.
        start = 0
        while True:
            boundary = data.find(_HEAD_END, start)
            end = boundary + len(_HEAD_END) if boundary >= 0 else len(data)
            if self._finishing and self._last_payload_complete():
                return
            super().data_received(data[start:end])
            self._begin_requests()
            start = end
            if start >= len(data):
                return

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails the reading of bodies; the handlers are cancelled with the task of `start`."""
        for exchange in self._exchanges:
            exchange.request._cancel(exc or ConnectionResetError("the caller disconnected"))
        super().connection_lost(exc)

    @property
    def busy(self) -> bool:
        """Whether a request is in progress or a part of a response has not been sent."""
        unsent = self.transport is not None and self.transport.get_write_buffer_size() > 0
        return bool(self._exchanges) or unsent

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
            response, disconnected = await exchange.task
        except ConnectionError:
            return False
        except asyncio.CancelledError:
            self.force_close()
            raise
        except Exception as error:
            self.log_exception("Unhandled exception", exc_info=error)
            self.force_close()
            return False
        self._discard(exchange)
        if disconnected:
            return False
        self._keepalive = bool(response.keep_alive)
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
            _OrderedWriter(self, self._loop, turn),
            self._task_handler,
            self._loop,
            turn=turn,
        )
        exchange = _Exchange(request, turn, bool(self._exchanges))
        self._server.requests_ahead += exchange.ahead
        self.pipelined = self.pipelined or exchange.ahead
        self._exchanges.append(exchange)
        exchange.task = self._loop.create_task(self._handle(exchange, handler))

    async def _handle(self, exchange: _Exchange, handler: Handler) -> tuple[StreamResponse, bool]:
        request = exchange.request
        try:
            response = await handler(request)
        except HTTPException as error:
            response = error
        except Exception as error:
            response = self.handle_error(request, 500, error)
        if not response.prepared:
            body = getattr(response, "body", None)
            exchange.waiting_bytes = len(body) if isinstance(body, bytes) else 0
            await request.wait_for_turn()
            exchange.waiting_bytes = 0
            is_last = self._exchanges[-1] is exchange
            if response.keep_alive is False and not is_last:
                self._finishing = True
                # aiohttp has no public call that takes back `force_close`.
                response._keep_alive = None
            elif (self._finishing or self._draining) and is_last:
                response.force_close()
        return await self.finish_response(request, response, None)

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

    def _discard(self, exchange: _Exchange) -> None:
        """Removes an exchange; one that is not complete is cancelled."""
        self._exchanges.remove(exchange)
        self._server.requests_ahead -= exchange.ahead
        if exchange.task is not None and not exchange.task.done():
            exchange.task.cancel()

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
        limits: Limits on pipelined requests.
        **options: Options of `aiohttp.web_protocol.RequestHandler`.

    Attributes:
        requests_ahead: Requests of all connections that wait for an earlier response.
    """

    connection_class: type[PipelinedConnection] = PipelinedConnection

    def __init__(
        self, handler: Handler, limits: PipelineLimits = PipelineLimits(), **options: Any
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self.requests_ahead = 0
        self._limits = limits
        # A body is forwarded under the header that names its encoding.
        self._options = {"auto_decompress": False, **options}

    @property
    def busy(self) -> bool:
        """Whether a connection has a request in progress or a response to send."""
        return any(
            isinstance(connection, PipelinedConnection) and connection.busy
            for connection in self.connections
        )

    def __call__(self) -> RequestHandler:
        """Returns the aiohttp protocol of a new connection."""
        return self.connection_class(
            self,
            self._limits,
            loop=asyncio.get_running_loop(),
            access_log=None,
            **self._options,
        )
