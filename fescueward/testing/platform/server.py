"""The server of the platform stand-in."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import msgspec
from aiohttp import web

from ...kernel.errors import MalformedMessageError, ObjectNotFoundError, VersionConflictError
from ...messages.codec import decode_json, encode_json
from ..program import LOOPBACK, HttpSite, abort_connection
from .faults import Faults, Mode
from .objects import Listing, ObjectEnvelope, ObjectStore, WrittenVersion

MAX_VALUE_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Counters:
    """Calls that reached the platform, in every mode.

    Attributes:
        gets: Reads of one object.
        puts: Writes.
        deletes: Deletions.
        lists: Listings that do not wait.
        watches: Listings that may wait, each counted once.
        conflicts: Writes and deletions that named another version than the present one.
        waiting: Watches that are waiting now.
        total: All calls.
    """

    gets: int = 0
    puts: int = 0
    deletes: int = 0
    lists: int = 0
    watches: int = 0
    conflicts: int = 0
    waiting: int = 0
    total: int = 0


Answer = Callable[[], Awaitable[web.StreamResponse]]


class PlatformStandIn:
    """The object API over HTTP, with faults.

    Args:
        host: Address to listen on.
        port: Port to listen on; 0 chooses a free one.
    """

    def __init__(self, host: str = LOOPBACK, port: int = 0) -> None:
        app = web.Application(client_max_size=MAX_VALUE_BYTES)
        app.router.add_get("/objects", self._list)
        app.router.add_get("/objects/{key:.+}", self._get)
        app.router.add_put("/objects/{key:.+}", self._put)
        app.router.add_delete("/objects/{key:.+}", self._delete)
        app.router.add_post("/control", self._control)
        app.router.add_get("/counters", self._counters_page)
        self._host = host
        self._site = HttpSite(app, host, port)
        self._store = ObjectStore()
        self._faults = Faults()
        self._faults_changed = asyncio.Event()
        self._counters = Counters()
        self._late_writes: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Port it listens on."""
        return self._site.port

    @property
    def url(self) -> str:
        """Base URL of the object API."""
        return f"http://{self._host}:{self._site.port}"

    @property
    def store(self) -> ObjectStore:
        """The objects."""
        return self._store

    @property
    def faults(self) -> Faults:
        """The faults in force, with the numbers of writes that are left."""
        return self._faults

    @property
    def counters(self) -> Counters:
        """Calls so far."""
        return replace(self._counters, waiting=self._store.waiting)

    async def start(self) -> None:
        """Begins to listen.

        Raises:
            OSError: The address is in use.
        """
        await self._site.start()

    async def stop(self) -> None:
        """Ends all calls and stops listening. Delayed writes that are pending are dropped."""
        self.set_faults(Faults(Mode.DOWN, fail_connections=True))
        for task in self._late_writes:
            task.cancel()
        await self._site.stop()

    def set_faults(self, faults: Faults) -> None:
        """Replaces the faults in force; waiting watches are held to the new mode at once."""
        self._faults = faults
        self._faults_changed.set()
        self._faults_changed = asyncio.Event()
        self._store.wake_all()

    async def _get(self, request: web.Request) -> web.StreamResponse:
        self._count("gets")

        async def answer() -> web.StreamResponse:
            try:
                found = self._store.get(request.match_info["key"])
            except ObjectNotFoundError:
                return web.Response(status=404)
            return _json(ObjectEnvelope(found.key, found.version, found.value))

        return await self._under_faults(request, answer)

    async def _put(self, request: web.Request) -> web.StreamResponse:
        self._count("puts")
        key = request.match_info["key"]

        async def answer() -> web.StreamResponse:
            value = await request.read()
            try:
                msgspec.json.decode(value)
            except (msgspec.DecodeError, UnicodeDecodeError):
                return web.Response(status=400, text="the value is no JSON")
            return await self._change(
                request, lambda version: self._store.put(key, value, version)
            )

        return await self._under_faults(request, answer)

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        self._count("deletes")
        key = request.match_info["key"]

        async def answer() -> web.StreamResponse:
            return await self._change(request, lambda version: self._store.delete(key, version))

        return await self._under_faults(request, answer)

    async def _list(self, request: web.Request) -> web.StreamResponse:
        try:
            since = _number(request.query.get("since", "0"))
            wait_ms = _number(request.query.get("wait_ms", "0"))
        except ValueError:
            return web.Response(status=400, text="since and wait_ms are whole numbers")
        self._count("watches" if wait_ms else "lists")
        prefixes = tuple(request.query.getall("prefix", [""]))

        async def answer() -> web.StreamResponse:
            loop = asyncio.get_running_loop()
            deadline = loop.time() + wait_ms / 1000
            while True:
                changes = self._store.changes(prefixes, since)
                remaining = deadline - loop.time()
                if changes or remaining <= 0:
                    return _json(Listing(self._store.revision, changes))
                await self._store.wait(prefixes, remaining)
                refused = await self._outage(request)
                if refused is not None:
                    return refused

        return await self._under_faults(request, answer)

    async def _control(self, request: web.Request) -> web.StreamResponse:
        try:
            self.set_faults(decode_json(await request.read(), Faults))
        except MalformedMessageError as error:
            return web.Response(status=400, text=str(error))
        return _json(self._faults)

    async def _counters_page(self, _request: web.Request) -> web.StreamResponse:
        return _json(self.counters)

    async def _under_faults(self, request: web.Request, answer: Answer) -> web.StreamResponse:
        faults = self._faults
        if faults.mode is Mode.SLOW:
            await asyncio.sleep(faults.delay_ms / 1000)
        refused = await self._outage(request)
        return await answer() if refused is None else refused

    async def _outage(self, request: web.Request) -> web.StreamResponse | None:
        faults = self._faults
        if faults.mode is Mode.DOWN:
            return abort_connection(request) if faults.fail_connections else _unavailable()
        if faults.mode is Mode.HANG:
            changed = self._faults_changed.wait()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed, faults.delay_ms / 1000 or None)
            return abort_connection(request)
        return None

    async def _change(
        self, request: web.Request, write: Callable[[int], int]
    ) -> web.StreamResponse:
        try:
            if_version = _number(request.headers.get("If-Match", "").strip('"'))
        except ValueError:
            return web.Response(status=400, text="If-Match must be a version")
        if self._faults.delay_writes > 0:
            self._faults = replace(self._faults, delay_writes=self._faults.delay_writes - 1)
            delay_s = self._faults.delay_writes_ms / 1000
            task = asyncio.create_task(self._write_late(delay_s, write, if_version))
            self._late_writes.add(task)
            task.add_done_callback(self._late_writes.discard)
            return abort_connection(request)
        try:
            version = write(if_version)
        except ObjectNotFoundError:
            return web.Response(status=404)
        except VersionConflictError as error:
            self._counters = replace(self._counters, conflicts=self._counters.conflicts + 1)
            return _json(WrittenVersion(error.version), status=409)
        if self._faults.lose_responses > 0:
            self._faults = replace(self._faults, lose_responses=self._faults.lose_responses - 1)
            return abort_connection(request)
        return _json(WrittenVersion(version))

    async def _write_late(
        self, delay_s: float, write: Callable[[int], int], if_version: int
    ) -> None:
        await asyncio.sleep(delay_s)
        try:
            write(if_version)
        except (ObjectNotFoundError, VersionConflictError):
            self._counters = replace(self._counters, conflicts=self._counters.conflicts + 1)

    def _count(self, kind: str) -> None:
        counters = self._counters
        changed = {kind: getattr(counters, kind) + 1, "total": counters.total + 1}
        self._counters = replace(counters, **changed)


def _number(text: str) -> int:
    number = int(text)
    if number < 0:
        raise ValueError(text)
    return number


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(status=status, body=encode_json(value), content_type="application/json")


def _unavailable() -> web.Response:
    return web.Response(status=503, text="the platform is down")
