"""Stand-in of a back end, after PROTOCOL.md."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlsplit

from .holds import Holds
from .record import Record
from .wire import LIMIT_BYTES, Message, call, encode_response, read_message

PREFIX = "X-Fescueward-"
HEARTBEAT_S = 0.87
_ACKNOWLEDGE_S = 1.0
# Time after which a heartbeat without an acknowledgement is sent again.
_RETRY_S = 0.1
_QUEUED_PER_SLOT = 4
_STEP_S = 0.005


@dataclass(frozen=True, slots=True)
class Spec:
    """What a back end is.

    Attributes:
        name: Its name in the record.
        service: Its service.
        zone: Its zone.
        address: Address on which it listens.
        agent: Address of the `admin` port of the agent beside it.
        sharded: Whether it runs only requests for keys that it holds.
        slots: Requests that it runs at a time.
        clock_factor: How much longer a hold lasts on its clock.
    """

    name: str
    service: str
    zone: str
    address: tuple[str, int]
    agent: tuple[str, int]
    sharded: bool = False
    slots: int = 6
    clock_factor: float = 1.0


class Backend:
    """A back end that starts once, serves, and may end without notice.

    Attributes:
        spec: What it is.
        state: The state that its heartbeats report.
        holds: The keys that it holds.
        running: Key of each request at which it works, by its id.
        idle_s: Time after which it closes an idle connection.
        lost_share: Share of the requests that it runs and whose answers are lost with a reset.
        drops_requests: Whether it drops a request when its connection closes.
        on_grant: Called with first and last key after each grant that it has taken.
        on_release: Called with first and last key when a release arrives.
    """

    def __init__(self, spec: Spec, record: Record) -> None:
        self.spec = spec
        self.state = "ready"
        self.holds = Holds(spec.clock_factor)
        self.running: dict[str, int | None] = {}
        self.idle_s = 10.0
        self.lost_share = 0.0
        self.drops_requests = True
        self.on_release: Callable[[int, int], None] = lambda first, last: None
        self.on_grant: Callable[[int, int], None] = lambda first, last: None
        self._record = record
        self._instance = f"i-{random.getrandbits(32):08x}"
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._slots = asyncio.Semaphore(spec.slots)
        self._queued = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to listen and to send heartbeats."""
        host, port = self.spec.address
        self._server = await asyncio.start_server(self._serve, host, port, limit=LIMIT_BYTES)
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    def end(self) -> None:
        """Ends at once and says nothing."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def send_heartbeat(self) -> bool:
        """Sends a heartbeat; returns whether it was acknowledged."""
        self._sequence += 1
        host, port = self.spec.address
        report = {
            "address": f"{host}:{port}",
            "born": self._born,
            "info": {
                "service": self.spec.service,
                "version": "v1",
                "zone": self.spec.zone,
                "capacity": self.spec.slots,
            },
            "status": {"state": self.state, "seq": self._sequence, "coldLeftS": 0},
        }
        target = f"/fescueward/rpc?call=instances.heartbeat&of={self._instance}"
        headers = {"Content-Type": "application/json"}
        body = json.dumps(report).encode()
        try:
            answer = await call(self.spec.agent, "POST", target, headers, body, _ACKNOWLEDGE_S)
        except (OSError, TimeoutError):
            return False
        return answer is not None and 200 <= answer.status < 300

    async def _send_heartbeats(self) -> None:
        while True:
            acknowledged = await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S if acknowledged else _RETRY_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                async with asyncio.timeout(self.idle_s):
                    message = await read_message(reader)
                if message is None:
                    return
                answer = await self._answer(message, reader)
                if answer is None:
                    writer.transport.abort()
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, TimeoutError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, message: Message, reader: asyncio.StreamReader) -> bytes | None:
        _, target, _ = message.line.split(" ", 2)
        if target == "/fescueward/grant":
            return self._grant(json.loads(message.body))
        if target == "/fescueward/release":
            return await self._release(json.loads(message.body))
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            return encode_response(status, {PREFIX + "Instance": self._instance})
        return await self._request(message, reader)

    def _grant(self, content: dict[str, float]) -> bytes:
        first, last, fence = int(content["from"]), int(content["target"]), int(content["fence"])
        taken = self.holds.grant(first, last, fence, content["holdS"])
        self._record("grant", self.spec.name, first, last, "fence", fence, "taken", taken)
        if taken:
            self.on_grant(first, last)
        return encode_response(200 if taken else 409, {})

    async def _release(self, content: dict[str, float]) -> bytes:
        first, last, fence = int(content["from"]), int(content["target"]), int(content["fence"])
        self._record("release", self.spec.name, first, last, "fence", fence)
        self.holds.release(first, last, fence)
        self.on_release(first, last)
        await self._wait_for_work(first, last)
        self._record("released", self.spec.name, first, last, "fence", fence)
        return encode_response(200, {PREFIX + "Handover": f"{random.getrandbits(64):016x}"})

    async def _wait_for_work(self, first: int, last: int) -> None:
        """Waits until no work on some keys runs."""
        while True:
            keys = [key for key in self.running.values() if key is not None]
            if not any(first <= key <= last for key in keys):
                return
            await asyncio.sleep(_STEP_S)

    async def _request(self, message: Message, reader: asyncio.StreamReader) -> bytes | None:
        headers = message.headers
        request_id = headers.get(PREFIX.lower() + "request-id", "")
        limit_s = float(headers.get(PREFIX.lower() + "timeout-ms", "1000")) / 1000
        deadline = time.monotonic() + limit_s
        key_text = headers.get(PREFIX.lower() + "shard-key")
        key = int(key_text) if key_text is not None else None
        if not request_id:
            return self._refusal(request_id, 400)
        if headers.get(PREFIX.lower() + "target-instance", self._instance) != self._instance:
            return self._refusal(request_id, 421)
        if self._queued >= self.spec.slots * _QUEUED_PER_SLOT:
            return self._refusal(request_id, 503)
        self._queued += 1
        try:
            async with asyncio.timeout(limit_s):
                await self._slots.acquire()
        except TimeoutError:
            return self._refusal(request_id, 503)
        finally:
            self._queued -= 1
        try:
            if self.spec.sharded and (key is None or not self.holds.holds(key)):
                return self._refusal(request_id, 421)
            return await self._run(message.line, request_id, key, deadline, reader)
        finally:
            self._slots.release()

    def _refusal(self, request_id: str, status: int) -> bytes:
        self._record("reject", self.spec.name, request_id, status)
        headers = {PREFIX + "Request-Id": request_id, PREFIX + "Not-Executed": "1"}
        return encode_response(status, headers)

    async def _run(
        self,
        line: str,
        request_id: str,
        key: int | None,
        deadline: float,
        reader: asyncio.StreamReader,
    ) -> bytes | None:
        method, target, _ = line.split(" ", 2)
        query = dict(parse_qsl(urlsplit(target).query))
        ends_at = time.monotonic() + float(query.get("work", "20")) / 1000
        self._record("run", self.spec.name, request_id, method, target, "key", key)
        self.running[request_id] = key
        status = 200
        try:
            while (now := time.monotonic()) < ends_at:
                if self.drops_requests and reader.at_eof():
                    return None
                if now >= deadline:
                    status = 504
                    break
                if self.spec.sharded and key is not None and now >= self.holds.granted_until(key):
                    status = 500
                    break
                await asyncio.sleep(_STEP_S)
        finally:
            del self.running[request_id]
            self._record("end", self.spec.name, request_id, status)
        if random.random() < self.lost_share:
            self._record("answer lost", self.spec.name, request_id)
            return None
        headers = {
            PREFIX + "Request-Id": request_id,
            PREFIX + "Response-Sig": f"{self._instance}.{request_id}.{status}",
        }
        return encode_response(status, headers, f"{self.spec.service} {request_id}".encode())
