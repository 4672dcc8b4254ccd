"""Emulated upstream of the platform, which runs on the machine of one agent."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from dataclasses import dataclass

import aiohttp
import msgspec
from aiohttp import web

from ...platform.names import (
    CALLER,
    COLD_MS,
    GRANT_PATH,
    HANDOVER,
    HEARTBEAT_CALL,
    INSTANCE,
    KEY,
    LEAVE_CALL,
    NOT_EXECUTED,
    RECEIPT,
    RELEASE_PATH,
    REQUEST_ID,
    RPC_PATH,
    SERVER_LEAVING,
    SERVER_LIMIT,
    TARGET_INSTANCE,
    TIMEOUT_MS,
)
from ..program import LOOPBACK, HttpSite, abort_connection
from .holds import KeyHolds
from .records import Arrival, Departure, Evidence, RateLimit, Run, receipt, response_body
from .stutter import ANSWERED, Answer, Script, ScriptedResponse, draw_script
from .warmth import ColdTime

HEALTH_PATH = "/health"
# Query field with the execution time of a request, in milliseconds.
WORK_MS = "work"
# Query field with the size to which a response body is filled up, in bytes.
SIZE = "size"
HEARTBEAT_PERIOD_S = 0.87
# An acknowledgement that takes longer counts as missing, by the platform's documentation.
_ACKNOWLEDGE_TIMEOUT_S = 1.0
# Maximum number of queued requests per slot.
_QUEUED_PER_SLOT = 1
# Delay of a heartbeat that arrives after the departure of its upstream, and the attempts that it
# takes while the agent restarts.
_LATE_HEARTBEAT_S = 1.2
_MAX_LATE_ATTEMPTS = 20
_LATE_RETRY_S = 0.1
# Number of unacknowledged draining reports after which an upstream stops anyway.
_MAX_LEAVE_REPORTS = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSpec:
    """Configuration of an upstream.

    Attributes:
        machine: Name of its machine.
        service: Service that it serves.
        failure_domain: Failure domain of its machine.
        keyed: Whether it executes only requests for keys that it holds.
        slots: Maximum number of concurrent requests.
        address: Address that it announces, as `HOST:PORT`.
        agent_port: Port of its agent for heartbeats and reports.
    """

    machine: str
    service: str
    failure_domain: str
    keyed: bool = False
    slots: int = 12
    address: str
    agent_port: int


@dataclass(frozen=True, slots=True)
class UpstreamFaults:
    """Faults of an upstream.

    Attributes:
        slow_factor: Factor on the execution time of all requests.
        lost_share: Share of the executions whose response is lost, from 0 to 1.
        stutter_share: Share of the executions whose response is faulty, from 0 to 1.
        limit: Requests per second that its responses name, or None.
        leaves_in_responses: Whether its responses say that it leaves, and its heartbeats do not.
    """

    slow_factor: float = 1.0
    lost_share: float = 0.0
    stutter_share: float = 0.0
    limit: float | None = None
    leaves_in_responses: bool = False


class _GrantBody(msgspec.Struct, rename="camel"):
    first: int = msgspec.field(name="from")
    target: int
    fence: int
    hold_s: float = 0.0
    handover: str = ""


class SiteUpstream:
    """An upstream that can leave, crash and restart.

    Args:
        spec: Configuration of the upstream.
        port: Port on which it listens.
        evidence: Receives runs, ended holds and acknowledged departures.
        seed: Seed that selects the executions whose response is lost.

    Attributes:
        spec: Configuration of the upstream.
        faults: Faults in force; assign a new value to change them.
        instance: Instance id that the upstream announces.
        cold_time: Its cold times and the requests within them.
    """

    def __init__(self, spec: UpstreamSpec, port: int, evidence: Evidence, seed: int) -> None:
        self.spec = spec
        self.faults = UpstreamFaults()
        self.instance = ""
        self.cold_time = ColdTime()
        self._evidence = evidence
        self._random = random.Random(seed)
        self._port = port
        self._site: HttpSite | None = None
        self._heartbeats: asyncio.Task[None] | None = None
        self._leaving = False
        self._limited_since: float | None = None
        self._limit: float | None = None
        self._leaves_in_responses = False

    @property
    def holds(self) -> KeyHolds:
        """Key ranges held by the current start."""
        return self._holds

    async def start(self, same_id: bool = False, first_heartbeat_s: float = 0.0) -> None:
        """Starts the server and its heartbeats without any state of an earlier start.

        Args:
            same_id: Whether to keep the instance id of the previous start.
            first_heartbeat_s: Time for which it serves before its first heartbeat, in seconds.
        """
        self.instance = self.instance if same_id and self.instance else f"i-{uuid.uuid4().hex[:8]}"
        self._started_ms = int(time.time() * 1000)
        self._sequence = 0
        self._leaving = self._leaves_in_responses = False
        # A restart with the same instance id holds no keys, so holds are recorded per start.
        self._start_id = f"{self.instance}@{self._started_ms}"
        self._holds = KeyHolds(
            self.spec.service, self._start_id, self.spec.machine, self._evidence.holds
        )
        self._slots = asyncio.Semaphore(self.spec.slots)
        self._queued_count = 0
        self._running: dict[asyncio.Task[object], int | None] = {}
        self._handover_token = uuid.uuid4().hex[:16]
        app = web.Application()
        app.router.add_post(GRANT_PATH, self._grant)
        app.router.add_post(RELEASE_PATH, self._release)
        app.router.add_get(HEALTH_PATH, self._health)
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        self._site = HttpSite(app, LOOPBACK, self._port)
        await self._site.start()
        self._heartbeats = asyncio.create_task(self._send_heartbeats(first_heartbeat_s))

    async def crash(self) -> None:
        """Stops at once: resets connections, cancels executions and sends no more reports."""
        site, self._site = self._site, None
        if site is None:
            return
        assert self._heartbeats is not None
        self._heartbeats.cancel()
        await site.stop_listening()
        site.abort_connections()
        for task in tuple(self._running):
            task.cancel()
        self._holds.end_all()
        self.end_limit()
        await site.stop()

    async def leave(self, serve_s: float, drains: bool = True) -> None:
        """Reports its departure, continues to serve after the acknowledgement, and stops.

        A heartbeat from before arrives late.

        Args:
            serve_s: Time to serve after the acknowledgement, in seconds.
            drains: Whether it reports `draining`, otherwise it sends `leave` first.
        """
        late_heartbeat = asyncio.create_task(self._send_late(self._report()))
        self._leaving = True
        for _ in range(_MAX_LEAVE_REPORTS):
            if await (self._send_report() if drains else self._call(LEAVE_CALL, b"")):
                self._evidence.departures.append(
                    Departure(
                        instance=self._start_id,
                        machine=self.spec.machine,
                        acknowledged=time.monotonic(),
                    )
                )
                await asyncio.sleep(serve_s)
                break
            await asyncio.sleep(HEARTBEAT_PERIOD_S)
        await self._call(LEAVE_CALL, b"")
        while self._running:
            await asyncio.wait(tuple(self._running))
        await self.crash()
        await late_heartbeat

    async def _send_late(self, report: bytes) -> None:
        await asyncio.sleep(_LATE_HEARTBEAT_S)
        for _ in range(_MAX_LATE_ATTEMPTS):
            if await self._call(HEARTBEAT_CALL, report):
                return
            await asyncio.sleep(_LATE_RETRY_S)

    def end_limit(self) -> None:
        """Records the limit that the responses have named until now."""
        if self._limit is not None and self._limited_since is not None:
            self._evidence.rate_limits.append(
                RateLimit(
                    instance=self._start_id,
                    per_second=self._limit,
                    since=self._limited_since,
                    until=time.monotonic(),
                )
            )
        self._limit = self._limited_since = None

    def _notices(self) -> dict[str, str]:
        """Returns the headers in which each response names limit and departure."""
        notices = {}
        if self.faults.limit != self._limit:
            self.end_limit()
            self._limit, self._limited_since = self.faults.limit, time.monotonic()
        if self._limit is not None:
            notices[SERVER_LIMIT] = str(self._limit)
        if self.faults.leaves_in_responses and not self._leaves_in_responses:
            self._leaves_in_responses = True
            self._evidence.departures.append(
                Departure(
                    instance=self._start_id,
                    machine=self.spec.machine,
                    acknowledged=time.monotonic(),
                    in_response=True,
                )
            )
        if self._leaves_in_responses:
            notices[SERVER_LEAVING] = "1"
        return notices

    async def _send_heartbeats(self, first_heartbeat_s: float) -> None:
        await asyncio.sleep(first_heartbeat_s)
        while True:
            await self._send_report()
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    async def _send_report(self) -> bool:
        return await self._call(HEARTBEAT_CALL, self._report())

    def _report(self) -> bytes:
        self._sequence += 1
        report = {
            "address": self.spec.address,
            "born": self._started_ms,
            "info": {
                "service": self.spec.service,
                "version": "v1",
                "zone": self.spec.failure_domain,
                "capacity": self.spec.slots,
            },
            "status": {
                "state": "draining" if self._leaving else "ready",
                "seq": self._sequence,
                "coldLeftS": self.cold_time.left_s,
            },
        }
        return msgspec.json.encode(report)

    async def _call(self, call: str, body: bytes) -> bool:
        url = f"http://{LOOPBACK}:{self.spec.agent_port}{RPC_PATH}?call={call}&of={self.instance}"
        timeout = aiohttp.ClientTimeout(total=_ACKNOWLEDGE_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, data=body) as response,
            ):
                return response.status < 300
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def _health(self, _: web.Request) -> web.Response:
        load = f"{len(self._running)},{self._queued_count},{self.spec.slots}"
        cold_ms = str(round(self.cold_time.left_s * 1000))
        headers = {INSTANCE: self.instance, COLD_MS: cold_ms, "X-Fescueward-Load": load}
        return web.Response(status=503 if self._leaving else 200, headers=headers)

    async def _grant(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=_GrantBody)
        if not self.spec.keyed:
            return web.Response(status=400)
        if not self._holds.grant(body.first, body.target, body.fence, body.hold_s):
            return web.Response(status=409)
        return web.Response()

    async def _release(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=_GrantBody)
        self._holds.release(body.first, body.target, body.fence)
        while overlapping := [
            task
            for task, key in self._running.items()
            if key is not None and body.first <= key <= body.target
        ]:
            await asyncio.wait(overlapping)
        return web.Response(headers={HANDOVER: self._handover_token})

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get(REQUEST_ID, "")
        if self.faults.limit is not None:
            self._evidence.arrivals.append(Arrival(instance=self._start_id, at=time.monotonic()))
        deadline = time.monotonic() + float(request.headers.get(TIMEOUT_MS, "1000")) / 1000
        key = int(request.headers[KEY]) if KEY in request.headers else None
        if not request_id or not request.headers.get(CALLER):
            return self._not_executed(400)
        if request.headers.get(TARGET_INSTANCE, self.instance) != self.instance:
            return self._not_executed(421)
        self.cold_time.count()
        if self._queued_count >= self.spec.slots * _QUEUED_PER_SLOT:
            return self._not_executed(503)
        self._queued_count += 1
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + deadline - time.monotonic()
            ):
                await self._slots.acquire()
        except TimeoutError:
            return self._not_executed(503)
        finally:
            self._queued_count -= 1
        try:
            if self.spec.keyed and (key is None or self._holds.fence_of(key) is None):
                return self._not_executed(421)
            task = asyncio.create_task(self._execute(request, request_id, key, deadline))
            self._running[task] = key
            try:
                return await task
            except asyncio.CancelledError:
                return abort_connection(request)
            finally:
                self._running.pop(task, None)
        finally:
            self._slots.release()

    async def _execute(
        self, request: web.Request, request_id: str, key: int | None, deadline: float
    ) -> web.StreamResponse:
        started = time.monotonic()
        status, start_id = 0, self._start_id
        script: Script | None = None
        try:
            work_s = float(request.query.get(WORK_MS, "0")) / 1000 * self.faults.slow_factor
            await asyncio.sleep(max(min(work_s, deadline - started), 0))
            holds_key = not self.spec.keyed or (
                key is not None and self._holds.fence_of(key) is not None
            )
            status = 504 if started + work_s > deadline else 200 if holds_key else 500
            if self._random.random() < self.faults.lost_share:
                status = 0
            elif self.faults.stutter_share > self._random.random():
                answer = Answer(self.instance, request_id, status, response_body(request_id))
                script = draw_script(self._random, answer, None)
        finally:
            self._evidence.runs.append(
                Run(
                    id=request_id,
                    instance=start_id,
                    machine=self.spec.machine,
                    key=key,
                    started=started,
                    ended=time.monotonic(),
                    status=status if script is None or script.fault in ANSWERED else 0,
                )
            )
        if script is not None:
            return ScriptedResponse(script)
        if not status:
            return abort_connection(request)
        headers = {
            REQUEST_ID: request_id,
            RECEIPT: receipt(self.instance, request_id, status),
            "X-Site-Service": self.spec.service,
            **self._notices(),
        }
        body = response_body(request_id).ljust(int(request.query.get(SIZE, "0")), b".")
        return web.Response(status=status, body=body, headers=headers)

    def _not_executed(self, status: int) -> web.Response:
        return web.Response(status=status, headers={NOT_EXECUTED: "1", **self._notices()})
