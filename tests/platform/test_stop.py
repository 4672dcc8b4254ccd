"""Tests of requests that arrive at each moment of a planned stop, through one and two agents."""

from __future__ import annotations

import asyncio
import unittest
from collections import defaultdict
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, replace
from types import SimpleNamespace

import aiohttp

from fescueward.kernel import Kernel
from fescueward.kernel.bounds import Bounds
from fescueward.kernel.errors import (
    DeadlineExceededError,
    OutcomeLostError,
)
from fescueward.kernel.http_client import bounded_session
from fescueward.messages import Announcement, Group, GroupId, VersionedGroup
from fescueward.messages.configuration import (
    Configuration,
    Route,
    ServiceSpec,
    Target,
    VersionedConfiguration,
)
from fescueward.messages.request import Occupancy
from fescueward.platform.frontend import CallerFrontend
from fescueward.platform.settings import Address, parse_site
from fescueward.services.gate.execution import GateExecution
from fescueward.services.routing.dispatcher import DispatchRouter
from fescueward.services.routing.routes import RouteTable
from fescueward.services.shutdown import GracefulShutdown
from fescueward.testing.ports import PortReservations
from tests.services.fakes import StubRegistry, make_response
from tests.services.gate.test_execution import PassingQuarantine
from tests.services.groups_for_tests import member, with_added_members

from .fakes import CLOCK
from .test_settings import LINES

BOUNDS = Bounds(grace_s=6.0)
STEP_S = 0.1
ROUTE_TIMEOUT_S = 4.0
# Recorded for a 504 that comes from the upstream.
UPSTREAM_ENDED = 1504
GROUP = VersionedGroup(1, with_added_members(Group("orders", 0, 1), member("a"), member("b")))
ROUTES = {
    name: Route(
        name,
        f"{name}.example",
        "/x/",
        name == "again",
        2,
        ROUTE_TIMEOUT_S,
        1,
        0,
        (Target("orders"),),
    )
    for name in ("once", "again")
}


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    Attributes:
        route: `once` or `again`.
        timeout_s: Time limit of the caller, or None without one.
        work_s: Time that the upstream works.
        queue_s: Time in the queue of the gate.
        body_s: Time in which the body arrives.
        kept: Whether the connection has been used before.
        behind_s: Work of a request before it on the same connection; 0 without one.
    """

    route: str = "once"
    timeout_s: float | None = 1.0
    work_s: float = 0.05
    queue_s: float = 0.0
    body_s: float = 0.0
    kept: bool = False
    behind_s: float = 0.0


KINDS = tuple(
    replace(kind, route=route)
    for route in ROUTES
    for kind in (
        Kind(),
        Kind(timeout_s=None, work_s=0.3),
        Kind(timeout_s=3.0, work_s=2.0),
        Kind(timeout_s=3.8, work_s=3.0),
        Kind(timeout_s=3.5, work_s=0.05, queue_s=1.5),
        Kind(timeout_s=3.5, work_s=2.0, queue_s=1.0),
        Kind(timeout_s=3.0, body_s=0.9),
        Kind(timeout_s=3.5, work_s=1.5, body_s=0.9),
        Kind(kept=True),
        Kind(timeout_s=3.0, work_s=0.3, behind_s=1.2),
        Kind(timeout_s=3.5, work_s=1.5, behind_s=1.5),
    )
)


@dataclass(frozen=True, slots=True)
class Result:
    """What became of a request; times are in seconds from the stop signal.

    Attributes:
        kind: Its kind.
        sent: When its last byte was sent.
        ended: When the response was complete.
        status: Status of the response, 0 without one.
        retry_after: Whether the response says when to return.
    """

    kind: Kind
    sent: float
    ended: float
    status: int
    retry_after: bool = False


class Upstream:
    """Works as long as a request says; records when each run began and which ones ended."""

    def __init__(self) -> None:
        self.runs: dict[str, list[float]] = defaultdict(list)
        self.ended: set[str] = set()

    async def run(self, request, shard, epoch, deadline):
        self.runs[request.id].append(CLOCK.now())
        work_s = float(request.path.rpartition("w")[2])
        await asyncio.sleep(min(work_s, max(deadline - CLOCK.now(), 0)))
        self.ended.add(request.id)
        if CLOCK.now() >= deadline:
            # As upstreams respond at the value of X-Fescueward-Timeout-Ms.
            return make_response(b"limit", status=504)
        return make_response(b"whole")


class Gate:
    """Requests wait in a queue as long as their path says."""

    occupancy = Occupancy(0, 0, 6, 1.0)

    @asynccontextmanager
    async def slot(self, request, entry):
        queue_s = float(request.path.split("q")[1].split("w")[0])
        remaining_s = request.deadline - CLOCK.now()
        await asyncio.sleep(min(queue_s, remaining_s))
        if remaining_s < queue_s:
            raise DeadlineExceededError("the deadline passed while waiting for a slot")
        yield


class Agent:
    """The services on the path of a request, and a link to other agents."""

    def __init__(self, name: str, upstream: Upstream, port: int, ready: int) -> None:
        self.member_id = f"{name}:1"
        self.others: dict[str, Agent] = {}
        self.kernel = Kernel()
        self.shutdown = GracefulShutdown(self.kernel)
        self.execution, self.router = GateExecution(), DispatchRouter()
        site = parse_site(LINES)
        callers = replace(site.settings.callers, host="127.0.0.1", port=port)
        site = replace(
            site,
            settings=replace(site.settings, callers=callers),
            readiness=Address("127.0.0.1", ready),
        )
        self.frontend = CallerFrontend(site)
        routes = RouteTable()
        routes.observe(
            VersionedConfiguration(7, Configuration(3, ROUTES, {"orders": ServiceSpec("orders")}))
        )
        groups = SimpleNamespace(
            complete=True,
            views=lambda: (GROUP,),
            view=lambda group_id: GROUP if group_id == GroupId("orders", 0) else None,
            subscribe=lambda listener: None,
        )
        announcement = Announcement("orders", "127.0.0.1", 1, 6, 110, instance=name)
        registry = StubRegistry(
            bounds=BOUNDS,
            shutdown=self.shutdown,
            routes=routes,
            groups=groups,
            metrics=None,
            catalogue=SimpleNamespace(entry=lambda service: SimpleNamespace(entry=None)),
            membership=SimpleNamespace(
                announcement=announcement, closed=False, member_id=self.member_id
            ),
            ownership=None,
            admission=Gate(),
            quarantine=PassingQuarantine(),
            upstream=upstream,
            load=None,
            peers=self,
            settings=site.settings,
            execution=self.execution,
            router=self.router,
        )
        for service in (self.shutdown, self.execution, self.router, self.frontend):
            service.bind(registry)

    def expected_send_s(self, length: int) -> float:
        return 0.0

    def serve(self, handler) -> None:
        """Ignored: `forward` calls the gate of the other agent."""

    def retire(self, member_id: str) -> None:
        """Ignored: there are no streams."""

    async def forward(self, to, request):
        other = self.others[to.id]
        forwarded = asyncio.create_task(
            other.execution.execute(replace(request, forwarded_by=self.member_id))
        )
        ended = asyncio.create_task(other.ended.wait())
        try:
            await asyncio.wait((forwarded, ended), return_when=asyncio.FIRST_COMPLETED)
        finally:
            ended.cancel()
            if not forwarded.done():
                forwarded.cancel()
        if not forwarded.done():
            raise OutcomeLostError("the stream ended")
        return forwarded.result()

    async def start(self) -> None:
        self.ended = asyncio.Event()
        await self.shutdown.start()
        await self.frontend.start()

    async def stop(self) -> float:
        """Stops as the kernel does; returns the seconds that it took."""
        self.kernel.request_stop()
        await self.shutdown.drain()
        with suppress(TimeoutError):
            async with asyncio.timeout(max(BOUNDS.stop_until_s - self.kernel.stopping_s, 0)):
                await self.frontend.stop()
        self.ended.set()
        await self.shutdown.stop()
        return self.kernel.stopping_s


class StopSweepTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        ports = PortReservations()
        self.addCleanup(ports.close)
        self.upstream = Upstream()
        self.ports = {name: ports.reserve() for name in "ab"}
        self.agents = {
            name: Agent(name, self.upstream, port, ports.reserve())
            for name, port in self.ports.items()
        }
        for agent in self.agents.values():
            agent.others = {other.member_id: other for other in self.agents.values()}
            await agent.start()

    async def sweep(self, target: str, prefer: str) -> list[Result]:
        """Sends each kind of request to `target` in each step of the stop of agent `b`."""
        for agent in self.agents.values():
            agent.router._balancer("orders").choose = self.choose(prefer)
        stopping = self.agents["b"]
        sessions = {}
        for number in range(len(self.moments())):
            for kind in KINDS:
                if kind.kept:
                    sessions[(number, kind)] = bounded_session(10_000, keepalive_s=60)
                    await self.send(target, Kind(), f"warm-{number}", sessions[(number, kind)])
        stop = asyncio.create_task(stopping.stop())
        await stopping.kernel.wait_until_stopping()
        self.started = CLOCK.now()
        sending = []
        for number, moment in enumerate(self.moments()):
            await asyncio.sleep(max(self.started + moment - CLOCK.now(), 0))
            for position, kind in enumerate(KINDS):
                # Requests that may be repeated take fewer moments, to keep this process on time.
                if kind.route == "again" and number % 3:
                    continue
                request_id = f"{number}-{position}"
                session = sessions.get((number, kind))
                sending.append(asyncio.create_task(self.send(target, kind, request_id, session)))
        self.results = dict(await asyncio.gather(*sending))
        self.assertLess(await stop, BOUNDS.grace_s)
        for session in sessions.values():
            await session.close()
        for name, agent in self.agents.items():
            if name != "b":
                await agent.frontend.stop()
                await agent.shutdown.stop()

    def moments(self) -> list[float]:
        return [STEP_S * number for number in range(round(BOUNDS.grace_s / STEP_S))]

    def choose(self, prefer: str):
        def choose_member(members, tried, now, profile):
            untried = [each for each in members if each.id not in tried]
            return max(untried, key=lambda each: each.name == prefer, default=None)

        return choose_member

    async def send(self, target, kind, request_id, session=None):
        if kind.behind_s:
            return request_id, await self.send_pipelined(target, kind, request_id)
        own_session = session is None
        session = session or bounded_session(10_000)
        headers = self.headers(kind, request_id)
        status, retry_after, sent = 0, False, CLOCK.now()
        started = getattr(self, "started", sent)

        async def body():
            nonlocal sent
            for part in (b"first", b"second"):
                yield part
                sent = CLOCK.now()
                await asyncio.sleep(kind.body_s / 2)

        try:
            async with session.request(
                "POST",
                f"http://127.0.0.1:{self.ports[target]}{self.path(kind)}",
                headers=headers,
                data=body() if kind.body_s else b"",
            ) as response:
                content = await response.read()
                status, retry_after = response.status, "Retry-After" in response.headers
                if content == b"limit":
                    status = UPSTREAM_ENDED
                elif status == 200 and content != b"whole":
                    status = -1
        except aiohttp.ClientConnectorError:
            status = -2
        except (aiohttp.ClientError, OSError):
            pass
        finally:
            if own_session:
                await session.close()
        return request_id, Result(kind, sent - started, CLOCK.now() - started, status, retry_after)

    async def send_pipelined(self, target, kind, request_id):
        sent = CLOCK.now()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[target])
        except OSError:
            return Result(kind, sent - self.started, sent - self.started, -2)
        first = replace(kind, work_s=kind.behind_s, queue_s=0)
        for each, each_id in ((first, f"{request_id}-first"), (kind, request_id)):
            head = "".join(
                f"{name}: {value}\r\n" for name, value in self.headers(each, each_id).items()
            )
            writer.write(
                f"POST {self.path(each)} HTTP/1.1\r\n{head}Content-Length: 0\r\n\r\n".encode()
            )
        status, retry_after = 0, False
        try:
            for _ in range(2):
                text = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = int(text.lower().partition("content-length: ")[2].split("\r")[0])
                content = await reader.readexactly(length)
                if f"Request-Id: {request_id}\r" in text:
                    status, retry_after = int(text.split(" ")[1]), "Retry-After" in text
                    status = UPSTREAM_ENDED if content == b"limit" else status
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()
        return Result(kind, sent - self.started, CLOCK.now() - self.started, status, retry_after)

    def headers(self, kind: Kind, request_id: str) -> dict[str, str]:
        headers = {"Host": f"{kind.route}.example", "X-Fescueward-Request-Id": request_id}
        if kind.timeout_s is not None:
            headers["X-Fescueward-Timeout-Ms"] = str(round(kind.timeout_s * 1000))
        return headers

    def path(self, kind: Kind) -> str:
        return f"/x/q{kind.queue_s}w{kind.work_s}"

    def check(self, stopping_agent_was_called: bool) -> None:
        """Checks that each request got the upstream's response, or a refusal and no run."""
        faults = []
        for request_id, result in self.results.items():
            runs = [begun - self.started for begun in self.upstream.runs[request_id]]
            if not self.is_allowed(result, runs, stopping_agent_was_called):
                faults.append((request_id, result, [round(begun, 2) for begun in runs]))
        self.assertEqual(faults, [], "\n".join(map(str, faults)))

    def is_allowed(
        self, result: Result, runs: list[float], stopping_agent_was_called: bool
    ) -> bool:
        kind = result.kind
        if kind.route == "once" and len(runs) > 1:
            return False
        if result.status == 200:
            return True
        if result.status == 503:
            return not runs and result.retry_after
        timeout_s = min(kind.timeout_s or ROUTE_TIMEOUT_S, ROUTE_TIMEOUT_S)
        if result.status in (504, UPSTREAM_ENDED) and (
            result.ended - result.sent >= timeout_s - 0.1 - kind.body_s
        ):
            return True
        if result.status == UPSTREAM_ENDED and result.ended > BOUNDS.finish_until_s - 0.2:
            # The upstream had as much time as the stopping agent could pass on its response.
            return stopping_agent_was_called
        if not stopping_agent_was_called:
            return False
        # The connection was refused, or closed with the request unread: then it has not run.
        return not runs and result.ended > BOUNDS.accept_until_s

    async def test_requests_of_the_stopping_agent(self):
        """Guards against requests that are begun late in the grace and cut at its end."""
        await self.sweep("b", "b")
        self.check(True)

    async def test_requests_that_the_stopping_agent_passes_on(self):
        """Guards against requests that are passed on late in the grace and cut at its end."""
        await self.sweep("b", "a")
        self.check(True)

    async def test_requests_that_another_agent_passes_to_the_stopping_one(self):
        """Guards against requests of other agents' callers that are cut when this one ends."""
        await self.sweep("a", "b")
        self.check(False)
