"""Emulated object store of the platform, with its published HTTP protocol."""

from __future__ import annotations

import asyncio
import enum
import random
import time
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, replace

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler
from aiolimiter import AsyncLimiter

from ...platform.names import OBJECTS_PATH, STORE_ERA
from ..program import LOOPBACK, HttpSite, abort_connection

# Maximum number of objects in one page of a list response.
_PAGE_SIZE = 50
# Maximum age of the snapshot that reads with `staleOk` return.
_MAX_STALENESS_S = 2.0
# Maximum wait of a watch, from the platform's documentation.
_MAX_WATCH_MS = 30_000
# Number of copies that are kept, one for each change, for a restore.
_COPIES_LIMIT = 2000
# Longer than any client timeout.
_HANG_S = 3600.0
# Rate limits of the platform's smaller deployments.
_WRITES_PER_S = 400
_READS_PER_S = 2000


class StoreMode(enum.StrEnum):
    """How the store handles calls."""

    SERVE = "serve"
    # Responds with 503 and executes no call.
    REFUSE = "refuse"
    # Resets each connection and executes no call.
    RESET = "reset"
    # Accepts calls and never responds.
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class StoreFaults:
    """Faults of the store.

    Attributes:
        mode: How calls are handled.
        delay_s: Delay before each call is processed, in seconds.
        lost_share: Share of the writes whose response is lost, from 0 to 1.
        late_s: Delay in seconds after which such a write is applied, if its condition still holds.
            With 0 it is applied at once.
    """

    mode: StoreMode = StoreMode.SERVE
    delay_s: float = 0.0
    lost_share: float = 0.0
    late_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StoredItem:
    """An object of one kind.

    Attributes:
        name: Name of the object.
        revision: Store revision of its last change.
        spec: Content of the object as JSON.
    """

    name: str
    revision: int
    spec: msgspec.Raw

    def to_response(self) -> dict[str, object]:
        """Returns the object in the form that responses contain."""
        return {
            "metadata": {"name": self.name, "revision": self.revision},
            "spec": self.spec,
        }


@dataclass(frozen=True, slots=True)
class Change:
    """One entry of the change history."""

    kind: str
    item: StoredItem
    deleted: bool


@dataclass(frozen=True, slots=True)
class _Copy:
    """Objects by kind and name, and the revision, from one time until the next change."""

    at: float
    revision: int
    objects: dict[str, dict[str, StoredItem]]


class _Metadata(msgspec.Struct):
    name: str = ""
    revision: int | None = None


class _Written(msgspec.Struct):
    metadata: _Metadata = msgspec.field(default_factory=_Metadata)
    spec: msgspec.Raw = msgspec.Raw(b"null")


class SiteStore:
    """HTTP server of the object store, which keeps objects by kind and name in memory.

    Args:
        seed: Seed that selects the writes whose response is lost.

    Attributes:
        faults: Faults in force; changed with `set_faults`.
        calls: Number of calls received so far.
        era: Number of times that the store has been restored from a copy.
    """

    def __init__(self, seed: int = 0) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        self.era = 0
        self._copies: deque[_Copy] = deque(maxlen=_COPIES_LIMIT)
        # Objects that the operator has written, by kind and name.
        self._operator_items: dict[tuple[str, str], StoredItem] = {}
        # Objects that the operator has removed, by kind and name.
        self._removed_items: set[tuple[str, str]] = set()
        self._random = random.Random(seed)
        self._objects: dict[str, dict[str, StoredItem]] = {}
        self._snapshot: tuple[float, dict[str, dict[str, StoredItem]]] = (-_MAX_STALENESS_S, {})
        self._revision = 1
        self._history: list[Change] = []
        self._oldest_revision = 1
        self._changed = asyncio.Event()
        self._delayed_writes: set[asyncio.TimerHandle] = set()
        self._writes = AsyncLimiter(_WRITES_PER_S, 1)
        self._reads = AsyncLimiter(_READS_PER_S, 1)
        self._keep_copy()
        app = web.Application(middlewares=[self._name_era])
        app.router.add_route("*", OBJECTS_PATH + "/{kind}", self._handle)
        app.router.add_route("*", OBJECTS_PATH + "/{kind}/{name}", self._handle)
        self._site = HttpSite(app, LOOPBACK, 0)

    @property
    def port(self) -> int:
        """Port on which the store listens."""
        return self._site.port

    async def start(self) -> None:
        """Starts the server."""
        await self._site.start()

    async def stop(self) -> None:
        """Stops the server and discards writes that are still delayed."""
        for handle in self._delayed_writes:
            handle.cancel()
        await self._site.stop()

    def set_faults(self, faults: StoreFaults) -> None:
        """Replaces the faults in force; `REFUSE` and `RESET` also reset all open connections."""
        if faults.mode in (StoreMode.REFUSE, StoreMode.RESET):
            self._site.abort_connections()
        self.faults = faults

    def drop_history(self) -> None:
        """Drops the change history, so that a watch from an older revision gets status 410."""
        self._history.clear()
        self._oldest_revision = self._revision

    def restore(self, age_s: float) -> None:
        """Restores the store from a copy, and writes again what the operator has written.

        Args:
            age_s: Age of the copy in seconds; the oldest copy that is kept is used at most.
        """
        at = time.monotonic() - age_s
        copy = self._copies[0]
        for newer in self._copies:
            if newer.at > at:
                break
            copy = newer
        self.era += 1
        self._revision = self._oldest_revision = copy.revision
        self._objects = {kind: dict(items) for kind, items in copy.objects.items()}
        self._history.clear()
        self._copies.clear()
        self._keep_copy()
        for (kind, _), item in self._operator_items.items():
            self._put(kind, item)
        for kind, name in self._removed_items:
            self._remove(kind, name)
        self._changed.set()
        self._changed = asyncio.Event()

    def write(self, kind: str, name: str, spec: bytes) -> int:
        """Writes an object as the operator, which faults of the store do not affect.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            spec: Content of the object as JSON.

        Returns:
            Revision of the store after the write.
        """
        item = StoredItem(name, 0, msgspec.Raw(spec))
        self._operator_items[kind, name] = item
        self._removed_items.discard((kind, name))
        self._put(kind, item)
        return self._revision

    def remove(self, kind: str, name: str) -> None:
        """Removes an object as the operator, which faults of the store do not affect."""
        self._operator_items.pop((kind, name), None)
        self._removed_items.add((kind, name))
        self._remove(kind, name)

    def objects(self, kind: str) -> dict[str, StoredItem]:
        """Returns a copy of the objects of a kind, by name."""
        return dict(self._objects.get(kind, {}))

    @web.middleware
    async def _name_era(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        response = await handler(request)
        response.headers[STORE_ERA] = str(self.era)
        return response

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        self.calls += 1
        faults = self.faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.mode is StoreMode.REFUSE:
            return web.Response(status=503)
        if faults.mode is StoreMode.RESET:
            return abort_connection(request)
        if faults.mode is StoreMode.SILENT:
            await asyncio.sleep(_HANG_S)
        limiter = self._reads if request.method == "GET" else self._writes
        if not limiter.has_capacity():
            return web.Response(status=429)
        await limiter.acquire()
        kind, name = request.match_info["kind"], request.match_info.get("name", "")
        if request.method == "GET":
            return await self._read(request, kind, name)
        try:
            body = await request.read()
        except ConnectionError:
            return abort_connection(request)
        if self._random.random() < faults.lost_share:
            if faults.late_s:
                write = (self._write, request.method, kind, name, body, request.query)
                self._delayed_writes.add(
                    asyncio.get_running_loop().call_later(faults.late_s, *write)
                )
            else:
                self._write(request.method, kind, name, body, request.query)
            return abort_connection(request)
        return self._write(request.method, kind, name, body, request.query)

    async def _read(self, request: web.Request, kind: str, name: str) -> web.Response:
        items = self._read_view(request.query.get("staleOk") == "1").get(kind, {})
        if name:
            item = items.get(name)
            return _json(item.to_response()) if item else web.Response(status=404)
        if "watch" in request.query:
            wait_ms = min(int(request.query.get("waitMs", "0")), _MAX_WATCH_MS)
            return await self._watch(kind, int(request.query["watch"]), wait_ms / 1000)
        names = sorted(
            item_name for item_name in items if item_name > request.query.get("after", "")
        )
        page = [items[item_name].to_response() for item_name in names[:_PAGE_SIZE]]
        more = len(names) > _PAGE_SIZE
        return _json({"items": page, "hasMore": more, "currentRev": self._revision})

    def _read_view(self, stale: bool) -> dict[str, dict[str, StoredItem]]:
        """Returns the objects by kind and name, or a snapshot of bounded age for stale reads."""
        if not stale:
            return self._objects
        now = time.monotonic()
        if now - self._snapshot[0] > _MAX_STALENESS_S:
            self._snapshot = now, {kind: dict(items) for kind, items in self._objects.items()}
        return self._snapshot[1]

    async def _watch(self, kind: str, since: int, wait_s: float) -> web.Response:
        deadline = time.monotonic() + wait_s
        era = self.era
        while True:
            if self.faults.mode is StoreMode.SILENT:
                await asyncio.sleep(_HANG_S)
            if era != self.era or not self._oldest_revision <= since <= self._revision:
                return web.Response(status=410)
            events = [
                {"object": change.item.to_response(), "deleted": change.deleted}
                for change in self._history
                if change.kind == kind and change.item.revision > since
            ]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                return _json({"events": events, "currentRev": self._revision})
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def _write(
        self, method: str, kind: str, name: str, body: bytes, query: Mapping[str, str]
    ) -> web.Response:
        written = msgspec.json.decode(body, type=_Written) if body else _Written()
        expected_revision = int(query.get("revision", 0)) or written.metadata.revision
        name = name or written.metadata.name
        current = self._objects.get(kind, {}).get(name)
        if current is None and method != "POST":
            return web.Response(status=404)
        if current is not None and (
            method == "POST" or expected_revision not in (None, current.revision)
        ):
            return _json(current.to_response(), status=409)
        if method == "DELETE":
            assert current is not None
            self._remove(kind, name)
            return _json(current.to_response())
        return _json(self._put(kind, StoredItem(name, 0, written.spec)).to_response())

    def _put(self, kind: str, item: StoredItem) -> StoredItem:
        """Stores an object; a write that changes nothing keeps the revision."""
        current = self._objects.setdefault(kind, {}).get(item.name)
        if current is not None and replace(item, revision=current.revision) == current:
            return current
        item = replace(item, revision=self._revision + 1)
        self._objects[kind][item.name] = item
        self._append_change(Change(kind, item, False))
        return item

    def _remove(self, kind: str, name: str) -> None:
        current = self._objects.get(kind, {}).pop(name, None)
        if current is not None:
            self._append_change(Change(kind, replace(current, revision=self._revision + 1), True))

    def _append_change(self, change: Change) -> None:
        self._revision = change.item.revision
        self._history.append(change)
        self._keep_copy()
        self._changed.set()
        self._changed = asyncio.Event()

    def _keep_copy(self) -> None:
        objects = {kind: dict(items) for kind, items in self._objects.items()}
        self._copies.append(_Copy(time.monotonic(), self._revision, objects))


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=msgspec.json.encode(value), content_type="application/json"
    )
