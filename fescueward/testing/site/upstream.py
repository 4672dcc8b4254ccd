"""An application back end of the platform, beside one agent."""

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
    GRANT_PATH,
    HANDOVER,
    HEARTBEAT_CALL,
    KEY,
    LEAVE_CALL,
    NOT_EXECUTED,
    RECEIPT,
    RELEASE_PATH,
    REQUEST_ID,
    RPC_PATH,
    TARGET_INSTANCE,
    TIMEOUT_MS,
)
from ..program import LOOPBACK, HttpSite, abort_connection
from .holds import KeyHolds
from .records import Departure, Evidence, Run, answer_body, receipt

HEALTH_PATH = "/health"
# Query field of a request that tells how long its work lasts, in milliseconds.
WORK_MS = "work"
HEARTBEAT_S = 0.87
# An acknowledgement that takes longer counts as missing, by the platform's pages.
_ACKNOWLEDGE_S = 1.0
# Requests that wait for a slot, for each slot.
_QUEUED_PER_SLOT = 1
# Reports of leaving without an acknowledgement, after which an upstream ends anyway.
_LEAVE_REPORTS = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSpec:
    """What an upstream is.

    Attributes:
        machine: Name of its machine.
        service: Service that it serves.
        failure_domain: Its failure domain.
        keyed: Whether it runs only requests of keys that it holds.
        slots: Requests that it runs at a time.
        address: Address that it announces, as `HOST:PORT`.
        agent_port: Port of its agent for reports.
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
        slow_factor: Factor on the time of all work.
        lost_share: Share of the runs whose answer is lost.
    """

    slow_factor: float = 1.0
    lost_share: float = 0.0


class _Order(msgspec.Struct, rename="camel"):
    first: int = msgspec.field(name="from")
    target: int
    fence: int
    hold_s: float = 0.0
    handover: str = ""


class SiteUpstream:
    """One upstream, which can leave, crash and start anew.

    Attributes:
        instance: Id of the present start.
        faults: Faults in force; replaced as a whole.
    """

    def __init__(self, spec: UpstreamSpec, port: int, evidence: Evidence, seed: int) -> None:
        self.spec = spec
        self.faults = UpstreamFaults()
        self.instance = ""
        self._evidence = evidence
        self._random = random.Random(seed)
        self._port = port
        self._site: HttpSite | None = None
        self._reports: asyncio.Task[None] | None = None
        self._leaving = False

    @property
    def holds(self) -> KeyHolds:
        """Keys of the present start."""
        return self._holds

    async def start(self, same_id: bool = False) -> None:
        """Starts with nothing known of before.

        Args:
            same_id: Whether it has the id of the start before.
        """
        self.instance = self.instance if same_id and self.instance else f"i-{uuid.uuid4().hex[:8]}"
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._leaving = False
        # A start under the same id holds nothing of before, so holds name the start.
        self._life = f"{self.instance}@{self._born}"
        self._holds = KeyHolds(
            self.spec.service, self._life, self.spec.machine, self._evidence.holds
        )
        self._slots = asyncio.Semaphore(self.spec.slots)
        self._waiting = 0
        self._working: dict[asyncio.Task[object], int | None] = {}
        self._token = uuid.uuid4().hex[:16]
        app = web.Application()
        app.router.add_post(GRANT_PATH, self._grant)
        app.router.add_post(RELEASE_PATH, self._release)
        app.router.add_get(HEALTH_PATH, self._health)
        app.router.add_route("*", "/{path:.*}", self._request)
        self._site = HttpSite(app, LOOPBACK, self._port)
        await self._site.start()
        self._reports = asyncio.create_task(self._report())

    async def crash(self) -> None:
        """Ends at once: no answers, no further reports."""
        site, self._site = self._site, None
        if site is None:
            return
        assert self._reports is not None
        self._reports.cancel()
        await site.stop_listening()
        site.abort_connections()
        for task in tuple(self._working):
            task.cancel()
        self._holds.end()
        await site.stop()

    async def leave(self, serve_s: float) -> None:
        """Reports that it leaves, serves on after the acknowledgement, and ends.

        Args:
            serve_s: How long it serves after the acknowledgement, in seconds.
        """
        self._leaving = True
        for _ in range(_LEAVE_REPORTS):
            if await self._send_report():
                self._evidence.departures.append(
                    Departure(
                        instance=self._life,
                        machine=self.spec.machine,
                        acknowledged=time.monotonic(),
                    )
                )
                await asyncio.sleep(serve_s)
                break
            await asyncio.sleep(HEARTBEAT_S)
        await self._call(LEAVE_CALL, b"")
        while self._working:
            await asyncio.wait(tuple(self._working))
        await self.crash()

    async def _report(self) -> None:
        while True:
            await self._send_report()
            await asyncio.sleep(HEARTBEAT_S)

    async def _send_report(self) -> bool:
        self._sequence += 1
        report = {
            "address": self.spec.address,
            "born": self._born,
            "info": {
                "service": self.spec.service,
                "version": "v1",
                "zone": self.spec.failure_domain,
                "capacity": self.spec.slots,
            },
            "status": {
                "state": "draining" if self._leaving else "ready",
                "seq": self._sequence,
                "coldLeftS": 0,
            },
        }
        return await self._call(HEARTBEAT_CALL, msgspec.json.encode(report))

    async def _call(self, call: str, body: bytes) -> bool:
        url = f"http://{LOOPBACK}:{self.spec.agent_port}{RPC_PATH}?call={call}&of={self.instance}"
        timeout = aiohttp.ClientTimeout(total=_ACKNOWLEDGE_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, data=body) as answer,
            ):
                return answer.status < 300
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def _health(self, _: web.Request) -> web.Response:
        load = f"{len(self._working)},{self._waiting},{self.spec.slots}"
        headers = {"X-Fescueward-Instance": self.instance, "X-Fescueward-Load": load}
        return web.Response(status=503 if self._leaving else 200, headers=headers)

    async def _grant(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=_Order)
        if not self.spec.keyed:
            return web.Response(status=400)
        if not self._holds.grant(order.first, order.target, order.fence, order.hold_s):
            return web.Response(status=409)
        return web.Response()

    async def _release(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=_Order)
        self._holds.release(order.first, order.target, order.fence)
        while running := [
            task
            for task, key in self._working.items()
            if key is not None and order.first <= key <= order.target
        ]:
            await asyncio.wait(running)
        return web.Response(headers={HANDOVER: self._token})

    async def _request(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get(REQUEST_ID, "")
        deadline = time.monotonic() + float(request.headers.get(TIMEOUT_MS, "1000")) / 1000
        key = int(request.headers[KEY]) if KEY in request.headers else None
        if not request_id or not request.headers.get(CALLER):
            return _not_executed(400)
        if request.headers.get(TARGET_INSTANCE, self.instance) != self.instance:
            return _not_executed(421)
        if self._waiting >= self.spec.slots * _QUEUED_PER_SLOT:
            return _not_executed(503)
        self._waiting += 1
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + deadline - time.monotonic()
            ):
                await self._slots.acquire()
        except TimeoutError:
            return _not_executed(503)
        finally:
            self._waiting -= 1
        try:
            if self.spec.keyed and (key is None or self._holds.fence(key) is None):
                return _not_executed(421)
            task = asyncio.create_task(self._run(request, request_id, key, deadline))
            self._working[task] = key
            try:
                return await task
            except asyncio.CancelledError:
                return abort_connection(request)
            finally:
                self._working.pop(task, None)
        finally:
            self._slots.release()

    async def _run(
        self, request: web.Request, request_id: str, key: int | None, deadline: float
    ) -> web.StreamResponse:
        started = time.monotonic()
        status, life = 0, self._life
        try:
            work_s = float(request.query.get(WORK_MS, "0")) / 1000 * self.faults.slow_factor
            await asyncio.sleep(max(min(work_s, deadline - started), 0))
            held = not self.spec.keyed or (key is not None and self._holds.fence(key) is not None)
            status = 504 if started + work_s > deadline else 200 if held else 500
            if self._random.random() < self.faults.lost_share:
                status = 0
        finally:
            self._evidence.runs.append(
                Run(
                    id=request_id,
                    instance=life,
                    machine=self.spec.machine,
                    key=key,
                    started=started,
                    ended=time.monotonic(),
                    status=status,
                )
            )
        if not status:
            return abort_connection(request)
        headers = {
            REQUEST_ID: request_id,
            RECEIPT: receipt(self.instance, request_id, status),
            "X-Site-Service": self.spec.service,
        }
        return web.Response(status=status, body=answer_body(request_id), headers=headers)


def _not_executed(status: int) -> web.Response:
    return web.Response(status=status, headers={NOT_EXECUTED: "1"})
