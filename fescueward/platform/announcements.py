"""Heartbeats of the upstream on this machine, as the kernel's `announcements` service."""

from __future__ import annotations

from dataclasses import replace

import msgspec
from aiohttp import web

from ..interfaces import Liveness, Membership, Routes, StartListener
from ..kernel import Event, Level, Registry
from ..kernel.errors import InvalidAnnouncementError
from ..kernel.http_port import HttpPort
from ..messages import AnnouncedState, Announcement
from .names import HEARTBEAT_CALL, LEAVE_CALL, RPC_PATH
from .settings import Site

_MALFORMED = Event(
    2410, "heartbeat_malformed", Level.WARNING, "A heartbeat cannot be read and is not used."
)
_IGNORED = Event(
    2411, "heartbeat_ignored", Level.INFO, "A heartbeat is late or of another upstream."
)

_STATES = {"ready": AnnouncedState.READY, "draining": AnnouncedState.LEAVING}
# Connections assumed until the configuration tells them.
_CONNECTIONS = 100
# Time for which closing the port waits for reports that are half sent, in seconds.
_CLOSE_S = 0.1


class _Info(msgspec.Struct):
    service: str
    # Requests that the upstream runs at a time.
    capacity: int
    zone: str = ""
    # Version of the upstream's software.
    version: str = ""


class _Status(msgspec.Struct, rename="camel"):
    state: str
    # Grows with each report of one start.
    seq: int
    # How much longer the upstream is slow after its start, in seconds.
    cold_left_s: float = 0.0


class _Heartbeat(msgspec.Struct):
    address: str
    info: _Info
    status: _Status
    # Unix milliseconds of this start.
    born: int = 0


class Heartbeats:
    """Receives reports and turns them into announcements."""

    name = "announcements"
    requires = ("membership",)

    def __init__(self, site: Site) -> None:
        self._site = site
        self._port: HttpPort | None = None
        # Start and number of the newest report, by which later ones are told from late ones.
        self._newest = (0, -1)
        self._last: Announcement | None = None

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._membership = registry.find("membership", Membership)
        self._routes = registry.find("routes", Routes)
        self._liveness = registry.find("liveness", Liveness)
        self._upstream = registry.find("upstream", StartListener)

    async def start(self) -> None:
        """Opens the port for reports."""
        server = web.Server(self._answer, access_log=None)
        address = self._site.heartbeats
        self._port = HttpPort(server, address.host, address.port, _CLOSE_S)
        await self._port.start()

    async def stop(self) -> None:
        """Closes the port."""
        if self._port is not None:
            await self._port.close()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        call, instance = request.query.get("call", ""), request.query.get("of", "")
        if request.path != RPC_PATH or call not in (HEARTBEAT_CALL, LEAVE_CALL) or not instance:
            return web.Response(status=404)
        body = await request.read()
        if call == LEAVE_CALL:
            return self._leave(instance)
        try:
            read = msgspec.json.decode(body, type=_Heartbeat)
            state = _STATES[read.status.state]
            host, _, port = read.address.rpartition(":")
            announcement = Announcement(
                service=read.info.service,
                host=host,
                port=int(port),
                slots=max(read.info.capacity, 1),
                connections=self._connections(read.info.service),
                state=state,
                instance=instance,
                started_ms=read.born,
                cold_s=max(read.status.cold_left_s, 0.0),
            )
        except (msgspec.DecodeError, UnicodeDecodeError, KeyError, ValueError) as error:
            _MALFORMED.emit(instance=instance, error=repr(error)[:200])
            return web.Response(status=400)
        return self._take(announcement, (read.born, read.status.seq))

    def _take(self, announcement: Announcement, number: tuple[int, int]) -> web.Response:
        own = self._site.application
        if (announcement.host, announcement.port) != (
            own.host,
            own.port,
        ) or number <= self._newest:
            _IGNORED.emit(instance=announcement.instance, number=number, newest=self._newest)
            return web.json_response({})
        self._newest = number
        self._last = announcement
        self._liveness.heartbeat_received()
        self._upstream.started(announcement.start)
        try:
            self._membership.announce(announcement)
        except InvalidAnnouncementError as error:
            _MALFORMED.emit(instance=announcement.instance, error=repr(error)[:200])
            return web.Response(status=409)
        return web.json_response({})

    def _leave(self, instance: str) -> web.Response:
        if self._last is None or self._last.instance != instance:
            _IGNORED.emit(instance=instance, number=(), newest=self._newest)
            return web.json_response({})
        self._last = replace(self._last, state=AnnouncedState.LEAVING)
        self._membership.announce(self._last)
        return web.json_response({})

    def _connections(self, service: str) -> int:
        held = self._routes.current
        spec = held.configuration.services.get(service) if held is not None else None
        return spec.connections if spec is not None else _CONNECTIONS
