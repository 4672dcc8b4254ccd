"""The HTTP front end for callers on this platform, with the platform's readiness probe."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from functools import partial
from typing import Any, TypeVar

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response as HttpResponse
from aiohttp.web_response import StreamResponse

from ..interfaces import Directory, Metrics, Router, Routes, Shutdown, ShutdownPhase
from ..kernel import Clock, Event, Level, RefusalError, Registry
from ..kernel.body_budget import BodyBudget, BodyHolding
from ..kernel.caller_budget import CallerBudget
from ..kernel.errors import (
    DeadlineExceededError,
    DeadlineExceededRunningError,
    DrainingError,
    InternalError,
    InvalidRequestError,
    NoConfigurationError,
    NoRouteError,
    OutcomeLostError,
)
from ..kernel.http_meter import InboundLimits
from ..kernel.http_pipeline import Handler, PipelinedRequest, PipelinedServer
from ..kernel.http_port import HttpPort
from ..kernel.receive_buffers import SMALLEST_BYTES, ReceiveBuffers
from ..kernel.tracebacks import drop_traceback
from ..messages import Request
from ..messages.configuration import CallerLimits
from ..messages.request import BytesBody
from .caller_messages import (
    RETRY_AFTER_S,
    caller_timeout_s,
    check_body_size,
    forwarded_headers,
    http_response,
    parse_key,
    read_body,
    refusal_response,
)
from .names import READY_PATH, REQUEST_ID
from .settings import Site

_READY = Event(3710, "ready", Level.INFO, "This agent became ready for callers.")
_NOT_READY = Event(3711, "not_ready", Level.INFO, "This agent is no longer ready for callers.")
_REQUEST_RECEIVED = Event(
    3712, "request_received", Level.INFO, "A caller's request matched a route.", frequent=True
)
_REQUEST_ANSWERED = Event(
    3713,
    "request_answered",
    Level.INFO,
    "The final response to a request was created.",
    frequent=True,
)
_CALLER_DISCONNECTED = Event(
    3715,
    "caller_left",
    Level.INFO,
    "The caller closed its connection, and its request is cancelled.",
    frequent=True,
)
_REQUEST_FAILED = Event(
    3714, "request_broken", Level.ERROR, "A request raised an unexpected exception."
)

# Time in which the event loop accepts and reads the connections in the backlog of a closing port.
_ACCEPT_WAIT_S = 0.05
# Time limit for sending the last responses when a port closes.
_CLOSE_TIMEOUT_S = 0.1
# Period of the check whether a stopping agent has sent all responses.
_BUSY_CHECK_PERIOD_S = 0.02
# The metrics page is served at the address of the readiness probe.
_METRICS_PATH = "/metrics"
# A request that waits when the agent closes is refused within this time. Its caller then learns
# that it has not run.
_LAST_RESULT_S = 0.1

# Connections for readiness probes and metrics.
_PROBE_CONNECTIONS = 64
# More lines than any head within the limit on its size has.
_MAX_HEADER_LINES = 1 << 16

_Result = TypeVar("_Result")


class CallerFrontend:
    """The `frontend` service on this platform."""

    name = "frontend"
    requires = ("router", "routes", "groups", "announcements", "shutdown")

    def __init__(self, site: Site, held: CallerBudget | None = None) -> None:
        self._site = site
        self._ports: list[HttpPort] = []
        self._servers: list[PipelinedServer] = []
        self._was_ready = False
        self._held = held or CallerBudget(site.memory_bytes)
        self._receive_buffers = ReceiveBuffers(site.memory_bytes)

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._shutdown = registry.find("shutdown", Shutdown)
        self._router = registry.find("router", Router)
        self._routes = registry.find("routes", Routes)
        self._metrics = registry.find("metrics", Metrics)
        self._bodies = registry.find("bodies", BodyBudget)
        self._directory = registry.find("groups", Directory)

    async def start(self) -> None:
        """Listens for callers and for the readiness probe."""
        callers = self._site.settings.callers
        await self._listen(
            self._handle_request, callers.host, callers.port, self._site.caller_connections
        )
        ready = self._site.readiness
        await self._listen(self._handle_readiness, ready.host, ready.port, _PROBE_CONNECTIONS)

    async def drain(self) -> None:
        """Waits until all responses have been sent; the kernel limits the time."""
        while any(server.busy for server in self._servers):
            await self._clock.sleep(_BUSY_CHECK_PERIOD_S)

    async def stop(self) -> None:
        """Closes the ports after responding to the requests that have arrived at them."""
        self._shutdown.close()
        await asyncio.sleep(_ACCEPT_WAIT_S)
        for port in self._ports:
            await port.stop_listening()
        await asyncio.sleep(_ACCEPT_WAIT_S)
        await asyncio.gather(*(port.close() for port in self._ports))

    async def _listen(self, handler: Handler, host: str, port: int, connections: int) -> None:
        server = PipelinedServer(
            handler,
            inbound=partial(self._inbound_limits, connections),
            budget=self._held,
            receive_buffers=self._receive_buffers,
            keepalive_timeout=3600.0,
            max_line_size=65_536,
            max_field_size=65_536,
            # The size of a head limits the number of its lines.
            max_headers=_MAX_HEADER_LINES,
        )
        self._servers.append(server)
        http_port = HttpPort(
            server,
            host,
            port,
            _CLOSE_TIMEOUT_S,
            min(connections, self._site.caller_backlog),
            SMALLEST_BYTES,
        )
        self._ports.append(http_port)
        await http_port.start()

    def _inbound_limits(self, connections: int) -> InboundLimits:
        current = self._routes.current
        limits = current.configuration.limits if current is not None else CallerLimits()
        return InboundLimits(
            header_bytes=limits.header_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
            connections=connections,
        )

    async def _handle_readiness(self, request: BaseRequest) -> StreamResponse:
        if request.path == _METRICS_PATH:
            page = self._metrics.render()
            return HttpResponse(body=page.content, headers={"Content-Type": page.content_type})
        ready = request.path == READY_PATH and self._is_ready()
        if ready != self._was_ready:
            self._was_ready = ready
            current = self._routes.current
            (_READY if ready else _NOT_READY).emit(
                configuration=current.configuration.version if current is not None else None,
                directory=self._directory.complete,
                shutdown=self._shutdown.phase,
            )
        return HttpResponse(status=200 if ready else 503)

    def _is_ready(self) -> bool:
        return (
            self._shutdown.phase is ShutdownPhase.SERVING
            and self._routes.current is not None
            and self._directory.complete
            and bool(self._directory.views())
        )

    async def _handle_request(self, request: PipelinedRequest) -> StreamResponse:
        arrived_at = self._clock.now()
        request_id = request.headers.get(REQUEST_ID, "")
        refusal: str | None = None
        try:
            with self._shutdown.open_request(request_id):
                response = await self._process_request(request, request_id)
        except RefusalError as error:
            refusal = error.label
            response = refusal_response(error)
            drop_traceback(error)
        except asyncio.CancelledError:
            _CALLER_DISCONNECTED.emit(
                request=request_id, ms=round((self._clock.now() - arrived_at) * 1000, 1)
            )
            raise
        except Exception as error:  # an unexpected exception in one request must not affect others
            _REQUEST_FAILED.emit(request=request_id, error=repr(error)[:300])
            response = refusal_response(InternalError(type(error).__name__))
            drop_traceback(error)
        response.headers.setdefault(REQUEST_ID, request_id)
        if self._shutdown.phase is not ShutdownPhase.SERVING:
            response.force_close()
        _REQUEST_ANSWERED.emit(
            request=request_id,
            status=response.status,
            refusal=refusal,
            retry_after=response.headers.get("Retry-After"),
            ms=round((self._clock.now() - arrived_at) * 1000, 1),
        )
        return response

    async def _process_request(self, http: PipelinedRequest, request_id: str) -> HttpResponse:
        arrived_at = self._clock.now()
        current = self._routes.current
        if current is None:
            raise NoConfigurationError(
                "this agent has not received a configuration yet", retry_after_s=RETRY_AFTER_S
            )
        configuration = current.configuration
        route = self._routes.select(configuration, http.headers.get("Host", ""), http.path)
        if route is None:
            raise NoRouteError(f"no route matches {http.headers.get('Host')!r} {http.path!r}")
        if not request_id:
            raise InvalidRequestError(f"the header {REQUEST_ID} is missing")
        service = self._routes.target(route)
        spec = configuration.services[service]
        key = parse_key(http) if spec.keyed else ""
        timeout_s = min(caller_timeout_s(http, route.timeout_s), route.timeout_s)
        self._shutdown.check(arrived_at + timeout_s)
        _REQUEST_RECEIVED.emit(
            request=request_id,
            route=route.name,
            service=service,
            key=key,
            configuration=configuration.version,
            priority=route.priority,
            objective_ms=round(route.objective_s * 1000),
            timeout_ms=round(timeout_s * 1000),
            source=http.remote,
        )
        deadline = arrived_at + timeout_s
        length = http.content_length or 0
        check_body_size(length, configuration.limits)
        # The body is in memory until the response is known, because it may be sent again.
        with self._bodies.hold(length) as holding:
            body = b""
            if http.body_exists:
                async with self._shutdown.waiting(deadline):
                    body = await self._receive_body(http, configuration.limits, holding, deadline)
            if not route.repeatable and not http.has_turn:
                async with self._shutdown.waiting(deadline):
                    await self._wait_for_turn(http, deadline)
            self._shutdown.check(deadline)
            request = Request(
                id=request_id,
                service=service,
                key=key,
                method=http.method,
                path=http.raw_path,
                headers=forwarded_headers(http),
                body=BytesBody(body),
                deadline=self._shutdown.limit(deadline),
                caller=self._site.service,
                priority=route.priority,
                repeatable=route.repeatable,
                attempts=route.attempts,
                route=route.name,
                useful_until=arrived_at + min(route.objective_s or timeout_s, timeout_s),
                delays_others=http.pipelined,
            )
            return await self._route(http, request, deadline)

    async def _receive_body(
        self, http: BaseRequest, limits: CallerLimits, holding: BodyHolding, deadline: float
    ) -> bytes:
        body = await self._run_until_deadline(read_body(http, limits, holding), deadline)
        if body is not None:
            return body
        if self._shutdown.closing.done():
            raise DrainingError("this agent is stopping and the body has not arrived")
        raise DeadlineExceededError("the body did not arrive before the deadline")

    async def _wait_for_turn(self, http: PipelinedRequest, deadline: float) -> None:
        """Waits for the responses to earlier requests of the connection.

        The caller sends a request that was not read again if an earlier response closes the
        connection, so one that must not run twice begins only when no such response can come.
        """
        waited = await self._run_until_deadline(_wait_for_turn(http), deadline)
        if waited is None:
            raise DeadlineExceededError("the earlier requests of the connection are not answered")

    async def _route(
        self, http: PipelinedRequest, request: Request, deadline: float
    ) -> HttpResponse:
        """Routes a request, which is cancelled at its deadline or if the caller disconnects.

        Args:
            http: The request as it arrived, whose connection holds the response.
            request: The request; its run may have to end before the deadline of the caller.
            deadline: Deadline of the caller in seconds of CLOCK_BOOTTIME.
        """
        response = await self._run_until_deadline(
            self._route_and_read(http, request, deadline), deadline, last_result_s=_LAST_RESULT_S
        )
        if response is not None:
            return response
        if self._shutdown.closing.done():
            raise OutcomeLostError("this agent is stopping before the request has finished")
        raise DeadlineExceededRunningError("no response before the deadline")

    async def _route_and_read(
        self, http: PipelinedRequest, request: Request, deadline: float
    ) -> HttpResponse:
        response = await self._router.route(request)
        try:
            async with asyncio.timeout(max(deadline - self._clock.now(), 0)):
                return await http_response(http, response)
        except TimeoutError:
            raise DeadlineExceededRunningError(
                "the response is incomplete at the deadline"
            ) from None
        finally:
            await response.body.close()

    async def _run_until_deadline(
        self,
        work: Coroutine[None, None, _Result],
        deadline: float,
        last_result_s: float = 0.0,
    ) -> _Result | None:
        """Returns the result of a coroutine, or None at its deadline or when this agent closes.

        Args:
            work: The coroutine, which runs as a task of its own.
            deadline: Its deadline in seconds of CLOCK_BOOTTIME.
            last_result_s: Time after the closing in which the coroutine may still end by itself.
        """
        task = asyncio.get_running_loop().create_task(work)
        closing = self._shutdown.closing
        remaining_s = max(deadline - self._clock.now(), 0)
        try:
            await asyncio.wait(
                (task, closing), timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED
            )
            if closing.done() and not task.done():
                await asyncio.wait((task,), timeout=min(last_result_s, remaining_s))
            return task.result() if task.done() else None
        finally:
            if task.done():
                # It may fail in the moment in which the caller disconnects.
                _retrieve_exception(task)
            else:
                task.cancel()
                task.add_done_callback(_retrieve_exception)


def _retrieve_exception(task: asyncio.Task[Any]) -> None:
    if not task.cancelled():
        task.exception()


async def _wait_for_turn(http: PipelinedRequest) -> bool:
    await http.wait_for_turn()
    return True
