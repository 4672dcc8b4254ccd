"""A backend beside an agent."""

from __future__ import annotations

import asyncio
import json
import time
import uuid
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from .wire import CALLER, HEARTBEAT_S, HOST, ID, KEY, NOT_RUN, PREFIX, SIG, TARGET, TIMEOUT

if TYPE_CHECKING:
    from .site import Machine, Site


class Hold:
    """Keys that a boot of a backend holds until a time."""

    def __init__(self, first: int, last: int, fence: int, until: float) -> None:
        self.first, self.last, self.fence, self.until = first, last, fence, until


class Backend:
    """A backend beside an agent; each `boot` is a new life with a new id.

    Attributes:
        slots: Requests that run at the same time.
        runs: What it ran, with the times of the record.
        grants: Grants that it took, with the times of the record.
        first_ping_s: Time from a boot to its first ping.
        down_s: Time after which it is back when a request has crashed it.
        instance: Id of the present boot.
        up: Whether it serves.
        running: Runs in progress, with their keys.
    """

    def __init__(self, site: Site, machine: Machine, sharded: bool) -> None:
        self.site, self.machine, self.sharded = site, machine, sharded
        self.slots = 12
        self.runs: list[dict] = []
        self.grants: list[dict] = []
        self.holds: list[Hold] = []
        self.fences: list[tuple[int, int, int]] = []
        self.instance = ""
        self.born = 0
        self.seq = 0
        self.state = "ready"
        self.first_ping_s = 0.0
        self.down_s = 2.0
        self.up = False
        self._tasks: set[asyncio.Task] = set()
        self._ping_task: asyncio.Task | None = None
        self.running: dict[asyncio.Task, int | None] = {}

    async def boot(self) -> None:
        """Starts a life that holds and knows nothing of before."""
        self.instance, self.born = f"i-{uuid.uuid4().hex[:8]}", int(time.time() * 1000)
        self.seq, self.state, self.holds, self.fences = 0, "ready", [], []
        self._free = asyncio.Semaphore(self.slots)
        app = web.Application(client_max_size=2**26)
        app.router.add_post("/fescueward/grant", self._grant)
        app.router.add_post("/fescueward/release", self._release)
        app.router.add_get("/health", self._health)
        app.router.add_route("*", "/{path:.*}", self._request)
        # A body is what was sent, whatever its coding.
        self._runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.0, auto_decompress=False
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, HOST, self.machine.app_port).start()
        self.up = True
        self.site.record.write(f"{self.machine.name} backend boots as {self.instance}")
        self._ping_task = asyncio.create_task(self._ping())

    async def crash(self) -> None:
        """Ends at once; it sends nothing more, and its connections are reset."""
        if not self.up:
            return
        self.up = False
        self.site.record.write(f"{self.machine.name} backend {self.instance} ends")
        assert self._ping_task is not None
        self._ping_task.cancel()
        for task in tuple(self.running):
            task.cancel()
        server = self._runner.server
        assert server is not None
        for connection in tuple(server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await self._runner.cleanup()

    def _crash_and_return(self) -> None:
        async def back() -> None:
            await self.crash()
            await asyncio.sleep(self.down_s)
            await self.boot()

        task = asyncio.create_task(back())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def call(self, call: str, body: dict | None, delay_s: float = 0.0) -> bool:
        """Sends a call to the agent on this machine; returns whether it was acknowledged."""
        instance, at = self.instance, self.site.record.now()
        if delay_s:
            await asyncio.sleep(delay_s)
        url = f"http://{HOST}:{self.machine.admin_port}/fescueward/rpc?call=instances.{call}"
        data = b"" if body is None else json.dumps(body).encode()
        try:
            async with (
                aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session,
                session.post(f"{url}&of={instance}", data=data) as answer,
            ):
                acknowledged = answer.status < 300
        except (aiohttp.ClientError, OSError):
            acknowledged = False
        state = "" if body is None else f" {body['status']['state']} seq {body['status']['seq']}"
        self.site.record.write(
            f"{self.machine.name} {call}{state} of {instance}, sent at {at:.3f}: "
            f"{'acknowledged' if acknowledged else 'no acknowledgement'}"
        )
        return acknowledged

    def ping_body(self) -> dict:
        """Returns the next ping."""
        self.seq += 1
        return {
            "address": f"{HOST}:{self.machine.app_port}",
            "born": self.born,
            "info": {
                "service": self.machine.service,
                "version": "v1",
                "zone": self.machine.zone,
                "capacity": self.slots,
            },
            "status": {"state": self.state, "seq": self.seq, "coldLeftS": 0},
        }

    async def _ping(self) -> None:
        await asyncio.sleep(self.first_ping_s)
        while True:
            await self.call("heartbeat", self.ping_body())
            await asyncio.sleep(HEARTBEAT_S)

    def stop_pings(self) -> None:
        """Sends no more pings in this life."""
        assert self._ping_task is not None
        self._ping_task.cancel()

    def holds_key(self, key: int) -> Hold | None:
        """Returns the hold of a key that is valid now."""
        now = time.monotonic()
        for hold in self.holds:
            if hold.first <= key <= hold.last and hold.until > now:
                return hold
        return None

    async def _health(self, _: web.Request) -> web.Response:
        return web.Response(headers={PREFIX + "Instance": self.instance})

    async def _grant(self, request: web.Request) -> web.StreamResponse:
        body, arrived = json.loads(await request.read()), time.monotonic()
        if not self.sharded:
            return web.Response(status=400)
        return web.Response(status=200 if self.take(body, arrived) else 409)

    def take(self, body: dict, arrived: float) -> bool:
        """Applies a grant; its time counts from its arrival."""
        first, last, fence = body["from"], body["target"], body["fence"]
        if any(f > fence and first <= hi and lo <= last for lo, hi, f in self.fences):
            self.site.record.write(
                f"{self.machine.name} {self.instance} refuses grant {first}-{last} fence {fence}"
            )
            return False
        until = arrived + body["holdS"]
        self.fences.append((first, last, fence))
        self._cut(first, last)
        self.holds.append(Hold(first, last, fence, until))
        began = self.site.record.now() - (time.monotonic() - arrived)
        self.grants.append(
            {
                "boot": self.instance,
                "first": first,
                "last": last,
                "fence": fence,
                "arrived": began,
                "until": began + body["holdS"],
            }
        )
        self.site.record.write(
            f"{self.machine.name} {self.instance} takes grant {first}-{last} fence {fence} "
            f"for {body['holdS']:.3f} s, arrived at {began:.3f}"
        )
        return True

    def _cut(self, first: int, last: int) -> None:
        kept = []
        for hold in self.holds:
            if hold.first < first:
                kept.append(Hold(hold.first, min(hold.last, first - 1), hold.fence, hold.until))
            if hold.last > last:
                kept.append(Hold(max(hold.first, last + 1), hold.last, hold.fence, hold.until))
        self.holds = kept

    async def _release(self, request: web.Request) -> web.StreamResponse:
        body = json.loads(await request.read())
        self._end(body)
        await self.idle(body["from"], body["target"])
        return web.Response(headers={PREFIX + "Handover": uuid.uuid4().hex[:16]})

    def _end(self, body: dict) -> None:
        self._cut(body["from"], body["target"])
        self.site.record.write(
            f"{self.machine.name} {self.instance} releases {body['from']}-{body['target']} "
            f"fence {body['fence']}"
        )

    async def idle(self, first: int, last: int) -> None:
        """Waits until no work on the keys is running."""
        while busy := [
            t for t, key in self.running.items() if key is not None and first <= key <= last
        ]:
            await asyncio.wait(busy)

    async def _request(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get(ID, "")
        body = await request.read()
        if not request_id or not request.headers.get(CALLER):
            return web.Response(status=400, headers={NOT_RUN: "1"})
        if request.headers.get(TARGET, self.instance) != self.instance:
            headers = {NOT_RUN: "1", PREFIX + "Instance": self.instance}
            return web.Response(status=421, headers=headers)
        key = int(request.headers[KEY]) if KEY in request.headers else None
        await self._free.acquire()
        try:
            if self.sharded and (key is None or self.holds_key(key) is None):
                return web.Response(status=421, headers={NOT_RUN: "1"})
            task = asyncio.create_task(self._run(request, request_id, key, body))
            self.running[task] = key
            try:
                return await task
            finally:
                self.running.pop(task, None)
                task.cancel()
        finally:
            self._free.release()

    async def _run(
        self, request: web.Request, request_id: str, key: int | None, body: bytes
    ) -> web.StreamResponse:
        began = self.site.record.now()
        run = {"id": request_id, "key": key, "boot": self.instance, "began": began, "body": body}
        run |= {"machine": self.machine.name, "done": False, "ended": None}
        self.runs.append(run)
        self.site.record.write(
            f"{self.machine.name} {self.instance} runs {request_id}"
            + (f" key {key}" if key is not None else "")
            + (f" body of {len(body)} bytes" if body else "")
        )
        left_s = float(request.headers.get(TIMEOUT, "1000")) / 1000
        work_s = float(request.query.get("ms", "50")) / 1000
        try:
            await asyncio.sleep(min(work_s, left_s))
            run["done"] = work_s <= left_s
        finally:
            run["ended"] = self.site.record.now()
        if "crash" in request.query:
            asyncio.get_running_loop().call_soon(self._crash_and_return)
            await asyncio.sleep(60)
        status = 200 if run["done"] else 504
        if self.sharded and key is not None and self.holds_key(key) is None:
            status = 500
        headers = {ID: request_id, SIG: f"sig-{request_id}-{status}"}
        return web.Response(status=status, body=b"answer " + request_id.encode(), headers=headers)
