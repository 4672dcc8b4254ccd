"""The routing client."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from types import TracebackType

from ..interfaces import Router
from ..kernel import BootClock, Kernel, Registry
from ..kernel.errors import (
    FescuewardError,
    InProgressError,
    OutcomeLostError,
    RefusalError,
    ServiceFailedError,
    TokenRequiredError,
)
from ..kernel.settings import (
    AdministrationSection,
    AgentSection,
    AnnouncementsSection,
    CallersSection,
    LeaseSection,
    LogSection,
    PeersSection,
    PlacementSection,
    PlatformSection,
    RoutingSection,
    Settings,
)
from ..messages import Body, Request, Response
from ..messages.request import BytesBody, Headers
from ..services.groups import GroupStore
from ..services.peers import MsgpackPeers
from ..services.router import OwnerRouter
from .services import ClientCatalogue, NoExecution, NoMembership, SeedPlatform, seed_member

_FIRST_PAUSE_S = 0.05
_LAST_PAUSE_S = 1.0


@dataclass(frozen=True, slots=True)
class Answer:
    """The complete response to one request.

    Attributes:
        status: HTTP status.
        headers: Headers.
        body: The whole body.
        served_by: Member id of the owner that ran the request.
        epoch: Epoch of the shard that it ran under.
        request_id: Id of the request.
        token: Token that it ran under, or None.
    """

    status: int
    headers: Headers
    body: bytes
    served_by: str
    epoch: int
    request_id: str
    token: str | None


class _Started:
    """Tells that all services of the client have started."""

    name = "started"
    requires = ("router", "groups")

    def __init__(self) -> None:
        self.event = asyncio.Event()

    def bind(self, registry: Registry) -> None:
        """Finds nothing."""

    async def start(self) -> None:
        """Sets the event."""
        self.event.set()

    async def stop(self) -> None:
        """Does nothing."""


class Client:
    """Routes requests to the owners of their keys without a hop in between.

    Used as an async context manager, or with `start` and `close`, in one event loop.

    Args:
        seeds: Host and peer port of some agents. They should include an agent of each service
            that is used, because an agent knows the group of its own service.
        secret: The peer secret of the agents' settings.
        timeout_s: Longest wait for a connection or a reply of an agent, in seconds.
        retry_percent: Retries permitted per 100 requests.
        attempts: Most attempts for one request whose outcome is not known.
    """

    def __init__(
        self,
        seeds: Sequence[tuple[str, int]],
        secret: str,
        *,
        timeout_s: float = 1.0,
        retry_percent: int = 10,
        attempts: int = 4,
    ) -> None:
        name = f"client-{uuid.uuid4().hex}"
        self._clock = BootClock()
        self._attempts = attempts
        self._kernel = Kernel()
        self._catalogue = ClientCatalogue()
        self._started = _Started()
        self._running: asyncio.Task[None] | None = None
        kernel = self._kernel
        routing = RoutingSection(retry_percent=retry_percent, attempts=attempts)
        kernel.provide("settings", _settings(name, secret, timeout_s, routing))
        kernel.provide("clock", self._clock)
        kernel.add(MsgpackPeers(kernel, name, 1))
        kernel.add(SeedPlatform(tuple(seed_member(host, port) for host, port in seeds)))
        kernel.add(self._catalogue)
        kernel.add(NoMembership())
        kernel.add(GroupStore(kernel))
        kernel.add(NoExecution())
        kernel.add(OwnerRouter())
        kernel.add(self._started)

    async def __aenter__(self) -> Client:
        await self.start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    async def start(self) -> None:
        """Starts the client. Agents are dialled in the background.

        Raises:
            ServiceFailedError: A part of the client failed.
        """
        self._running = asyncio.create_task(self._kernel.run(), name="fescueward-client")
        started = asyncio.create_task(self._started.event.wait())
        await asyncio.wait({self._running, started}, return_when=asyncio.FIRST_COMPLETED)
        started.cancel()
        if self._running.done():
            await self._running
        self._router = self._kernel.registry.find("router", Router)

    async def close(self) -> None:
        """Ends all streams; requests that are open fail.

        Raises:
            ServiceFailedError: A part of the client failed before.
        """
        running, self._running = self._running, None
        if running is not None:
            self._kernel.request_stop()
            await running

    async def request(
        self,
        service: str,
        key: str,
        method: str = "GET",
        path: str = "/",
        *,
        headers: Mapping[str, str] | Headers = (),
        body: bytes | Body = b"",
        deadline_s: float | None = None,
        token: str | None = None,
    ) -> Answer:
        """Sends a request to the owner of its key and reads the whole response.

        A service of class `once` gets its token unseen, and every attempt uses the same one, so
        that the request runs at most once.

        Args:
            service: Name of the service.
            key: Key of the request.
            method: HTTP method.
            path: Path and query, percent-encoded.
            headers: Headers to pass on.
            body: The body; one that is streamed is sent once only.
            deadline_s: Seconds until the request is of no use; by default that of the entry.
            token: Token of an earlier request whose outcome is wanted, or None.

        Raises:
            RefusalError: The request is refused; its `outcome` says whether it ran.
            BodyTruncatedError: The response broke after it had begun.
            ServiceFailedError: The client is not running.
        """
        if self._running is None or self._running.done():
            raise ServiceFailedError("the client is not running")
        begun = self._clock.now()
        wait_s = deadline_s if deadline_s is not None else 5.0
        entry = (await self._catalogue.wait_for(service, wait_s)).entry
        limit_s = deadline_s if deadline_s is not None else entry.limits.deadline_ms / 1000
        pairs = headers.items() if isinstance(headers, Mapping) else headers
        request = Request(
            id=uuid.uuid4().hex,
            service=service,
            key=key,
            method=method,
            path=path,
            headers=tuple((str(name), str(value)) for name, value in pairs),
            body=BytesBody(body) if isinstance(body, bytes) else body,
            deadline=begun + limit_s,
            token=token,
        )
        return await self._send(request)

    async def _send(self, request: Request) -> Answer:
        pause_s = _FIRST_PAUSE_S
        lost = 0
        while True:
            try:
                response = await self._router.route(request)
                return await _read(response, request)
            except TokenRequiredError as error:
                if request.token is not None or not error.token or request.body.started:
                    raise
                request = replace(request, token=error.token)
                continue
            except InProgressError as error:
                last: RefusalError = error
            except OutcomeLostError as error:
                # With its token, another attempt asks for the outcome and runs nothing twice.
                lost += 1
                if request.token is None or lost >= self._attempts:
                    raise
                last = error
            if request.body.started or self._clock.now() + pause_s >= request.deadline:
                raise last
            await self._clock.sleep(pause_s * random.uniform(0.5, 1.0))
            pause_s = min(pause_s * 2, _LAST_PAUSE_S)


async def _read(response: Response, request: Request) -> Answer:
    try:
        data = b"".join([chunk async for chunk in response.body.chunks()])
    finally:
        await response.body.close()
    if response.request_id != request.id:
        raise FescuewardError(f"the response is that of request {response.request_id}")
    return Answer(
        response.status,
        response.headers,
        data,
        response.served_by,
        response.epoch,
        response.request_id,
        request.token,
    )


def _settings(name: str, secret: str, timeout_s: float, routing: RoutingSection) -> Settings:
    return Settings(
        agent=AgentSection(name=name, failure_domain="client"),
        callers=CallersSection(port=0),
        # Port 0: a client accepts no streams.
        peers=PeersSection(port=0, secret=secret, timeout_ms=int(timeout_s * 1000)),
        administration=AdministrationSection(port=0, token=""),
        announcements=AnnouncementsSection(port=0),
        platform=PlatformSection(url=""),
        lease=LeaseSection(),
        placement=PlacementSection(),
        routing=routing,
        log=LogSection(),
    )
