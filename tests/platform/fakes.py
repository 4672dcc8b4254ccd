"""Fake servers of the platform's store and of an upstream."""

import asyncio
import json
import socket
import struct
from types import SimpleNamespace

from aiohttp import web

from fescueward.kernel import BootClock
from fescueward.kernel.settings import UpstreamSection
from fescueward.platform.settings import Address

CLOCK = BootClock()
# Limit on the size of a response in the tests.
MAX_ANSWER_BYTES = 300_000


class FakeStore:
    """A store with the kinds, revisions, pages and conditional writes that the client uses."""

    def __init__(self) -> None:
        self.revision = 10
        self.objects: dict[tuple[str, str], dict] = {}
        self.oldest_revision = 0
        self.page_size = 2
        self.status = 0
        self.lose_responses = False
        self.hang = False
        # Pause before each of ten parts of a response, in seconds.
        self.part_pause_s = 0.0
        self.url = ""
        # Value of the header `Store-Era`; None sends none.
        self.era: object = None
        # Called with each request before it is handled.
        self.on_call = lambda request: None

    async def start(self) -> None:
        self._runner = web.ServerRunner(web.Server(self._handle_in_era))
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"

    async def stop(self) -> None:
        await self._runner.cleanup()

    def put(self, kind: str, name: str, spec: object) -> dict:
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
        self.objects[(kind, name)] = item
        return item

    def copy(self) -> tuple[int, dict]:
        return self.revision, dict(self.objects)

    def restore(self, copy: tuple[int, dict], era: int) -> None:
        self.revision, objects = copy
        self.objects = dict(objects)
        self.era = era

    async def _handle_in_era(self, request: web.BaseRequest) -> web.StreamResponse:
        self.on_call(request)
        response = await self._handle(request)
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)
        if self.part_pause_s:
            return await self._send_in_parts(request, response.body)
        return response

    async def _send_in_parts(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_length = len(body)
        await response.prepare(request)
        size = -(-len(body) // 10)
        for start in range(0, len(body), size):
            await asyncio.sleep(self.part_pause_s)
            await response.write(body[start : start + size])
        return response

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.hang:
            await asyncio.Event().wait()
        if self.status:
            return web.Response(status=self.status)
        kind, _, name = request.path.removeprefix("/fescueward/objects/").partition("/")
        if request.method in ("POST", "PUT"):
            response = self._write(request.method, kind, name, json.loads(await request.read()))
            if self.lose_responses:
                request.transport.abort()
            return response
        if name:
            item = self.objects.get((kind, name))
            return web.json_response(item) if item else web.Response(status=404)
        if "watch" in request.query:
            return self._changes(kind, int(request.query["watch"]))
        return self._list(kind, request.query.get("after", ""))

    def _write(self, method: str, kind: str, name: str, body: dict) -> web.Response:
        name = name or body["metadata"]["name"]
        stored = self.objects.get((kind, name))
        expected = body["metadata"].get("revision")
        if method == "POST" and stored is not None:
            return web.json_response(stored, status=409)
        if method == "PUT" and (stored is None or stored["metadata"]["revision"] != expected):
            return web.json_response(stored, status=409)
        return web.json_response(self.put(kind, name, body["spec"]))

    def _changes(self, kind: str, since: int) -> web.Response:
        if since < self.oldest_revision:
            return web.Response(status=410)
        events = [
            {"object": item, "deleted": False}
            for (item_kind, _), item in sorted(self.objects.items())
            if item_kind == kind and item["metadata"]["revision"] > since
        ]
        return web.json_response({"events": events, "currentRev": self.revision})

    def _list(self, kind: str, after: str) -> web.Response:
        names = sorted(
            name for item_kind, name in self.objects if item_kind == kind and name > after
        )
        page = [self.objects[(kind, name)] for name in names[: self.page_size]]
        more = len(names) > self.page_size
        return web.json_response({"items": page, "hasMore": more, "currentRev": self.revision})


class RawUpstream:
    """Sends fixed bytes on each connection and then closes or resets it."""

    def __init__(self, response: bytes, reset: bool = False) -> None:
        self.response = response
        self.reset = reset
        self.requests: list[bytes] = []

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = Address(host, port)
        return self.address

    async def stop(self) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            self.requests.append(await reader.readuntil(b"\r\n\r\n"))
        except asyncio.IncompleteReadError:
            # A probe of whether the upstream accepts connections sends nothing.
            writer.close()
            return
        writer.write(self.response)
        await writer.drain()
        if self.reset:
            await asyncio.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.close()


class RecordedLiveness:
    """Records the calls of the `Liveness` Protocol."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def heartbeat_received(self) -> None:
        self.calls.append("heard")

    def connection_succeeded(self) -> None:
        self.calls.append("connected")

    def connection_failed(self) -> None:
        self.calls.append("unreachable")


def site_at(address: Address) -> SimpleNamespace:
    section = UpstreamSection(max_answer_bytes=MAX_ANSWER_BYTES)
    return SimpleNamespace(
        application=address,
        settings=SimpleNamespace(upstream=section),
        memory_bytes=300_000_000,
    )
