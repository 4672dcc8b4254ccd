"""Small servers in the place of the platform's store and of an upstream."""

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
# Limit on an answer in the tests, in bytes.
ANSWER_BYTES = 300_000


class FakeStore:
    """Kinds, revisions, pages and conditional writes, as far as the client uses them."""

    def __init__(self) -> None:
        self.revision = 10
        self.objects: dict[tuple[str, str], dict] = {}
        self.oldest = 0
        self.page = 2
        self.status = 0
        self.lose = False
        self.silent = False
        self.url = ""

    async def start(self) -> None:
        self._runner = web.ServerRunner(web.Server(self._answer))
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"

    async def stop(self) -> None:
        await self._runner.cleanup()

    def put(self, kind: str, name: str, spec: object) -> dict:
        self.revision += 1
        found = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
        self.objects[(kind, name)] = found
        return found

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.silent:
            await asyncio.Event().wait()
        if self.status:
            return web.Response(status=self.status)
        kind, _, name = request.path.removeprefix("/fescueward/objects/").partition("/")
        if request.method in ("POST", "PUT"):
            answer = self._write(request.method, kind, name, json.loads(await request.read()))
            if self.lose:
                request.transport.abort()
            return answer
        if name:
            found = self.objects.get((kind, name))
            return web.json_response(found) if found else web.Response(status=404)
        if "watch" in request.query:
            return self._changes(kind, int(request.query["watch"]))
        return self._list(kind, request.query.get("after", ""))

    def _write(self, method: str, kind: str, name: str, body: dict) -> web.Response:
        name = name or body["metadata"]["name"]
        held = self.objects.get((kind, name))
        expected = body["metadata"].get("revision")
        if method == "POST" and held is not None:
            return web.json_response(held, status=409)
        if method == "PUT" and (held is None or held["metadata"]["revision"] != expected):
            return web.json_response(held, status=409)
        return web.json_response(self.put(kind, name, body["spec"]))

    def _changes(self, kind: str, since: int) -> web.Response:
        if since < self.oldest:
            return web.Response(status=410)
        events = [
            {"object": found, "deleted": False}
            for (held, _), found in sorted(self.objects.items())
            if held == kind and found["metadata"]["revision"] > since
        ]
        return web.json_response({"events": events, "currentRev": self.revision})

    def _list(self, kind: str, after: str) -> web.Response:
        names = sorted(name for held, name in self.objects if held == kind and name > after)
        page = [self.objects[(kind, name)] for name in names[: self.page]]
        more = len(names) > self.page
        return web.json_response({"items": page, "hasMore": more, "currentRev": self.revision})


class RawUpstream:
    """Answers each connection with given bytes and ends it in order or by a reset."""

    def __init__(self, answer: bytes, reset: bool = False) -> None:
        self.answer = answer
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
        self.requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(self.answer)
        await writer.drain()
        if self.reset:
            await asyncio.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.close()


class RecordedLiveness:
    """Keeps the signs of life that were reported."""

    def __init__(self) -> None:
        self.signs: list[str] = []

    def heartbeat_received(self) -> None:
        self.signs.append("heard")

    def connected(self) -> None:
        self.signs.append("connected")

    def unreachable(self) -> None:
        self.signs.append("unreachable")


def site_at(address: Address) -> SimpleNamespace:
    section = UpstreamSection(max_answer_bytes=ANSWER_BYTES)
    return SimpleNamespace(application=address, settings=SimpleNamespace(upstream=section))
