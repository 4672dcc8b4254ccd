"""Requests to the upstream beside the agent."""

import asyncio
import unittest
from contextlib import suppress
from dataclasses import replace
from types import SimpleNamespace

from fescueward.kernel.errors import (
    AnswerLostError,
    DeadlineExceededRunningError,
    OutcomeLostError,
    UpstreamRefusedError,
    UpstreamUnavailableError,
)
from fescueward.kernel.http_client import MAX_RESPONSE_HEAD_BYTES
from fescueward.messages import Announcement, Response
from fescueward.messages.group import KeyRange
from fescueward.platform.settings import Address
from fescueward.platform.upstream import LocalUpstream
from fescueward.testing.waiting import wait_until
from tests.endless import (
    SOCKET_BYTES,
    Endless,
    EndlessServer,
    endless_bodies,
    endless_heads,
)
from tests.services.fakes import StubRegistry, make_request

from .fakes import ANSWER_BYTES, CLOCK, RawUpstream, RecordedLiveness, site_at

RECEIPT = b"X-Fescueward-Response-Sig: s1\r\n"
ECHO = b"X-Fescueward-Request-Id: r1\r\n"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + RECEIPT + ECHO + b"\r\nok"


class LocalUpstreamTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, address: Address) -> LocalUpstream:
        upstream = LocalUpstream(site_at(address))
        announced = Announcement("depot", address.host, address.port, 6, 110, instance="i1")
        membership = SimpleNamespace(announcement=announced)
        self.liveness = RecordedLiveness()
        upstream.bind(StubRegistry(membership=membership, routes=None, liveness=self.liveness))
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        return upstream

    async def run_against(self, answer: bytes, reset: bool = False) -> Response:
        raw = RawUpstream(answer, reset)
        address = await raw.start()
        self.addAsyncCleanup(raw.stop)
        self.raw = raw
        upstream = await self.start(address)
        request = make_request(2.0, method="GET", key="", caller="orders")
        return await upstream.run(request, 0, 0, CLOCK.now() + 2.0)

    async def test_whole_answer_is_passed_on(self):
        """Guards against an answer that is changed, and a request without its identity."""
        response = await self.run_against(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + RECEIPT + ECHO + b"\r\nok"
        )
        self.assertEqual((response.status, response.body.data), (200, b"ok"))
        sent = self.raw.requests[0].decode()
        for line in ("X-Fescueward-Target-Instance: i1", "X-Fescueward-Caller: orders"):
            self.assertIn(line, sent)

    async def test_reset_during_an_answer_without_length(self):
        """Guards against a short body that looks whole.

        Found by trouble-2 of kagaz-mesh: MIXED, the answer was framed as complete.
        """
        start = b"HTTP/1.1 200 OK\r\n" + RECEIPT + ECHO + b"\r\nhalf"
        with self.assertRaises(AnswerLostError):
            await self.run_against(start, reset=True)

    async def test_orderly_end_of_an_answer_without_length(self):
        """Guards against whole answers that are thrown away because they name no length."""
        response = await self.run_against(b"HTTP/1.1 200 OK\r\n" + RECEIPT + ECHO + b"\r\nwhole")
        self.assertEqual(response.body.data, b"whole")

    async def test_answers_that_are_not_this_requests(self):
        """Guards against the answer to another request, a proxy's page and a broken one."""
        ok = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
        cases = (
            (OutcomeLostError, ok + RECEIPT + b"X-Fescueward-Request-Id: r2\r\n\r\nok"),
            (AnswerLostError, ok + ECHO + b"\r\nok"),
            (AnswerLostError, ok + RECEIPT + ECHO + b"Content-Encoding: gzip\r\n\r\nok"),
            (AnswerLostError, ok.replace(b": 2", b": 9") + RECEIPT + ECHO + b"\r\nok"),
            (AnswerLostError, b"no answer at all\r\n\r\n"),
            (OutcomeLostError, b""),
        )
        for kind, answer in cases:
            with self.subTest(answer=answer), self.assertRaises(kind):
                await self.run_against(answer)

    async def test_refusal_of_the_upstream_has_not_run(self):
        """Guards against a failure that is reported although another upstream could run it."""
        with self.assertRaises(UpstreamRefusedError) as refused:
            await self.run_against(
                b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n"
                b"X-Fescueward-Not-Executed: 1\r\n" + ECHO + b"\r\n"
            )
        self.assertEqual(refused.exception.outcome, "not_run")

    async def test_refused_connection_has_not_run(self):
        """Guards against an unknown outcome where no byte was sent."""
        raw = RawUpstream(b"")
        address = await raw.start()
        await raw.stop()
        upstream = await self.start(address)
        with self.assertRaises(UpstreamUnavailableError):
            await upstream.run(make_request(2.0, key=""), 0, 0, CLOCK.now() + 2.0)
        self.assertEqual(self.liveness.signs, ["unreachable"])
        with self.assertRaises(UpstreamUnavailableError):
            await upstream.release_range(KeyRange(0, 9, "a:1", 1))

    async def test_broken_idle_connection_is_not_used_twice(self):
        """Guards against a second send that neither attempts nor the retry budget count.

        aiohttp sends a GET again by itself when a reused connection ends without an answer.
        """
        sends = []

        async def serve(reader, writer):
            with suppress(asyncio.IncompleteReadError):
                sends.append(await reader.readuntil(b"\r\n\r\n"))
                if len(sends) == 1:
                    writer.write(WHOLE)
                    sends.append(await reader.readuntil(b"\r\n\r\n"))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        upstream = await self.start(Address(*server.sockets[0].getsockname()))
        request = make_request(2.0, method="GET", key="")
        await upstream.run(request, 0, 0, CLOCK.now() + 2.0)
        with self.assertRaises(OutcomeLostError):
            await upstream.run(request, 0, 0, CLOCK.now() + 2.0)
        self.assertEqual(len(sends), 2)

    async def start_endless(self, answer: Endless, pause_s: float = 0.0) -> LocalUpstream:
        self.server = EndlessServer(answer, pause_s)
        address = Address(*await self.server.start())
        self.addAsyncCleanup(self.server.stop)
        return await self.start(address)

    async def check_bound(self, limit: int) -> None:
        await wait_until(self.server.idle, 2, "the connection is closed")
        self.assertLess(self.server.accepted, limit + SOCKET_BYTES)

    async def test_answers_without_end(self):
        """Guards against an answer without end that fills the memory until the deadline."""
        for method in ("GET", "POST"):
            for answer in (*endless_heads(), *endless_bodies(RECEIPT + ECHO)):
                request = make_request(8.0, method=method, key="")
                with self.subTest(method=method, answer=answer.name):
                    upstream = await self.start_endless(answer)
                    with self.assertRaises(AnswerLostError) as refused:
                        await upstream.run(request, 0, 0, CLOCK.now() + 8.0)
                    self.assertEqual(refused.exception.http_status, 502)
                    await self.check_bound(ANSWER_BYTES)

    async def test_bytes_without_end_after_an_answer(self):
        """Guards against bytes of no request that fill the memory of an idle connection."""
        whole = Endless("rest", WHOLE, b"x" * 16_384)
        pieces = (whole.piece, WHOLE * 200, b"HTTP/1.1 100 Continue\r\n\r\n" * 500)
        for answer in (replace(whole, piece=piece) for piece in pieces):
            with self.subTest(piece=answer.piece[:20]):
                upstream = await self.start_endless(answer, 0.05)
                for _ in range(2):
                    request = make_request(8.0, method="GET", key="", repeatable=True)
                    response = await upstream.run(request, 0, 0, CLOCK.now() + 8.0)
                    self.assertEqual(response.body.data, b"ok")
                    await self.check_bound(2 * MAX_RESPONSE_HEAD_BYTES)
                self.assertEqual(len(self.server.requests), 2)

    async def test_orders_answered_without_end(self):
        """Guards against a grant whose answer fills the memory."""
        for answer in (*endless_heads(), *endless_bodies()):
            with self.subTest(answer=answer.name):
                upstream = await self.start_endless(answer)
                with self.assertRaises(OutcomeLostError) as refused:
                    await upstream.release_range(KeyRange(0, 9, "a:1", 1))
                self.assertNotIn("Timeout", str(refused.exception))
                await self.check_bound(ANSWER_BYTES)

    async def test_long_answer_within_its_limit(self):
        """Guards against a limit that cuts whole answers."""
        body = b"y" * (ANSWER_BYTES - 1000)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
        response = await self.run_against(head + RECEIPT + ECHO + b"\r\n" + body)
        self.assertEqual(response.body.data, body)

    async def test_answer_that_trickles_without_end(self):
        """Guards against an answer that holds its slot beyond the deadline."""
        upstream = await self.start_endless(
            Endless("slow", b"HTTP/1.1 200 OK\r\n" + RECEIPT + ECHO + b"\r\n", b""), 30.0
        )
        with self.assertRaises(DeadlineExceededRunningError):
            await upstream.run(make_request(0.2, key=""), 0, 0, CLOCK.now() + 0.2)

    async def test_new_start_of_the_upstream_is_a_crash(self):
        """Guards against a request that crashes upstreams and is never counted."""
        crashes = []
        upstream = await self.start(Address("127.0.0.1", 1))
        upstream.subscribe(SimpleNamespace(upstream_crashed=lambda: crashes.append(1)))
        upstream.started("i1@1000")
        upstream.started("i1@1000")
        self.assertEqual((upstream.crashes, crashes), (0, []))
        upstream.started("i1@2000")
        self.assertEqual((upstream.crashes, crashes), (1, [1]))

    async def test_refused_connection_is_a_crash_once(self):
        """Guards against a crash that is known only when the upstream is back."""
        raw = RawUpstream(WHOLE)
        address = await raw.start()
        upstream = await self.start(address)
        upstream.started("i1@1000")
        request = make_request(2.0, method="GET", key="")
        await upstream.run(request, 0, 0, CLOCK.now() + 2.0)
        await raw.stop()
        for _ in range(2):
            with self.assertRaises(UpstreamUnavailableError):
                await upstream.run(request, 0, 0, CLOCK.now() + 2.0)
        upstream.started("i1@2000")
        self.assertEqual(upstream.crashes, 1)
