"""Tests of runs, refusals, crashes and health checks against an HTTP server."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from types import SimpleNamespace

from aiohttp import web

from fescueward.kernel import Kernel
from fescueward.kernel.errors import (
    AnswerLostError,
    BodyTooLargeError,
    BodyTruncatedError,
    DeadlineExceededError,
    DeadlineExceededRunningError,
    DrainingError,
    InvalidRequestError,
    LeaseExpiredError,
    OutcomeLostError,
    OverloadedError,
    UpstreamRefusedError,
    UpstreamUnavailableError,
)
from fescueward.kernel.settings import UpstreamSection
from fescueward.messages import GrantSet
from fescueward.services.upstream import HttpUpstream
from fescueward.testing.waiting import wait_until
from tests.endless import (
    SOCKET_BUFFER_BYTES,
    EndlessResponse,
    EndlessServer,
    endless_bodies,
    endless_heads,
)
from tests.platform.fakes import RawUpstream

from .fakes import CLOCK, StreamedBody, StubRegistry, make_announcement, make_request

# Limit on the size of a response in these tests.
MAX_RESPONSE_BYTES = 2_000_000


class UpstreamTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.received_requests: list[web.Request] = []
        self.cancel_paths: list[str] = []
        self.handler = None
        self.health = web.json_response
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.handle)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        self.site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await self.site.start()
        port = self.site._server.sockets[0].getsockname()[1]
        self.leave_reasons: list[str] = []
        self.slow_starts = 0
        self.membership = SimpleNamespace(
            announcement=make_announcement(port=port), member_id="a:1", leave=self.leave
        )
        self.kernel = Kernel()
        self.upstream = HttpUpstream(self.kernel)
        self.upstream.bind(
            StubRegistry(
                membership=self.membership,
                admission=SimpleNamespace(begin_slow_start=self.begin_slow_start),
                settings=SimpleNamespace(
                    upstream=UpstreamSection(max_answer_bytes=MAX_RESPONSE_BYTES)
                ),
            )
        )
        await self.upstream.start()

    async def asyncTearDown(self) -> None:
        await self.upstream.stop()
        await self.runner.cleanup()

    async def leave(self, reason):
        self.leave_reasons.append(reason)

    def begin_slow_start(self):
        self.slow_starts += 1

    async def handle(self, http):
        if http.path.startswith("/cancel/"):
            self.cancel_paths.append(http.path)
            return web.Response()
        if http.path == "/health":
            return await self.respond_to_health()
        self.received_requests.append(http)
        return await self.handler(http)

    async def respond_to_health(self):
        return web.json_response({"state": "ready"})

    def respond_with(self, response):
        async def handler(http):
            return response

        self.handler = handler

    async def run_request(self, timeout_s=5.0, **values):
        request = make_request(**values)
        return await self.upstream.run(request, 3, 7, CLOCK.now() + timeout_s)

    async def test_request_and_response_pass_unchanged(self):
        """Guards against a rewritten path, a lost header and cookies shared between callers."""
        response = web.Response(status=201, body=b"ok", headers={"X-One": "1"})
        response.set_cookie("session", "secret")
        self.respond_with(response)
        received = await self.run_request(path="/a%2Fb%61?x=%20y", token="3.7.0.x", body=b"in")
        self.assertEqual((received.status, received.body.data), (201, b"ok"))
        self.assertIn(("X-One", "1"), received.headers)
        # The peer stream cannot encode subclasses of str, such as the header names of aiohttp.
        self.assertEqual({type(name) for name, _ in received.headers}, {str})
        first = self.received_requests[0]
        self.assertEqual(first.raw_path, "/a%2Fb%61?x=%20y")
        self.assertEqual(first.headers["Fescueward-Shard"], "3")
        self.assertEqual(first.headers["Fescueward-Token"], "3.7.0.x")
        self.respond_with(web.Response())
        await self.run_request(method="GET")
        self.assertNotIn("Cookie", self.received_requests[1].headers)

    async def test_refusals_before_the_run_have_outcome_not_run(self):
        """Guards against passing a refusal of the upstream to the caller as a response."""
        for reason, error_type in (
            ("grant", LeaseExpiredError),
            ("leaving", DrainingError),
            ("other", UpstreamRefusedError),
            ("deadline", DeadlineExceededError),
            ("shed", OverloadedError),
            ("malformed", InvalidRequestError),
        ):
            self.respond_with(web.Response(status=503, headers={"Fescueward-Refusal": reason}))
            with self.subTest(reason=reason), self.assertRaises(error_type) as caught:
                await self.run_request()
            self.assertEqual(caught.exception.outcome, "not_run")

    async def test_aborted_runs_have_an_unknown_outcome(self):
        """Guards against `not_run`, or an ordinary response, for a run that was aborted."""
        for reason, error_type in (
            ("revoked", OutcomeLostError),
            ("deadline", DeadlineExceededRunningError),
        ):
            self.respond_with(web.Response(status=503, headers={"Fescueward-Aborted": reason}))
            with self.subTest(reason=reason), self.assertRaises(error_type) as caught:
                await self.run_request()
            self.assertEqual(caught.exception.outcome, "outcome_unknown")

    async def test_deadline_and_cancellation_cancel_the_run(self):
        """Guards against runs that continue on the upstream after their caller disconnected."""

        async def handler(http):
            await asyncio.sleep(5)

        self.handler = handler
        with self.assertRaises(DeadlineExceededRunningError):
            await self.run_request(0.1, id="r/1")
        task = asyncio.create_task(self.run_request(id="r2"))
        await wait_until(lambda: len(self.received_requests) == 2, 5, "the run has begun")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await wait_until(lambda: len(self.cancel_paths) == 2, 5, "both are cancelled")
        with self.assertRaises(DeadlineExceededError):
            await self.run_request(0.0)
        self.assertEqual(len(self.received_requests), 2)

    async def test_head_and_empty_responses(self):
        """Guards against reading a body from a response that has none."""
        self.respond_with(web.Response(body=b"12345"))
        response = await self.run_request(method="HEAD")
        self.assertIn(("Content-Length", "5"), response.headers)
        self.assertEqual(response.body.data, b"")
        for status in (204, 304):
            self.respond_with(web.Response(status=status))
            self.assertEqual((await self.run_request(method="GET")).status, status)

    async def test_connection_that_ends_is_no_crash_while_others_are_accepted(self):
        """Guards against a quarantine, or leaving the group, because of one reset connection."""

        async def handler(http):
            http.transport.abort()

        self.handler = handler
        with self.assertRaises(OutcomeLostError):
            await self.run_request(method="GET")
        self.assertEqual(len(self.received_requests), 1)  # aiohttp did not retry it
        self.assertEqual(self.upstream.crashes, 0)

    async def test_truncated_response(self):
        """Guards against treating a truncated response as complete."""

        async def handler(http):
            stream = web.StreamResponse()
            stream.content_length = self.size
            await stream.prepare(http)
            await stream.write(b"x" * 10)
            http.transport.abort()
            return stream

        self.handler = handler
        self.size = 100
        with self.assertRaises(AnswerLostError):
            await self.run_request()
        self.size = 1_000_000
        response = await self.run_request()
        with self.assertRaises(BodyTruncatedError):
            async for _ in response.body.chunks():
                pass

    async def test_reset_during_a_response_without_length(self):
        """Guards against a part of a body that looks whole because it has no length."""
        raw = RawUpstream(b"HTTP/1.1 200 OK\r\n\r\nhalf", reset=True)
        address = await raw.start()
        self.addAsyncCleanup(raw.stop)
        self.membership.announcement = make_announcement(port=address.port)
        response = await self.run_request(method="GET", timeout_s=2.0)
        with self.assertRaises(BodyTruncatedError):
            async for _ in response.body.chunks():
                pass

    async def test_failed_upload_has_an_unknown_outcome(self):
        """Guards against `not_run` after a part of the body has reached the upstream."""

        async def handler(http):
            await http.read()
            return web.Response()

        self.handler = handler
        for error in (BodyTruncatedError("gone"), BodyTooLargeError("long")):
            body = StreamedBody(b"x" * 1000, error=error)
            with self.assertRaises(OutcomeLostError):
                await self.run_request(body=body)
        self.assertEqual(self.upstream.crashes, 0)
        response = await self.run_request(body=StreamedBody(b"ab", b"cd", length=4))
        self.assertEqual(response.status, 200)

    async def test_crash_is_recognised_and_the_agent_leaves(self):
        """Guards against a crashed upstream that keeps its keys, and against leaving twice."""

        async def handler(http):
            await self.site.stop()
            for connection in self.runner.server.connections:
                connection.transport.abort()

        self.handler = handler
        with self.assertRaises(OutcomeLostError):
            await self.run_request()
        self.assertEqual((self.upstream.crashes, self.slow_starts), (1, 1))
        await wait_until(lambda: self.leave_reasons, 5, "the agent leaves")
        with self.assertRaises(UpstreamUnavailableError) as caught:
            await self.run_request()
        self.assertEqual(caught.exception.outcome, "not_run")
        await asyncio.sleep(0.3)
        self.assertEqual(len(self.leave_reasons), 1)

    async def test_malformed_health_page_has_no_effect(self):
        """Guards against removing all members of a service because of their health pages."""

        async def malformed_health():
            return web.Response(status=500, text="no JSON")

        self.respond_to_health = malformed_health
        self.respond_with(web.Response())
        for _ in range(6):
            self.upstream._watch.check_now()
            await asyncio.sleep(0.02)
        self.assertEqual((await self.run_request()).status, 200)
        self.assertEqual(self.leave_reasons, [])

    async def test_odd_health_pages_do_not_end_the_agent(self):
        """Guards against a health page whose reading raises an exception that no task expects."""
        pages = [b'{"x":' + b"[" * 50_000, b'{"state":"\xff"}', b"\x00", b"{"]
        answered = []

        async def odd_health():
            answered.append(pages[len(answered) % len(pages)])
            return web.Response(body=answered[-1])

        self.respond_to_health = odd_health
        for count in range(1, len(pages) + 1):
            self.upstream._watch.check_now()
            await wait_until(lambda count=count: len(answered) >= count, 2, "the page is read")
        await asyncio.sleep(0.1)
        self.respond_with(web.Response())
        self.assertEqual((await self.run_request()).status, 200)
        self.assertFalse(self.kernel.stopping)

    async def test_header_that_is_not_utf8(self):
        """Guards against a response header that breaks the peer stream."""

        async def handler(http):
            http.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Bad: \xff\xfe\r\n\r\nok"
            )
            await asyncio.sleep(1)

        self.handler = handler
        with self.assertRaises(AnswerLostError):
            await self.run_request()


class EndlessResponsesTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, endless: EndlessResponse, pause_s: float = 0.0) -> HttpUpstream:
        self.server = EndlessServer(endless, pause_s)
        _, port = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        upstream = HttpUpstream(Kernel())
        upstream.bind(
            StubRegistry(
                membership=SimpleNamespace(
                    announcement=make_announcement(port=port), member_id="a:1"
                ),
                admission=None,
                settings=SimpleNamespace(
                    upstream=UpstreamSection(max_answer_bytes=MAX_RESPONSE_BYTES)
                ),
            )
        )
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        return upstream

    async def check_accepted_bytes(self) -> None:
        await wait_until(self.server.idle, 2, "the connection is closed")
        self.assertLess(self.server.transmitted_bytes, MAX_RESPONSE_BYTES + SOCKET_BUFFER_BYTES)

    async def test_endless_heads(self):
        """Guards against an endless response head that fills the memory until the deadline."""
        for method in ("GET", "POST"):
            for endless in endless_heads():
                with self.subTest(method=method, answer=endless.name):
                    upstream = await self.start(endless)
                    with self.assertRaises(OutcomeLostError) as caught:
                        request = make_request(method=method)
                        await upstream.run(request, 3, 7, CLOCK.now() + 8.0)
                    self.assertEqual(caught.exception.http_status, 502)
                    await self.check_accepted_bytes()

    async def test_endless_bodies(self):
        """Guards against an endless response body that occupies its slot forever."""
        for endless in endless_bodies():
            with self.subTest(answer=endless.name):
                upstream = await self.start(endless)
                received = 0
                # If the body is malformed right after the head, the response itself fails.
                with self.assertRaises((BodyTruncatedError, OutcomeLostError)) as caught:
                    response = await upstream.run(make_request(), 3, 7, CLOCK.now() + 8.0)
                    async for chunk in response.body.chunks():
                        received += len(chunk)
                self.assertNotIn("deadline", str(caught.exception))
                self.assertLessEqual(received, MAX_RESPONSE_BYTES)
                await self.check_accepted_bytes()

    async def test_deadline_ends_a_body(self):
        """Guards against a stalled response that holds its slot beyond the deadline."""
        upstream = await self.start(
            EndlessResponse("slow", b"HTTP/1.1 200 OK\r\n\r\npart", b""), 30.0
        )
        response = await upstream.run(make_request(), 3, 7, CLOCK.now() + 0.3)
        with self.assertRaisesRegex(BodyTruncatedError, "deadline"):
            async for _ in response.body.chunks():
                pass

    async def test_endless_bytes_after_a_response(self):
        """Guards against unsolicited bytes on an idle connection that fill the memory."""
        complete_response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        upstream = await self.start(
            EndlessResponse("rest", complete_response, complete_response * 200), 0.05
        )
        for _ in range(2):
            response = await upstream.run(make_request(method="GET"), 3, 7, CLOCK.now() + 8.0)
            self.assertEqual(response.body.data, b"ok")
            await self.check_accepted_bytes()
        self.assertEqual(len(self.server.requests), 2)

    async def test_endless_responses_to_grants(self):
        """Guards against an endless response to a grant that fills the memory."""
        for endless in (*endless_heads(), *endless_bodies()):
            with self.subTest(answer=endless.name):
                upstream = await self.start(endless)
                announcement = replace(upstream._membership.announcement, checks_grants=True)
                upstream._membership.announcement = announcement
                await upstream.grant(GrantSet("a:1", 1, 1, {}))
                await self.check_accepted_bytes()
