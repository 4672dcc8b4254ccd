"""Stand-in of the platform's metadata store, after PROTOCOL.md."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

from .wire import LIMIT_BYTES, encode_json, read_message

_PAGE_ITEMS = 500
_MAX_WAIT_S = 30.0
_PART_BYTES = 16_384

Answer = tuple[int, Any]


class Store:
    """Keeps objects by kind and name, loses nothing and responds at once.

    Attributes:
        port: Port on which it listens, after `start`.
        bytes_per_s: Speed of the link to each machine, or None if it isn't limited.
    """

    def __init__(self) -> None:
        self.port = 0
        self.bytes_per_s: float | None = None
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._revision = 1
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Starts to listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=LIMIT_BYTES)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Writes an object without a condition, as the operator does."""
        items = self._objects.setdefault(kind, {})
        current = items.get(name)
        if current is not None and current["spec"] == spec:
            return current
        items[name] = self._next(name, spec)
        self._note(kind, items[name], False)
        return items[name]

    def objects(self, kind: str) -> dict[str, Any]:
        """Returns the content of all objects of a kind, by name."""
        return {name: item["spec"] for name, item in self._objects.get(kind, {}).items()}

    def _next(self, name: str, spec: Any) -> dict[str, Any]:
        self._revision += 1
        return {"metadata": {"name": name, "revision": self._revision}, "spec": spec}

    def _note(self, kind: str, item: dict[str, Any], deleted: bool) -> None:
        self._events.append((self._revision, kind, {"object": item, "deleted": deleted}))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message.line.split(" ", 2)
                answer = encode_json(*await self._call(method, target, message.body))
                await self._send(writer, answer)
        except (ConnectionError, asyncio.CancelledError):
            # The stand-in ends with the case.
            return
        finally:
            writer.close()

    async def _send(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        started_at = time.monotonic()
        for start in range(0, len(answer), _PART_BYTES):
            writer.write(answer[start : start + _PART_BYTES])
            await writer.drain()
            if self.bytes_per_s is not None:
                sent_s = min(start + _PART_BYTES, len(answer)) / self.bytes_per_s
                await asyncio.sleep(max(started_at + sent_s - time.monotonic(), 0))

    async def _call(self, method: str, target: str, body: bytes) -> Answer:
        url = urlsplit(target)
        query = dict(parse_qsl(url.query))
        kind, name = [*map(unquote, url.path.split("/")[3:]), ""][:2]
        if method == "GET":
            return await self._read(kind, name, query)
        return self._write(method, kind, name, query, json.loads(body) if body else {})

    async def _read(self, kind: str, name: str, query: dict[str, str]) -> Answer:
        items = self._objects.get(kind, {})
        if name:
            return (200, items[name]) if name in items else (404, {})
        if "watch" in query:
            wait_s = min(int(query.get("waitMs", "0")) / 1000, _MAX_WAIT_S)
            return await self._watch(kind, int(query["watch"]), wait_s)
        names = sorted(other for other in items if other > query.get("after", ""))
        page = [items[other] for other in names[:_PAGE_ITEMS]]
        more = len(names) > _PAGE_ITEMS
        return 200, {"items": page, "hasMore": more, "currentRev": self._revision}

    async def _watch(self, kind: str, since: int, wait_s: float) -> Answer:
        end = time.monotonic() + wait_s
        while True:
            events = [
                event
                for revision, event_kind, event in self._events
                if event_kind == kind and revision > since
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self._revision}
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _write(
        self, method: str, kind: str, name: str, query: dict[str, str], content: Any
    ) -> Answer:
        metadata = content.get("metadata", {})
        name = name or metadata.get("name", "")
        items = self._objects.setdefault(kind, {})
        current = items.get(name)
        if method == "POST":
            if current is not None:
                return 409, current
            return 201, self.put(kind, name, content.get("spec"))
        if current is None:
            return 404, {}
        expected = int(query["revision"]) if "revision" in query else metadata.get("revision")
        if expected not in (None, current["metadata"]["revision"]):
            return 409, current
        if method == "DELETE":
            del items[name]
            self._note(kind, self._next(name, current["spec"]), True)
            return 200, current
        return 200, self.put(kind, name, content.get("spec"))
