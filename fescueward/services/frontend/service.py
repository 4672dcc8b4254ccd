"""The `frontend` service."""

from __future__ import annotations

import asyncio
import uuid
from contextlib import aclosing

from aiohttp import web
from multidict import CIMultiDict

from ...interfaces import Catalogue, Membership, Router
from ...kernel import Clock, Event, Kernel, Level, RefusalError, Registry
from ...kernel.errors import (
    FescuewardError,
    InternalError,
)
from ...kernel.http_port import HttpPort
from ...kernel.settings import Settings
from ...messages import Request, Response
from ...messages.request import BytesBody
from ...messages.upstream import (
    REQUEST_ID_HEADER,
)
from .connections import UNEXPECTED, CallerServer
from .refusals import refusal_response
from .requests import read_request

_BROKEN = Event(
    3601, "response_broken", Level.WARNING, "A response ended early and its connection was cut."
)

# Callers that keep a connection see `Connection: close` with their next response. Those that
# send none for this long are cut off.
_LINGER_S = 2.0
_LINGER_CHECK_S = 0.02
SERVED_BY_HEADER = "Fescueward-Served-By"
# Longest time that open requests get when the agent stops.
_SHUTDOWN_S = 30.0
# A caller that takes nothing of a response for this long holds a slot of the upstream for nobody.
_STALL_S = 30.0


class HttpFrontend:
    """The `frontend` service. aiohttp runs one task for each connection of a caller."""

    name = "frontend"
    requires = ("router",)

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._http: HttpPort | None = None

    @property
    def listening(self) -> bool:
        """Whether callers can connect."""
        return self._http is not None and self._http.listening

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._membership = registry.find("membership", Membership)
        self._router = registry.find("router", Router)
        section = registry.find("settings", Settings).callers
        self._host, self._port = section.host, section.port

    async def start(self) -> None:
        """Listens for callers."""
        server = CallerServer(self._handle, handler_cancellation=True)
        self._http = HttpPort(server, self._host, self._port, _SHUTDOWN_S)
        self._tasks.spawn("listen", self._listen())

    async def drain(self) -> None:
        """Takes no new connections and lets callers end the open ones after a response."""
        if self._http is None:
            return
        await self._http.stop_listening()
        end = self._clock.now() + _LINGER_S
        while self._http.connections and self._clock.now() < end:
            await self._clock.sleep(_LINGER_CHECK_S)

    async def stop(self) -> None:
        """Stops listening and lets open requests end."""
        await self._tasks.cancel()
        if self._http is not None:
            await self._http.close()
        await self._tasks.cancel()

    async def _listen(self) -> None:
        # Without the catalogue every request would be refused as for an unknown service.
        await self._catalogue.wait_until_loaded()
        assert self._http is not None
        await self._http.start()

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        request_id = http.headers.get(REQUEST_ID_HEADER) or uuid.uuid4().hex
        try:
            request = await read_request(http, request_id, self._catalogue, self._clock)
            response = await self._route(request)
        except RefusalError as error:
            return self._end_if_leaving(refusal_response(error, request_id))
        except ConnectionError:
            raise
        except Exception as error:  # one request's fault must not reach others as aiohttp's text
            UNEXPECTED.emit(request=request_id, error=repr(error))
            unexpected = InternalError(f"unexpected {type(error).__name__}")
            return refusal_response(unexpected, request_id, close=True)
        return await self._answer(http, response)

    async def _route(self, request: Request) -> Response:
        if request.token is None:
            return await self._router.route(request)
        # A caller that leaves cancels its request. With a token it may come back for the
        # outcome, so the run goes on.
        routed = self._tasks.spawn("once", self._route_once(request))
        try:
            result = await asyncio.shield(routed)
        except asyncio.CancelledError:
            self._tasks.spawn("discard", _discard(routed))
            raise
        if isinstance(result, RefusalError):
            raise result
        return result

    async def _route_once(self, request: Request) -> Response | RefusalError:
        try:
            return await self._router.route(request)
        except RefusalError as error:
            return error
        except Exception as error:  # a failed task would end the agent
            UNEXPECTED.emit(request=request.id, error=repr(error))
            return InternalError(f"unexpected {type(error).__name__}")

    async def _answer(self, http: web.BaseRequest, response: Response) -> web.StreamResponse:
        headers = CIMultiDict(response.headers)
        headers[SERVED_BY_HEADER] = response.served_by
        headers[REQUEST_ID_HEADER] = response.request_id
        body = response.body
        if isinstance(body, BytesBody):
            whole = web.Response(status=response.status, headers=headers, body=body.data)
            return self._end_if_leaving(whole)
        stream = web.StreamResponse(status=response.status, headers=headers)
        if body.length is not None:
            stream.content_length = body.length
        self._end_if_leaving(stream)
        try:
            await stream.prepare(http)
            async with aclosing(body.chunks()) as chunks:
                async for chunk in chunks:
                    async with asyncio.timeout(_STALL_S):
                        await stream.write(chunk)
            await stream.write_eof()
        except (FescuewardError, OSError) as error:
            _BROKEN.emit(request=response.request_id, error=error)
            # An aborted connection cannot be mistaken for a whole response.
            if http.transport is not None:
                http.transport.abort()
        finally:
            await body.close()
        return stream

    def _end_if_leaving(self, response: web.StreamResponse) -> web.StreamResponse:
        # Callers move to other agents before this one stops listening.
        if self._membership.leaving:
            response.force_close()
        return response


async def _discard(routed: asyncio.Task[Response | RefusalError]) -> None:
    result = await routed
    if isinstance(result, Response):
        await result.body.close()
