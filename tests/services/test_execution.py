"""Tests of `OwnerExecution`: tickets during a run, body limits and outcomes after a run."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace

from fescueward.kernel.errors import (
    BodyTooLargeError,
    BodyTruncatedError,
    LeaseExpiredError,
    OutcomeLostError,
    TokenRequiredError,
)
from fescueward.messages import RequestClass, Response
from fescueward.services.admission import SlotAdmission
from fescueward.services.execution import OwnerExecution
from fescueward.services.outcomes import RetainedOutcomes

from .fakes import (
    FakeCatalogue,
    FakePeers,
    ScriptedCall,
    StreamedBody,
    StubRegistry,
    make_announcement,
    make_entry,
    make_request,
    make_response,
    null_async_context,
)


class Ticket:
    """A ticket whose lease ends after `checks_left` checks."""

    shard, epoch = 3, 7

    def __init__(self) -> None:
        self.hold_count = 0
        self.checks_left = 1000

    def __enter__(self):
        self.hold_count += 1
        return self

    def __exit__(self, *_):
        self.hold_count -= 1

    def check(self):
        self.checks_left -= 1
        if self.checks_left < 0:
            raise LeaseExpiredError("ended")


class ExecutionTest(unittest.IsolatedAsyncioTestCase):
    def make_execution(self, *results, request_class=RequestClass.REPEATABLE, **limits):
        self.ticket = Ticket()
        self.run_upstream = ScriptedCall(*results)
        self.execution = OwnerExecution()
        self.execution.bind(
            StubRegistry(
                catalogue=FakeCatalogue(make_entry(request_class, **limits)),
                ownership=SimpleNamespace(admit=ScriptedCall(self.ticket)),
                outcomes=SimpleNamespace(issue=lambda shard, epoch: "3.7.0.x"),
                admission=SimpleNamespace(slot=lambda request, entry: null_async_context()),
                quarantine=SimpleNamespace(guard=null_async_context),
                upstream=SimpleNamespace(run=self.run_upstream),
                load=SimpleNamespace(record=lambda *_: None),
                peers=FakePeers(),
            )
        )
        return self.execution

    async def test_lease_that_ends_during_the_run(self):
        """Guards against `not_run` for a request that has run."""
        execution = self.make_execution(make_response())
        self.ticket.checks_left = 1
        with self.assertRaises(OutcomeLostError) as caught:
            await execution.execute(make_request())
        self.assertEqual(caught.exception.outcome, "outcome_unknown")
        self.assertEqual((len(self.run_upstream.calls), self.ticket.hold_count), (1, 0))

    async def test_lease_that_ends_before_the_run(self):
        """Guards against a run, or an unknown outcome, after the end of the lease."""
        execution = self.make_execution(make_response())
        self.ticket.checks_left = 0
        with self.assertRaises(LeaseExpiredError):
            await execution.execute(make_request())
        self.assertEqual((self.run_upstream.calls, self.ticket.hold_count), ([], 0))

    async def test_streamed_response_holds_the_ticket_until_it_is_read_or_closed(self):
        """Guards against a handover during a streamed response, and against leaking tickets."""
        for read in (True, False):
            body = StreamedBody(b"a", b"b")
            execution = self.make_execution(Response("r1", 200, (), body))
            response = await execution.execute(make_request())
            self.assertEqual(self.ticket.hold_count, 1)
            if read:
                self.assertEqual([chunk async for chunk in response.body.chunks()], [b"a", b"b"])
            await response.body.close()
            self.assertEqual((self.ticket.hold_count, body.closed), (0, True))

    async def test_lease_that_ends_in_a_streamed_response(self):
        """Guards against sending stale chunks of a response after the key has a new owner."""
        execution = self.make_execution(Response("r1", 200, (), StreamedBody(b"a", b"b")))
        response = await execution.execute(make_request())
        self.ticket.checks_left = 1
        chunks = response.body.chunks()
        self.assertEqual(await anext(chunks), b"a")
        with self.assertRaises(BodyTruncatedError):
            await anext(chunks)
        self.assertEqual(self.ticket.hold_count, 0)

    async def test_body_limit(self):
        """Guards against bodies above the limit of the entry, with and without a known length."""
        execution = self.make_execution(make_response(), max_body_bytes=10)
        for body in (b"x" * 11, StreamedBody(b"x", length=11)):
            with self.assertRaises(BodyTooLargeError):
                await execution.execute(make_request(body=body))
        self.assertEqual(self.run_upstream.calls, [])
        await execution.execute(make_request(body=StreamedBody(b"x" * 6, b"x" * 6)))
        with self.assertRaises(BodyTooLargeError):
            async for _ in self.run_upstream.calls[0][0].body.chunks():
                pass

    async def test_class_once_needs_a_token(self):
        """Guards against running a request of class `once` without a token."""
        execution = self.make_execution(make_response(), request_class=RequestClass.ONCE)
        with self.assertRaises(TokenRequiredError) as caught:
            await execution.execute(make_request())
        self.assertEqual(caught.exception.token, "3.7.0.x")
        self.assertEqual((self.run_upstream.calls, self.ticket.hold_count), ([], 0))


class DepartedCallerTest(unittest.IsolatedAsyncioTestCase):
    """Requests with a token whose callers leave, with one slot and retained outcomes."""

    async def asyncSetUp(self):
        self.outcomes = RetainedOutcomes()
        self.outcomes.begin_epoch(3, 7, (7,), 0, 0)
        self.admission = SlotAdmission()
        self.admission.bind(StubRegistry())
        self.admission.observe_announcement(make_announcement(1))
        self.runs: list[str] = []
        self.proceed = asyncio.Event()
        self.execution = OwnerExecution()
        self.execution.bind(
            StubRegistry(
                catalogue=FakeCatalogue(make_entry(RequestClass.ONCE)),
                ownership=SimpleNamespace(admit=self.admit),
                outcomes=self.outcomes,
                admission=self.admission,
                quarantine=SimpleNamespace(guard=null_async_context),
                upstream=SimpleNamespace(run=self.run_upstream),
                load=SimpleNamespace(record=lambda *_: None),
                peers=FakePeers(),
            )
        )

    async def admit(self, service, key, deadline):
        return Ticket()

    async def run_upstream(self, request, shard, epoch, deadline):
        self.runs.append(request.token)
        await self.proceed.wait()
        return make_response(b"paid")

    async def begin(self, token: str) -> asyncio.Task[Response]:
        task = asyncio.create_task(self.execution.execute(make_request(token=token)))
        await asyncio.sleep(0.01)
        return task

    async def test_request_that_waits_is_withdrawn_and_keeps_its_token(self):
        """Guards against a run for a caller that has left, and against using up its token."""
        first, second = self.outcomes.issue(3, 7), self.outcomes.issue(3, 7)
        running, waiting = await self.begin(first), await self.begin(second)
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        self.proceed.set()
        await running
        self.assertEqual(self.runs, [first])
        self.assertEqual((await (await self.begin(second))).body.data, b"paid")

    async def test_run_ends_and_its_outcome_is_retained(self):
        """Guards against breaking off a payment whose caller comes back for the outcome."""
        token = self.outcomes.issue(3, 7)
        running = await self.begin(token)
        running.cancel()
        await asyncio.sleep(0.01)
        self.assertFalse(running.done())
        self.proceed.set()
        with self.assertRaises(asyncio.CancelledError):
            await running
        self.assertEqual((await (await self.begin(token))).body.data, b"paid")
        self.assertEqual(self.runs, [token])

    async def test_stop_breaks_a_run_off(self):
        """Guards against a process that does not end because of one run."""
        running = await self.begin(self.outcomes.issue(3, 7))
        await self.execution.stop()
        running.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await asyncio.wait_for(running, 1)
