"""The HTTP front end for callers, as the `frontend` service."""

from __future__ import annotations

import asyncio
import uuid
from contextlib import aclosing

from aiohttp import web
from multidict import CIMultiDict

from ...interfaces import Catalogue, Membership, Router
from ...kernel import Clock, Event, Kernel, Level, RefusalError, Registry
from ...kernel.errors import (
    DeadlineExceededError,
    FescuewardError,
    InternalError,
)
from ...kernel.http_pipeline import PipelinedRequest
from ...kernel.http_port import HttpPort
from ...kernel.settings import Settings
from ...kernel.tracebacks import drop_traceback
from ...messages import Request, Response
from ...messages.request import BytesBody
from ...messages.upstream import (
    REQUEST_ID_HEADER,
)
from .connections import REQUEST_FAILED, CallerServer
from .refusals import refusal_response
from .requests import read_request

_RESPONSE_BROKEN = Event(
    3601,
    "response_broken",
    Level.WARNING,
    "A response ended early, and its connection was aborted.",
)

# Callers that keep a connection receive `Connection: close` with their next response. Connections
# without a request for this long are closed.
_DRAIN_TIMEOUT_S = 2.0
_DRAIN_POLL_INTERVAL_S = 0.02
SERVED_BY_HEADER = "Fescueward-Served-By"
# Requests in flight may finish within this time when the agent stops.
_SHUTDOWN_TIMEOUT_S = 30.0
# Aborts a response whose caller reads nothing for this long, which frees its upstream slot.
_STALL_TIMEOUT_S = 30.0


class HttpFrontend:
    """The `frontend` service; aiohttp runs one task for each connection of a caller."""

    name = "frontend"
    requires = ("router",)

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._http: HttpPort | None = None

    @property
    def listening(self) -> bool:
        """Whether the port is open for callers."""
        return self._http is not None and self._http.listening

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._membership = registry.find("membership", Membership)
        self._router = registry.find("router", Router)
        section = registry.find("settings", Settings).callers
        self._host, self._port = section.host, section.port

    async def start(self) -> None:
        """Starts a task that listens for callers once the catalogue is loaded."""
        server = CallerServer(self._handle_request)
        self._http = HttpPort(server, self._host, self._port, _SHUTDOWN_TIMEOUT_S)
        self._tasks.spawn("listen", self._listen())

    async def drain(self) -> None:
        """Stops listening and lets callers close their connections after a response."""
        if self._http is None:
            return
        await self._http.stop_listening()
        end = self._clock.now() + _DRAIN_TIMEOUT_S
        while self._http.connections and self._clock.now() < end:
            await self._clock.sleep(_DRAIN_POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Stops listening and lets the requests in flight finish within a timeout."""
        await self._tasks.cancel()
        if self._http is not None:
            await self._http.close()
        await self._tasks.cancel()

    async def _listen(self) -> None:
        # Until the catalogue is loaded, every request would be refused as for an unknown service.
        await self._catalogue.wait_until_loaded()
        assert self._http is not None
        await self._http.start()

    async def _handle_request(self, http: PipelinedRequest) -> web.StreamResponse:
        request_id = http.headers.get(REQUEST_ID_HEADER) or uuid.uuid4().hex
        try:
            request = await read_request(http, request_id, self._catalogue, self._clock)
            if request.token is not None:
                await self._wait_for_turn(http, request.deadline)
            response = await self._route(request)
        except RefusalError as error:
            drop_traceback(error)
            return self._close_if_leaving(refusal_response(error, request_id))
        except ConnectionError:
            raise
        except Exception as error:  # any fault gets a typed JSON error, not aiohttp's text page
            REQUEST_FAILED.emit(request=request_id, error=repr(error))
            unexpected = InternalError(f"unexpected {type(error).__name__}")
            return refusal_response(unexpected, request_id, close=True)
        return await self._send_response(http, response)

    async def _wait_for_turn(self, http: PipelinedRequest, deadline: float) -> None:
        """Waits until no earlier response of the connection can close it.

        The caller would send the request, which must not run twice, again.
        """
        try:
            async with asyncio.timeout(max(deadline - self._clock.now(), 0)):
                await http.wait_for_turn()
        except TimeoutError:
            raise DeadlineExceededError(
                "the earlier requests of the connection are not answered"
            ) from None

    async def _route(self, request: Request) -> Response:
        if request.token is None:
            return await self._router.route(request)
        # A task of its own, because a cancellation takes effect after a run that has begun: the
        # caller may reconnect and query its outcome.
        routing = self._tasks.spawn("once", self._route_to_result(request))
        try:
            result = await asyncio.shield(routing)
        except asyncio.CancelledError:
            routing.cancel()
            self._tasks.spawn("discard", _discard_response(routing))
            raise
        if isinstance(result, RefusalError):
            raise result
        return result

    async def _route_to_result(self, request: Request) -> Response | RefusalError:
        try:
            return await self._router.route(request)
        except RefusalError as error:
            return error
        except Exception as error:  # an exception that leaves a task would stop the agent
            REQUEST_FAILED.emit(request=request.id, error=repr(error))
            return InternalError(f"unexpected {type(error).__name__}")

    async def _send_response(
        self, http: web.BaseRequest, response: Response
    ) -> web.StreamResponse:
        headers = CIMultiDict(response.headers)
        headers[SERVED_BY_HEADER] = response.served_by
        headers[REQUEST_ID_HEADER] = response.request_id
        body = response.body
        if isinstance(body, BytesBody):
            full_response = web.Response(status=response.status, headers=headers, body=body.data)
            return self._close_if_leaving(full_response)
        stream = web.StreamResponse(status=response.status, headers=headers)
        if body.length is not None:
            stream.content_length = body.length
        self._close_if_leaving(stream)
        try:
            await stream.prepare(http)
            async with aclosing(body.chunks()) as chunks:
                async for chunk in chunks:
                    async with asyncio.timeout(_STALL_TIMEOUT_S):
                        await stream.write(chunk)
            await stream.write_eof()
        except (FescuewardError, OSError) as error:
            _RESPONSE_BROKEN.emit(request=response.request_id, error=error)
            # The caller cannot mistake an aborted connection for a complete response.
            if http.transport is not None:
                http.transport.abort()
        finally:
            await body.close()
        return stream

    def _close_if_leaving(self, response: web.StreamResponse) -> web.StreamResponse:
        # Callers switch to other agents before this one stops listening.
        if self._membership.leaving:
            response.force_close()
        return response


async def _discard_response(routing: asyncio.Task[Response | RefusalError]) -> None:
    result = await routing
    if isinstance(result, Response):
        await result.body.close()
