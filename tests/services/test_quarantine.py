"""Tests of suspects and quarantine."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from fescueward.kernel import Kernel
from fescueward.kernel.errors import (
    BodyTruncatedError,
    DeadlineExceededError,
    InvalidRequestError,
    OutcomeLostError,
    QuarantinedError,
    UpstreamUnavailableError,
)
from fescueward.messages import GroupId
from fescueward.messages.peer import CrashReport
from fescueward.messages.request import BytesBody
from fescueward.services import quarantine as module
from fescueward.services.quarantine import CrashQuarantine, fingerprint_of

from .fakes import FakePeers, StreamedBody, StubRegistry, make_group, make_request


class Member:
    """A quarantine service with a peer, in a group of two."""

    def __init__(self, name: str) -> None:
        self.peers = FakePeers()
        self.upstream = SimpleNamespace(crashes=0)
        view = make_group(1, f"{name}:1", "a", "b")
        self.quarantine = CrashQuarantine(Kernel())
        self.quarantine.bind(
            StubRegistry(
                peers=self.peers,
                upstream=self.upstream,
                groups=SimpleNamespace(view=lambda _: view),
                membership=SimpleNamespace(member_id=f"{name}:1", home=GroupId("depot", 0)),
            )
        )

    async def crash(self, *requests):
        """Runs requests at once, which all lose their connection in one crash."""
        guards = [self.quarantine.guard(request) for request in requests]
        for guard in guards:
            await guard.__aenter__()
        self.upstream.crashes += 1
        for guard in guards:
            await guard.__aexit__(OutcomeLostError, OutcomeLostError("reset"), None)

    async def succeed(self, request):
        async with self.quarantine.guard(request):
            pass


class QuarantineTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.a, self.b = Member("a"), Member("b")

    async def exchange(self) -> None:
        await asyncio.sleep(0.03)
        for source, target in ((self.a, self.b), (self.b, self.a)):
            for _, message in source.peers.sent:
                sender = message.member_id
                target.peers.handlers[CrashReport](sender, message)
            source.peers.sent.clear()

    async def test_second_crash_quarantines_in_the_whole_group(self):
        """Guards against a request that crashes each upstream that runs it, one after another."""
        poison = make_request(path="/poison")
        await self.a.crash(poison)
        await self.exchange()
        await self.b.crash(poison)  # its key has moved
        with self.assertRaises(QuarantinedError) as refused:
            await self.b.succeed(poison)
        self.assertEqual(refused.exception.label, "quarantined")
        await self.exchange()
        with self.assertRaises(QuarantinedError):
            await self.a.succeed(poison)
        await self.a.succeed(make_request(path="/other"))  # the same key goes on

    async def test_success_clears_a_suspect_everywhere(self):
        """Guards against a quarantine of requests that only ran beside the culprit."""
        request = make_request()
        await self.a.crash(request)
        await self.exchange()
        self.assertEqual(len(self.b.quarantine.suspects), 1)
        await self.b.succeed(request)
        await self.exchange()
        self.assertEqual((self.a.quarantine.suspects, self.b.quarantine.suspects), ((), ()))
        await self.a.crash(request)
        await self.a.succeed(request)

    async def test_suspects_run_one_at_a_time(self):
        """Guards against a second crash that quarantines innocent requests with the culprit."""
        poison, innocent = make_request(path="/poison"), make_request(path="/fine")
        await self.a.crash(poison, innocent)
        running = self.a.quarantine.guard(poison)
        await running.__aenter__()
        waiting = asyncio.create_task(self.a.succeed(innocent))
        await self.a.succeed(make_request(path="/new"))  # no suspect, so it does not wait
        await asyncio.sleep(0.01)
        self.assertFalse(waiting.done())
        self.a.upstream.crashes += 1
        await running.__aexit__(OutcomeLostError, OutcomeLostError("reset"), None)
        await waiting
        self.assertEqual(len(self.a.quarantine.quarantined), 1)
        with self.assertRaises(QuarantinedError):
            await self.a.succeed(poison)

    async def test_suspect_waits_within_its_deadline(self):
        """Guards against a suspect that waits for ever, or whose wait blocks all others."""
        request, other = make_request(0.03), make_request(path="/other")
        await self.a.crash(request, other)
        async with self.a.quarantine.guard(other):
            with self.assertRaises(DeadlineExceededError):
                await self.a.succeed(request)
        await self.a.succeed(other)

    async def test_failures_without_a_crash_accuse_nobody(self):
        """Guards against suspects that come from a broken connection or a refusal."""
        for error in (OutcomeLostError("reset"), UpstreamUnavailableError("refused")):
            with self.assertRaises(type(error)):
                async with self.a.quarantine.guard(make_request()):
                    raise error
        with self.assertRaises(UpstreamUnavailableError):
            async with self.a.quarantine.guard(make_request()):
                self.a.upstream.crashes += 1
                raise UpstreamUnavailableError("never sent")
        self.assertEqual(self.a.quarantine.suspects, ())

    async def test_quarantine_ends(self):
        """Guards against a request that is refused for good."""
        now = 0.0
        clock = SimpleNamespace(now=lambda: now, sleep=asyncio.sleep)
        with mock.patch.object(module, "_QUARANTINE_S", 10.0):
            registry = StubRegistry(
                clock=clock,
                peers=self.a.peers,
                upstream=self.a.upstream,
                groups=SimpleNamespace(view=lambda _: None),
                membership=SimpleNamespace(member_id="a:1", home=None),
            )
            self.a.quarantine.bind(registry)
        request = make_request()
        await self.a.crash(request)
        await self.a.crash(request)
        with self.assertRaises(QuarantinedError):
            await self.a.succeed(request)
        now = 11.0
        await self.a.succeed(request)

    async def test_reports_of_strangers_are_ignored(self):
        """Guards against a routing client that quarantines requests of the group."""
        report = CrashReport("a:1", quarantined=(fingerprint_of(make_request()),))
        self.a.peers.handlers[CrashReport]("client:1", report)
        await self.a.succeed(make_request())

    async def test_fingerprint_of_streamed_bodies(self):
        """Guards against an upload that evades its quarantine by the way it is sent."""
        whole = make_request(body=b"ab" * 10)
        streamed = make_request(body=StreamedBody(b"ab", b"ab" * 9))
        async with self.a.quarantine.guard(streamed) as read:
            self.assertIsInstance(read.body, BytesBody)
            self.assertEqual(fingerprint_of(read), fingerprint_of(whole))
        pieces = (b"x" * 40_000, b"y" * 40_000, b"z" * 40_000)
        prints = set()
        for body in (StreamedBody(*pieces), StreamedBody(pieces[0] + pieces[1], pieces[2])):
            async with self.a.quarantine.guard(make_request(body=body)) as read:
                prints.add(fingerprint_of(read))
                self.assertEqual(
                    b"".join([chunk async for chunk in read.body.chunks()]), b"".join(pieces)
                )
                self.assertTrue(read.body.started)
                await read.body.close()
                self.assertTrue(body.closed)
        self.assertEqual(len(prints), 1)
        self.assertNotEqual(fingerprint_of(make_request(key="o")), fingerprint_of(make_request()))

    async def test_body_that_breaks_before_the_run(self):
        """Guards against an unknown outcome for a request of which no byte was passed on."""
        body = StreamedBody(b"a", error=BodyTruncatedError("gone"))
        with self.assertRaises(InvalidRequestError):
            await self.a.succeed(make_request(body=body))
