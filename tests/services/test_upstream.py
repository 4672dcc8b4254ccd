"""Tests of runs, refusals, crashes and health against an HTTP server."""

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
    SOCKET_BYTES,
    Endless,
    EndlessServer,
    endless_bodies,
    endless_heads,
)

from .fakes import CLOCK, StreamedBody, StubRegistry, make_announcement, make_request

# Limit on a response in these tests, in bytes.
ANSWER_BYTES = 2_000_000


class UpstreamTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.seen: list[web.Request] = []
        self.cancelled: list[str] = []
        self.handler = None
        self.health = web.json_response
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.handle)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        self.site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await self.site.start()
        port = self.site._server.sockets[0].getsockname()[1]
        self.left: list[str] = []
        self.slow_starts = 0
        self.membership = SimpleNamespace(
            announcement=make_announcement(port=port), member_id="a:1", leave=self.leave
        )
        self.upstream = HttpUpstream(Kernel())
        self.upstream.bind(
            StubRegistry(
                membership=self.membership,
                admission=SimpleNamespace(begin_slow_start=self.begin_slow_start),
                settings=SimpleNamespace(upstream=UpstreamSection(max_answer_bytes=ANSWER_BYTES)),
            )
        )
        await self.upstream.start()

    async def asyncTearDown(self) -> None:
        await self.upstream.stop()
        await self.runner.cleanup()

    async def leave(self, reason):
        self.left.append(reason)

    def begin_slow_start(self):
        self.slow_starts += 1

    async def handle(self, http):
        if http.path.startswith("/cancel/"):
            self.cancelled.append(http.path)
            return web.Response()
        if http.path == "/health":
            return await self.answer_health()
        self.seen.append(http)
        return await self.handler(http)

    async def answer_health(self):
        return web.json_response({"state": "ready"})

    def answers(self, response):
        async def handler(http):
            return response

        self.handler = handler

    async def run_request(self, within_s=5.0, **values):
        request = make_request(**values)
        return await self.upstream.run(request, 3, 7, CLOCK.now() + within_s)

    async def test_request_and_response_pass_unchanged(self):
        """Guards against a rewritten path, a lost header and a cookie kept for other callers."""
        response = web.Response(status=201, body=b"ok", headers={"X-One": "1"})
        response.set_cookie("session", "secret")
        self.answers(response)
        answer = await self.run_request(path="/a%2Fb%61?x=%20y", token="3.7.0.x", body=b"in")
        self.assertEqual((answer.status, answer.body.data), (201, b"ok"))
        self.assertIn(("X-One", "1"), answer.headers)
        # The peer stream encodes no subclass of str, such as the names that aiohttp gives.
        self.assertEqual({type(name) for name, _ in answer.headers}, {str})
        first = self.seen[0]
        self.assertEqual(first.raw_path, "/a%2Fb%61?x=%20y")
        self.assertEqual(first.headers["Fescueward-Shard"], "3")
        self.assertEqual(first.headers["Fescueward-Token"], "3.7.0.x")
        self.answers(web.Response())
        await self.run_request(method="GET")
        self.assertNotIn("Cookie", self.seen[1].headers)

    async def test_refusals_before_the_run_are_not_run(self):
        """Guards against a refusal of the upstream that reaches the caller as its response."""
        for reason, kind in (
            ("grant", LeaseExpiredError),
            ("leaving", DrainingError),
            ("other", UpstreamRefusedError),
            ("deadline", DeadlineExceededError),
            ("shed", OverloadedError),
            ("malformed", InvalidRequestError),
        ):
            self.answers(web.Response(status=503, headers={"Fescueward-Refusal": reason}))
            with self.subTest(reason=reason), self.assertRaises(kind) as refused:
                await self.run_request()
            self.assertEqual(refused.exception.outcome, "not_run")

    async def test_aborted_runs_have_an_unknown_outcome(self):
        """Guards against `not_run`, or a plain response, for a run that was ended early."""
        for reason, kind in (
            ("revoked", OutcomeLostError),
            ("deadline", DeadlineExceededRunningError),
        ):
            self.answers(web.Response(status=503, headers={"Fescueward-Aborted": reason}))
            with self.subTest(reason=reason), self.assertRaises(kind) as refused:
                await self.run_request()
            self.assertEqual(refused.exception.outcome, "outcome_unknown")

    async def test_deadline_and_cancellation_cancel_the_run(self):
        """Guards against runs that go on at the upstream after their caller has left."""

        async def handler(http):
            await asyncio.sleep(5)

        self.handler = handler
        with self.assertRaises(DeadlineExceededRunningError):
            await self.run_request(0.1, id="r/1")
        task = asyncio.create_task(self.run_request(id="r2"))
        await wait_until(lambda: len(self.seen) == 2, 5, "the run has begun")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await wait_until(lambda: len(self.cancelled) == 2, 5, "both are cancelled")
        with self.assertRaises(DeadlineExceededError):
            await self.run_request(0.0)
        self.assertEqual(len(self.seen), 2)

    async def test_head_and_empty_responses(self):
        """Guards against a read of a body that such a response does not have."""
        self.answers(web.Response(body=b"12345"))
        answer = await self.run_request(method="HEAD")
        self.assertIn(("Content-Length", "5"), answer.headers)
        self.assertEqual(answer.body.data, b"")
        for status in (204, 304):
            self.answers(web.Response(status=status))
            self.assertEqual((await self.run_request(method="GET")).status, status)

    async def test_connection_that_ends_is_no_crash_while_others_are_accepted(self):
        """Guards against a quarantine, and a leave, because of one broken connection."""

        async def handler(http):
            http.transport.abort()

        self.handler = handler
        with self.assertRaises(OutcomeLostError):
            await self.run_request(method="GET")
        self.assertEqual(len(self.seen), 1)  # aiohttp did not send it again
        self.assertEqual(self.upstream.crashes, 0)

    async def test_truncated_response(self):
        """Guards against part of a response that is taken for the whole."""

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

    async def test_broken_upload_has_an_unknown_outcome(self):
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
        answer = await self.run_request(body=StreamedBody(b"ab", b"cd", length=4))
        self.assertEqual(answer.status, 200)

    async def test_crash_is_recognised_and_the_agent_leaves(self):
        """Guards against an upstream that is gone and keeps its keys, and against two leaves."""

        async def handler(http):
            await self.site.stop()
            for connection in self.runner.server.connections:
                connection.transport.abort()

        self.handler = handler
        with self.assertRaises(OutcomeLostError):
            await self.run_request()
        self.assertEqual((self.upstream.crashes, self.slow_starts), (1, 1))
        await wait_until(lambda: self.left, 5, "the agent leaves")
        with self.assertRaises(UpstreamUnavailableError) as refused:
            await self.run_request()
        self.assertEqual(refused.exception.outcome, "not_run")
        await asyncio.sleep(0.3)
        self.assertEqual(len(self.left), 1)

    async def test_health_that_lies_or_is_silent_changes_nothing(self):
        """Guards against a service that is emptied because of its health pages."""

        async def broken():
            return web.Response(status=500, text="no JSON")

        self.answer_health = broken
        self.answers(web.Response())
        for _ in range(6):
            self.upstream._watch.check_now()
            await asyncio.sleep(0.02)
        self.assertEqual((await self.run_request()).status, 200)
        self.assertEqual(self.left, [])

    async def test_header_that_is_no_text(self):
        """Guards against a response header that breaks the peer stream."""

        async def handler(http):
            http.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Bad: \xff\xfe\r\n\r\nok"
            )
            await asyncio.sleep(1)

        self.handler = handler
        with self.assertRaises(AnswerLostError):
            await self.run_request()


class EndlessAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, answer: Endless, pause_s: float = 0.0) -> HttpUpstream:
        self.server = EndlessServer(answer, pause_s)
        _, port = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        upstream = HttpUpstream(Kernel())
        upstream.bind(
            StubRegistry(
                membership=SimpleNamespace(
                    announcement=make_announcement(port=port), member_id="a:1"
                ),
                admission=None,
                settings=SimpleNamespace(upstream=UpstreamSection(max_answer_bytes=ANSWER_BYTES)),
            )
        )
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        return upstream

    async def check_bound(self) -> None:
        await wait_until(self.server.idle, 2, "the connection is closed")
        self.assertLess(self.server.accepted, ANSWER_BYTES + SOCKET_BYTES)

    async def test_heads_without_end(self):
        """Guards against a head without end that fills the memory until the deadline."""
        for method in ("GET", "POST"):
            for answer in endless_heads():
                with self.subTest(method=method, answer=answer.name):
                    upstream = await self.start(answer)
                    with self.assertRaises(OutcomeLostError) as refused:
                        request = make_request(method=method)
                        await upstream.run(request, 3, 7, CLOCK.now() + 8.0)
                    self.assertEqual(refused.exception.http_status, 502)
                    await self.check_bound()

    async def test_bodies_without_end(self):
        """Guards against a body without end that keeps its slot and its reader for ever."""
        for answer in endless_bodies():
            with self.subTest(answer=answer.name):
                upstream = await self.start(answer)
                received = 0
                # The head of a response that is malformed soon after it gets no further.
                with self.assertRaises((BodyTruncatedError, OutcomeLostError)) as refused:
                    response = await upstream.run(make_request(), 3, 7, CLOCK.now() + 8.0)
                    async for chunk in response.body.chunks():
                        received += len(chunk)
                self.assertNotIn("deadline", str(refused.exception))
                self.assertLessEqual(received, ANSWER_BYTES)
                await self.check_bound()

    async def test_deadline_ends_a_body(self):
        """Guards against a silent response that holds its slot beyond the deadline."""
        upstream = await self.start(Endless("slow", b"HTTP/1.1 200 OK\r\n\r\npart", b""), 30.0)
        response = await upstream.run(make_request(), 3, 7, CLOCK.now() + 0.3)
        with self.assertRaisesRegex(BodyTruncatedError, "deadline"):
            async for _ in response.body.chunks():
                pass

    async def test_bytes_without_end_after_an_answer(self):
        """Guards against bytes of no request that fill the memory of an idle connection."""
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        upstream = await self.start(Endless("rest", whole, whole * 200), 0.05)
        for _ in range(2):
            response = await upstream.run(make_request(method="GET"), 3, 7, CLOCK.now() + 8.0)
            self.assertEqual(response.body.data, b"ok")
            await self.check_bound()
        self.assertEqual(len(self.server.requests), 2)

    async def test_grants_answered_without_end(self):
        """Guards against an answer to a grant that fills the memory."""
        for answer in (*endless_heads(), *endless_bodies()):
            with self.subTest(answer=answer.name):
                upstream = await self.start(answer)
                announced = replace(upstream._membership.announcement, checks_grants=True)
                upstream._membership.announcement = announced
                await upstream.grant(GrantSet("a:1", 1, 1, {}))
                await self.check_bound()
