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
    DeadlineExceededError,
    FescuewardError,
    InternalError,
    InvalidRequestError,
    MissingKeyError,
    TokenRequiredError,
)
from ..kernel.settings import Settings
from ..messages import Body, Request, Response
from ..messages.codec import encode_json
from ..messages.request import BytesBody, Headers
from ..messages.upstream import (
    DEADLINE_MS_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
    TOKEN_HEADER,
)

_BROKEN = Event(
    3601, "response_broken", Level.WARNING, "A response ended early and its connection was cut."
)
_UNEXPECTED = Event(
    3602, "request_failed", Level.ERROR, "A request met an unexpected exception in the agent."
)
_MALFORMED = Event(3603, "http_malformed", Level.INFO, "A caller sent bytes that are no HTTP.")

# Callers that keep a connection see `Connection: close` with their next response. Those that
# send none for this long are cut off.
_LINGER_S = 2.0
_LINGER_CHECK_S = 0.02
_BACKLOG = 1024
SERVED_BY_HEADER = "Fescueward-Served-By"
_INLINE_BYTES = 65_536
_MAX_DEADLINE_MS = 600_000
_MAX_KEY_CHARACTERS = 1024
_MAX_ID_CHARACTERS = 200
# Longest time that open requests get when the agent stops.
_SHUTDOWN_S = 30.0
# How long a refused caller that still sends its body is read from, so that it sees the refusal.
_LINGERING_S = 2.0
# A caller that takes nothing of a response for this long holds a slot of the upstream for nobody.
_STALL_S = 30.0
_METHODS = frozenset({"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"})
# Headers of the caller's connection.
_NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_OWN_PREFIX = b"fescueward-"


class _Connection(web.RequestHandler):
    """A caller's connection. Errors of HTTP itself are answered in JSON as all others."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the refusal of a request that could not be read or handled."""
        error: RefusalError
        if status >= 500:
            _UNEXPECTED.emit(error=repr(exc))
            error = InternalError(f"unexpected {type(exc).__name__}")
        else:
            _MALFORMED.emit(error=repr(exc))
            error = InvalidRequestError(f"malformed HTTP: {message}")
        if request.writer.output_size > 0:
            raise ConnectionError("part of another response has been sent")
        return _refusal(error, "", close=True)


class _Server(web.Server):
    """Makes a `_Connection` for each caller."""

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        return _Connection(
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            # Bodies go on as the caller encoded them.
            auto_decompress=False,
            lingering_time=_LINGERING_S,
        )


class HttpFrontend:
    """The `frontend` service. aiohttp runs one task for each connection of a caller."""

    name = "frontend"
    requires = ("router",)

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._runner: web.ServerRunner | None = None
        self._site: web.SockSite | None = None
        self._listener: socket.socket | None = None

    @property
    def listening(self) -> bool:
        """Whether callers can connect."""
        return self._site is not None and self._listener is not None

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
        server = _Server(self._handle, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_S)
        await self._runner.setup()
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
        await self._tasks.cancel()

    async def _listen(self) -> None:
        # Without the catalogue every request would be refused as for an unknown service.
        await self._catalogue.loaded()
        assert self._runner is not None
        self._listener = socket.create_server((self._host, self._port), backlog=_BACKLOG)
        self._listener.setblocking(False)
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

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        request_id = http.headers.get(REQUEST_ID_HEADER) or uuid.uuid4().hex
        try:
            request = await self._request(http, request_id)
            response = await self._route(request)
        except RefusalError as error:
            return self._end_if_leaving(_refusal(error, request_id))
        except ConnectionError:
            raise
        except Exception as error:  # one request's fault must not reach others as aiohttp's text
            _UNEXPECTED.emit(request=request_id, error=repr(error))
            unexpected = InternalError(f"unexpected {type(error).__name__}")
            return _refusal(unexpected, request_id, close=True)
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
            _UNEXPECTED.emit(request=request.id, error=repr(error))
            return InternalError(f"unexpected {type(error).__name__}")

    async def _request(self, http: web.BaseRequest, request_id: str) -> Request:
        if http.method not in _METHODS:
            raise InvalidRequestError(f"method {http.method!r} is not one of {sorted(_METHODS)}")
        service, path = _split(http)
        entry = self._catalogue.entry(service).entry
        own, headers = _headers(http)
        key = own.get(KEY_HEADER.lower(), "")
        if not key:
            raise MissingKeyError(f"the request to {service!r} has no {KEY_HEADER} header")
        if len(key) > _MAX_KEY_CHARACTERS:
            raise InvalidRequestError(f"the key exceeds {_MAX_KEY_CHARACTERS} characters")
        _check_id(request_id)
        deadline_ms = _deadline_ms(own, entry.limits.deadline_ms)
        deadline = self._clock.now() + deadline_ms / 1000
        body = await _body(http, deadline_ms / 1000)
        return Request(
            id=request_id,
            service=service,
            key=key,
            method=http.method,
            path=path,
            headers=headers,
            body=body,
            deadline=deadline,
            token=own.get(TOKEN_HEADER.lower()),
        )

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


class _HttpBody:
    """The body of a caller's request, read as it is consumed."""

    def __init__(self, http: web.BaseRequest) -> None:
        self.length = http.content_length
        self.started = False
        self._http = http

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        self.started = True
        received = 0
        await _send_continue(self._http)
        try:
            async for chunk in self._http.content.iter_any():
                received += len(chunk)
                yield chunk
        except Exception as error:  # aiohttp raises several unrelated types
            raise BodyTruncatedError(f"the caller's body broke: {error!r}") from error
        if self.length is not None and received != self.length:
            raise BodyTruncatedError(f"{received} of {self.length} bytes arrived")

    async def close(self) -> None:
        """Does nothing; aiohttp ends the connection."""


async def _discard(routed: asyncio.Task[Response | RefusalError]) -> None:
    result = await routed
    if isinstance(result, Response):
        await result.body.close()


async def _body(http: web.BaseRequest, timeout_s: float) -> Body:
    if not http.can_read_body:
        return BytesBody(b"")
    length = http.content_length
    if length is None or length > _INLINE_BYTES:
        return _HttpBody(http)
    try:
        async with asyncio.timeout(timeout_s):
            await _send_continue(http)
            return BytesBody(await http.content.readexactly(length))
    except TimeoutError:
        raise DeadlineExceededError("the deadline passed before the body arrived") from None
    except Exception as error:  # aiohttp raises several unrelated types
        raise InvalidRequestError(f"the body broke: {error!r}") from error


async def _send_continue(http: web.BaseRequest) -> None:
    expected = http.headers.get("Expect")
    if expected is not None and expected.lower() == "100-continue":
        await http.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        # The interim response is no part of the response.
        http.writer.output_size = 0  # type: ignore[attr-defined]


def _split(http: web.BaseRequest) -> tuple[str, str]:
    """Returns the service and the path below it, as the caller wrote it."""
    raw = http.raw_path
    if not raw.startswith("/"):
        # A request line may carry a whole URL.
        raw = http.path_qs
    if not raw.isascii():
        raise InvalidRequestError("the path has characters that are not percent-encoded")
    service, separator, rest = raw[1:].partition("/")
    if "?" in service:
        service, _, query = raw[1:].partition("?")
        return service, f"/?{query}"
    return service, separator + rest or "/"


def _headers(http: web.BaseRequest) -> tuple[dict[str, str], Headers]:
    """Returns the headers for this agent by lower-case name, and those to pass on."""
    own: dict[str, str] = {}
    passed: list[tuple[str, str]] = []
    connection = http.headers.get("Connection")
    dropped = _NOT_FORWARDED
    if connection is not None and connection.lower() not in ("keep-alive", "close"):
        named = (name.strip().lower().encode() for name in connection.split(","))
        dropped = dropped | frozenset(named)
    try:
        for name, value in http.raw_headers:
            lower = name.lower()
            if lower.startswith(_OWN_PREFIX):
                label = lower.decode()
                if label in own:
                    raise InvalidRequestError(f"the header {label} is given twice")
                own[label] = value.decode()
            elif lower not in dropped:
                passed.append((name.decode(), value.decode()))
    except UnicodeDecodeError as error:
        raise InvalidRequestError(f"a header is not valid UTF-8: {error}") from error
    return own, tuple(passed)


def _check_id(request_id: str) -> None:
    if len(request_id) > _MAX_ID_CHARACTERS or not request_id.isascii():
        raise InvalidRequestError(f"{REQUEST_ID_HEADER} is too long or not ASCII")


def _deadline_ms(own: dict[str, str], default: int) -> int:
    text = own.get(DEADLINE_MS_HEADER.lower())
    if text is None:
        return default
    if not (text.isascii() and text.isdecimal() and len(text) < 10) or not (
        1 <= int(text) <= _MAX_DEADLINE_MS
    ):
        raise InvalidRequestError(
            f"{DEADLINE_MS_HEADER} is {text[:20]!r}; allowed: 1 to {_MAX_DEADLINE_MS}"
        )
    return int(text)


def _refusal(error: RefusalError, request_id: str, close: bool = False) -> web.Response:
    content: dict[str, Any] = {
        "code": error.code,
        "label": error.label,
        "outcome": error.outcome,
        "message": str(error).encode(errors="replace").decode(),
        "request_id": request_id.encode(errors="replace").decode()[:_MAX_ID_CHARACTERS],
    }
    if isinstance(error, TokenRequiredError):
        content["token"] = error.token
    headers = {REQUEST_ID_HEADER: content["request_id"]}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(error.retry_after_s)))
    response = web.Response(
        status=error.http_status,
        headers=headers,
        body=encode_json({"error": content}),
        content_type="application/json",
    )
    if close:
        response.force_close()
    return response
