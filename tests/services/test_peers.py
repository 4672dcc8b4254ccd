"""Tests of peer streams between two services over loopback."""

from __future__ import annotations

import asyncio
import random
import unittest
from contextlib import suppress
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

from fescueward.kernel import Kernel
from fescueward.kernel.errors import (
    BodyTruncatedError,
    DeadlineExceededRunningError,
    InvalidRequestError,
    NotOwnerError,
    OutcomeLostError,
    OverloadedError,
    OwnerUnreachableError,
    PeerTimeoutError,
)
from fescueward.kernel.settings import PeersSection
from fescueward.kernel.tasks import finish_despite_cancellation
from fescueward.messages import Group, Response, VersionedGroup
from fescueward.messages.configuration import (
    Configuration,
    Route,
    Target,
    VersionedConfiguration,
)
from fescueward.messages.frames import MAX_MESSAGE_BYTES, FrameEncoder
from fescueward.messages.peer import (
    CrashReport,
    Publish,
    Renew,
    StatusQuery,
    StatusReply,
    StreamCredit,
    StreamData,
)
from fescueward.services import peer_accepted, peer_links, streams
from fescueward.services.peer_wire import Wire
from fescueward.services.peers import MsgpackPeers
from fescueward.services.streams import WINDOW_BYTES, Channel
from fescueward.testing.ports import PortReservations
from fescueward.testing.waiting import wait_until

from .fakes import (
    CLOCK,
    FailedCall,
    StreamedBody,
    StubRegistry,
    make_member,
    make_request,
    make_response,
)


class PeersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.ports = PortReservations()
        self.addCleanup(self.ports.close)
        self.port = self.ports.reserve()
        self.owner_kernel, self.router_kernel = Kernel(), Kernel()
        self.owner = await self.start("b", self.port, kernel=self.owner_kernel)
        self.router = await self.start("a", 0, kernel=self.router_kernel)
        self.member = make_member("b", self.port)
        self.owner.serve(self.handle)
        self.handler = self.echo
        self.received_requests = []

    async def asyncTearDown(self) -> None:
        await self.router.stop()
        await self.owner.stop()

    async def start(self, name, port, secret="s" * 16, kernel=None):
        peers = MsgpackPeers(kernel or Kernel(), name, 1)
        section = PeersSection(host="127.0.0.1", port=port or 1, secret=secret, timeout_ms=500)
        peers.bind(StubRegistry(settings=SimpleNamespace(peers=section)))
        peers._port = port
        await peers.start()
        return peers

    async def handle(self, request):
        self.received_requests.append(request)
        return await self.handler(request)

    async def echo(self, request):
        data = b"".join([chunk async for chunk in request.body.chunks()])
        return make_response(data, served_by="b:1", epoch=7)

    def forward(self, within_s=5.0, **values):
        return self.router.forward(self.member, make_request(within_s, **values))

    async def assert_no_open_requests(self):
        await wait_until(
            lambda: self.router.open_requests() + self.owner.open_requests() == 0,
            2,
            "no request is in flight",
        )

    async def test_requests_and_bodies_of_all_sizes(self):
        """Guards against altered fields, and bodies truncated at the frame or window size."""
        for size in (0, 10, 65_536, 65_537, 3 * WINDOW_BYTES + 1):
            for streamed in (False, True):
                body = b"x" * size
                if streamed:
                    body = StreamedBody(*(body[at : at + 50_000] for at in range(0, size, 50_000)))
                response = await self.forward(body=body, token="t", path="/p?q=1")
                data = b"".join([chunk async for chunk in response.body.chunks()])
                self.assertEqual(len(data), size)
                self.assertEqual((response.served_by, response.epoch), ("b:1", 7))
        self.assertEqual(
            (self.received_requests[0].token, self.received_requests[0].path), ("t", "/p?q=1")
        )
        self.assertEqual(self.received_requests[0].forwarded_by, "a:1")
        await self.assert_no_open_requests()

    async def test_refusals_keep_type_and_details(self):
        """Guards against a refusal whose type, outcome or details are lost between agents."""
        for error in (
            NotOwnerError("moved", owner_id="c:1"),
            OverloadedError("full", retry_after_s=2.0),
        ):

            async def refuse(request, error=error):
                raise error

            self.handler = refuse
            with self.assertRaises(type(error)) as refused:
                await self.forward()
            self.assertEqual(refused.exception.retry_after_s, error.retry_after_s)
            self.assertEqual(vars(refused.exception), vars(error))
        await self.assert_no_open_requests()

    async def test_unexpected_exception_at_the_owner(self):
        """Guards against a closed stream, or outcome `not_run`, because one handler raised."""

        async def fail(request):
            raise ZeroDivisionError

        self.handler = fail
        with self.assertRaises(OutcomeLostError):
            await self.forward()
        self.handler = self.echo
        self.assertEqual((await self.forward()).status, 200)

    async def test_caller_that_leaves_cancels_the_run(self):
        """Guards against runs and stream state that are leaked after their caller has left."""
        cancelled = asyncio.Event()

        async def slow(request):
            try:
                await asyncio.sleep(5)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        self.handler = slow
        for within_s, kind in ((0.1, DeadlineExceededRunningError), (5.0, asyncio.CancelledError)):
            cancelled.clear()
            self.received_requests.clear()
            forwarding = asyncio.create_task(self.forward(within_s))
            await wait_until(lambda: self.received_requests, 2, "the request runs")
            if kind is asyncio.CancelledError:
                forwarding.cancel()
            with self.assertRaises(kind):
                await forwarding
            await asyncio.wait_for(cancelled.wait(), 2)
            await self.assert_no_open_requests()

    async def test_response_that_is_not_read(self):
        """Guards against a leaked upstream slot when the caller abandons its response."""
        body = StreamedBody(*[b"x" * 60_000] * 20)

        async def large(request):
            return Response("r1", 200, (), body, "b:1", 1)

        self.handler = large
        response = await self.forward()
        await response.body.close()
        await wait_until(lambda: body.closed, 2, "the body is closed at the owner")
        await self.assert_no_open_requests()

    async def test_receiver_that_stalls(self):
        """Guards against an upstream slot that is leaked to a receiver that reads nothing."""
        body = StreamedBody(*[b"x" * 60_000] * 20)

        async def large(request):
            return Response("r1", 200, (), body, "b:1", 1)

        self.handler = large
        with mock.patch.object(streams, "STALL_TIMEOUT_S", 0.1):
            response = await self.forward()
            await wait_until(lambda: body.closed, 2, "the owner closes the body")
            with self.assertRaises(BodyTruncatedError):
                async for _ in response.body.chunks():
                    pass
        await self.assert_no_open_requests()

    async def test_upload_that_fails(self):
        """Guards against a truncated upload that is processed as a complete one."""

        async def read(request):
            async for _ in request.body.chunks():
                pass
            return make_response()

        self.handler = read
        body = StreamedBody(b"x" * 100_000, error=BodyTruncatedError("gone"))
        with self.assertRaises(OutcomeLostError):
            await self.forward(body=body)
        await self.assert_no_open_requests()

    async def test_owner_that_stops(self):
        """Guards against `not_run` for a request that was sent, and a wait for its deadline."""

        async def slow(request):
            await asyncio.sleep(5)

        self.handler = slow
        forwarding = asyncio.create_task(self.forward())
        await wait_until(lambda: self.received_requests, 2, "the request runs")
        await self.owner.stop()
        with self.assertRaises(OutcomeLostError):
            await forwarding
        with self.assertRaises(OwnerUnreachableError):
            await self.forward(0.5)
        self.assertEqual(self.router.open_requests(), 0)

    async def forward_through_cut(self, cut_after: int) -> bytes:
        """Forwards a request; the stream ends once so many bytes have followed the request."""
        request_sent = asyncio.Event()
        relays = []

        async def relay(reader, writer, is_response):
            passed = 0
            with suppress(OSError):
                while data := await reader.read(65_536):
                    if is_response and request_sent.is_set():
                        data = data[: cut_after - passed]
                        passed += len(data)
                    writer.write(data)
                    await writer.drain()
                    if is_response and request_sent.is_set() and passed >= cut_after:
                        break
            writer.close()

        async def accept(reader, writer):
            owner_reader, owner_writer = await asyncio.open_connection("127.0.0.1", self.port)
            relays.append(asyncio.create_task(relay(reader, owner_writer, False)))
            relays.append(asyncio.create_task(relay(owner_reader, writer, True)))

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        router = await self.start("r", 0)
        member = make_member("b", server.sockets[0].getsockname()[1])
        try:
            router.dial(member)
            await wait_until(lambda: router.connected(), 2, "the stream is open")
            request_sent.set()
            response = await router.forward(member, make_request(1.0, body=b"x" * 100))
            return b"".join([chunk async for chunk in response.body.chunks()])
        finally:
            server.close()
            await router.stop()
            await asyncio.gather(*relays)

    async def test_response_cut_at_any_byte_is_never_complete(self):
        """Guards against a truncated head or body that a caller gets as a whole one."""
        chunks = (b"a" * 40_000, b"b" * 30_000)

        async def respond(request):
            return Response(request.id, 200, (), StreamedBody(*chunks), "b:1", 7)

        self.handler = respond
        whole = b"".join(chunks)
        self.assertEqual(await self.forward_through_cut(10**6), whole)
        for cut_after in (*range(1, 160, 7), 20_000, 40_300, 69_000):
            with (
                self.subTest(cut_after),
                self.assertRaises((OutcomeLostError, BodyTruncatedError)),
            ):
                await self.forward_through_cut(cut_after)

    async def test_silent_stream_loses_no_request(self):
        """Guards against a running request that is given up or begun again after a short silence.

        Nothing passes in either direction for a second, in which the upstream finishes its work.
        """
        flowing = asyncio.Event()
        flowing.set()
        relays = []

        async def relay(reader, writer):
            with suppress(OSError):
                while data := await reader.read(65_536):
                    await flowing.wait()
                    writer.write(data)
                    await writer.drain()
            writer.close()

        async def accept(reader, writer):
            owner_reader, owner_writer = await asyncio.open_connection("127.0.0.1", self.port)
            relays.append(asyncio.create_task(relay(reader, owner_writer)))
            relays.append(asyncio.create_task(relay(owner_reader, writer)))

        async def respond(request):
            flowing.clear()
            asyncio.get_running_loop().call_later(1.0, flowing.set)
            return make_response(b"done", served_by="b:1", epoch=7)

        self.handler = respond
        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        self.addCleanup(server.close)
        router = await self.start("r", 0)
        member = make_member("b", server.sockets[0].getsockname()[1])
        try:
            response = await router.forward(member, make_request(5.0, body=b"x"))
            body = b"".join([part async for part in response.body.chunks()])
        finally:
            await router.stop()
            await asyncio.gather(*relays)
        self.assertEqual((body, len(self.received_requests)), (b"done", 1))

    async def test_dropped_member(self):
        """Guards against requests that keep waiting for a removed member."""
        await self.forward()
        forwarding = asyncio.create_task(self.forward(body=StreamedBody(b"")))

        async def slow(request):
            await asyncio.sleep(5)

        self.handler = slow
        await wait_until(lambda: len(self.received_requests) == 2, 2, "the request runs")
        self.router.drop("b:1")
        with self.assertRaises(OutcomeLostError):
            await forwarding
        self.assertEqual(self.router.connected(), ())

    async def test_calls_and_messages(self):
        """Guards against replies delivered to another call, and calls without a timeout."""
        received = []
        self.owner.on(
            StatusQuery,
            lambda sender, query: self.owner.reply(sender, StatusReply(query.call, {"n": 1})),
        )
        self.owner.on(CrashReport, lambda sender, report: received.append((sender, report)))
        call = self.router.next_call()
        reply = await self.router.call(self.member, StatusQuery(call), call)
        self.assertEqual(reply, StatusReply(call, {"n": 1}))
        self.assertTrue(self.router.send(self.member, CrashReport("a:1", (1,))))
        await wait_until(lambda: received, 2, "the report arrives")
        self.assertEqual(received[0][0], "a:1")
        with self.assertRaises(PeerTimeoutError):
            await self.router.call(self.member, Renew("a:1", 1), 999)

    async def test_dial_of_an_earlier_incarnation_does_not_fail_open_requests(self):
        """Guards against requests that fail because another link dials the same address.

        After an agent restarted, the link to its earlier incarnation dialled the new one, which
        then closed the stream in use (LOST on day trouble-3 of merrimack-siphon).
        """
        started, release = asyncio.Event(), asyncio.Event()

        async def wait(request):
            started.set()
            await release.wait()
            return make_response(b"ok", served_by="b:1", epoch=7)

        self.handler = wait
        forwarding = asyncio.create_task(self.forward())
        await started.wait()
        earlier = make_member("b", self.port, incarnation=7)
        with self.assertRaises(OwnerUnreachableError):
            await self.router.forward(earlier, make_request(0.5))
        release.set()
        self.assertEqual((await forwarding).status, 200)

    async def test_requests_survive_a_new_incarnation(self):
        """Guards against requests that are lost when their agent rejoins its group.

        Renewals on the earlier streams must be dropped: they concern the earlier incarnation.
        """
        started, release = asyncio.Event(), asyncio.Event()

        async def wait(request):
            started.set()
            await release.wait()
            return make_response(b"ok", served_by="b:1", epoch=7)

        self.handler = wait
        renewals = []
        self.owner.on(Renew, lambda sender, message: renewals.append(sender))
        forwarding = asyncio.create_task(self.forward())
        await started.wait()
        self.owner.set_incarnation(2)
        self.router.send(self.member, Renew("a:1", 1))
        self.router.set_incarnation(2)
        self.assertNotIn("b:1", self.router.connected())
        release.set()
        self.assertEqual((await forwarding).status, 200)
        member = make_member("b", self.port, incarnation=2)
        self.assertEqual((await self.router.forward(member, make_request())).status, 200)
        self.assertEqual(renewals, [])
        self.assertEqual(self.received_requests[-1].forwarded_by, "a:2")
        await self.assert_no_open_requests()

    async def test_handler_that_fails(self):
        """Guards against a stream that is closed because one message handler raised."""
        self.owner.on(CrashReport, mock.Mock(side_effect=ZeroDivisionError))
        await self.forward()
        self.router.send(self.member, CrashReport("a:1"))
        self.assertEqual((await self.forward()).status, 200)

    async def test_unauthenticated_peers_and_malformed_bytes(self):
        """Guards against peers with another secret, wrong members and malformed frames."""
        unauthenticated = await self.start("c", 0, "t" * 16)
        with self.assertRaises(OwnerUnreachableError):
            await unauthenticated.forward(self.member, make_request(0.3))
        await unauthenticated.stop()
        with self.assertRaises(OwnerUnreachableError):
            await self.router.forward(make_member("z", self.port), make_request(0.3))
        for malformed in (b"GET / HTTP/1.1\r\n\r\n", FrameEncoder().encode(StreamData(1, b"x"))):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(malformed)
            await asyncio.wait_for(reader.read(), 2)
            writer.close()
        self.assertEqual((await self.forward()).status, 200)

    async def test_second_stream_of_a_sender_ends_the_first(self):
        """Guards against half-open streams that are leaked after a partition."""
        await self.forward()
        second_router = await self.start("a", 0)
        await second_router.forward(self.member, make_request())
        await wait_until(lambda: not self.router.connected(), 2, "the first stream is closed")
        await second_router.stop()

    async def test_member_is_unreachable_once_its_dial_failed(self):
        """Guards against dialling a member a second time while the first dial is pending."""
        unreachable_member = make_member("gone", 1)
        self.assertFalse(self.router.dial(unreachable_member))
        self.assertFalse(self.router.unreachable(unreachable_member))
        await wait_until(
            lambda: self.router.unreachable(unreachable_member), 2, "the dial has failed"
        )
        await self.forward()
        self.assertFalse(self.router.unreachable(self.member))

    async def test_ended_process_is_not_dialled_at_once_again(self):
        """Guards against thousands of refused handshakes a second after the end of all agents."""
        pauses_s = []
        links = self.router._links

        async def sleep(seconds):
            pauses_s.append(seconds)
            await asyncio.sleep(0)

        earlier = make_member("b", self.port, incarnation=7)
        with mock.patch.object(
            links, "_clock", SimpleNamespace(now=CLOCK.now, sleep=sleep, time=CLOCK.now)
        ):
            links.dial(earlier)
            await wait_until(lambda: len(pauses_s) > 2, 5, "the dial was refused")
        links.drop(earlier.id)
        self.assertEqual(set(pauses_s), {peer_links._REFUSED_BACKOFF_S})

    async def test_idle_links_are_closed(self):
        """Guards against streams and dials of lost members that accumulate with fleet churn."""
        await self.forward()
        with suppress(OwnerUnreachableError):
            await self.router.forward(make_member("gone", 1), make_request(0.2))
        now = CLOCK.now()
        with mock.patch.object(
            self.router._links,
            "_clock",
            SimpleNamespace(now=lambda: now + peer_links._IDLE_TIMEOUT_S + 5),
        ):
            self.router._links.close_idle()
        self.assertEqual(self.router._links.ids, ())

    async def test_odd_addresses_of_members(self):
        """Guards against a member whose address raises an exception that ends this agent."""
        odd_members = [
            replace(make_member(f"odd{number}"), peer_host=host, peer_port=port)
            for number, (host, port) in enumerate(
                (
                    ("a..b", 1),
                    ("x" * 300, 1),
                    ("\0", 1),
                    ("\ud800", 1),
                    ("", 1),
                    ("127.0.0.1", 70_000),
                    ("127.0.0.1", -1),
                    ("127.0.0.1", 10**30),
                )
            )
        ]
        for odd in odd_members:
            self.router.dial(odd)
        await wait_until(
            lambda: all(self.router.unreachable(odd) for odd in odd_members), 5, "all dials fail"
        )
        await asyncio.sleep(0.2)
        self.assertEqual((await self.forward()).status, 200)
        self.assertFalse(self.router_kernel.stopping)

    async def test_failed_request_leaves_no_body_in_memory(self):
        """Guards against bodies of failed uploads that stay in memory (review case 9)."""
        call = FailedCall(self)

        async def run():
            call.fail(OutcomeLostError("the upstream reset the connection"))

        self.handler = lambda request: finish_despite_cancellation(run(), lambda: False)
        for _ in range(3):
            with self.assertRaises(OutcomeLostError):
                await self.forward(body=b"x" * 100)
        await self.assert_no_open_requests()
        self.assertEqual(call.released, [True] * 3)

    async def test_message_that_cannot_be_encoded(self):
        """Guards against a task that ends its agent because what it publishes is too large."""
        await self.forward()
        for message in (
            Publish(relay=10**30),
            Publish(groups=(VersionedGroup(10**30, Group("depot", 0, 1)),)),
            StatusReply(1, {"x": "x" * MAX_MESSAGE_BYTES}),
        ):
            self.assertFalse(self.router.send(self.member, message))
            self.assertFalse(self.router.reply("b:1", message))
        self.assertEqual((await self.forward()).status, 200)

    async def test_configuration_of_the_size_of_an_object_arrives(self):
        """Guards against agents that never learn of a configuration that the platform takes.

        Found by review case 10: from 5,900 routes on, a message had more bytes than one frame.
        """
        routes = {
            f"route-{number}": Route(
                f"route-{number}",
                f"{random.Random(number).randbytes(90).hex()}.example",
                "/",
                True,
                3,
                4.0,
                0.6,
                2,
                (Target("depot"),),
            )
            for number in range(5_000)
        }
        message = Publish(configuration=VersionedConfiguration(7, Configuration(7, routes)))
        received: list[object] = []
        for peers in (self.owner, self.router):
            peers.on(Publish, lambda sender, message: received.append((sender, message)))
        await self.forward()
        self.assertTrue(self.router.send(self.member, message))
        await wait_until(lambda: received, 5, "the message has arrived")
        self.assertTrue(self.owner.reply("a:1", message))
        await wait_until(lambda: len(received) == 2, 5, "the reply has arrived")
        self.assertEqual(received, [("a:1", message), ("b:1", message)])

    async def test_unexpected_exception_on_a_stream(self):
        """Guards against a connection that ends the agent it was accepted by, or dialled from."""
        await self.forward()
        with mock.patch.object(peer_accepted.AcceptedStreams, "_receive", side_effect=KeyError):
            self.router.send(self.member, CrashReport("a:1"))
            await wait_until(lambda: not self.router.connected(), 2, "the stream ended")
        await wait_until(lambda: self.router.connected(), 2, "the stream is open again")
        self.assertEqual((await self.forward()).status, 200)
        with mock.patch.object(peer_links.PeerLinks, "_receive", side_effect=KeyError):
            with self.assertRaises(OutcomeLostError):
                await self.forward()
            await wait_until(lambda: not self.router.connected(), 2, "the stream ended")
        await wait_until(lambda: self.router.connected(), 2, "the stream is open again")
        self.assertEqual((await self.forward()).status, 200)
        self.assertFalse(self.owner_kernel.stopping or self.router_kernel.stopping)

    async def test_request_that_cannot_be_encoded(self):
        """Guards against reporting an unknown outcome for a request that was never sent."""
        with self.assertRaises(InvalidRequestError):
            await self.forward(path="/" + "x" * 2_000_000)
        await self.assert_no_open_requests()

    async def test_short_requests_do_not_wait_behind_bodies(self):
        """Guards against calls that expire behind uploads on the link of a small machine."""
        credit_bytes = 0
        send = Wire.send

        def count_credit(wire, message):
            nonlocal credit_bytes
            credit_bytes += message.size if isinstance(message, StreamCredit) else 0
            send(wire, message)

        async def read_nothing_more(request):
            async for _ in request.body.chunks():
                await release.wait()
            return make_response()

        release = asyncio.Event()
        self.handler = read_nothing_more
        with mock.patch.object(Wire, "send", count_credit):
            uploads = [asyncio.create_task(self.forward(body=b"x" * 360_000)) for _ in range(4)]
            await wait_until(lambda: len(self.received_requests) == 4, 2, "all have arrived")
            await asyncio.sleep(0.1)
            # 0.1 s on a link of 10 Mbit/s.
            self.assertLessEqual(credit_bytes, 131_072)
            release.set()
            for upload in uploads:
                self.assertEqual((await upload).status, 200)
        await self.assert_no_open_requests()

    async def test_sender_beyond_its_window(self):
        """Guards against an unbounded receive buffer."""
        channel = Channel(1, lambda message: None)
        for _ in range(10):
            channel.receive(b"x" * 60_000, False)
        with self.assertRaises(BodyTruncatedError):
            while True:
                await channel.read()
