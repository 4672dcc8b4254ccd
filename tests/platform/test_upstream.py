"""Tests of the client of the upstream on the agent's machine."""

import asyncio
import json
import random
import unittest
from contextlib import suppress
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

from fescueward.kernel.errors import (
    AnswerLostError,
    DeadlineExceededError,
    DeadlineExceededRunningError,
    OutcomeLostError,
    UpstreamRefusedError,
    UpstreamUnavailableError,
)
from fescueward.kernel.http_client import MAX_RESPONSE_HEAD_BYTES
from fescueward.messages import Announcement, Request, Response
from fescueward.messages.group import KeyRange
from fescueward.messages.upstream import UpstreamNotice
from fescueward.platform import upstream as upstream_module
from fescueward.platform.settings import Address
from fescueward.platform.upstream import LocalUpstream
from fescueward.testing.waiting import wait_until
from tests.endless import (
    SOCKET_BUFFER_BYTES,
    EndlessResponse,
    EndlessServer,
    endless_bodies,
    endless_heads,
)
from tests.services.fakes import StubRegistry, make_request

from .fakes import CLOCK, MAX_ANSWER_BYTES, RawUpstream, RecordedLiveness, site_at

RECEIPT = b"X-Fescueward-Response-Sig: s1\r\n"
ECHO = b"X-Fescueward-Request-Id: r1\r\n"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + RECEIPT + ECHO + b"\r\nok"


class RecordedNotices:
    """Keeps the last notice of an upstream."""

    last: UpstreamNotice | None = None

    def upstream_noticed(self, notice: UpstreamNotice) -> None:
        self.last = notice


class LocalUpstreamTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        # A busy machine can hold up the connection to a server of the same process.
        patcher = mock.patch.object(upstream_module, "_CONNECT_TIMEOUT_S", 10.0)
        patcher.start()
        self.addCleanup(patcher.stop)

    async def start_client(self, address: Address) -> LocalUpstream:
        upstream = LocalUpstream(site_at(address))
        announcement = Announcement("depot", address.host, address.port, 6, 110, instance="i1")
        membership = SimpleNamespace(announcement=announcement)
        self.liveness = RecordedLiveness()
        upstream.bind(StubRegistry(membership=membership, routes=None, liveness=self.liveness))
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        return upstream

    async def run_against(
        self, response_bytes: bytes, reset: bool = False, repeatable: bool = False
    ) -> Response:
        raw = RawUpstream(response_bytes, reset)
        address = await raw.start()
        self.addAsyncCleanup(raw.stop)
        self.raw = raw
        upstream = await self.start_client(address)
        request = make_request(2.0, method="GET", key="", caller="orders", repeatable=repeatable)
        return await upstream.run(request, 0, 0, CLOCK.now() + 2.0)

    async def run_first_request(self, serve) -> tuple[LocalUpstream, Request]:
        """Runs a repeatable request on a server; the next one reuses its connection."""
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        upstream = await self.start_client(Address(*server.sockets[0].getsockname()))
        request = make_request(2.0, method="GET", key="", repeatable=True)
        await upstream.run(request, 0, 0, CLOCK.now() + 2.0)
        return upstream, request

    async def test_complete_response_is_returned(self):
        """Guards against an altered response, and a request without its identity headers."""
        response = await self.run_against(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + RECEIPT + ECHO + b"\r\nok"
        )
        self.assertEqual((response.status, response.body.data), (200, b"ok"))
        sent = self.raw.requests[0].decode()
        for line in ("X-Fescueward-Target-Instance: i1", "X-Fescueward-Caller: orders"):
            self.assertIn(line, sent)

    async def test_limit_is_read_in_every_form(self):
        """Guards against a limit that is ignored because of its form, and one that is no rate."""
        notices = RecordedNotices()
        raw = RawUpstream(WHOLE)
        self.addAsyncCleanup(raw.stop)
        upstream = await self.start_client(await raw.start())
        upstream.subscribe_notices(notices)
        refused = WHOLE.replace(b"200 OK", b"503 Full").replace(
            RECEIPT, b"X-Fescueward-Not-Executed: 1\r\n"
        )
        for headers, per_second in (
            (b"Server-Limit: 12.5\r\n", 12.5),
            (b"server-limit: 7,5\r\n", 7.5),
            (b"Server-Limit: nan\r\n", 7.5),
            (b"Server-Limit: -1\r\n", 7.5),
            (b"Server-Limit: many\r\n", 7.5),
            (b"Server-Limit: 9\r\nServer-Limit: 6\r\n", 6.0),
            (b"Server-Limit: 0\r\n", 0.0),
            (b"Server-Limit: 1e300\r\n", 1e300),
            (b"", None),
        ):
            for response in (WHOLE, refused):
                raw.response = response.replace(b"\r\nContent", b"\r\n" + headers + b"Content")
                request = make_request(2.0, method="GET", key="")
                with suppress(UpstreamRefusedError):
                    await upstream.run(request, 0, 0, CLOCK.now() + 2.0)
                with self.subTest(headers):
                    self.assertEqual(notices.last, UpstreamNotice("i1@0", per_second))

    async def test_cold_time_is_read_in_every_form(self):
        """Guards against a cold upstream that counts as warm, and a header that is no time."""
        raw = RawUpstream(WHOLE)
        self.addAsyncCleanup(raw.stop)
        upstream = await self.start_client(await raw.start())
        notices = RecordedNotices()
        upstream.subscribe_notices(notices)
        named = b"X-Fescueward-Instance: i1\r\n"
        for headers, from_health, from_response in (
            (named + b"X-Fescueward-Cold-Ms: 2500\r\n", 2.5, 2.5),
            (named + b"x-fescueward-cold-ms: 0\r\n", 0.0, 0.0),
            (b"X-Fescueward-Cold-Ms: 10\r\nX-Fescueward-Cold-Ms: 40\r\n", 0.04, 0.04),
            (named, 0.0, None),
            # Another start, or no health response at all, says nothing of this start.
            (b"X-Fescueward-Instance: i2\r\n", None, None),
            (b"", None, None),
            (named + b"X-Fescueward-Cold-Ms: -1\r\n", None, None),
            (named + b"X-Fescueward-Cold-Ms: nan\r\n", None, None),
            (named + b"X-Fescueward-Cold-Ms: 1e99\r\n", None, None),
            (named + b"X-Fescueward-Cold-Ms: soon\r\n", None, None),
        ):
            with self.subTest(headers):
                raw.response = WHOLE.replace(b"\r\nContent", b"\r\n" + headers + b"Content")
                notice = await upstream.check_health("/health")
                self.assertEqual(notice.cold_s, from_health)
                await upstream.run(make_request(2.0, key=""), 0, 0, CLOCK.now() + 2.0)
                self.assertEqual(notices.last.cold_s, from_response)
        raw.response = WHOLE.replace(b"200 OK", b"503 Full").replace(RECEIPT, named)
        self.assertIsNone((await upstream.check_health("/health")).cold_s)

    async def test_departure_is_read_in_refusals_too(self):
        """Guards against new work for an upstream that has said in a response that it leaves."""
        notices = RecordedNotices()
        raw = RawUpstream(
            WHOLE.replace(b"200 OK", b"503 Full").replace(
                RECEIPT, b"X-Fescueward-Not-Executed: 1\r\nServer-Leaving: 1\r\n"
            )
        )
        self.addAsyncCleanup(raw.stop)
        upstream = await self.start_client(await raw.start())
        upstream.subscribe_notices(notices)
        with self.assertRaises(UpstreamRefusedError):
            await upstream.run(make_request(2.0, key=""), 0, 0, CLOCK.now() + 2.0)
        self.assertEqual(notices.last, UpstreamNotice("i1@0", None, leaving=True))

    async def test_request_without_time_left_is_not_sent(self):
        """Guards against work for a caller that has given up (GONE)."""
        connections = []

        async def serve(reader, writer):
            connections.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(WHOLE)

        upstream, request = await self.run_first_request(serve)
        with self.assertRaises(DeadlineExceededError):
            await upstream.run(request, 0, 0, CLOCK.now() - 0.001)
        await asyncio.sleep(0.05)
        self.assertEqual(1, len(connections))

    async def test_time_in_which_a_body_arrives_is_not_passed_on(self):
        """Guards against an upstream that is given more time than the caller has left (BUDGET)."""

        class SlowBody:
            length = 2

            async def chunks(self):
                await asyncio.sleep(0.3)
                yield b"ok"

        raw = RawUpstream(WHOLE)
        self.addAsyncCleanup(raw.stop)
        upstream = await self.start_client(await raw.start())
        request = replace(make_request(2.0, method="POST", key=""), body=SlowBody())
        await upstream.run(request, 0, 0, CLOCK.now() + 1.0)
        sent = raw.requests[0].decode()
        timeout_ms = int(sent.split("X-Fescueward-Timeout-Ms: ")[1].split("\r\n")[0])
        self.assertLessEqual(timeout_ms, 700)

    async def test_reset_during_a_response_without_length(self):
        """Guards against a truncated body that looks complete.

        The client returned such a response as complete (MIXED on day trouble-2 of kagaz-mesh).
        """
        truncated = b"HTTP/1.1 200 OK\r\n" + RECEIPT + ECHO + b"\r\nhalf"
        with self.assertRaises(AnswerLostError):
            await self.run_against(truncated, reset=True)

    async def test_stop_does_not_complete_a_response_without_length(self):
        """Guards against a part of a body that a stopping agent sends to another as whole."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n" + RECEIPT + ECHO + b"\r\nhalf")
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        for repeatable in (False, True):
            upstream = await self.start_client(Address(*server.sockets[0].getsockname()))
            request = make_request(2.0, method="GET", key="", repeatable=repeatable)
            run = asyncio.create_task(upstream.run(request, 0, 0, CLOCK.now() + 2.0))
            await asyncio.sleep(0.1)
            await upstream.stop()
            with self.subTest(repeatable=repeatable), self.assertRaises(AnswerLostError):
                await run

    async def test_graceful_close_ends_a_response_without_length(self):
        """Guards against discarding complete responses that have no Content-Length."""
        response = await self.run_against(b"HTTP/1.1 200 OK\r\n" + RECEIPT + ECHO + b"\r\nwhole")
        self.assertEqual(response.body.data, b"whole")

    async def test_mismatched_and_malformed_responses(self):
        """Guards against accepting the response to another request, a proxy page or garbage."""
        ok = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
        cases = (
            (OutcomeLostError, ok + RECEIPT + b"X-Fescueward-Request-Id: r2\r\n\r\nok"),
            (AnswerLostError, ok + ECHO + b"\r\nok"),
            (AnswerLostError, ok + RECEIPT + ECHO + b"Content-Encoding: gzip\r\n\r\nok"),
            (AnswerLostError, ok.replace(b": 2", b": 9") + RECEIPT + ECHO + b"\r\nok"),
            (AnswerLostError, ok.replace(b"Length:", b"Length :") + RECEIPT + ECHO + b"\r\nok"),
            (AnswerLostError, b"no answer at all\r\n\r\n"),
            (OutcomeLostError, b""),
        )
        for kind, response_bytes in cases:
            with self.subTest(response_bytes=response_bytes), self.assertRaises(kind):
                await self.run_against(response_bytes)

    async def test_head_that_continues_with_another_head(self):
        """Guards against a response made of the head of one response and the body of another."""
        for lost_bytes in range(len(RECEIPT + ECHO)):
            kept = (ECHO + RECEIPT)[: len(RECEIPT + ECHO) - lost_bytes]
            other = WHOLE.replace(b"Request-Id: r1", b"Request-Id: r2")
            for second in (WHOLE, other):
                with (
                    self.subTest(kept=kept, second=second),
                    self.assertRaises((AnswerLostError, OutcomeLostError)),
                ):
                    await self.run_against(b"HTTP/1.1 200 OK\r\n" + kept + second)

    async def test_response_cut_at_each_byte_is_never_complete(self):
        """Guards against a 200 with an empty or short body after a head that stops half-way."""
        head = b"HTTP/1.1 200 OK\r\n" + RECEIPT + ECHO
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
        # Without a length the end of the connection ends the body, so only the head can be cut.
        for framing, whole, cuts in (
            ("length", WHOLE, len(WHOLE)),
            ("chunked", chunked, len(chunked)),
            ("none", head + b"\r\nok", len(head) + 2),
        ):
            for cut in range(cuts):
                with (
                    self.subTest(framing=framing, cut=cut),
                    self.assertRaises((AnswerLostError, OutcomeLostError)),
                ):
                    await self.run_against(whole[:cut], repeatable=bool(cut % 2))

    async def test_refusal_of_the_upstream_is_reported_as_not_run(self):
        """Guards against failing a request that another upstream could still run."""
        with self.assertRaises(UpstreamRefusedError) as refused:
            await self.run_against(
                b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n"
                b"X-Fescueward-Not-Executed: 1\r\n" + ECHO + b"\r\n"
            )
        self.assertEqual(refused.exception.outcome, "not_run")

    async def test_refusal_of_another_request_does_not_say_that_this_one_did_not_run(self):
        """Guards against a refusal that a faulty upstream writes once more on a kept connection.

        Callers were told "not run, try again" for requests that the upstream was running.
        """
        refusal = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Fescueward-Not-Executed: 1\r\n"
        misdirected = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n"
        earlier = b"X-Fescueward-Request-Id: r0\r\n\r\n"
        for repeatable, response_bytes in (
            (False, refusal + earlier),
            (True, refusal + earlier),
            (True, misdirected + earlier),
            (True, refusal + b"\r\n"),
        ):
            with (
                self.subTest(repeatable=repeatable, response_bytes=response_bytes),
                self.assertRaises(OutcomeLostError),
            ):
                await self.run_against(response_bytes, repeatable=repeatable)

    async def test_response_after_an_earlier_refusal_is_not_taken_for_another(self):
        """Guards against a kept connection that stays in use after a response too many."""
        refusal = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Fescueward-Not-Executed: 1\r\n"
        connections = []

        async def serve(reader, writer):
            connections.append(writer)
            with suppress(asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(WHOLE)
                await reader.readuntil(b"\r\n\r\n")
                writer.write(refusal + b"X-Fescueward-Request-Id: r0\r\n\r\n" + WHOLE)
                await reader.readuntil(b"\r\n\r\n")
            writer.close()

        upstream, request = await self.run_first_request(serve)
        # Aborted for the bytes behind the first response, or refused by the id of another request.
        with self.assertRaises((OutcomeLostError, AnswerLostError)):
            await upstream.run(request, 0, 0, CLOCK.now() + 2.0)
        response = await upstream.run(request, 0, 0, CLOCK.now() + 2.0)
        self.assertEqual((200, 2), (response.status, len(connections)))

    async def test_connection_that_sent_another_response_is_not_reused(self):
        """Guards against requests that each get the response to the one before on a connection."""
        numbers = iter(range(10))

        async def serve(reader, writer):
            with suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    request_id = head.split(b"Request-Id: ")[1].split(b"\r\n")[0]
                    own = WHOLE.replace(b"Request-Id: r1", b"Request-Id: " + request_id)
                    if next(numbers) == 1:
                        writer.write(WHOLE)
                        await asyncio.sleep(0.1)
                    writer.write(own)
            writer.close()

        upstream, request = await self.run_first_request(serve)
        with self.assertRaises(OutcomeLostError):
            await upstream.run(replace(request, id="r2"), 0, 0, CLOCK.now() + 2.0)
        response = await upstream.run(replace(request, id="r3"), 0, 0, CLOCK.now() + 2.0)
        self.assertEqual(200, response.status)

    async def test_late_second_refusal_does_not_answer_the_next_try_of_a_request(self):
        """Guards against "not run" for a request that the upstream runs at its second try.

        Both tries of a request at one upstream carry the same id.
        """
        refusal = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Fescueward-Not-Executed: 1\r\n"
        tries = iter(range(10))

        async def serve(reader, writer):
            refused_here = False
            with suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    if next(tries) == 1 or refused_here:
                        writer.write(refusal + ECHO + b"\r\n")
                        refused_here = True
                        continue
                    writer.write(WHOLE)
            writer.close()

        upstream, request = await self.run_first_request(serve)
        with self.assertRaises(UpstreamRefusedError):
            await upstream.run(request, 0, 0, CLOCK.now() + 2.0)
        response = await upstream.run(request, 0, 0, CLOCK.now() + 2.0)
        self.assertEqual(200, response.status)

    async def test_late_second_response_to_a_grant_does_not_confirm_a_release(self):
        """Guards against a next owner that is granted keys on which work is still running.

        An upstream wrote its response to a grant again when the release arrived on the connection.
        """
        work_ended = asyncio.Event()

        async def serve(reader, writer):
            grant_seen = False
            with suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                    await reader.readexactly(length)
                    if b"/release" in head:
                        if grant_seen:
                            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                        await work_ended.wait()
                    grant_seen = True
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nX-Fescueward-Handover: t1\r\n"
                        b"Content-Length: 0\r\n\r\n"
                    )
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        upstream = await self.start_client(Address(*server.sockets[0].getsockname()))
        key_range = KeyRange(0, 99, "a:1", 1)
        self.assertTrue(await upstream.grant_range(key_range, 1.0, upstream.process))
        release = asyncio.create_task(upstream.release_range(key_range))
        await asyncio.sleep(0.1)
        self.assertFalse(release.done())
        work_ended.set()
        self.assertEqual(await release, "t1")

    async def test_grant_reaches_only_the_process_that_it_is_for(self):
        """Guards against a new start of the upstream that gets keys with the epoch of the last.

        It served again before its first heartbeat, and under the same id. No connection was
        refused in between.
        """
        received: list[tuple[int, bytes]] = []
        writers = []
        start = 0

        async def serve(reader, writer):
            writers.append(writer)
            served_start = start
            with suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                    received.append((served_start, await reader.readexactly(length)))
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname())
        upstream = await self.start_client(address)
        key_range = KeyRange(0, 99, "a:1", 1)
        process = upstream.process
        for _ in range(2):
            self.assertTrue(await upstream.grant_range(key_range, 1.0, process))
        self.assertEqual(upstream.process, process)
        server.close()
        for writer in writers:
            writer.transport.abort()
        start = 1
        server = await asyncio.start_server(serve, address.host, address.port)
        self.addCleanup(server.close)
        for _ in range(3):
            with suppress(OutcomeLostError), self.assertRaises(UpstreamUnavailableError):
                # The first grant can still be sent on a connection to the earlier process.
                await upstream.grant_range(key_range, 1.0, process)
        self.assertEqual([served_start for served_start, _ in received], [0, 0])
        self.assertGreater(upstream.process, process)
        renewed = replace(key_range, epoch=2)
        self.assertTrue(await upstream.grant_range(renewed, 1.0, upstream.process))
        self.assertEqual([served_start for served_start, _ in received], [0, 0, 1])

    async def start_granting(self) -> LocalUpstream:
        """Starts a client of a server that confirms grants while `granting` is set.

        `arrived` has the epochs of the grants that have reached it, `holds_s` their durations.
        """
        self.granting = asyncio.Event()
        self.granting.set()
        self.arrived: list[int] = []
        self.holds_s: list[float] = []

        async def serve(reader, writer):
            with suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    if head.startswith(b"POST"):
                        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                        grant = json.loads(await reader.readexactly(length))
                        self.arrived.append(grant["fence"])
                        self.holds_s.append(grant["holdS"])
                        await self.granting.wait()
                    writer.write(WHOLE)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return await self.start_client(Address(*server.sockets[0].getsockname()))

    async def test_grant_that_waits_for_a_connection_does_not_last_longer(self):
        """Guards against an upstream that holds keys after the lease of its agent (OWNER).

        The duration was fixed before the wait, and counts from the arrival.
        """
        upstream = await self.start_granting()
        process = upstream.process

        def grant(epoch: int, hold_s: float) -> asyncio.Task[bool]:
            key_range = KeyRange(epoch, epoch, epoch=epoch)
            return asyncio.create_task(upstream.grant_range(key_range, hold_s, process))

        # All connections are open afterwards, and the process that they reach is known.
        await asyncio.gather(*(grant(epoch, 1.0) for epoch in range(1, 13)))
        self.granting.clear()
        busy = [grant(epoch, 1.0) for epoch in range(13, 17)]
        await wait_until(lambda: len(self.arrived) == 16, 2, "all connections are busy")
        waiting_since = CLOCK.now()
        waiting, too_late = grant(17, 1.0), grant(18, 0.1)
        await asyncio.sleep(0.2)
        waited_s = CLOCK.now() - waiting_since
        self.granting.set()
        await asyncio.gather(*busy, waiting)
        with self.assertRaises(UpstreamUnavailableError):
            await too_late
        self.assertEqual(self.arrived[16:], [17])
        self.assertLessEqual(self.holds_s[-1], 1.0 - waited_s + 0.001)

    async def test_grants_at_the_same_time(self):
        """Guards against a process that seems new because grants share several connections."""
        upstream = await self.start_granting()
        process = upstream.process
        for _ in range(3):
            ranges = [KeyRange(first, first, "a:1", 1) for first in range(12)]
            grants = (upstream.grant_range(key_range, 1.0, process) for key_range in ranges)
            self.assertEqual(await asyncio.gather(*grants), [True] * 12)
            request = make_request(2.0, method="GET", key="", repeatable=True)
            await upstream.run(request, 0, 0, CLOCK.now() + 2.0)
        self.assertEqual(upstream.process, process)

    async def test_silent_connection_to_an_earlier_process(self):
        """Guards against a restart that no kept connection shows, because its end was lost.

        The kept connection must not be offered each later grant either.
        """
        upstream = await self.start_granting()
        process = upstream.process
        key_range = KeyRange(0, 99, "a:1", 1)
        self.assertTrue(await upstream.grant_range(key_range, 1.0, process))
        self.granting.clear()
        unanswered = asyncio.create_task(upstream.grant_range(key_range, 1.0, process))
        await wait_until(lambda: len(self.arrived) == 2, 2, "the grant has arrived")
        with self.assertRaises(UpstreamUnavailableError):
            await upstream.grant_range(replace(key_range, epoch=2), 1.0, process)
        self.granting.set()
        with suppress(OutcomeLostError):
            await unanswered
        self.assertEqual(upstream.process, process + 1)
        self.assertNotIn(2, self.arrived)
        for _ in range(3):
            renewed = replace(key_range, epoch=3)
            self.assertTrue(await upstream.grant_range(renewed, 1.0, upstream.process))
        with self.assertRaises(UpstreamUnavailableError):
            await upstream.grant_range(key_range, 1.0, process)
        self.assertEqual(self.arrived, [1, 1, 3, 3, 3])

    async def test_long_body_arrives_unchanged(self):
        """Guards against an upload that is cut, or whose length is not named, in parts."""
        received = []

        async def serve(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            received.append((head.lower(), await reader.readexactly(length)))
            writer.write(WHOLE)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        upstream = await self.start_client(Address(*server.sockets[0].getsockname()))
        for size in (1, 262_144, 262_145, 3_000_000):
            body = random.Random(size).randbytes(size)
            response = await upstream.run(make_request(5.0, body, key=""), 0, 0, CLOCK.now() + 5.0)
            self.assertEqual(response.body.data, b"ok")
            head, arrived = received.pop()
            self.assertEqual(arrived, body)
            self.assertNotIn(b"transfer-encoding", head)
            self.assertEqual(head.count(b"content-length"), 1)

    async def test_refused_connection_is_reported_as_not_run(self):
        """Guards against reporting an unknown outcome when no byte was sent."""
        raw = RawUpstream(b"")
        address = await raw.start()
        await raw.stop()
        upstream = await self.start_client(address)
        with self.assertRaises(UpstreamUnavailableError):
            await upstream.run(make_request(2.0, key=""), 0, 0, CLOCK.now() + 2.0)
        self.assertEqual(self.liveness.calls, ["unreachable"])
        with self.assertRaises(UpstreamUnavailableError):
            await upstream.release_range(KeyRange(0, 9, "a:1", 1))

    async def test_handover_token_that_is_no_text_is_not_used(self):
        """Guards against bytes of one upstream that no agent can write to the group object."""
        for token, expected in (
            (b"X-Fescueward-Handover: 5c0e7a\r\n", "5c0e7a"),
            (b"X-Fescueward-Handover: 5c0e7\xe1\r\n", ""),
            (b"X-Fescueward-Handover: 5c0e7\x01\r\n", ""),
            (b"X-Fescueward-Handover: %s\r\n" % (b"a" * 4096), ""),
            (b"X-Fescueward-Handover: 5c\r\nX-Fescueward-Handover: 5d\r\n", ""),
            (b"", ""),
        ):
            with self.subTest(token=token):
                raw = RawUpstream(b"HTTP/1.1 200 OK\r\n" + token + b"Content-Length: 0\r\n\r\n")
                upstream = await self.start_client(await raw.start())
                received = await upstream.release_range(KeyRange(0, 9, "a:1", 1))
                self.assertEqual(received, expected)
                await raw.stop()

    async def test_failure_of_a_reused_connection_is_not_retried(self):
        """Guards against a resend that counts neither as an attempt nor in the retry budget.

        By default aiohttp resends a GET when a reused connection ends without a response.
        """
        received_requests = []

        async def serve(reader, writer):
            with suppress(asyncio.IncompleteReadError):
                received_requests.append(await reader.readuntil(b"\r\n\r\n"))
                if len(received_requests) == 1:
                    writer.write(WHOLE)
                    received_requests.append(await reader.readuntil(b"\r\n\r\n"))
            writer.close()

        upstream, request = await self.run_first_request(serve)
        with self.assertRaises(OutcomeLostError):
            await upstream.run(request, 0, 0, CLOCK.now() + 2.0)
        self.assertEqual(len(received_requests), 2)

    async def start_endless(self, endless: EndlessResponse, pause_s: float = 0.0) -> LocalUpstream:
        self.server = EndlessServer(endless, pause_s)
        address = Address(*await self.server.start())
        self.addAsyncCleanup(self.server.stop)
        return await self.start_client(address)

    async def check_bound(self, limit_bytes: int) -> None:
        await wait_until(self.server.idle, 2, "the connection is closed")
        self.assertLess(self.server.transmitted_bytes, limit_bytes + SOCKET_BUFFER_BYTES)

    async def test_endless_responses(self):
        """Guards against an endless response that fills the memory until the deadline."""
        for method in ("GET", "POST"):
            for endless in (*endless_heads(), *endless_bodies(RECEIPT + ECHO)):
                request = make_request(8.0, method=method, key="")
                with self.subTest(method=method, endless=endless.name):
                    upstream = await self.start_endless(endless)
                    with self.assertRaises(AnswerLostError) as refused:
                        await upstream.run(request, 0, 0, CLOCK.now() + 8.0)
                    self.assertEqual(refused.exception.http_status, 502)
                    await self.check_bound(MAX_ANSWER_BYTES)

    async def test_endless_bytes_after_a_response(self):
        """Guards against unsolicited bytes that fill the buffer of an idle connection."""
        base_response = EndlessResponse("rest", WHOLE, b"x" * 16_384)
        chunks = (base_response.piece, WHOLE * 200, b"HTTP/1.1 100 Continue\r\n\r\n" * 500)
        for endless in (replace(base_response, piece=piece) for piece in chunks):
            with self.subTest(piece=endless.piece[:20]):
                upstream = await self.start_endless(endless, 0.05)
                for _ in range(2):
                    request = make_request(8.0, method="GET", key="", repeatable=True)
                    response = await upstream.run(request, 0, 0, CLOCK.now() + 8.0)
                    self.assertEqual(response.body.data, b"ok")
                    await self.check_bound(2 * MAX_RESPONSE_HEAD_BYTES)
                self.assertEqual(len(self.server.requests), 2)

    async def test_endless_responses_to_a_release(self):
        """Guards against a grant or release whose response fills the memory."""
        for endless in (*endless_heads(), *endless_bodies()):
            with self.subTest(endless=endless.name):
                upstream = await self.start_endless(endless)
                with self.assertRaises(OutcomeLostError) as refused:
                    await upstream.release_range(KeyRange(0, 9, "a:1", 1))
                self.assertNotIn("Timeout", str(refused.exception))
                await self.check_bound(MAX_ANSWER_BYTES)

    async def test_large_response_within_the_limit(self):
        """Guards against a limit that truncates valid responses."""
        body = b"y" * (MAX_ANSWER_BYTES - 1000)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
        response = await self.run_against(head + RECEIPT + ECHO + b"\r\n" + body)
        self.assertEqual(response.body.data, body)

    async def test_stalled_response_ends_at_the_deadline(self):
        """Guards against a response that occupies its slot beyond the deadline."""
        upstream = await self.start_endless(
            EndlessResponse("slow", b"HTTP/1.1 200 OK\r\n" + RECEIPT + ECHO + b"\r\n", b""), 30.0
        )
        with self.assertRaises(DeadlineExceededRunningError):
            await upstream.run(make_request(0.2, key=""), 0, 0, CLOCK.now() + 0.2)

    async def test_new_start_of_the_upstream_is_a_crash(self):
        """Guards against upstream crashes that are not counted."""
        crashes = []
        upstream = await self.start_client(Address("127.0.0.1", 1))
        upstream.subscribe(SimpleNamespace(upstream_crashed=lambda: crashes.append(1)))
        upstream.upstream_started("i1@1000")
        upstream.upstream_started("i1@1000")
        self.assertEqual((upstream.crashes, crashes), (0, []))
        upstream.upstream_started("i1@2000")
        self.assertEqual((upstream.crashes, crashes), (1, [1]))

    async def test_refused_connection_is_counted_as_one_crash(self):
        """Guards against a crash that is detected only after the upstream has restarted."""
        raw = RawUpstream(WHOLE)
        address = await raw.start()
        upstream = await self.start_client(address)
        upstream.upstream_started("i1@1000")
        request = make_request(2.0, method="GET", key="")
        await upstream.run(request, 0, 0, CLOCK.now() + 2.0)
        await raw.stop()
        for _ in range(2):
            with self.assertRaises(UpstreamUnavailableError):
                await upstream.run(request, 0, 0, CLOCK.now() + 2.0)
        upstream.upstream_started("i1@2000")
        self.assertEqual(upstream.crashes, 1)
