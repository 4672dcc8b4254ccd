"""The upstream beside this agent: runs, grants and crashes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing

import aiohttp
from multidict import CIMultiDict

from ..interfaces import Membership
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.errors import (
    AnswerLostError,
    BodyTruncatedError,
    DeadlineExceededError,
    DeadlineExceededRunningError,
    FescuewardError,
    LeaseExpiredError,
    OutcomeLostError,
    OverloadedError,
    RefusalError,
    UpstreamUnavailableError,
)
from ..messages import Announcement, GrantSet, Request, Response
from ..messages.codec import encode_json
from ..messages.request import Body, BytesBody
from ..messages.upstream import (
    DEADLINE_HEADER,
    EPOCH_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
    SHARD_HEADER,
    TOKEN_HEADER,
)

_CRASHED = Event(3001, "upstream_crashed", Level.WARNING, "The upstream ended during requests.")
_GRANT_FAILED = Event(3002, "grant_not_confirmed", Level.WARNING, "The upstream took no grants.")

_GRANT_TIMEOUT_S = 0.5
_CANCEL_TIMEOUT_S = 0.5
# Responses up to this size are read whole before any byte is released.
SMALL_BYTES = 65_536
_REFUSAL_HEADER = "Fescueward-Refusal"
_HOP_HEADERS = frozenset({"connection", "keep-alive", "transfer-encoding", "content-length"})


class HttpUpstream:
    """The `upstream` service."""

    name = "upstream"
    requires: tuple[str, ...] = ()

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._session: aiohttp.ClientSession | None = None
        self._connections = 0
        self._crashes = 0

    @property
    def crashes(self) -> int:
        """Number of upstream crashes seen so far."""
        return self._crashes

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._membership = registry.find("membership", Membership)

    async def start(self) -> None:
        """Does nothing; the session is made once the upstream is known."""

    async def stop(self) -> None:
        """Closes all connections to the upstream."""
        await self._tasks.cancel()
        if self._session is not None:
            await self._session.close()

    async def run(self, request: Request, shard: int, epoch: int, deadline: float) -> Response:
        """Runs a request; see `Upstream.run`."""
        announced = self._membership.announcement
        if announced is None:
            raise UpstreamUnavailableError("no upstream has announced itself")
        remaining_s = deadline - self._clock.now()
        if remaining_s <= 0:
            raise DeadlineExceededError("the deadline passed before the upstream was reached")
        try:
            response = await asyncio.wait_for(
                self._send(announced, request, shard, epoch, deadline), remaining_s
            )
        except TimeoutError:
            self._tasks.spawn("cancel", self._cancel(announced, request.id))
            raise DeadlineExceededRunningError("the deadline passed during the run") from None
        except asyncio.CancelledError:
            self._tasks.spawn("cancel", self._cancel(announced, request.id))
            raise
        _raise_refusal(response)
        return await self._response(request, epoch, response, deadline)

    async def grant(self, grants: GrantSet) -> bool:
        """Sends grants; see `Upstream.grant`."""
        announced = self._membership.announcement
        if announced is None:
            return False
        if not announced.checks_grants:
            return True
        timeout = aiohttp.ClientTimeout(total=_GRANT_TIMEOUT_S)
        try:
            async with self._open(announced).put(
                _url(announced, "/grants"), data=encode_json(grants), timeout=timeout
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            _GRANT_FAILED.emit(error=f"{type(error).__name__}: {error}")
            return False

    def _open(self, announced: Announcement) -> aiohttp.ClientSession:
        if self._session is None or self._connections != announced.connections:
            old = self._session
            self._connections = announced.connections
            connector = aiohttp.TCPConnector(limit=announced.connections, keepalive_timeout=30)
            self._session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
            # aiohttp repeats GET, PUT and DELETE on a reused connection that breaks. A request
            # that may have reached the upstream must not be sent again here.
            self._session._retry_connection = False
            if old is not None:
                self._tasks.spawn("close", old.close())
        return self._session

    async def _send(
        self, announced: Announcement, request: Request, shard: int, epoch: int, deadline: float
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
        data: bytes | _Upload | None = _Upload(body)
        if isinstance(body, BytesBody):
            data = body.data or None
        elif body.length is not None:
            headers["Content-Length"] = str(body.length)
        try:
            return await self._open(announced).request(
                request.method,
                _url(announced, request.path),
                headers=headers,
                data=data.chunks() if isinstance(data, _Upload) else data,
                timeout=aiohttp.ClientTimeout(total=None),
                allow_redirects=False,
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            )
        except aiohttp.ClientConnectorError as error:
            raise UpstreamUnavailableError(f"no connection to the upstream: {error}") from error
        except (aiohttp.ClientError, OSError) as error:
            if isinstance(data, _Upload) and data.error is not None:
                raise OutcomeLostError(f"the request body broke: {data.error}") from error
            self._note_crash(request, error)
            raise OutcomeLostError(f"the upstream ended the connection: {error!r}") from error

    async def _response(
        self, request: Request, epoch: int, response: aiohttp.ClientResponse, deadline: float
    ) -> Response:
        headers = tuple(
            (str(name), value)
            for name, value in response.headers.items()
            if name.lower() not in _HOP_HEADERS
        )
        length = response.content_length
        body: Body
        if length is not None and length <= SMALL_BYTES:
            try:
                async with asyncio.timeout(max(deadline - self._clock.now(), 0)):
                    body = BytesBody(await response.read())
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                response.close()
                raise AnswerLostError(f"the response broke: {error!r}") from error
        else:
            body = _ResponseBody(response, length)
        return Response(
            request.id, response.status, headers, body, self._membership.member_id, epoch
        )

    def _note_crash(self, request: Request, error: BaseException) -> None:
        self._crashes += 1
        _CRASHED.emit(request=request.id, error=f"{type(error).__name__}: {error}")

    async def _cancel(self, announced: Announcement, request_id: str) -> None:
        timeout = aiohttp.ClientTimeout(total=_CANCEL_TIMEOUT_S)
        try:
            async with self._open(announced).post(
                _url(announced, f"/cancel/{request_id}"), timeout=timeout
            ):
                pass
        except (aiohttp.ClientError, TimeoutError, OSError):
            return


class _Upload:
    """A request body on its way to the upstream, with the error that broke it."""

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
    """A large response body, read from the upstream as it is consumed."""

    def __init__(self, response: aiohttp.ClientResponse, length: int | None) -> None:
        self.length = length
        self.started = False
        self._response = response

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        self.started = True
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise BodyTruncatedError(f"the response broke: {error!r}") from error
        finally:
            self._response.close()


def _url(announced: Announcement, path: str) -> str:
    return f"http://{announced.host}:{announced.port}{path}"


def _raise_refusal(response: aiohttp.ClientResponse) -> None:
    reason = response.headers.get(_REFUSAL_HEADER)
    if reason is None:
        return
    response.release()
    refusals: dict[str, RefusalError] = {
        "grant": LeaseExpiredError("the upstream rejected the grant"),
        "deadline": DeadlineExceededError("the upstream got the request after its deadline"),
        "shed": OverloadedError("the upstream sheds load", retry_after_s=1.0),
    }
    raise refusals.get(reason, UpstreamUnavailableError(f"the upstream refused: {reason}"))
