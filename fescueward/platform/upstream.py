"""Requests and grants of the upstream on this machine."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import msgspec
from yarl import URL

from ..interfaces import CrashListener, Liveness, Membership
from ..kernel import Clock, Event, Level, Registry
from ..kernel.errors import (
    AnswerLostError,
    DeadlineExceededRunningError,
    OutcomeLostError,
    UpstreamRefusedError,
    UpstreamUnavailableError,
)
from ..kernel.http_client import BoundedConnection, bounded_session
from ..messages import GrantSet, Request, Response
from ..messages.group import KeyRange
from ..messages.request import BytesBody
from .names import (
    CALLER,
    GRANT_PATH,
    HANDOVER,
    HOP_HEADERS,
    KEY,
    NOT_EXECUTED,
    RECEIPT,
    RELEASE_PATH,
    REQUEST_ID,
    TARGET_INSTANCE,
    TIMEOUT_MS,
)
from .settings import Site

_UNREACHABLE = Event(
    3010, "upstream_unreachable", Level.WARNING, "The upstream accepts no connection."
)
_REACHABLE = Event(3011, "upstream_reachable", Level.INFO, "The upstream accepts connections.")
_ENDED = Event(3012, "upstream_ended", Level.WARNING, "The upstream has ended or starts anew.")

# Upstreams close connections that were unused for longer, in seconds.
_KEEPALIVE_S = 4.0
_CONNECT_TIMEOUT_S = 0.5
_ORDER_CONNECTIONS = 4
# Limit on the answer to a grant or release, which carries a header at most, in bytes.
_ORDER_ANSWER_BYTES = 65_536
_GRANT_TIMEOUT_S = 0.5
# A release is confirmed when the work on the keys has ended.
_RELEASE_TIMEOUT_S = 2.0
# The upstream ends a run at the time that it was given; its answer needs a moment more.
_ANSWER_SLACK_S = 0.03
# uvloop raises RuntimeError for a write to a connection that ended while the process was paused.
_CALL_FAILURES = (aiohttp.ClientError, OSError, RuntimeError)
# Failures before a byte of a call was sent.
_NOT_CONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_DEFAULT_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class _Grant(msgspec.Struct, rename="camel", omit_defaults=True):
    # Lowest and highest key, both granted.
    from_: int = msgspec.field(name="from")
    target: int
    fence: int
    # Length of the grant from its arrival, in seconds.
    hold_s: float = 0.0
    handover: str = ""


class LocalUpstream:
    """The `upstream` service on this platform."""

    name = "upstream"
    requires: tuple[str, ...] = ()

    def __init__(self, site: Site) -> None:
        self._base = f"http://{site.application.host}:{site.application.port}"
        self._answer_bytes = site.settings.upstream.max_answer_bytes
        self._pooled: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None
        self._orders: aiohttp.ClientSession | None = None
        self._unreachable = False
        self._start = ""
        self._crashes = 0
        # Whether the end of the present start was counted.
        self._ended = False
        self._listeners: list[CrashListener] = []

    @property
    def crashes(self) -> int:
        """Number of times that the upstream was found to have ended."""
        return self._crashes

    def subscribe(self, listener: CrashListener) -> None:
        """Tells a service of crashes from now on; see `CrashSource.subscribe`."""
        self._listeners.append(listener)

    def started(self, start: str) -> None:
        """Takes the start that a heartbeat names; a new one tells that the last has ended."""
        if self._start and start != self._start:
            self._note_end(f"the upstream names the new start {start}")
            self._ended = False
        self._start = start

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._membership = registry.find("membership", Membership)
        self._liveness = registry.find("liveness", Liveness)

    async def start(self) -> None:
        """Opens the HTTP sessions."""
        self._pooled = _session(self._answer_bytes, keepalive_s=_KEEPALIVE_S)
        # A request that may not run again needs a connection on which nothing can be left over.
        self._fresh = _session(self._answer_bytes)
        # Connections of the upstream are few; its many small grants share some of them.
        self._orders = _session(
            _ORDER_ANSWER_BYTES, connections=_ORDER_CONNECTIONS, keepalive_s=_KEEPALIVE_S
        )

    async def stop(self) -> None:
        """Closes the HTTP sessions."""
        for session in (self._pooled, self._fresh, self._orders):
            if session is not None:
                await session.close()

    async def run(self, request: Request, shard: int, epoch: int, deadline: float) -> Response:
        """Runs a request; see `Upstream.run`."""
        announced = self._membership.announcement
        if announced is None:
            raise UpstreamUnavailableError("the upstream has not announced itself")
        left_s = deadline - self._clock.now()
        headers = [
            *request.headers,
            (REQUEST_ID, request.id),
            (TIMEOUT_MS, str(max(int(left_s * 1000), 1))),
            (TARGET_INSTANCE, announced.instance),
            (CALLER, request.caller),
        ]
        if request.key:
            headers.append((KEY, request.key))
        body = b"".join([part async for part in request.body.chunks()])
        session = self._pooled if request.repeatable else self._fresh
        assert session is not None
        try:
            async with (
                asyncio.timeout(left_s + _ANSWER_SLACK_S),
                session.request(
                    request.method,
                    URL(self._base + request.path, encoded=True),
                    headers=headers,
                    data=body or None,
                    allow_redirects=False,
                ) as answer,
            ):
                protocol = answer.connection.protocol if answer.connection else None
                content = await answer.read()
                if isinstance(protocol, BoundedConnection) and protocol.broken:
                    raise AnswerLostError("the connection was reset during the answer")
                return self._response(request, answer, content)
        except _NOT_CONNECTED as error:
            self._note_unreachable(error)
            raise UpstreamUnavailableError(f"no connection to the upstream: {error}") from error
        except (aiohttp.ClientPayloadError, aiohttp.ClientResponseError) as error:
            raise AnswerLostError(f"the answer is not whole: {error}") from error
        except _CALL_FAILURES as error:
            if isinstance(error, TimeoutError):
                raise DeadlineExceededRunningError(
                    "the upstream did not answer before the deadline"
                ) from error
            raise OutcomeLostError(
                f"the connection ended without an answer: {type(error).__name__}"
            ) from error

    async def grant(self, grants: GrantSet) -> bool:
        """Does nothing: this platform's upstreams are granted ranges."""
        return True

    async def grant_range(self, found: KeyRange, hold_s: float) -> bool:
        """Grants keys; see `RangeGrants.grant_range`."""
        message = _Grant(found.first, found.last, found.epoch, round(hold_s, 3), found.handover)
        status, _ = await self._order(GRANT_PATH, message, _GRANT_TIMEOUT_S)
        if status not in (200, 409):
            raise OutcomeLostError(f"the upstream answered a grant with {status}")
        return status == 200

    async def release_range(self, found: KeyRange) -> str:
        """Takes keys back; see `RangeGrants.release_range`."""
        message = _Grant(found.first, found.last, found.epoch)
        status, headers = await self._order(RELEASE_PATH, message, _RELEASE_TIMEOUT_S)
        if status != 200:
            raise OutcomeLostError(f"the upstream answered a release with {status}")
        return str(headers.get(HANDOVER, ""))

    async def _order(self, path: str, message: _Grant, timeout_s: float) -> tuple[int, Any]:
        assert self._orders is not None
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._orders.post(
                    self._base + path,
                    data=msgspec.json.encode(message),
                    headers={"Content-Type": "application/json"},
                ) as answer,
            ):
                await answer.read()
                self._note_reachable()
                return answer.status, answer.headers
        except _NOT_CONNECTED as error:
            self._note_unreachable(error)
            raise UpstreamUnavailableError(f"no connection to the upstream: {error}") from error
        except _CALL_FAILURES as error:
            raise OutcomeLostError(
                f"the upstream did not confirm {path}: {type(error).__name__}"
            ) from error

    def _response(
        self, request: Request, answer: aiohttp.ClientResponse, content: bytes
    ) -> Response:
        self._note_reachable()
        headers = answer.headers
        if NOT_EXECUTED in headers or answer.status == 421:
            raise UpstreamRefusedError(f"the upstream refused with {answer.status}")
        if headers.get(REQUEST_ID, request.id) != request.id:
            answer.close()
            raise OutcomeLostError(f"the answer names request {headers.get(REQUEST_ID)!r}")
        if RECEIPT not in headers and answer.status < 300:
            answer.close()
            raise AnswerLostError("the answer has no receipt")
        if "Content-Encoding" in headers:
            answer.close()
            raise AnswerLostError("the answer has a content encoding")
        kept = tuple(
            (str(name), value)
            for name, value in headers.items()
            if name.lower() not in HOP_HEADERS
        )
        return Response(request.id, answer.status, kept, BytesBody(content))

    def _note_unreachable(self, error: BaseException) -> None:
        self._liveness.unreachable()
        if isinstance(error, aiohttp.ClientConnectorError) and isinstance(
            error.os_error, ConnectionRefusedError
        ):
            self._note_end("the upstream refuses connections")
        if not self._unreachable:
            self._unreachable = True
            _UNREACHABLE.emit(address=self._base, error=repr(error)[:200])

    def _note_reachable(self) -> None:
        self._liveness.connected()
        if self._unreachable:
            self._unreachable = False
            self._ended = False
            _REACHABLE.emit(address=self._base)

    def _note_end(self, reason: str) -> None:
        if self._ended:
            return
        self._ended = True
        self._crashes += 1
        _ENDED.emit(reason=reason, crashes=self._crashes)
        for listener in self._listeners:
            listener.upstream_crashed()


def _session(answer_bytes: int, **options: Any) -> aiohttp.ClientSession:
    return bounded_session(
        answer_bytes,
        trust_env=False,
        skip_auto_headers=_DEFAULT_HEADERS,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S),
        **options,
    )
