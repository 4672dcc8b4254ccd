"""Callers' HTTP."""

from __future__ import annotations

import asyncio
import socket
import uuid
from collections.abc import AsyncGenerator
from contextlib import aclosing, suppress
from typing import Any

from aiohttp import web
from multidict import CIMultiDict

from ..interfaces import Catalogue, Membership, Router
from ..kernel import Clock, Event, Kernel, Level, RefusalError, Registry
from ..kernel.errors import (
    BodyTruncatedError,
    FescuewardError,
    InvalidRequestError,
    MissingKeyError,
    TokenRequiredError,
)
from ..kernel.settings import Settings
from ..messages import Body, Request, Response
from ..messages.request import BytesBody
from ..messages.upstream import (
    DEADLINE_MS_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
    TOKEN_HEADER,
)

_BROKEN = Event(
    3601, "response_broken", Level.WARNING, "A response ended early and its connection was cut."
)

# Callers that keep a connection see `Connection: close` with their next response. Those that
# send none for this long are cut off.
_LINGER_S = 2.0
_LINGER_CHECK_S = 0.02
_BACKLOG = 1024
SERVED_BY_HEADER = "Fescueward-Served-By"
_INLINE_BYTES = 65_536
_MAX_DEADLINE_MS = 600_000
_MAX_KEY_CHARACTERS = 1024
# Headers of this connection, and those that only the router may set.
_NOT_FORWARDED = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "fescueward-deadline",
        "fescueward-deadline-ms",
        "fescueward-epoch",
        "fescueward-key",
        "fescueward-request-id",
        "fescueward-shard",
        "fescueward-token",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class HttpFrontend:
    """The `frontend` service. aiohttp runs one task for each connection of a caller."""

    name = "frontend"
    requires = ("router",)

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._runner: web.AppRunner | None = None
        self._site: web.SockSite | None = None
        self._listener: socket.socket | None = None

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
        app = web.Application(client_max_size=0)
        app.router.add_route("*", "/{service}{path:.*}", self._handle)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=30.0)
        await self._runner.setup()
        listener = socket.create_server((self._host, self._port), backlog=_BACKLOG)
        listener.setblocking(False)
        self._listener = listener
        self._tasks.spawn("listen", self._listen())

    async def drain(self) -> None:
        """Takes no new connections and lets callers end the open ones after a response."""
        if self._runner is None or self._runner.server is None:
            return
        await self._stop_listening(self._runner.server)
        end = self._clock.now() + _LINGER_S
        while self._runner.server.connections and self._clock.now() < end:
            await self._clock.sleep(_LINGER_CHECK_S)

    async def stop(self) -> None:
        """Stops listening and lets open requests end."""
        await self._tasks.cancel()
        if self._listener is not None:
            self._listener.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _listen(self) -> None:
        # Without the catalogue every request would be refused as for an unknown service.
        await self._catalogue.loaded()
        assert self._runner is not None and self._listener is not None
        self._site = web.SockSite(self._runner, self._listener.dup())
        await self._site.start()

    async def _stop_listening(self, server: web.Server) -> None:
        if (
            self._site is not None
            and self._runner is not None
            and self._site in self._runner.sites
        ):
            await self._site.stop()
        if self._listener is None:
            return
        # Closing a listener resets connections that the system has accepted and the process has
        # not, so these are taken over first.
        accepted = []
        with suppress(BlockingIOError):
            while True:
                accepted.append(self._listener.accept()[0])
        self._listener.close()
        self._listener = None
        loop = asyncio.get_running_loop()
        for connection in accepted:
            connection.setblocking(False)
            await loop.connect_accepted_socket(server, connection)

    async def _handle(self, http: web.Request) -> web.StreamResponse:
        request_id = http.headers.get(REQUEST_ID_HEADER) or uuid.uuid4().hex
        try:
            request = await self._request(http, request_id)
            response = await self._router.route(request)
        except RefusalError as error:
            answer = _refusal(error, request_id)
            self._end_if_leaving(answer)
            return answer
        return await self._answer(http, response)

    async def _request(self, http: web.Request, request_id: str) -> Request:
        service = http.match_info["service"]
        entry = self._catalogue.entry(service).entry
        key = http.headers.get(KEY_HEADER, "")
        if not key:
            raise MissingKeyError(f"the request to {service!r} has no {KEY_HEADER} header")
        if len(key) > _MAX_KEY_CHARACTERS or len(request_id) > 200:
            raise InvalidRequestError("the key or the request id is too long")
        deadline_ms = _deadline_ms(http, entry.limits.deadline_ms)
        deadline = self._clock.now() + deadline_ms / 1000
        return Request(
            id=request_id,
            service=service,
            key=key,
            method=http.method,
            path=http.path_qs[len(service) + 1 :] or "/",
            headers=tuple(
                (str(name), value)
                for name, value in http.headers.items()
                if name.lower() not in _NOT_FORWARDED
            ),
            body=await _body(http),
            deadline=deadline,
            token=http.headers.get(TOKEN_HEADER),
        )

    async def _answer(self, http: web.Request, response: Response) -> web.StreamResponse:
        headers = [*response.headers, (SERVED_BY_HEADER, response.served_by)]
        if isinstance(response.body, BytesBody):
            whole = web.Response(
                status=response.status, headers=CIMultiDict(headers), body=response.body.data
            )
            self._end_if_leaving(whole)
            return whole
        stream = web.StreamResponse(status=response.status, headers=CIMultiDict(headers))
        if response.body.length is not None:
            stream.content_length = response.body.length
        self._end_if_leaving(stream)
        try:
            await stream.prepare(http)
            async with aclosing(response.body.chunks()) as chunks:
                async for chunk in chunks:
                    await stream.write(chunk)
            await stream.write_eof()
        except (FescuewardError, OSError) as error:
            _BROKEN.emit(request=response.request_id, error=error)
            # An aborted connection cannot be mistaken for a whole response.
            if http.transport is not None:
                http.transport.abort()
        return stream

    def _end_if_leaving(self, response: web.StreamResponse) -> None:
        # Callers move to other agents before this one stops listening.
        if self._membership.leaving:
            response.force_close()


class _HttpBody:
    """The body of a caller's request, read as it is consumed."""

    def __init__(self, http: web.Request) -> None:
        self.length = http.content_length
        self.started = False
        self._http = http

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        self.started = True
        received = 0
        try:
            async for chunk in self._http.content.iter_any():
                received += len(chunk)
                yield chunk
        except (OSError, web.HTTPException, RuntimeError) as error:
            raise BodyTruncatedError(f"the caller's body broke: {error!r}") from error
        if self.length is not None and received != self.length:
            raise BodyTruncatedError(f"{received} of {self.length} bytes arrived")


async def _body(http: web.Request) -> Body:
    if not http.can_read_body:
        return BytesBody(b"")
    if http.content_length is not None and http.content_length <= _INLINE_BYTES:
        try:
            return BytesBody(await http.content.readexactly(http.content_length))
        except EOFError as error:
            raise InvalidRequestError(f"the body is too short: {error}") from error
    return _HttpBody(http)


def _deadline_ms(http: web.Request, default: int) -> int:
    text = http.headers.get(DEADLINE_MS_HEADER)
    if text is None:
        return default
    if not text.isdecimal() or not 1 <= int(text) <= _MAX_DEADLINE_MS:
        raise InvalidRequestError(
            f"{DEADLINE_MS_HEADER} is {text!r}; allowed: 1 to {_MAX_DEADLINE_MS}"
        )
    return int(text)


def _refusal(error: RefusalError, request_id: str) -> web.Response:
    content: dict[str, Any] = {
        "code": error.code,
        "label": error.label,
        "outcome": error.outcome,
        "message": str(error),
        "request_id": request_id,
    }
    if isinstance(error, TokenRequiredError):
        content["token"] = error.token
    headers = {REQUEST_ID_HEADER: request_id}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(error.retry_after_s)))
    return web.json_response({"error": content}, status=error.http_status, headers=headers)
