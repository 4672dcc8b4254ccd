"""Callers' requests at the agent's port."""

import asyncio
import unittest
from dataclasses import replace
from types import SimpleNamespace

import aiohttp

from fescueward.kernel import Kernel
from fescueward.kernel.bounds import Bounds
from fescueward.kernel.errors import OutcomeLostError, OverloadedError, QuarantinedError
from fescueward.messages.configuration import (
    Configuration,
    Route,
    ServiceSpec,
    Target,
    VersionedConfiguration,
)
from fescueward.platform.frontend import CallerFrontend
from fescueward.platform.settings import Address, parse_site
from fescueward.services.routing.routes import RouteTable
from fescueward.testing.ports import PortReservations
from tests.services.fakes import StubRegistry, make_response

from .fakes import CLOCK
from .test_settings import LINES

ROUTE = Route("r1", "a.example", "/x/", False, 1, 0.4, 0.2, 0, (Target("orders", 1.0),))
CONFIGURATION = Configuration(3, {"r1": ROUTE}, {"orders": ServiceSpec("orders")})
HEAD = b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Fescueward-Request-Id: r1\r\n"


class FakeRouter:
    """Keeps the requests and answers or refuses them."""

    def __init__(self) -> None:
        self.requests = []
        self.refusal: Exception | None = None

    async def route(self, request):
        self.requests.append(request)
        if self.refusal is not None:
            raise self.refusal
        return make_response(b"ok")


class CallerFrontendTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        ports = PortReservations()
        self.addCleanup(ports.close)
        self.port, ready = ports.reserve(), ports.reserve()
        site = parse_site(LINES)
        callers = replace(site.settings.callers, host="127.0.0.1", port=self.port)
        site = replace(
            site,
            settings=replace(site.settings, callers=callers),
            readiness=Address("127.0.0.1", ready),
        )
        routes = RouteTable()
        routes.observe(VersionedConfiguration(7, CONFIGURATION))
        self.kernel, self.router = Kernel(), FakeRouter()
        self.frontend = CallerFrontend(self.kernel, site)
        self.frontend.bind(
            StubRegistry(
                clock=CLOCK,
                bounds=Bounds(grace_s=1.0),
                router=self.router,
                routes=routes,
                metrics=None,
                groups=SimpleNamespace(complete=True, views=lambda: (1,)),
            )
        )
        await self.frontend.start()
        self.addAsyncCleanup(self.frontend.stop)
        self.session = aiohttp.ClientSession(f"http://127.0.0.1:{self.port}")
        self.addAsyncCleanup(self.session.close)

    async def ask(self) -> tuple[int, float]:
        """Sends a request and returns its status and when to come back, in seconds."""
        headers = {"Host": "a.example", "X-Fescueward-Request-Id": "r1"}
        async with self.session.get("/x/1", headers=headers) as answer:
            return answer.status, float(answer.headers.get("Retry-After", 0))

    async def test_refusal_says_whether_the_request_ran(self):
        """Guards against callers that repeat what may have run, or that give up what has not."""
        self.router.refusal = OverloadedError("full", retry_after_s=0.3)
        self.assertEqual(await self.ask(), (503, 0.3))
        self.router.refusal = OutcomeLostError("no answer")
        self.assertEqual(await self.ask(), (502, 0))
        self.router.refusal = QuarantinedError("three crashes", retry_after_s=600.0)
        self.assertEqual(await self.ask(), (503, 600))

    async def test_stalled_body_ends_at_the_deadline(self):
        """Guards against callers that hold a connection and its memory without an end."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(HEAD + b"Content-Length: 10\r\n\r\nhalf")
        async with asyncio.timeout(2):
            answer = await reader.readuntil(b"\r\n")
        writer.close()
        self.assertIn(b" 503 ", answer)
        self.assertEqual(self.router.requests, [])

    async def test_stopping_agent_takes_requests_until_shortly_before_its_end(self):
        """Guards against requests that are cut at the end of the process."""
        self.kernel.request_stop()
        self.assertEqual((await self.ask())[0], 200)
        await asyncio.sleep(0.75)
        status, retry_after_s = await self.ask()
        self.assertEqual(status, 503)
        self.assertGreater(retry_after_s, 0)
