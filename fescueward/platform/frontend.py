"""Callers' HTTP and the platform's question for readiness."""

from __future__ import annotations

import asyncio

from aiohttp import web

from ..interfaces import Directory, Metrics, Router, Routes, Shutdown, ShutdownPhase
from ..kernel import Clock, Event, Level, Outcome, RefusalError, Registry
from ..kernel.errors import (
    BodyTooLargeError,
    DeadlineExceededError,
    DeadlineExceededRunningError,
    InternalError,
    InvalidRequestError,
    NoConfigurationError,
    NoRouteError,
    OutcomeLostError,
)
from ..messages import Request, Response
from ..messages.configuration import CallerLimits
from ..messages.group import LAST_KEY
from ..messages.request import BytesBody
from .names import HOP_HEADERS, KEY, OWN_HEADERS, READY_PATH, REQUEST_ID, TIMEOUT_MS
from .settings import Site

_READY = Event(3710, "ready", Level.INFO, "This agent is ready for callers.")
_NOT_READY = Event(3711, "not_ready", Level.INFO, "This agent is not ready for callers.")
_RECEIVED = Event(
    3712, "request_received", Level.INFO, "A caller's request matches a route.", frequent=True
)
_ANSWERED = Event(
    3713, "request_answered", Level.INFO, "A request has its final answer.", frequent=True
)
_LEFT = Event(
    3715,
    "caller_left",
    Level.INFO,
    "The caller closed its connection; repeatable work ends.",
    frequent=True,
)
_BROKEN = Event(3714, "request_broken", Level.ERROR, "A request met an unexpected exception.")

# Time in which what has arrived at a port is read, in seconds, and time for the last answers.
_SETTLE_S = 0.05
_CLOSE_S = 0.1
# The metrics page is on the address of the question for readiness.
_METRICS_PATH = "/metrics"
# Statuses between agents that name another place, and that of a quarantined request, which is as
# proper as others.
_NOT_FINAL = frozenset({421, 422, 429})
# When a caller should come back if the refusal does not say, in seconds.
_RETRY_AFTER_S = 0.1


class CallerFrontend:
    """The `frontend` service on this platform."""

    name = "frontend"
    requires = ("router", "routes", "groups", "announcements", "shutdown")

    def __init__(self, site: Site) -> None:
        self._site = site
        self._runners: list[web.ServerRunner] = []
        self._was_ready = False

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._shutdown = registry.find("shutdown", Shutdown)
        self._router = registry.find("router", Router)
        self._routes = registry.find("routes", Routes)
        self._metrics = registry.find("metrics", Metrics)
        self._directory = registry.find("groups", Directory)

    async def start(self) -> None:
        """Opens the ports for callers and for the question for readiness."""
        callers = self._site.settings.callers
        await self._listen(self._serve, callers.host, callers.port)
        ready = self._site.readiness
        await self._listen(self._readiness, ready.host, ready.port)

    async def stop(self) -> None:
        """Closes the ports, after an answer to what has arrived at them."""
        # Connections that the system has accepted are reset when a listening socket is closed.
        await asyncio.sleep(_SETTLE_S)
        for runner in self._runners:
            for site in tuple(runner.sites):
                await site.stop()
        await asyncio.sleep(_SETTLE_S)
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))

    async def _listen(self, handler: object, host: str, port: int) -> None:
        server = web.Server(
            handler,  # type: ignore[arg-type]
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=3600.0,
            max_line_size=65_536,
            max_field_size=65_536,
        )
        runner = web.ServerRunner(server, shutdown_timeout=_CLOSE_S)
        await runner.setup()
        await web.TCPSite(runner, host, port, backlog=512).start()
        self._runners.append(runner)

    async def _readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == _METRICS_PATH:
            page = self._metrics.render()
            return web.Response(body=page.content, headers={"Content-Type": page.content_type})
        ready = request.path == READY_PATH and self._is_ready()
        if ready != self._was_ready:
            self._was_ready = ready
            held = self._routes.current
            (_READY if ready else _NOT_READY).emit(
                configuration=held.configuration.version if held is not None else None,
                directory=self._directory.complete,
                shutdown=self._shutdown.phase,
            )
        return web.Response(status=200 if ready else 503)

    def _is_ready(self) -> bool:
        return (
            self._shutdown.phase is ShutdownPhase.SERVING
            and self._routes.current is not None
            and self._directory.complete
            and bool(self._directory.views())
        )

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        started = self._clock.now()
        request_id = request.headers.get(REQUEST_ID, "")
        refusal: str | None = None
        try:
            with self._shutdown.open_request(request_id):
                answer = await self._answer(request, request_id)
        except RefusalError as error:
            refusal = error.label
            answer = _refusal(error)
        except asyncio.CancelledError:
            _LEFT.emit(request=request_id, ms=round((self._clock.now() - started) * 1000, 1))
            raise
        except Exception as error:  # an unexpected fault of one request must not end others
            _BROKEN.emit(request=request_id, error=repr(error)[:300])
            answer = _refusal(InternalError(type(error).__name__))
        answer.headers.setdefault(REQUEST_ID, request_id)
        if self._shutdown.phase is not ShutdownPhase.SERVING:
            answer.force_close()
        _ANSWERED.emit(
            request=request_id,
            status=answer.status,
            refusal=refusal,
            retry_after=answer.headers.get("Retry-After"),
            ms=round((self._clock.now() - started) * 1000, 1),
        )
        return answer

    async def _answer(self, http: web.BaseRequest, request_id: str) -> web.Response:
        arrived = self._clock.now()
        held = self._routes.current
        if held is None:
            raise NoConfigurationError(
                "no configuration has been read yet", retry_after_s=_RETRY_AFTER_S
            )
        configuration = held.configuration
        route = self._routes.select(configuration, http.headers.get("Host", ""), http.path)
        if route is None:
            raise NoRouteError(f"no route matches {http.headers.get('Host')!r} {http.path!r}")
        if not request_id:
            raise InvalidRequestError(f"the header {REQUEST_ID} is missing")
        service = self._routes.target(route)
        spec = configuration.services[service]
        key = _key(http) if spec.keyed else ""
        timeout_s = min(_caller_timeout_s(http, route.timeout_s), route.timeout_s)
        self._shutdown.check(arrived + timeout_s)
        _RECEIVED.emit(
            request=request_id,
            route=route.name,
            service=service,
            key=key,
            configuration=configuration.version,
            timeout_ms=round(timeout_s * 1000),
        )
        try:
            async with asyncio.timeout(timeout_s):
                body = await _body(http, configuration.limits)
        except TimeoutError:
            raise DeadlineExceededError("the body did not arrive before the deadline") from None
        request = Request(
            id=request_id,
            service=service,
            key=key,
            method=http.method,
            path=http.raw_path,
            headers=_forwarded(http),
            body=BytesBody(body),
            deadline=arrived + timeout_s,
            caller=self._site.service,
            priority=route.priority,
            repeatable=route.repeatable,
            attempts=route.attempts,
            route=route.name,
            useful_until=arrived + min(route.objective_s or timeout_s, timeout_s),
        )
        response = await self._route(request)
        return await _http_response(response)

    async def _route(self, request: Request) -> Response:
        """Routes a request; repeatable work ends when the caller leaves, which cancels this."""
        task = asyncio.get_running_loop().create_task(self._router.route(request))
        closing = self._shutdown.closing
        left_s = max(request.deadline - self._clock.now(), 0)
        try:
            await asyncio.wait(
                (task, closing), timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            if task.done():
                return task.result()
            if closing.done():
                raise OutcomeLostError("this agent ends before the request does")
            raise DeadlineExceededRunningError("no answer before the deadline")
        finally:
            if not task.done() and request.repeatable:
                task.cancel()
            if not task.done() or task.cancelled():
                task.add_done_callback(_forget)


def _forget(task: asyncio.Task[Response]) -> None:
    if not task.cancelled():
        task.exception()


def _key(http: web.BaseRequest) -> str:
    text = http.headers.get(KEY, "")
    if not text.isascii() or not text.isdigit() or int(text) > LAST_KEY:
        raise InvalidRequestError(f"the key {text[:20]!r} is no number from 0 to {LAST_KEY}")
    return str(int(text))


def _caller_timeout_s(http: web.BaseRequest, default_s: float) -> float:
    text = http.headers.get(TIMEOUT_MS, "")
    try:
        return max(float(text) / 1000, 0.0)
    except ValueError:
        return default_s


def _forwarded(http: web.BaseRequest) -> tuple[tuple[str, str], ...]:
    named = {
        name.strip().lower()
        for value in http.headers.getall("Connection", ())
        for name in value.split(",")
    }
    left_out = HOP_HEADERS | OWN_HEADERS | named | {REQUEST_ID.lower(), KEY.lower()}
    return tuple(
        (str(name), value) for name, value in http.headers.items() if name.lower() not in left_out
    )


async def _body(http: web.BaseRequest, limits: CallerLimits) -> bytes:
    if not http.body_exists:
        return b""
    parts = []
    size = 0
    async for part in http.content.iter_any():
        size += len(part)
        if size > limits.body_bytes:
            raise BodyTooLargeError(f"the body exceeds {limits.body_bytes} bytes")
        parts.append(part)
    return b"".join(parts)


async def _http_response(response: Response) -> web.Response:
    body = b"".join([part async for part in response.body.chunks()])
    answer = web.Response(status=response.status, body=body)
    answer.headers.popall("Content-Type", None)
    for name, value in response.headers:
        answer.headers.add(name, value)
    return answer


def _refusal(error: RefusalError) -> web.Response:
    headers = {"Content-Type": "application/json"}
    status = error.http_status
    if error.outcome is Outcome.NOT_RUN and (status >= 500 or status in _NOT_FINAL):
        # The caller knows no other agent, so it is told to come back.
        status = 503
        retry_after_s = error.retry_after_s or _RETRY_AFTER_S
        headers["Retry-After"] = f"{retry_after_s:.3f}"
    text = f'{{"error":"{error.label}","outcome":"{error.outcome}"}}'
    return web.Response(status=status, headers=headers, text=text)
