"""Tests of the platform's HTTP front end for callers."""

import asyncio
import gzip
import socket
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import replace
from types import SimpleNamespace

import aiohttp
import uvloop

from fescueward.kernel import Kernel
from fescueward.kernel.body_budget import BodyBudget
from fescueward.kernel.bounds import Bounds
from fescueward.kernel.errors import OutcomeLostError, OverloadedError, QuarantinedError
from fescueward.kernel.registry import Drainable
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
from fescueward.services.shutdown import GracefulShutdown
from fescueward.testing.ports import PortReservations
from fescueward.testing.waiting import wait_until
from tests.services.fakes import FailedCall, StubRegistry, make_response

from .fakes import CLOCK
from .test_settings import LINES

ROUTE = Route("r1", "a.example", "/x/", False, 1, 0.4, 0.2, 0, (Target("orders", 1.0),))
HEAD = b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Fescueward-Request-Id: r1\r\n"


class FakeRouter:
    """Records the requests and responds to them or refuses them."""

    def __init__(self) -> None:
        self.requests = []
        self.refusal: Exception | None = None
        self.body = None
        self.response_allowed = asyncio.Event()
        self.response_allowed.set()
        self.request_received = asyncio.Event()
        self.cancelled = asyncio.Event()

    async def route(self, request):
        self.requests.append(request)
        self.request_received.set()
        try:
            await self.response_allowed.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        if self.refusal is not None:
            raise self.refusal
        response = make_response(b"ok")
        return response if self.body is None else replace(response, body=self.body)


class FrontendCase(unittest.IsolatedAsyncioTestCase):
    """A front end with one route, and an HTTP client."""

    grace_s = 1.0
    route = ROUTE
    memory_bytes = 1_000_000_000

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
        self.routes = routes = RouteTable()
        configuration = Configuration(3, {"r1": self.route}, {"orders": ServiceSpec("orders")})
        routes.observe(VersionedConfiguration(7, configuration))
        self.kernel, self.router = Kernel(), FakeRouter()
        self.shutdown = GracefulShutdown(self.kernel)
        self.shutdown.bind(StubRegistry(clock=CLOCK, bounds=Bounds(grace_s=self.grace_s)))
        self.frontend = CallerFrontend(site)
        self.frontend.bind(
            StubRegistry(
                clock=CLOCK,
                bodies=BodyBudget(self.memory_bytes),
                shutdown=self.shutdown,
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

    async def send(self, headers: dict[str, str] | None = None) -> tuple[int, float]:
        """Sends a request and returns its status and the retry delay in seconds, 0 if none."""
        headers = {"Host": "a.example", "X-Fescueward-Request-Id": "r1", **(headers or {})}
        async with self.session.get("/x/1", headers=headers) as response:
            return response.status, float(response.headers.get("Retry-After", 0))


class CallerFrontendTest(FrontendCase):
    async def test_refusal_says_whether_the_request_ran(self):
        """Guards against callers that repeat what may have run, or do not retry what has not."""
        self.router.refusal = OverloadedError("full", retry_after_s=0.3)
        self.assertEqual(await self.send(), (503, 0.3))
        self.router.refusal = OutcomeLostError("no response")
        self.assertEqual(await self.send(), (502, 0))
        self.router.refusal = QuarantinedError("three crashes", retry_after_s=600.0)
        self.assertEqual(await self.send(), (503, 600))

    async def test_failed_request_leaves_no_body_in_memory(self):
        """Guards against bodies of failed uploads that stay in memory (review case 9)."""
        call = FailedCall(self)

        async def route(request):
            try:
                call.fail(OverloadedError("full"))
            except OverloadedError as error:
                refusal = OutcomeLostError(f"no response; then {error}")
                raise refusal from error

        self.router.route = route
        self.assertEqual(await self.send(), (502, 0))
        self.assertEqual(call.released, [True])

    async def test_stalled_body_ends_at_the_deadline(self):
        """Guards against callers that occupy a connection and its memory without a time limit."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(HEAD + b"Content-Length: 10\r\n\r\nhalf")
        async with asyncio.timeout(2):
            response = await reader.readuntil(b"\r\n")
        writer.close()
        self.assertIn(b" 503 ", response)
        self.assertEqual(self.router.requests, [])

    async def test_request_is_cancelled_when_its_caller_disconnects(self):
        """Guards against routing a request whose caller has left."""
        self.router.response_allowed.clear()
        for version, route in enumerate((replace(ROUTE, repeatable=True), ROUTE), 8):
            configuration = Configuration(3, {"r1": route}, {"orders": ServiceSpec("orders")})
            self.routes.observe(VersionedConfiguration(version, configuration))
            self.router.request_received.clear()
            _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(HEAD + b"Content-Length: 0\r\n\r\n")
            await self.router.request_received.wait()
            writer.close()
            async with asyncio.timeout(0.1):
                await self.router.cancelled.wait()
            self.router.cancelled.clear()

    async def test_stopping_agent_accepts_requests_until_shortly_before_its_end(self):
        """Guards against requests that are aborted at the end of the process."""
        self.kernel.request_stop()
        self.assertEqual((await self.send())[0], 200)
        await asyncio.sleep(0.75)
        status, retry_after_s = await self.send()
        self.assertEqual(status, 503)
        self.assertGreater(retry_after_s, 0)


class EncodedBodyTest(FrontendCase):
    async def test_compressed_body_is_forwarded_as_it_was_sent(self):
        """Guards against an upstream that gets another body than the caller sent (UNASKED)."""
        body = gzip.compress(b"guest\n" * 1000)
        headers = {"Host": "a.example", "X-Fescueward-Request-Id": "r1"}
        for encoding in ("gzip", "deflate", "br", "gzip, gzip"):
            with self.subTest(encoding=encoding):
                encoded = {**headers, "Content-Encoding": encoding}
                async with self.session.post("/x/1", headers=encoded, data=body) as response:
                    self.assertEqual(response.status, 200)
                request = self.router.requests[-1]
                self.assertEqual(request.body.data, body)
                self.assertIn(("Content-Encoding", encoding), request.headers)


class UploadTest(FrontendCase):
    """Uploads that share the memory of the agent, of which one fits."""

    route = replace(ROUTE, timeout_s=20.0)
    memory_bytes = 50_000_000
    BODY = b"x" * 6_000_000

    async def upload(self, chunked: bool = False) -> int:
        async def parts():
            for start in range(0, len(self.BODY), 1_000_000):
                yield self.BODY[start : start + 1_000_000]

        headers = {"Host": "a.example", "X-Fescueward-Request-Id": "r1"}
        data = parts() if chunked else self.BODY
        async with self.session.post("/x/1", headers=headers, data=data) as response:
            self.assertEqual(response.status == 503, "Retry-After" in response.headers)
            return response.status

    async def test_uploads_that_fill_the_memory(self):
        """Guards against an agent that holds whole uploads until it is killed for its memory."""
        self.router.response_allowed.clear()
        first = asyncio.create_task(self.upload())
        await wait_until(lambda: self.router.requests, 5, "the first upload is routed")
        self.assertEqual([await self.upload() for _ in range(3)], [503] * 3)
        self.assertEqual(await self.upload(chunked=True), 503)
        small = asyncio.create_task(self.send())
        await wait_until(lambda: len(self.router.requests) == 2, 5, "a small request is routed")
        self.router.response_allowed.set()
        self.assertEqual((await first, (await small)[0]), (200, 200))
        self.assertEqual(await self.upload(chunked=True), 200)
        self.assertEqual(self.router.requests[-1].body.data, self.BODY)


class PipelinedFrontendTest(FrontendCase):
    async def test_request_that_must_not_run_twice_waits_for_earlier_responses(self):
        """The caller sends it again if an earlier response closes the connection."""
        self.router.response_allowed.clear()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        first = HEAD + b"Content-Length: 0\r\n\r\n"
        writer.write(first + first.replace(b"Id: r1", b"Id: r2"))
        async with asyncio.timeout(5):
            await self.router.request_received.wait()
        self.router.request_received.clear()
        await asyncio.sleep(0)
        self.assertEqual(["r1"], [request.id for request in self.router.requests])
        self.router.response_allowed.set()
        async with asyncio.timeout(5):
            await self.router.request_received.wait()
            for request_id in (b"r1", b"r2"):
                head = await reader.readuntil(b"\r\n\r\n")
                self.assertIn(b"200 OK", head)
                self.assertIn(b"Request-Id: " + request_id, head)
                await reader.readexactly(2)


class StoppingFrontendTest(FrontendCase):
    """Tests of a stop whose grace time is shorter than the time limit of the route."""

    grace_s = 2.0
    route = replace(ROUTE, timeout_s=4.0)

    async def test_request_that_may_outlast_the_process_is_refused(self):
        """Guards against requests that are accepted late and lost when the process is killed."""
        self.kernel.request_stop()
        await asyncio.sleep(1.1)
        status, retry_after_s = await self.send()
        self.assertEqual((status, self.router.requests), (503, []))
        self.assertGreater(retry_after_s, 0)

    async def test_limit_that_is_no_number_does_not_pass_the_check(self):
        """Guards against a request without a limit that is accepted late and cut at the end."""
        self.kernel.request_stop()
        await asyncio.sleep(1.1)
        for text in ("nan", "inf", "1e999", "-inf", "soon"):
            with self.subTest(text):
                self.assertEqual((await self.send({"X-Fescueward-Timeout-Ms": text}))[0], 503)
        self.assertEqual(self.router.requests, [])

    async def test_process_ends_before_its_grace_time_beside_an_open_request(self):
        """Guards against closing steps whose times add up until the process is killed."""
        self.router.response_allowed.clear()
        sending = asyncio.create_task(self.send())
        self.addAsyncCleanup(asyncio.gather, sending, return_exceptions=True)
        await self.router.request_received.wait()
        self.kernel.request_stop()
        await self.shutdown.drain()
        await self.frontend.stop()
        self.assertLess(self.kernel.stopping_s, self.grace_s)

    async def test_request_that_is_open_at_the_end_is_answered(self):
        """Guards against requests that wait for a lost agent and get no response at all.

        The emulator found it (rolling restart without store, seed 3): a request was forwarded to
        an agent that was restarting.
        """
        self.router.response_allowed.clear()
        sending = asyncio.create_task(self.send())
        await self.router.request_received.wait()
        self.kernel.request_stop()
        await self.shutdown.drain()
        await self.frontend.stop()
        self.assertEqual((await sending)[0], 502)

    async def test_request_that_arrives_as_the_port_closes_is_refused(self):
        """Guards against requests on persistent connections that are dropped at the close."""
        await self.send()
        self.kernel.request_stop()
        await self.shutdown.drain()
        self.router.requests.clear()
        stopping = asyncio.create_task(self.frontend.stop())
        self.assertEqual(((await self.send())[0], self.router.requests), (503, []))
        await stopping

    async def test_failing_process_responds_to_open_requests(self):
        """Guards against requests without a response when a failed service ends the process."""
        self.router.response_allowed.clear()
        sending = asyncio.create_task(self.send())
        await self.router.request_received.wait()
        self.kernel.request_stop()
        await self.frontend.stop()
        self.assertEqual((await sending)[0], 502)

    async def test_body_that_ends_after_the_drain_is_not_routed(self):
        """Guards against routing a request when the agent can no longer send the response."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(HEAD + b"Content-Length: 10\r\n\r\nhalf")
        await asyncio.sleep(0.05)
        self.kernel.request_stop()
        await self.shutdown.drain()
        writer.write(b"second")
        async with asyncio.timeout(2):
            response = await reader.readuntil(b"\r\n")
        writer.close()
        self.assertIn(b" 503 ", response)
        self.assertEqual(self.router.requests, [])

    async def test_response_that_is_being_written_is_completed(self):
        """Guards against a response that is cut off while time of the grace is left."""
        size = 32 * 1024 * 1024

        class LargeBody:
            async def chunks(self):
                yield b"x" * size

            async def close(self):
                return

        self.router.body = LargeBody()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(HEAD + b"Content-Length: 0\r\n\r\n")
        await self.router.request_received.wait()
        self.kernel.request_stop()
        stopping = asyncio.create_task(self.stop_services())
        # The caller reads slowly, and still after the phase that accepts all requests.
        await asyncio.sleep(1.05)
        self.assertFalse(stopping.done())
        received = 0
        with suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            while data := await reader.read(1 << 20):
                received += len(data)
        self.assertEqual(received, size)
        self.assertLess(await stopping, self.grace_s)
        writer.close()

    async def stop_services(self) -> float:
        """Drains and stops as the kernel does; returns the time since the stop request."""
        await self.shutdown.drain()
        if isinstance(self.frontend, Drainable):
            await self.frontend.drain()
        await self.frontend.stop()
        return self.kernel.stopping_s

    async def test_request_that_waits_is_refused_before_the_end(self):
        """Guards against a body or an earlier response that is awaited until the close."""
        await self.shutdown.start()
        self.addAsyncCleanup(self.shutdown.stop)
        self.router.response_allowed.clear()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(HEAD + b"Content-Length: 10\r\n\r\nhalf")
        pipelined_reader, pipelined_writer = await asyncio.open_connection("127.0.0.1", self.port)
        second = HEAD.replace(b"Id: r1", b"Id: r2") + b"Content-Length: 0\r\n\r\n"
        pipelined_writer.write(HEAD + b"Content-Length: 0\r\n\r\n" + second)
        await self.router.request_received.wait()
        self.kernel.request_stop()
        async with asyncio.timeout(1.1):
            self.assertIn(b" 503 ", await reader.readuntil(b"\r\n"))
        self.assertLess(self.kernel.stopping_s, 0.9)
        self.router.response_allowed.set()
        async with asyncio.timeout(1):
            self.assertIn(b" 200 ", await pipelined_reader.readuntil(b"\r\n\r\n"))
            await pipelined_reader.readexactly(2)
            self.assertIn(b" 503 ", await pipelined_reader.readuntil(b"\r\n\r\n"))
        self.assertEqual([request.id for request in self.router.requests], ["r1"])
        for each in (writer, pipelined_writer):
            each.close()

    async def test_request_that_is_refused_as_the_agent_closes_has_not_run(self):
        """Guards against an unknown outcome for a request that its router refuses at the close."""
        self.router.response_allowed.clear()
        self.router.refusal = OverloadedError("refused when the wait ended")
        sending = asyncio.create_task(self.send())
        await self.router.request_received.wait()
        self.shutdown.closing.add_done_callback(lambda _: self.router.response_allowed.set())
        self.kernel.request_stop()
        await self.shutdown.drain()
        self.assertEqual((await sending)[0], 503)

    async def test_stalled_response_ends_at_the_deadline(self):
        """Guards against callers that wait indefinitely for the body of a response."""
        stalled = asyncio.Event()

        class StalledBody:
            async def chunks(self):
                yield b"part"
                await asyncio.Event().wait()

            async def close(self):
                stalled.set()

        self.router.body = StalledBody()
        headers = {"X-Fescueward-Timeout-Ms": "300"}
        self.assertEqual((await self.send(headers))[0], 504)
        async with asyncio.timeout(1):
            await stalled.wait()


class ClosingPortTest(unittest.TestCase):
    """Tests under uvloop, the agent's event loop, which accepts one connection per iteration."""

    def test_connections_that_wait_at_the_port_get_a_response(self):
        """Guards against resets of callers when a busy agent closes its port."""
        self.assertEqual(uvloop.run(self._statuses()), [503] * 20)

    async def _statuses(self) -> list[int]:
        case = FrontendCase("send")
        await case.asyncSetUp()
        try:
            case.kernel.request_stop()
            stopping = asyncio.create_task(case.frontend.stop())
            await asyncio.sleep(0)
            with ThreadPoolExecutor(20) as callers:
                responses = [callers.submit(_status, case.port) for _ in range(20)]
                # The callers connect while the event loop is blocked.
                asyncio.get_running_loop().call_soon(time.sleep, 0.3)
                await stopping
                return [await asyncio.wrap_future(future) for future in responses]
        finally:
            await case.session.close()


def _status(port: int) -> int:
    """Sends a request on a new connection and returns its status, or 0 if there is none."""
    try:
        with socket.create_connection(("127.0.0.1", port), 2) as connection:
            connection.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
            return int(connection.recv(1024).split(b" ")[1])
    except (OSError, IndexError):
        return 0
