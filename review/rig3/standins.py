"""Small stand-ins of the users' platform for the scripts of this review: store and back end.

They speak what PROTOCOL.md says and behave like a sound store and a sound back end, except where
a case asks for a disturbance that the pages name.
"""

from __future__ import annotations

import asyncio
import json
import time
import uuid
from collections.abc import Awaitable, Callable

from aiohttp import web
from rig import HOST, Machine, Record

AnswerHook = Callable[[web.Request], Awaitable[web.StreamResponse | None]]

HEARTBEAT_S = 0.87
HISTORY_S = 20.0


class Store:
    """The platform's store: objects by kind and name, conditional writes, lists and watches."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.objects: dict[str, dict[str, dict]] = {}
        self.revision = 1
        self.history: list[tuple[float, int, str, dict, bool]] = []
        # Called with method, kind, name and body of a call of an agent; it may wait, and returns a
        # status to be sent in place of an answer, or None.
        self.hook: Callable[[str, str, str, bytes], Awaitable[int | None]] | None = None
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        app = web.Application(client_max_size=4 << 20)
        for path in ("/fescueward/objects/{kind}", "/fescueward/objects/{kind}/{name}"):
            app.router.add_route("*", path, self._handle)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, HOST, 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Closes the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    def write_config(self, content: bytes) -> None:
        """Writes a config as the operator; its return is the acknowledgement."""
        spec = json.loads(content)
        self._put("config", "main", spec)
        self.record.add(f"config version {spec['version']} is acknowledged")

    def _put(self, kind: str, name: str, spec: object) -> dict:
        current = self.objects.setdefault(kind, {}).get(name)
        if current is not None and current["spec"] == spec:
            return current
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
        self.objects[kind][name] = item
        self._append(kind, item, False)
        return item

    def _append(self, kind: str, item: dict, deleted: bool) -> None:
        now = time.monotonic()
        self.history.append((now, self.revision, kind, item, deleted))
        while self.history and self.history[0][0] < now - HISTORY_S:
            self.history.pop(0)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        kind, name = request.match_info["kind"], request.match_info.get("name", "")
        body = await request.read()
        if self.hook is not None:
            status = await self.hook(request.method, kind, name, body)
            if status is not None:
                return web.Response(status=status)
        if request.method == "GET":
            return await self._read(request, kind, name)
        return self._write(request, kind, name, body)

    async def _read(self, request: web.Request, kind: str, name: str) -> web.StreamResponse:
        items = self.objects.get(kind, {})
        if name:
            return web.json_response(items[name]) if name in items else web.Response(status=404)
        if "watch" in request.query:
            since = int(request.query["watch"])
            end = time.monotonic() + min(int(request.query.get("waitMs", 0)), 30_000) / 1000
            oldest = self.history[0][1] if self.history else self.revision
            if since < oldest - 1:
                return web.Response(status=410)
            while True:
                events = [
                    {"object": item, "deleted": deleted}
                    for _, revision, changed, item, deleted in self.history
                    if changed == kind and revision > since
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return web.json_response({"events": events, "currentRev": self.revision})
                changed_event = self._changed
                try:
                    async with asyncio.timeout(left):
                        await changed_event.wait()
                except TimeoutError:
                    pass
        after = request.query.get("after", "")
        names = sorted(item_name for item_name in items if item_name > after)
        page = [items[item_name] for item_name in names[:500]]
        more = len(names) > 500
        return web.json_response({"items": page, "hasMore": more, "currentRev": self.revision})

    def _write(self, request: web.Request, kind: str, name: str, body: bytes) -> web.Response:
        try:
            written = json.loads(body) if body else {}
            if not isinstance(written, dict):
                raise ValueError("no object")
        except ValueError:
            return web.Response(status=400)
        metadata = written.get("metadata", {})
        name = name or metadata.get("name", "")
        expected = int(request.query.get("revision", 0)) or metadata.get("revision")
        current = self.objects.get(kind, {}).get(name)
        if current is None and request.method != "POST":
            return web.Response(status=404)
        if current is not None and (
            request.method == "POST" or expected not in (None, current["metadata"]["revision"])
        ):
            return web.json_response(current, status=409)
        if request.method == "DELETE":
            del self.objects[kind][name]
            self.revision += 1
            item = {**current, "metadata": {**current["metadata"], "revision": self.revision}}
            self._append(kind, item, True)
            return web.json_response(current)
        return web.json_response(self._put(kind, name, written.get("spec")))


class BackEnd:
    """A sound back end of one machine: heartbeats, grants, releases and requests.

    Args:
        record: Receives what it runs.
        machine: Its machine.
        sharded: Whether it runs only requests for keys that it holds.
        slots: Requests that it runs at a time.
    """

    def __init__(
        self, record: Record, machine: Machine, sharded: bool = False, slots: int = 12
    ) -> None:
        self.record = record
        self.machine = machine
        self.sharded = sharded
        self.slots = slots
        self.instance = f"i-{uuid.uuid4().hex[:8]}"
        self.state = "ready"
        self.running = 0
        # Times of the runs, by request id, over all starts.
        self.runs: dict[str, list[float]] = {}
        # First and last key, epoch and end of each hold. A released one has ended, but its epoch
        # stays known.
        self.holds: list[tuple[int, int, int, float]] = []
        # The same as granted, whatever was released since.
        self.granted: list[tuple[int, int, int, float]] = []
        # Key and end of each run that is at work, by request id.
        self.at_work: dict[str, tuple[int, asyncio.Event]] = {}
        # Called with first and last key of each grant that is taken.
        self.on_grant: Callable[[int, int], None] | None = None
        self.token = uuid.uuid4().hex[:16]
        self.work_s: Callable[[web.Request], float] = lambda request: (
            float(request.query.get("work", "5")) / 1000
        )
        # Called with a request before its answer is sent; returns another answer or None.
        self.answer_hook: AnswerHook | None = None
        self.release_hook: AnswerHook | None = None
        self._runner: web.AppRunner | None = None
        self._beats: asyncio.Task[None] | None = None
        self._sequence = 0
        self.born = 0
        # How far the clock of its machine is ahead, in seconds.
        self.clock_ahead_s = 0.0
        # Number of its answers to requests, grants and releases, and of the releases.
        self.answers = 0
        self.released = 0

    async def start(self) -> None:
        """Begins a new boot, which holds no keys."""
        self.born = int((time.time() + self.clock_ahead_s) * 1000)
        self._sequence = 0
        self.holds = []
        app = web.Application(client_max_size=16 << 20)
        app.router.add_post("/fescueward/grant", self._grant)
        app.router.add_post("/fescueward/release", self._release)
        app.router.add_get("/health", self._health)
        app.router.add_route("*", "/{path:.*}", self._request)
        self._runner = web.AppRunner(app, access_log=None, keepalive_timeout=10.0)
        await self._runner.setup()
        site = web.TCPSite(self._runner, HOST, self.machine.ports["app"], reuse_address=True)
        await site.start()
        self._beats = asyncio.create_task(self._send_beats())

    async def crash(self) -> None:
        """Ends at once: resets its connections and sends nothing more."""
        if self._runner is not None and self._runner.server is not None:
            for site in tuple(self._runner.sites):
                await site.stop()
            for connection in tuple(self._runner.server.connections):
                if connection.transport is not None:
                    connection.transport.abort()
        await self.stop()

    async def stop(self) -> None:
        """Ends its requests and its pings."""
        if self._beats is not None:
            self._beats.cancel()
        if self._runner is not None:
            self._runner._shutdown_timeout = 0.05
            await self._runner.cleanup()

    def beat(self) -> bytes:
        """Returns the next ping."""
        self._sequence += 1
        return json.dumps(
            {
                "address": f"{HOST}:{self.machine.ports['app']}",
                "born": self.born,
                "info": {
                    "service": self.machine.service,
                    "version": "v1",
                    "zone": self.machine.zone,
                    "capacity": self.slots,
                },
                "status": {"state": self.state, "seq": self._sequence, "coldLeftS": 0},
            }
        ).encode()

    async def call(self, call: str, body: bytes, instance: bytes | None = None) -> int:
        """Sends a call to the agent of the machine; returns the status, 0 without an answer."""
        from rig import exchange

        named = instance if instance is not None else self.instance.encode()
        head = b"POST /fescueward/rpc?call=instances.%s&of=%s HTTP/1.1\r\nHost: a\r\n" % (
            call.encode(),
            named,
        )
        head += b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
        return (await exchange(self.machine.ports["admin"], head + body, 1.0)).status

    async def _send_beats(self) -> None:
        while True:
            await self.call("heartbeat", self.beat())
            await asyncio.sleep(HEARTBEAT_S)

    async def _health(self, _: web.Request) -> web.Response:
        return web.Response(
            status=200 if self.state == "ready" else 503,
            headers={
                "X-Fescueward-Instance": self.instance,
                "X-Fescueward-Load": f"{self.running},0,{self.slots}",
            },
        )

    async def _grant(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read())
        self.answers += 1
        first, last, fence = body["from"], body["target"], body["fence"]
        now = time.monotonic()
        if any(low <= last and first <= high and e > fence for low, high, e, _ in self.holds):
            return web.Response(status=409)
        hold = (first, last, fence, now + body["holdS"])
        self.holds.append(hold)
        self.granted.append(hold)
        self.holds = [each for each in self.holds if each[3] > now - 10]
        if self.on_grant is not None:
            self.on_grant(first, last)
        self.record.add(
            f"{self.instance} is granted {first}-{last} fence {fence} {body['holdS']} s"
        )
        return web.Response()

    async def _release(self, request: web.Request) -> web.StreamResponse:
        body = json.loads(await request.read())
        self.answers += 1
        self.released += 1
        first, last, fence = body["from"], body["target"], body["fence"]
        now = time.monotonic()
        kept = []
        for low, high, epoch, end in self.holds:
            if low <= last and first <= high and epoch <= fence:
                if low < first:
                    kept.append((low, first - 1, epoch, end))
                if high > last:
                    kept.append((last + 1, high, epoch, end))
                # The epoch stays known although the hold has ended.
                kept.append((max(low, first), min(high, last), epoch, min(end, now)))
            else:
                kept.append((low, high, epoch, end))
        self.holds = kept
        # The work that is running now; what begins later under a newer grant is not waited for.
        running = [end for key, end in self.at_work.values() if first <= key <= last]
        self.record.add(
            f"{self.instance} is asked to release {first}-{last} fence {fence}, "
            f"{len(running)} at work"
        )
        for end in running:
            await end.wait()
        self.record.add(f"{self.instance} confirms the release of {first}-{last} fence {fence}")
        if self.release_hook is not None:
            response = await self.release_hook(request)
            if response is not None:
                return response
        return web.Response(headers={"X-Fescueward-Handover": self.token})

    def holds_key(self, key: int) -> bool:
        """Returns whether it holds a key now."""
        now = time.monotonic()
        return any(low <= key <= high and end > now for low, high, _, end in self.holds)

    def _refusal(self, status: int, request_id: str) -> web.Response:
        headers = {"X-Fescueward-Not-Executed": "1"}
        if request_id:
            headers["X-Fescueward-Request-Id"] = request_id
        return web.Response(status=status, headers=headers)

    async def _request(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get("X-Fescueward-Request-Id", "")
        body = await request.read()
        self.answers += 1
        target = request.headers.get("X-Fescueward-Target-Instance", self.instance)
        if not request_id:
            return self._refusal(400, "")
        if target != self.instance:
            return self._refusal(421, request_id)
        if self.running >= self.slots * 2:
            return self._refusal(503, request_id)
        if self.sharded and not self.holds_key(int(request.headers["X-Fescueward-Shard-Key"])):
            return self._refusal(421, request_id)
        self.running += 1
        ended = asyncio.Event()
        self.at_work[request_id] = (int(request.headers.get("X-Fescueward-Shard-Key", -1)), ended)
        try:
            self.runs.setdefault(request_id, []).append(time.monotonic())
            self.record.add(
                f"{self.instance} ({self.machine.service}) runs {request_id} {request.method} "
                f"{request.raw_path} {len(body)} bytes"
            )
            limit = float(request.headers.get("X-Fescueward-Timeout-Ms", "1000")) / 1000
            work_s = self.work_s(request)
            await asyncio.sleep(min(work_s, limit))
            if self.answer_hook is not None:
                response = await self.answer_hook(request)
                if response is not None:
                    return response
            return web.Response(
                status=200 if work_s <= limit else 504,
                headers={
                    "X-Fescueward-Request-Id": request_id,
                    "X-Fescueward-Response-Sig": f"sig.{request_id}",
                    "X-Fescueward-Load": f"{self.running},0,{self.slots}",
                },
                body=f"answer of {self.machine.service} to {request_id}".encode(),
            )
        finally:
            self.running -= 1
            del self.at_work[request_id]
            ended.set()
