"""Callers' HTTP and the platform's question for readiness."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from aiohttp import web

from ..interfaces import Directory, Metrics, Router, Routes, Shutdown, ShutdownPhase
from ..kernel import Clock, Event, Level, Outcome, RefusalError, Registry
from ..kernel.errors import (
    BodyTooLargeError,
    DeadlineExceededError,
    DeadlineExceededRunningError,
    DrainingError,
    InternalError,
    InvalidRequestError,
    NoConfigurationError,
    NoRouteError,
    OutcomeLostError,
)
from ..kernel.http_port import HttpPort
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

_Result = TypeVar("_Result")


class CallerFrontend:
    """The `frontend` service on this platform."""

    name = "frontend"
    requires = ("router", "routes", "groups", "announcements", "shutdown")

    def __init__(self, site: Site) -> None:
        self._site = site
        self._ports: list[HttpPort] = []
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
        self._shutdown.close()
        await asyncio.sleep(_SETTLE_S)
        for port in self._ports:
            await port.stop_listening()
        await asyncio.sleep(_SETTLE_S)
        await asyncio.gather(*(port.close() for port in self._ports))

    async def _listen(self, handler: object, host: str, port: int) -> None:
        server = web.Server(
            handler,  # type: ignore[arg-type]
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=3600.0,
            max_line_size=65_536,
            max_field_size=65_536,
        )
        opened = HttpPort(server, host, port, _CLOSE_S)
        self._ports.append(opened)
        await opened.start()

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
        deadline = arrived + timeout_s
        body = b""
        if http.body_exists:
            body = await self._body(http, configuration.limits, deadline)
            self._shutdown.check(deadline)
        request = Request(
            id=request_id,
            service=service,
            key=key,
            method=http.method,
            path=http.raw_path,
            headers=_forwarded(http),
            body=BytesBody(body),
            deadline=deadline,
            caller=self._site.service,
            priority=route.priority,
            repeatable=route.repeatable,
            attempts=route.attempts,
            route=route.name,
            useful_until=arrived + min(route.objective_s or timeout_s, timeout_s),
        )
        return await self._route(request)

    async def _body(self, http: web.BaseRequest, limits: CallerLimits, deadline: float) -> bytes:
        read = await self._in_time(_read_body(http, limits), deadline)
        if read is not None:
            return read
        if self._shutdown.closing.done():
            raise DrainingError("this agent ends before the body arrived")
        raise DeadlineExceededError("the body did not arrive before the deadline")

    async def _route(self, request: Request) -> web.Response:
        """Routes a request; repeatable work ends when the caller leaves, which cancels this."""
        answer = await self._in_time(
            self._routed(request), request.deadline, kept=not request.repeatable
        )
        if answer is not None:
            return answer
        if self._shutdown.closing.done():
            raise OutcomeLostError("this agent ends before the request does")
        raise DeadlineExceededRunningError("no answer before the deadline")

    async def _routed(self, request: Request) -> web.Response:
        response = await self._router.route(request)
        try:
            async with asyncio.timeout(max(request.deadline - self._clock.now(), 0)):
                return await _http_response(response)
        except TimeoutError:
            raise DeadlineExceededRunningError("the answer is not whole in time") from None
        finally:
            await response.body.close()

    async def _in_time(
        self, work: Coroutine[None, None, _Result], deadline: float, kept: bool = False
    ) -> _Result | None:
        """Returns the result of some work, or None at its deadline or when this agent ends.

        Args:
            work: The work.
            deadline: Its end in seconds of CLOCK_BOOTTIME.
            kept: Whether it goes on without a caller.
        """
        task = asyncio.get_running_loop().create_task(work)
        closing = self._shutdown.closing
        left_s = max(deadline - self._clock.now(), 0)
        try:
            await asyncio.wait(
                (task, closing), timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            return task.result() if task.done() else None
        finally:
            if not task.done():
                if not kept:
                    task.cancel()
                task.add_done_callback(_forget)


def _forget(task: asyncio.Task[Any]) -> None:
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


async def _read_body(http: web.BaseRequest, limits: CallerLimits) -> bytes:
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
