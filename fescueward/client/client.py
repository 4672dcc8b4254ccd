"""The routing client: a kernel with the services that route requests."""

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

_FIRST_RETRY_DELAY_S = 0.05
_MAX_RETRY_DELAY_S = 1.0


@dataclass(frozen=True, slots=True)
class Answer:
    """The complete response to one request.

    Attributes:
        status: HTTP status.
        headers: Headers of the response.
        body: Complete body.
        served_by: Member id of the owner that ran the request.
        epoch: Epoch of the shard under which the request ran.
        request_id: Id of the request.
        token: Idempotency token under which the request ran, or None.
    """

    status: int
    headers: Headers
    body: bytes
    served_by: str
    epoch: int
    request_id: str
    token: str | None


class _StartSignal:
    """The `started` service, which starts last and signals that the client has started."""

    name = "started"
    requires = ("router", "groups")

    def __init__(self) -> None:
        self.event = asyncio.Event()

    def bind(self, registry: Registry) -> None:
        """Looks up nothing: this service uses no other."""

    async def start(self) -> None:
        """Sets the event, because the required services have started."""
        self.event.set()

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""


class Client:
    """Routes requests to the owners of their keys without an intermediate hop.

    Use it as an async context manager or call `start` and `close`, all in one event loop.

    Args:
        seeds: Host and peer port of some agents. Include an agent of each service in use, because
            an agent caches the group of its own service.
        secret: Peer secret from the agents' settings.
        timeout_s: Longest wait for a connection or a reply of an agent, in seconds.
        retry_percent: Retries permitted per 100 requests.
        attempts: Maximum number of attempts for a request whose outcome is unknown.
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
        self._start_signal = _StartSignal()
        self._kernel_task: asyncio.Task[None] | None = None
        kernel = self._kernel
        routing = RoutingSection(retry_percent=retry_percent, attempts=attempts)
        kernel.provide("settings", _client_settings(name, secret, timeout_s, routing))
        kernel.provide("clock", self._clock)
        kernel.add(MsgpackPeers(kernel, name, 1))
        kernel.add(SeedPlatform(tuple(seed_member(host, port) for host, port in seeds)))
        kernel.add(self._catalogue)
        kernel.add(NoMembership())
        kernel.add(GroupStore(kernel))
        kernel.add(NoExecution())
        kernel.add(OwnerRouter())
        kernel.add(self._start_signal)

    async def __aenter__(self) -> Client:
        await self.start()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def start(self) -> None:
        """Starts the client. Connections to agents are opened in the background.

        Raises:
            ServiceFailedError: A service of the client failed to start.
        """
        self._kernel_task = asyncio.create_task(self._kernel.run(), name="fescueward-client")
        start_waiter = asyncio.create_task(self._start_signal.event.wait())
        await asyncio.wait({self._kernel_task, start_waiter}, return_when=asyncio.FIRST_COMPLETED)
        start_waiter.cancel()
        if self._kernel_task.done():
            await self._kernel_task
        self._router = self._kernel.registry.find("router", Router)

    async def close(self) -> None:
        """Stops the client and closes all streams; requests in flight fail.

        Raises:
            ServiceFailedError: A service failed while the client was running.
        """
        kernel_task, self._kernel_task = self._kernel_task, None
        if kernel_task is not None:
            self._kernel.request_stop()
            await kernel_task

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

        For a service of class `once`, the client obtains a token and uses it for every attempt, so
        that the request runs at most once.

        Args:
            service: Service name.
            key: Key of the request.
            method: HTTP method.
            path: Path and query, percent-encoded.
            headers: Headers to forward.
            body: Body of the request. A streamed body is sent once only: no retry follows after
                its first byte is read.
            deadline_s: Time limit of the request in seconds; by default that of the entry.
            token: Token of an earlier request, to get the outcome of that request; or None.

        Raises:
            RefusalError: The request was refused; `outcome` says whether it ran.
            BodyTruncatedError: The body of the response ended early.
            ServiceFailedError: The client is not running.
        """
        if self._kernel_task is None or self._kernel_task.done():
            raise ServiceFailedError("the client is not running")
        start_s = self._clock.now()
        entry_timeout_s = deadline_s if deadline_s is not None else 5.0
        entry = (await self._catalogue.wait_for(service, entry_timeout_s)).entry
        time_limit_s = deadline_s if deadline_s is not None else entry.limits.deadline_ms / 1000
        header_pairs = headers.items() if isinstance(headers, Mapping) else headers
        request = Request(
            id=uuid.uuid4().hex,
            service=service,
            key=key,
            method=method,
            path=path,
            headers=tuple((str(name), str(value)) for name, value in header_pairs),
            body=BytesBody(body) if isinstance(body, bytes) else body,
            deadline=start_s + time_limit_s,
            token=token,
        )
        return await self._send(request)

    async def _send(self, request: Request) -> Answer:
        retry_delay_s = _FIRST_RETRY_DELAY_S
        lost_count = 0
        while True:
            try:
                response = await self._router.route(request)
                return await _read_answer(response, request)
            except TokenRequiredError as error:
                if request.token is not None or not error.token or request.body.started:
                    raise
                request = replace(request, token=error.token)
                continue
            except InProgressError as error:
                last_error: RefusalError = error
            except OutcomeLostError as error:
                # With the token, the next attempt returns the outcome and runs nothing again.
                lost_count += 1
                if request.token is None or lost_count >= self._attempts:
                    raise
                last_error = error
            if request.body.started or self._clock.now() + retry_delay_s >= request.deadline:
                raise last_error
            await self._clock.sleep(retry_delay_s * random.uniform(0.5, 1.0))
            retry_delay_s = min(retry_delay_s * 2, _MAX_RETRY_DELAY_S)


async def _read_answer(response: Response, request: Request) -> Answer:
    try:
        data = b"".join([chunk async for chunk in response.body.chunks()])
    finally:
        await response.body.close()
    if response.request_id != request.id:
        raise FescuewardError(f"the response belongs to request {response.request_id}")
    return Answer(
        response.status,
        response.headers,
        data,
        response.served_by,
        response.epoch,
        response.request_id,
        request.token,
    )


def _client_settings(
    name: str, secret: str, timeout_s: float, routing: RoutingSection
) -> Settings:
    return Settings(
        agent=AgentSection(name=name, failure_domain="client"),
        callers=CallersSection(port=0),
        # Port 0: a client does not accept streams.
        peers=PeersSection(port=0, secret=secret, timeout_ms=int(timeout_s * 1000)),
        administration=AdministrationSection(port=0, token=""),
        announcements=AnnouncementsSection(port=0),
        platform=PlatformSection(url=""),
        lease=LeaseSection(),
        placement=PlacementSection(),
        routing=routing,
        log=LogSection(),
    )
