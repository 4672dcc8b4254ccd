"""The platform's metadata store."""

from __future__ import annotations

import asyncio
import json
import time

from aiohttp import web

from .wire import HOST


class Store:
    """The platform's store, which loses nothing that it has acknowledged."""

    def __init__(self) -> None:
        self.revision = 1
        self.port = 0
        self._objects: dict[tuple[str, str], dict] = {}
        self._history: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()

    async def start(self, port: int) -> None:
        """Listens on a port."""
        app = web.Application()
        app.router.add_route("*", "/fescueward/objects/{kind}", self._handle)
        app.router.add_route("*", "/fescueward/objects/{kind}/{name}", self._handle)
        runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, HOST, port).start()
        self.port, self.runner = port, runner

    def put(self, kind: str, name: str, spec: object) -> None:
        """Writes an object as the operator."""
        self._write(kind, name, spec)

    def _write(self, kind: str, name: str, spec: object, delete: bool = False) -> dict:
        old = self._objects.get((kind, name))
        if old is not None and not delete and old["spec"] == spec:
            return old
        self.revision += 1
        created = old["metadata"]["created"] if old else self.revision
        metadata = {"name": name, "revision": self.revision, "created": created}
        metadata |= {"finalizers": [], "deleting": False}
        item = {"metadata": metadata, "spec": spec, "status": None}
        if delete:
            del self._objects[kind, name]
        else:
            self._objects[kind, name] = item
        self._history.append((self.revision, kind, item, delete))
        self._changed.set()
        self._changed = asyncio.Event()
        return item

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        kind, name = request.match_info["kind"], request.match_info.get("name", "")
        body = await request.read()
        if request.method == "GET":
            return await self._read(request, kind, name)
        return self.apply(request.method, kind, name, body, request)

    def apply(
        self, method: str, kind: str, name: str, body: bytes, request: web.Request
    ) -> web.Response:
        """Carries out a write and returns its response."""
        content = json.loads(body) if body else {}
        metadata = content.get("metadata", {})
        revision = int(request.query.get("revision", 0)) or metadata.get("revision")
        name = name or metadata.get("name", "")
        current = self._objects.get((kind, name))
        if method == "POST":
            if current is not None:
                return web.json_response(current, status=409)
            return web.json_response(self._write(kind, name, content.get("spec")))
        if current is None:
            return web.Response(status=404)
        if revision and revision != current["metadata"]["revision"]:
            return web.json_response(current, status=409)
        if method == "DELETE":
            return web.json_response(self._write(kind, name, current["spec"], delete=True))
        return web.json_response(self._write(kind, name, content.get("spec")))

    async def _read(self, request: web.Request, kind: str, name: str) -> web.Response:
        if name:
            item = self._objects.get((kind, name))
            return web.json_response(item) if item else web.Response(status=404)
        if "watch" not in request.query:
            items = [item for (k, _), item in sorted(self._objects.items()) if k == kind]
            page = {"items": items, "hasMore": False, "currentRev": self.revision}
            return web.json_response(page)
        since = int(request.query["watch"])
        end = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
        while True:
            events = [
                {"object": item, "deleted": deleted}
                for revision, k, item, deleted in self._history
                if k == kind and revision > since
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return web.json_response({"events": events, "currentRev": self.revision})
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
