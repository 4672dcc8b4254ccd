"""HTTP client of the upstream on this VM: runs and grants."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing, suppress
from functools import lru_cache
from urllib.parse import quote

import aiohttp
from multidict import CIMultiDict

from ..interfaces import CrashListener, Membership
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.errors import (
    AnswerLostError,
    BodyTruncatedError,
    DeadlineExceededError,
    DeadlineExceededRunningError,
    DrainingError,
    FescuewardError,
    InvalidRequestError,
    LeaseExpiredError,
    OutcomeLostError,
    OverloadedError,
    RefusalError,
    UpstreamRefusedError,
    UpstreamUnavailableError,
)
from ..kernel.http_client import bounded_session
from ..kernel.settings import Settings
from ..messages import Announcement, GrantSet, Request, Response
from ..messages.codec import encode_json
from ..messages.request import Body, BytesBody
from ..messages.upstream import (
    ABORTED_HEADER,
    DEADLINE_HEADER,
    EPOCH_HEADER,
    KEY_HEADER,
    REFUSAL_HEADER,
    REQUEST_ID_HEADER,
    SHARD_HEADER,
    TOKEN_HEADER,
    upstream_url,
)
from .upstream_watch import UpstreamWatch

_GRANT_NOT_CONFIRMED = Event(
    3002, "grant_not_confirmed", Level.WARNING, "The upstream did not confirm the grants."
)

_GRANT_TIMEOUT_S = 0.5
_CANCEL_TIMEOUT_S = 0.5
# Time after which an idle connection is closed.
_KEEPALIVE_S = 30.0
# Responses up to this size are buffered in full before they are passed on.
MAX_BUFFERED_BYTES = 65_536
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_NO_TIMEOUT = aiohttp.ClientTimeout(total=None)


class HttpUpstream:
    """The `upstream` service: sends requests and grants to the upstream over HTTP."""

    name = "upstream"
    requires: tuple[str, ...] = ()

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._session: aiohttp.ClientSession | None = None
        self._connections = 0
        self._watch = UpstreamWatch(self._tasks, self._session_for)

    @property
    def crashes(self) -> int:
        """Number of upstream crashes since this agent started."""
        return self._watch.crashes

    def subscribe(self, listener: CrashListener) -> None:
        """Registers a listener to be called after each crash."""
        self._watch.subscribe(listener)

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._membership = registry.find("membership", Membership)
        self._max_response_bytes = registry.find("settings", Settings).upstream.max_answer_bytes
        self._watch.bind(registry)

    async def start(self) -> None:
        """Starts to watch the upstream; the HTTP session is created when it is first needed."""
        self._tasks.spawn("watch", self._watch.run())

    async def stop(self) -> None:
        """Closes all connections to the upstream."""
        await self._tasks.cancel()
        if self._session is not None:
            await self._session.close()

    async def run(self, request: Request, shard: int, epoch: int, deadline: float) -> Response:
        """Runs a request; see `Upstream.run`."""
        announcement = self._membership.announcement
        if announcement is None:
            raise UpstreamUnavailableError("no upstream has announced itself")
        if self._watch.refuses(announcement):
            raise UpstreamUnavailableError("the upstream refuses connections")
        remaining_s = deadline - self._clock.now()
        if remaining_s <= 0:
            raise DeadlineExceededError(
                "the deadline passed before the request was sent to the upstream"
            )
        try:
            async with asyncio.timeout(remaining_s):
                response = await self._send(announcement, request, shard, epoch, deadline)
                await _raise_refusal(response)
                return await self._read_response(request, epoch, response, deadline)
        except TimeoutError:
            self._tasks.spawn("cancel", self._cancel(announcement, request.id))
            raise DeadlineExceededRunningError("the deadline passed during the run") from None
        except asyncio.CancelledError:
            self._tasks.spawn("cancel", self._cancel(announcement, request.id))
            raise

    async def grant(self, grants: GrantSet) -> bool:
        """Sends grants; returns whether they were confirmed; see `Upstream.grant`."""
        announcement = self._membership.announcement
        if announcement is None:
            return False
        if not announcement.checks_grants:
            return True
        timeout = aiohttp.ClientTimeout(total=_GRANT_TIMEOUT_S)
        try:
            async with self._session_for(announcement).put(
                upstream_url(announcement, "/grants"), data=encode_json(grants), timeout=timeout
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            _GRANT_NOT_CONFIRMED.emit(error=f"{type(error).__name__}: {error}")
            return False

    def _session_for(self, announcement: Announcement) -> aiohttp.ClientSession:
        if self._session is None or self._connections != announcement.connections:
            previous_session = self._session
            self._connections = announcement.connections
            self._session = bounded_session(
                self._max_response_bytes,
                connections=announcement.connections,
                keepalive_s=_KEEPALIVE_S,
            )
            if previous_session is not None:
                self._tasks.spawn("close", previous_session.close())
        return self._session

    async def _send(
        self, announcement: Announcement, request: Request, shard: int, epoch: int, deadline: float
    ) -> aiohttp.ClientResponse:
        headers = CIMultiDict(request.headers)
        headers[SHARD_HEADER] = str(shard)
        headers[EPOCH_HEADER] = str(epoch)
        headers[DEADLINE_HEADER] = str(int(deadline * 1e9))
        headers[REQUEST_ID_HEADER] = request.id
        headers[KEY_HEADER] = request.key
        if request.token is not None:
            headers[TOKEN_HEADER] = request.token
        body = request.body
        upload: _Upload | None = None
        data: bytes | AsyncGenerator[bytes, None] | None = None
        if isinstance(body, BytesBody):
            data = body.data or None
        else:
            upload = _Upload(body)
            data = upload.chunks()
            if body.length is not None:
                headers["Content-Length"] = str(body.length)
        try:
            return await self._session_for(announcement).request(
                request.method,
                upstream_url(announcement, request.path),
                headers=headers,
                data=data,
                timeout=_NO_TIMEOUT,
                allow_redirects=False,
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            )
        except aiohttp.ClientConnectorError as error:
            self._watch.check_now()
            raise UpstreamUnavailableError(
                f"could not connect to the upstream: {error}"
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            if upload is not None and upload.error is not None:
                raise OutcomeLostError(
                    f"reading the request body failed: {upload.error}"
                ) from error
            await self._watch.check_crash(error)
            raise OutcomeLostError(f"the connection to the upstream failed: {error!r}") from error
        except ValueError as error:
            # aiohttp rejects an invalid header or method before it sends any byte.
            raise InvalidRequestError(f"the request cannot be sent: {error}") from error

    async def _read_response(
        self,
        request: Request,
        epoch: int,
        response: aiohttp.ClientResponse,
        deadline: float,
    ) -> Response:
        try:
            headers = [
                (name, value.decode())
                for raw_name, value in response.raw_headers
                if (name := _end_to_end_name(raw_name)) is not None
            ]
        except UnicodeDecodeError as error:
            response.close()
            raise AnswerLostError("a header of the response is not valid UTF-8") from error
        length = response.content_length
        body: Body
        if request.method == "HEAD" or response.status in (204, 304):
            # These responses have no body, but may state the length that it would have.
            response.release()
            body = BytesBody(b"")
            if length is not None and response.status != 204:
                headers.append(("Content-Length", str(length)))
        elif length is not None and length <= MAX_BUFFERED_BYTES:
            try:
                body = BytesBody(await response.read())
            except (aiohttp.ClientError, OSError) as error:
                response.close()
                await self._watch.check_crash(error)
                raise AnswerLostError(f"reading the response failed: {error!r}") from error
        else:
            body = _ResponseBody(self._watch, response, length, deadline, self._clock)
        return Response(
            request.id, response.status, tuple(headers), body, self._membership.member_id, epoch
        )

    async def _cancel(self, announcement: Announcement, request_id: str) -> None:
        timeout = aiohttp.ClientTimeout(total=_CANCEL_TIMEOUT_S)
        url = upstream_url(announcement, f"/cancel/{quote(request_id, safe='')}")
        try:
            async with self._session_for(announcement).post(url, timeout=timeout):
                pass
        except (aiohttp.ClientError, TimeoutError, OSError):
            return


class _Upload:
    """A request body that is streamed to the upstream; keeps the error that ended it."""

    def __init__(self, body: Body) -> None:
        self._body = body
        self.error: FescuewardError | None = None

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        try:
            async with aclosing(self._body.chunks()) as chunks:
                async for chunk in chunks:
                    yield chunk
        except FescuewardError as error:
            self.error = error
            raise


class _ResponseBody:
    """A large response body, read from the upstream while it is consumed."""

    def __init__(
        self,
        watch: UpstreamWatch,
        response: aiohttp.ClientResponse,
        length: int | None,
        deadline: float,
        clock: Clock,
    ) -> None:
        self.length = length
        self.started = False
        self._deadline = deadline
        self._clock = clock
        self._watch = watch
        self._response = response

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        self.started = True
        try:
            while chunk := await self._next():
                yield chunk
        except TimeoutError:
            raise BodyTruncatedError("the deadline passed during the response") from None
        except (aiohttp.ClientError, OSError) as error:
            await self._watch.check_crash(error)
            raise BodyTruncatedError(f"reading the response failed: {error!r}") from error
        finally:
            self._response.close()

    async def close(self) -> None:
        self._response.close()

    async def _next(self) -> bytes:
        async with asyncio.timeout(max(self._deadline - self._clock.now(), 0)):
            return await self._response.content.readany()


@lru_cache(maxsize=1024)
def _end_to_end_name(name: bytes) -> str | None:
    """Returns a header name as text, or None if the header is hop-by-hop."""
    return None if name.lower() in _HOP_BY_HOP_HEADERS else name.decode()


async def _raise_refusal(response: aiohttp.ClientResponse) -> None:
    headers = response.headers
    error: RefusalError
    if (reason := headers.get(REFUSAL_HEADER)) is not None:
        if reason == "grant":
            # The grants of a new owner or a restarted upstream arrive within a renewal period.
            error = LeaseExpiredError("the upstream rejected the grant")
        elif reason == "leaving":
            error = DrainingError("the upstream is leaving")
        elif reason == "deadline":
            error = DeadlineExceededError("the request reached the upstream after its deadline")
        elif reason == "shed":
            error = OverloadedError("the upstream sheds load", retry_after_s=1.0)
        elif reason == "malformed":
            error = InvalidRequestError("the upstream rejected the request as malformed")
        else:
            error = UpstreamRefusedError(f"the upstream refused the request: {reason}")
    elif (reason := headers.get(ABORTED_HEADER)) is not None:
        if reason == "deadline":
            error = DeadlineExceededRunningError("the upstream aborted the run at its deadline")
        else:
            error = OutcomeLostError(f"the upstream aborted the run: {reason}")
    else:
        return
    if response.content_length is not None and response.content_length <= MAX_BUFFERED_BYTES:
        # The connection is reused only if the response is read to its end.
        with suppress(aiohttp.ClientError, OSError):
            await response.read()
    response.close()
    raise error
