"""Client of the upstream on this machine: sends requests and grants and detects crashes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Any

import aiohttp
import msgspec
from cachetools import LRUCache
from yarl import URL

from ..interfaces import CrashListener, Liveness, Membership, NoticeListener
from ..kernel import Clock, Event, Level, RefusalError, Registry
from ..kernel.errors import (
    AnswerLostError,
    DeadlineExceededError,
    DeadlineExceededRunningError,
    OutcomeLostError,
    UpstreamRefusedError,
    UpstreamUnavailableError,
)
from ..kernel.http_client import ProcessChangedError, ReceptionBudget, bounded_session
from ..kernel.memory import memory_share
from ..kernel.process_sessions import ProcessSessions
from ..kernel.server_process import ServerProcesses
from ..messages import GrantSet, Request, Response
from ..messages.group import KeyRange
from ..messages.upstream import UpstreamNotice
from .names import (
    CALLER,
    COLD_MS,
    GRANT_PATH,
    HANDOVER,
    INSTANCE,
    KEY,
    LOAD,
    RELEASE_PATH,
    REQUEST_ID,
    SERVER_LEAVING,
    SERVER_LIMIT,
    TARGET_INSTANCE,
    TIMEOUT_MS,
)
from .responses import (
    check_head,
    cold_s,
    handover_token,
    is_refusal,
    rate_limit,
    reported_load,
    to_response,
)
from .settings import Site

_UNREACHABLE = Event(
    3010, "upstream_unreachable", Level.WARNING, "Connecting to the upstream failed."
)
_REACHABLE = Event(
    3011, "upstream_reachable", Level.INFO, "The upstream accepts connections again."
)
_UPSTREAM_ENDED = Event(
    3012, "upstream_ended", Level.WARNING, "The upstream has ended or restarted."
)

_MALFORMED_LIMIT = Event(
    3013,
    "upstream_limit_malformed",
    Level.WARNING,
    "The upstream named a limit that is no rate; the last one stays in force.",
    frequent=True,
)

_MALFORMED_LOAD = Event(
    3014,
    "upstream_load_malformed",
    Level.WARNING,
    "The upstream reported a load that cannot be read; it is ignored.",
    frequent=True,
)

_MALFORMED_COLD = Event(
    3015,
    "upstream_cold_malformed",
    Level.WARNING,
    "The upstream stated a cold time that is none; it is ignored.",
    frequent=True,
)

_MALFORMED_TOKEN = Event(
    3016,
    "handover_token_malformed",
    Level.WARNING,
    "The upstream responded to a release with a handover token that cannot be used.",
)

# Shorter than the time after which upstreams close idle connections.
_KEEPALIVE_TIMEOUT_S = 4.0
_CONNECT_TIMEOUT_S = 0.5
_GRANT_CONNECTIONS = 4
# Responses of the largest size that are received at a time, and the share of the memory of the
# process that they take at most; one of them is always received.
_LARGEST_RESPONSES = 4
_RECEPTION_SHARE = 0.14
# Longer request bodies are written in parts of this size.
_PART_BYTES = 262_144
# Limit on the response to a grant or release, which carries at most one header.
_MAX_GRANT_RESPONSE_BYTES = 65_536
_GRANT_TIMEOUT_S = 0.5
_HEALTH_TIMEOUT_S = 0.5
# The upstream confirms a release only once the work on the keys has ended.
_RELEASE_TIMEOUT_S = 2.0
# Refused requests that are sent to this upstream again come within a second.
_MAX_REFUSED_IDS = 4_096
# The upstream ends a run at its time limit; the response may arrive this much later.
_RESPONSE_SLACK_S = 0.03
# uvloop raises RuntimeError for a write to a connection that ended while the process was paused.
_CALL_FAILURES = (aiohttp.ClientError, OSError, RuntimeError)
# Failures that occur before any byte of a request was sent.
_NOT_CONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_DEFAULT_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class _Grant(msgspec.Struct, rename="camel", omit_defaults=True):
    # Lowest and highest key of the range, both inclusive.
    from_: int = msgspec.field(name="from")
    target: int
    fence: int
    # Duration of the grant from its arrival, in seconds.
    hold_s: float = 0.0
    handover: str = ""


class LocalUpstream:
    """The `upstream` service on this platform: one HTTP server on the agent's machine."""

    name = "upstream"
    requires: tuple[str, ...] = ()

    def __init__(self, site: Site) -> None:
        self._base_url = f"http://{site.application.host}:{site.application.port}"
        self._max_answer_bytes = site.settings.upstream.max_answer_bytes
        self._max_reception_bytes = min(
            _LARGEST_RESPONSES * self._max_answer_bytes,
            max(self._max_answer_bytes, memory_share(site.memory_bytes, _RECEPTION_SHARE)),
        )
        self._keepalive_session: aiohttp.ClientSession | None = None
        self._single_use_session: aiohttp.ClientSession | None = None
        self._grant_sessions: ProcessSessions | None = None
        self._unidentified_session: aiohttp.ClientSession | None = None
        self._refused_ids: LRUCache[str, None] = LRUCache(_MAX_REFUSED_IDS)
        self._unreachable = False
        self._start_id = ""
        self._crashes = 0
        # Whether the end of the current start was already counted as a crash.
        self._end_recorded = False
        self._listeners: list[CrashListener] = []
        self._notice_listeners: list[NoticeListener] = []
        # The last limit of this start, for responses that name a malformed one.
        self._limit_per_second: float | None = None

    @property
    def process(self) -> int:
        """Number of the process that connections reach; see `RangeGrants.process`."""
        return self._processes.current

    @property
    def crashes(self) -> int:
        """Number of detected ends of the upstream since this agent started."""
        return self._crashes

    def subscribe(self, listener: CrashListener) -> None:
        """Notifies a listener of each crash from now on; see `CrashSource.subscribe`."""
        self._listeners.append(listener)

    def subscribe_notices(self, listener: NoticeListener) -> None:
        """Notifies a listener of each response; see `NoticeSource.subscribe_notices`."""
        self._notice_listeners.append(listener)

    def upstream_started(self, start: str) -> None:
        """Records the start id of a heartbeat; a new id means that the last start has ended."""
        if self._start_id and start != self._start_id:
            self._record_end(f"the upstream reports the new start {start}")
            self._end_recorded = False
            self._limit_per_second = None
        self._start_id = start

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._membership = registry.find("membership", Membership)
        self._liveness = registry.find("liveness", Liveness)
        self._processes = ServerProcesses(self._clock.now)
        self._budget = ReceptionBudget(self._max_reception_bytes)

    async def start(self) -> None:
        """Opens the HTTP sessions."""
        self._keepalive_session = self._session(
            self._max_answer_bytes, keepalive_s=_KEEPALIVE_TIMEOUT_S
        )
        # A request that must not run twice gets a new connection: data of an earlier response may
        # be left on a reused one. Such connections end too soon to tell processes apart.
        self._single_use_session = self._session(self._max_answer_bytes, processes=None)
        # The upstream accepts few connections, so its many small grants share some of them.
        self._grant_sessions = ProcessSessions(
            [
                self._session(
                    _MAX_GRANT_RESPONSE_BYTES, connections=1, keepalive_s=_KEEPALIVE_TIMEOUT_S
                )
                for _ in range(_GRANT_CONNECTIONS)
            ]
        )
        # Responses to grants, releases and health checks carry no id. A late second response to a
        # grant would confirm a release on the same connection while work on the keys is still
        # running.
        self._unidentified_session = self._session(_MAX_GRANT_RESPONSE_BYTES, processes=None)

    async def stop(self) -> None:
        """Closes the HTTP sessions."""
        for session in (
            self._keepalive_session,
            self._single_use_session,
            self._grant_sessions,
            self._unidentified_session,
        ):
            if session is not None:
                await session.close()

    async def run(self, request: Request, shard: int, epoch: int, deadline: float) -> Response:
        """Runs a request and buffers the response; see `Upstream.run`."""
        announcement = self._membership.announcement
        if announcement is None:
            raise UpstreamUnavailableError("the upstream has not sent a heartbeat")
        body = b"".join([part async for part in request.body.chunks()])
        # The body can take long to arrive from another agent.
        remaining_s = deadline - self._clock.now()
        if remaining_s <= 0:
            raise DeadlineExceededError("the deadline passed before the request was sent")
        headers = [
            *request.headers,
            (REQUEST_ID, request.id),
            (TIMEOUT_MS, str(max(int(remaining_s * 1000), 1))),
            (TARGET_INSTANCE, announcement.instance),
            (CALLER, request.caller),
        ]
        if request.key:
            headers.append((KEY, request.key))
        if len(body) > _PART_BYTES:
            headers.append(("Content-Length", str(len(body))))
        # On a kept connection, a second copy of a refusal would carry the id of this request.
        reusable = request.repeatable and request.id not in self._refused_ids
        session = self._keepalive_session if reusable else self._single_use_session
        assert session is not None
        try:
            async with (
                asyncio.timeout(remaining_s + _RESPONSE_SLACK_S),
                session.request(
                    request.method,
                    URL(self._base_url + request.path, encoded=True),
                    headers=headers,
                    data=_upload(body),
                    allow_redirects=False,
                ) as http_response,
            ):
                self._record_reachable()
                try:
                    check_head(request, http_response)
                except RefusalError:
                    # Its connection is out of step, so it must not return to the pool.
                    http_response.abort()
                    raise
                self._report_notice(announcement.start, http_response)
                content = await http_response.read()
                if is_refusal(http_response):
                    self._refused_ids[request.id] = None
                    raise UpstreamRefusedError(
                        f"the upstream refused the request with status {http_response.status}"
                    )
                return to_response(request, http_response, content)
        except _NOT_CONNECTED as error:
            self._record_unreachable(error)
            raise UpstreamUnavailableError(f"no connection to the upstream: {error}") from error
        except (aiohttp.ClientPayloadError, aiohttp.ClientResponseError) as error:
            raise AnswerLostError(f"the response is incomplete: {error}") from error
        except _CALL_FAILURES as error:
            if isinstance(error, TimeoutError):
                raise DeadlineExceededRunningError(
                    "the upstream did not respond before the deadline"
                ) from error
            raise OutcomeLostError(
                f"the connection ended without a response: {type(error).__name__}"
            ) from error

    async def grant(self, grants: GrantSet) -> bool:
        """Does nothing and returns True: this platform's upstreams use `grant_range`."""
        return True

    async def grant_range(self, key_range: KeyRange, hold_s: float, process: int) -> bool:
        """Grants a key range; see `RangeGrants.grant_range`."""
        ends_at = self._clock.now() + hold_s

        def content() -> dict[str, Any]:
            left_s = round(ends_at - self._clock.now(), 3)
            if left_s <= 0:
                raise UpstreamUnavailableError("the grant would have ended before it was sent")
            return _grant_content(
                _Grant(
                    key_range.first, key_range.last, key_range.epoch, left_s, key_range.handover
                )
            )

        assert self._grant_sessions is not None
        sending = self._grant_sessions.post(process, self._base_url + GRANT_PATH, content)
        status, _ = await self._receive_confirmation(sending, GRANT_PATH, _GRANT_TIMEOUT_S)
        if status not in (200, 409):
            raise OutcomeLostError(f"the upstream responded to a grant with status {status}")
        return status == 200

    async def release_range(self, key_range: KeyRange) -> str:
        """Revokes a key range; see `RangeGrants.release_range`."""
        message = _Grant(key_range.first, key_range.last, key_range.epoch)
        assert self._unidentified_session is not None
        sending = self._unidentified_session.post(
            self._base_url + RELEASE_PATH, **_grant_content(message)
        )
        status, headers = await self._receive_confirmation(
            sending, RELEASE_PATH, _RELEASE_TIMEOUT_S
        )
        if status != 200:
            raise OutcomeLostError(f"the upstream responded to a release with status {status}")
        try:
            return handover_token(headers.getall(HANDOVER, ()))
        except ValueError as error:
            # The next owner starts cold, as without a token.
            _MALFORMED_TOKEN.emit(first=key_range.first, last=key_range.last, error=error)
            return ""

    async def check_health(self, path: str) -> UpstreamNotice:
        """Asks for the health of the upstream; see `HealthSource.check_health`.

        A response without a cold time comes from a warm upstream if it is no refusal and names the
        instance that has announced itself.
        """
        announcement = self._membership.announcement
        if announcement is None:
            raise UpstreamUnavailableError("the upstream has not sent a heartbeat")
        assert self._unidentified_session is not None
        sending = self._unidentified_session.get(self._base_url + path, allow_redirects=False)
        status, headers = await self._receive_confirmation(sending, path, _HEALTH_TIMEOUT_S)
        stated_s = _stated_cold_s(headers)
        if COLD_MS not in headers and status == 200:
            stated_s = 0.0
        if stated_s == 0.0 and headers.get(INSTANCE) != announcement.instance:
            stated_s = None
        return UpstreamNotice(announcement.start, cold_s=stated_s)

    async def _receive_confirmation(
        self,
        sending: AbstractAsyncContextManager[aiohttp.ClientResponse],
        path: str,
        timeout_s: float,
    ) -> tuple[int, Any]:
        try:
            async with asyncio.timeout(timeout_s), sending as http_response:
                await http_response.read()
                self._record_reachable()
                return http_response.status, http_response.headers
        except _NOT_CONNECTED as error:
            self._record_unreachable(error)
            raise UpstreamUnavailableError(f"no connection to the upstream: {error}") from error
        except ProcessChangedError as error:
            raise UpstreamUnavailableError(str(error)) from error
        except _CALL_FAILURES as error:
            raise OutcomeLostError(
                f"the upstream did not confirm {path}: {type(error).__name__}"
            ) from error

    def _session(self, max_answer_bytes: int, **options: Any) -> aiohttp.ClientSession:
        return bounded_session(
            max_answer_bytes,
            budget=self._budget,
            trust_env=False,
            skip_auto_headers=_DEFAULT_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S),
            **{"processes": self._processes, **options},
        )

    def _report_notice(self, start: str, http_response: aiohttp.ClientResponse) -> None:
        headers = http_response.headers
        try:
            self._limit_per_second = rate_limit(headers.getall(SERVER_LIMIT, ()))
        except ValueError as error:
            _MALFORMED_LIMIT.emit(error=error)
        load = None
        try:
            load = reported_load(headers.getall(LOAD, ()))
        except ValueError as error:
            _MALFORMED_LOAD.emit(error=str(error)[:100])
        leaving = "1" in headers.getall(SERVER_LEAVING, ())
        notice = UpstreamNotice(
            start, self._limit_per_second, leaving, load, _stated_cold_s(headers)
        )
        for listener in self._notice_listeners:
            listener.upstream_noticed(notice)

    def _record_unreachable(self, error: BaseException) -> None:
        self._liveness.connection_failed()
        if isinstance(error, aiohttp.ClientConnectorError) and isinstance(
            error.os_error, ConnectionRefusedError
        ):
            self._record_end("the upstream refuses connections")
        if not self._unreachable:
            self._unreachable = True
            _UNREACHABLE.emit(address=self._base_url, error=repr(error)[:200])

    def _record_reachable(self) -> None:
        self._liveness.connection_succeeded()
        if self._unreachable:
            self._unreachable = False
            self._end_recorded = False
            _REACHABLE.emit(address=self._base_url)

    def _record_end(self, reason: str) -> None:
        if self._end_recorded:
            return
        self._end_recorded = True
        self._crashes += 1
        _UPSTREAM_ENDED.emit(reason=reason, crashes=self._crashes)
        for listener in self._listeners:
            listener.upstream_crashed()


def _stated_cold_s(headers: Any) -> float | None:
    try:
        return cold_s(headers.getall(COLD_MS, ()))
    except ValueError as error:
        _MALFORMED_COLD.emit(error=error)
        return None


def _grant_content(message: _Grant) -> dict[str, Any]:
    return {
        "data": msgspec.json.encode(message),
        "headers": {"Content-Type": "application/json"},
    }


def _upload(body: bytes) -> bytes | AsyncIterator[bytes] | None:
    """Returns the body for the HTTP client, which copies what it is given at once."""
    if len(body) <= _PART_BYTES:
        return body or None
    return _parts(body)


async def _parts(body: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(body), _PART_BYTES):
        yield body[start : start + _PART_BYTES]
