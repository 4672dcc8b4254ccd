"""HTTP server of the platform stand-in."""

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
    """Numbers of calls that the platform received, in every mode.

    Attributes:
        gets: Reads of one object.
        puts: Writes.
        deletes: Deletions.
        lists: Listings that do not wait.
        watches: Listings that may wait, each counted once.
        conflicts: Writes and deletions that were rejected because of their version.
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


Handler = Callable[[], Awaitable[web.StreamResponse]]


class PlatformStandIn:
    """HTTP server of the object API with injected faults.

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
        app.router.add_get("/counters", self._get_counters)
        self._host = host
        self._site = HttpSite(app, host, port)
        self._store = ObjectStore()
        self._faults = Faults()
        self._faults_changed = asyncio.Event()
        self._counters = Counters()
        self._delayed_writes: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._site.port

    @property
    def url(self) -> str:
        """Base URL of the object API."""
        return f"http://{self._host}:{self._site.port}"

    @property
    def store(self) -> ObjectStore:
        """Store of the objects."""
        return self._store

    @property
    def faults(self) -> Faults:
        """Faults in force, with the remaining numbers of affected writes."""
        return self._faults

    @property
    def counters(self) -> Counters:
        """Numbers of calls so far."""
        return replace(self._counters, waiting=self._store.waiting)

    async def start(self) -> None:
        """Starts the server.

        Raises:
            OSError: The address is in use.
        """
        await self._site.start()

    async def stop(self) -> None:
        """Aborts all calls, discards delayed writes and stops the server."""
        self.set_faults(Faults(Mode.DOWN, fail_connections=True))
        for task in self._delayed_writes:
            task.cancel()
        await self._site.stop()

    def set_faults(self, faults: Faults) -> None:
        """Replaces the faults in force and applies them to waiting watches at once."""
        self._faults = faults
        self._faults_changed.set()
        self._faults_changed = asyncio.Event()
        self._store.wake_all()

    async def _get(self, request: web.Request) -> web.StreamResponse:
        self._count("gets")

        async def handle() -> web.StreamResponse:
            try:
                item = self._store.get(request.match_info["key"])
            except ObjectNotFoundError:
                return web.Response(status=404)
            return _json(ObjectEnvelope(item.key, item.version, item.value))

        return await self._apply_faults(request, handle)

    async def _put(self, request: web.Request) -> web.StreamResponse:
        self._count("puts")
        key = request.match_info["key"]

        async def handle() -> web.StreamResponse:
            value = await request.read()
            try:
                msgspec.json.decode(value)
            except (msgspec.DecodeError, UnicodeDecodeError):
                return web.Response(status=400, text="the value is no JSON")
            return await self._conditional_write(
                request, lambda version: self._store.put(key, value, version)
            )

        return await self._apply_faults(request, handle)

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        self._count("deletes")
        key = request.match_info["key"]

        async def handle() -> web.StreamResponse:
            return await self._conditional_write(
                request, lambda version: self._store.delete(key, version)
            )

        return await self._apply_faults(request, handle)

    async def _list(self, request: web.Request) -> web.StreamResponse:
        try:
            since = _parse_non_negative(request.query.get("since", "0"))
            wait_ms = _parse_non_negative(request.query.get("wait_ms", "0"))
        except ValueError:
            return web.Response(status=400, text="since and wait_ms are whole numbers")
        self._count("watches" if wait_ms else "lists")
        prefixes = tuple(request.query.getall("prefix", [""]))

        async def handle() -> web.StreamResponse:
            loop = asyncio.get_running_loop()
            deadline = loop.time() + wait_ms / 1000
            while True:
                changes = self._store.changes(prefixes, since)
                remaining_s = deadline - loop.time()
                if changes or remaining_s <= 0:
                    return _json(Listing(self._store.revision, changes))
                await self._store.wait(prefixes, remaining_s)
                outage_response = await self._outage(request)
                if outage_response is not None:
                    return outage_response

        return await self._apply_faults(request, handle)

    async def _control(self, request: web.Request) -> web.StreamResponse:
        try:
            self.set_faults(decode_json(await request.read(), Faults))
        except MalformedMessageError as error:
            return web.Response(status=400, text=str(error))
        return _json(self._faults)

    async def _get_counters(self, _request: web.Request) -> web.StreamResponse:
        return _json(self.counters)

    async def _apply_faults(self, request: web.Request, handle: Handler) -> web.StreamResponse:
        faults = self._faults
        if faults.mode is Mode.SLOW:
            await asyncio.sleep(faults.delay_ms / 1000)
        outage_response = await self._outage(request)
        return await handle() if outage_response is None else outage_response

    async def _outage(self, request: web.Request) -> web.StreamResponse | None:
        """Returns the response during an outage, or None if the call is to be executed."""
        faults = self._faults
        if faults.mode is Mode.DOWN:
            return abort_connection(request) if faults.fail_connections else _unavailable()
        if faults.mode is Mode.HANG:
            changed = self._faults_changed.wait()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed, faults.delay_ms / 1000 or None)
            return abort_connection(request)
        return None

    async def _conditional_write(
        self, request: web.Request, write: Callable[[int], int]
    ) -> web.StreamResponse:
        try:
            if_version = _parse_non_negative(request.headers.get("If-Match", "").strip('"'))
        except ValueError:
            return web.Response(status=400, text="If-Match must be a version")
        if self._faults.delay_writes > 0:
            self._faults = replace(self._faults, delay_writes=self._faults.delay_writes - 1)
            delay_s = self._faults.delay_writes_ms / 1000
            task = asyncio.create_task(self._apply_delayed_write(delay_s, write, if_version))
            self._delayed_writes.add(task)
            task.add_done_callback(self._delayed_writes.discard)
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

    async def _apply_delayed_write(
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


def _parse_non_negative(text: str) -> int:
    number = int(text)
    if number < 0:
        raise ValueError(text)
    return number


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(status=status, body=encode_json(value), content_type="application/json")


def _unavailable() -> web.Response:
    return web.Response(status=503, text="the platform is down")
