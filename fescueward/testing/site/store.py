"""The platform's object store by its published protocol."""

from __future__ import annotations

import asyncio
import enum
import random
import time
from collections.abc import Mapping
from dataclasses import dataclass, replace

import msgspec
from aiohttp import web
from aiolimiter import AsyncLimiter

from ...platform.names import OBJECTS_PATH
from ..program import LOOPBACK, HttpSite, abort_connection

# Objects in one page of a list.
_PAGE = 50
# Age of the copy that calls with `staleOk` read, in seconds.
_STALE_S = 2.0
# Longest wait of a watch in milliseconds, by the platform's pages.
_LONGEST_WATCH_MS = 30_000
# Longer than any caller waits, in seconds.
_FOR_GOOD_S = 3600.0
# Rates of the platform's smaller deployments.
_WRITES_PER_S = 400
_READS_PER_S = 2000


class StoreMode(enum.StrEnum):
    """How the store treats calls."""

    SERVE = "serve"
    # Answers 503 and does nothing.
    REFUSE = "refuse"
    # Resets each connection and does nothing.
    RESET = "reset"
    # Reads calls and never answers.
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class StoreFaults:
    """Faults of the store.

    Attributes:
        mode: How calls are treated.
        delay_s: Time before each call is looked at.
        lost_share: Share of the writes whose answer is lost.
        late_s: Time after which such a write takes effect, if its condition still holds.
    """

    mode: StoreMode = StoreMode.SERVE
    delay_s: float = 0.0
    lost_share: float = 0.0
    late_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StoredItem:
    """An object of one kind.

    Attributes:
        name: Its name.
        revision: Revision of its last change.
        spec: Its content, JSON.
    """

    name: str
    revision: int
    spec: msgspec.Raw

    def wire(self) -> dict[str, object]:
        """Returns the object as it stands in answers."""
        return {
            "metadata": {"name": self.name, "revision": self.revision},
            "spec": self.spec,
        }


@dataclass(frozen=True, slots=True)
class Change:
    """One entry of the history."""

    kind: str
    item: StoredItem
    deleted: bool


class _Metadata(msgspec.Struct):
    name: str = ""
    revision: int | None = None


class _Written(msgspec.Struct):
    metadata: _Metadata = msgspec.field(default_factory=_Metadata)
    spec: msgspec.Raw = msgspec.Raw(b"null")


class SiteStore:
    """Objects by kind and name, behind one HTTP server.

    Attributes:
        faults: Faults in force; replaced as a whole.
        calls: Number of calls so far.
    """

    def __init__(self, seed: int = 0) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        self._random = random.Random(seed)
        self._objects: dict[str, dict[str, StoredItem]] = {}
        self._stale: tuple[float, dict[str, dict[str, StoredItem]]] = (-_STALE_S, {})
        self._revision = 1
        self._history: list[Change] = []
        self._oldest = 1
        self._changed = asyncio.Event()
        self._late: set[asyncio.TimerHandle] = set()
        self._writes = AsyncLimiter(_WRITES_PER_S, 1)
        self._reads = AsyncLimiter(_READS_PER_S, 1)
        app = web.Application()
        app.router.add_route("*", OBJECTS_PATH + "/{kind}", self._answer)
        app.router.add_route("*", OBJECTS_PATH + "/{kind}/{name}", self._answer)
        self._site = HttpSite(app, LOOPBACK, 0)

    @property
    def port(self) -> int:
        """Port it listens on."""
        return self._site.port

    async def start(self) -> None:
        """Begins to listen."""
        await self._site.start()

    async def stop(self) -> None:
        """Ends the server; late writes are forgotten."""
        for handle in self._late:
            handle.cancel()
        await self._site.stop()

    def set_faults(self, faults: StoreFaults) -> None:
        """Puts faults into force; an outage that is not silent also cuts the watches that wait."""
        if faults.mode in (StoreMode.REFUSE, StoreMode.RESET):
            self._site.abort_connections()
        self.faults = faults

    def forget_history(self) -> None:
        """Drops all history, so that watches from an older revision are answered 410."""
        self._history.clear()
        self._oldest = self._revision

    def write(self, kind: str, name: str, spec: bytes) -> int:
        """Writes as the operator, whom no fault of the store concerns; returns the revision."""
        self._put(kind, StoredItem(name, 0, msgspec.Raw(spec)))
        return self._revision

    def objects(self, kind: str) -> dict[str, StoredItem]:
        """Returns the objects of a kind by name."""
        return dict(self._objects.get(kind, {}))

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        self.calls += 1
        faults = self.faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.mode is StoreMode.REFUSE:
            return web.Response(status=503)
        if faults.mode is StoreMode.RESET:
            return abort_connection(request)
        if faults.mode is StoreMode.SILENT:
            await asyncio.sleep(_FOR_GOOD_S)
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
                apply = (self._write, request.method, kind, name, body, request.query)
                self._late.add(asyncio.get_running_loop().call_later(faults.late_s, *apply))
            else:
                self._write(request.method, kind, name, body, request.query)
            return abort_connection(request)
        return self._write(request.method, kind, name, body, request.query)

    async def _read(self, request: web.Request, kind: str, name: str) -> web.Response:
        held = self._held(request.query.get("staleOk") == "1").get(kind, {})
        if name:
            found = held.get(name)
            return _json(found.wire()) if found else web.Response(status=404)
        if "watch" in request.query:
            wait_ms = min(int(request.query.get("waitMs", "0")), _LONGEST_WATCH_MS)
            return await self._watch(kind, int(request.query["watch"]), wait_ms / 1000)
        names = sorted(one for one in held if one > request.query.get("after", ""))
        page = [held[one].wire() for one in names[:_PAGE]]
        more = len(names) > _PAGE
        return _json({"items": page, "hasMore": more, "currentRev": self._revision})

    def _held(self, stale: bool) -> dict[str, dict[str, StoredItem]]:
        if not stale:
            return self._objects
        now = time.monotonic()
        if now - self._stale[0] > _STALE_S:
            self._stale = now, {kind: dict(items) for kind, items in self._objects.items()}
        return self._stale[1]

    async def _watch(self, kind: str, since: int, wait_s: float) -> web.Response:
        deadline = time.monotonic() + wait_s
        while True:
            if self.faults.mode is StoreMode.SILENT:
                await asyncio.sleep(_FOR_GOOD_S)
            if since < self._oldest:
                return web.Response(status=410)
            events = [
                {"object": change.item.wire(), "deleted": change.deleted}
                for change in self._history
                if change.kind == kind and change.item.revision > since
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                return _json({"events": events, "currentRev": self._revision})
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _write(
        self, method: str, kind: str, name: str, body: bytes, query: Mapping[str, str]
    ) -> web.Response:
        written = msgspec.json.decode(body, type=_Written) if body else _Written()
        expected = int(query.get("revision", 0)) or written.metadata.revision
        name = name or written.metadata.name
        held = self._objects.get(kind, {}).get(name)
        if held is None and method != "POST":
            return web.Response(status=404)
        if held is not None and (method == "POST" or expected not in (None, held.revision)):
            return _json(held.wire(), status=409)
        if method == "DELETE":
            assert held is not None
            del self._objects[kind][name]
            self._note(Change(kind, replace(held, revision=self._revision + 1), True))
            return _json(held.wire())
        return _json(self._put(kind, StoredItem(name, 0, written.spec)).wire())

    def _put(self, kind: str, item: StoredItem) -> StoredItem:
        held = self._objects.setdefault(kind, {}).get(item.name)
        if held is not None and replace(item, revision=held.revision) == held:
            return held
        item = replace(item, revision=self._revision + 1)
        self._objects[kind][item.name] = item
        self._note(Change(kind, item, False))
        return item

    def _note(self, change: Change) -> None:
        self._revision = change.item.revision
        self._history.append(change)
        self._changed.set()
        self._changed = asyncio.Event()


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=msgspec.json.encode(value), content_type="application/json"
    )
