"""Receives heartbeats of the upstream on this machine, as the `announcements` service."""

from __future__ import annotations

from typing import Annotated

import msgspec
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse, json_response

from ..interfaces import DepartureRecord, Liveness, Membership, Routes, StartListener, Warmup
from ..kernel import Clock, Event, Level, Registry
from ..kernel.errors import InvalidAnnouncementError, MalformedMessageError
from ..kernel.heartbeat_order import HeartbeatOrder
from ..kernel.http_meter import InboundLimits
from ..kernel.http_pipeline import PipelinedServer
from ..kernel.http_port import HttpPort
from ..messages import AnnouncedState, Announcement, GroupId
from ..messages.codec import DECODE_FAILURES, decode_json, encode_json
from .names import HEARTBEAT_CALL, LEAVE_CALL, RPC_PATH
from .settings import Site

_MALFORMED = Event(
    2410,
    "heartbeat_malformed",
    Level.WARNING,
    "A heartbeat is malformed or invalid and was rejected.",
)
_IGNORED = Event(
    2411,
    "heartbeat_ignored",
    Level.INFO,
    "A heartbeat is out of order or comes from another upstream.",
)

_STATES = {"ready": AnnouncedState.READY, "draining": AnnouncedState.LEAVING}
# Connection limit of a service that is not in the configuration yet.
_DEFAULT_CONNECTION_LIMIT = 100
# Highest limit that an announcement can carry.
_MAX_CONNECTION_LIMIT = 1_000_000
# Highest sequence number and start time in Unix milliseconds, which JSON represents exactly. A
# heartbeat with a larger one would make every later heartbeat seem out of order.
_MAX_SEQUENCE = 2**53
_MAX_STARTED_MS = 253_402_300_799_999
# Departures in the group object name their instances, which must not fill it.
_MAX_INSTANCE_LENGTH = 256
# Longest time for which an upstream can be slow after its start, in seconds.
_MAX_COLD_S = 3600.0
# Closing the port waits this long for heartbeats that are partly received.
_CLOSE_TIMEOUT_S = 0.1
# One upstream sends small heartbeats on few connections.
_LIMITS = InboundLimits(connections=64)
_MAX_BODY_BYTES = 65_536


class _Info(msgspec.Struct):
    service: str
    # Number of requests that the upstream runs concurrently.
    capacity: int
    zone: str = ""
    # Software version of the upstream.
    version: str = ""


class _Status(msgspec.Struct, rename="camel"):
    state: str
    # Sequence number, which increases with each heartbeat of one start.
    seq: Annotated[int, msgspec.Meta(ge=0, le=_MAX_SEQUENCE)]
    # Remaining time for which the upstream is slow after its start, in seconds.
    cold_left_s: Annotated[float, msgspec.Meta(le=_MAX_COLD_S)] = 0.0


class _Heartbeat(msgspec.Struct):
    address: str
    info: _Info
    status: _Status
    # Time of this start in Unix milliseconds.
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_STARTED_MS)] = 0


_MALFORMED_HEARTBEAT = (*DECODE_FAILURES, KeyError, ValueError, MalformedMessageError)


class Heartbeats:
    """Receives heartbeats and converts them into announcements."""

    name = "announcements"
    requires = ("membership",)

    def __init__(self, site: Site) -> None:
        self._site = site
        self._port: HttpPort | None = None
        self._order = HeartbeatOrder(site.heartbeat_period_s)

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._membership = registry.find("membership", Membership)
        self._departure_record = registry.find("membership", DepartureRecord)
        self._routes = registry.find("routes", Routes)
        self._liveness = registry.find("liveness", Liveness)
        self._upstream = registry.find("upstream", StartListener)
        self._warmup = registry.find("warmup", Warmup)

    async def start(self) -> None:
        """Starts to listen for heartbeats."""
        server = PipelinedServer(self._handle_call, inbound=lambda: _LIMITS)
        address = self._site.heartbeats
        self._port = HttpPort(server, address.host, address.port, _CLOSE_TIMEOUT_S)
        await self._port.start()

    async def stop(self) -> None:
        """Stops listening."""
        if self._port is not None:
            await self._port.close()

    async def _handle_call(self, request: BaseRequest) -> StreamResponse:
        call, instance = request.query.get("call", ""), request.query.get("of", "")
        if request.path != RPC_PATH or call not in (HEARTBEAT_CALL, LEAVE_CALL) or not instance:
            return Response(status=404)
        if len(instance) > _MAX_INSTANCE_LENGTH or not instance.isprintable():
            _MALFORMED.emit(instance=ascii(instance[:20]), error="the instance id is no text")
            return Response(status=400)
        body = await _read_body(request)
        if body is None:
            return Response(status=413)
        if call == LEAVE_CALL:
            self._departure_record.instance_leaves(GroupId(self._site.service, 0), instance)
            response = json_response({})
        else:
            response = self.receive_heartbeat(instance, body)
        if response.status == 200 and not await self._departure_record.departure_recorded(
            instance
        ):
            # An acknowledged departure binds later processes too, and they could not know of it.
            return Response(status=503)
        return response

    def receive_heartbeat(self, instance: str, body: bytes) -> Response:
        """Announces the upstream of a heartbeat, unless it is malformed or out of order.

        Args:
            instance: Identity of the upstream from the path of the call.
            body: The heartbeat in JSON.

        Returns:
            The response to the call.
        """
        try:
            heartbeat = msgspec.json.decode(body, type=_Heartbeat)
            if heartbeat.info.service != self._site.service:
                raise MalformedMessageError(f"the service is {heartbeat.info.service!r}")
            state = _STATES[heartbeat.status.state]
            host, _, port = heartbeat.address.rpartition(":")
            announcement = Announcement(
                service=heartbeat.info.service,
                host=host,
                port=int(port),
                slots=max(heartbeat.info.capacity, 1),
                connections=self._connection_limit(heartbeat.info.service),
                state=state,
                instance=instance,
                started_ms=heartbeat.born,
                cold_s=max(heartbeat.status.cold_left_s, 0.0),
            )
            # Decoding checks the ranges: the announcement becomes a member that others decode.
            announcement = decode_json(encode_json(announcement), Announcement)
        except _MALFORMED_HEARTBEAT as error:
            _MALFORMED.emit(instance=instance, error=repr(error)[:200])
            return Response(status=400)
        return self._accept(announcement, heartbeat.status.seq)

    def _accept(self, announcement: Announcement, number: int) -> Response:
        upstream_address = self._site.application
        if (announcement.host, announcement.port) != (
            upstream_address.host,
            upstream_address.port,
        ) or not self._order.accept(announcement.started_ms, number, self._clock.now()):
            _IGNORED.emit(
                instance=announcement.instance,
                number=(announcement.started_ms, number),
                newest=self._order.newest,
            )
            is_departure = announcement.state is AnnouncedState.LEAVING
            if is_departure and announcement.started_ms < self._order.newest[0]:
                # The clock of a start that is not recognised yet may have been set back.
                return Response(status=503)
            return json_response({})
        self._liveness.heartbeat_received()
        self._upstream.upstream_started(announcement.start)
        self._warmup.observe_announcement(announcement)
        try:
            self._membership.announce(announcement)
        except InvalidAnnouncementError as error:
            _MALFORMED.emit(instance=announcement.instance, error=repr(error)[:200])
            return Response(status=409)
        return json_response({})

    def _connection_limit(self, service: str) -> int:
        current = self._routes.current
        spec = current.configuration.services.get(service) if current is not None else None
        limit = spec.connections if spec is not None else _DEFAULT_CONNECTION_LIMIT
        return min(limit, _MAX_CONNECTION_LIMIT)


async def _read_body(request: BaseRequest) -> bytes | None:
    """Returns the body of a call, or None if it is larger than any heartbeat."""
    body = b""
    async for part in request.content.iter_any():
        body += part
        if len(body) > _MAX_BODY_BYTES:
            return None
    return body
