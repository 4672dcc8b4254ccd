"""Tests of retries, waiting for an owner and the retry budget."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from types import SimpleNamespace

from fescueward.kernel.errors import (
    DeadlineExceededRunningError,
    LeaseExpiredError,
    NoOwnerError,
    NotOwnerError,
    OutcomeLostError,
    OverloadedError,
    OwnerUnreachableError,
    RefusalError,
    UpstreamRefusedError,
    UpstreamUnavailableError,
)
from fescueward.messages import GroupId, RequestClass
from fescueward.services.router import OwnerRouter

from .fakes import (
    CLOCK,
    FakeCatalogue,
    FakeGroups,
    FakePeers,
    ScriptedCall,
    StreamedBody,
    StubRegistry,
    make_entry,
    make_group,
    make_request,
    make_response,
    make_settings,
)
from .timed_fakes import AgentLoop, ManualClock, World


class RouterTest(unittest.IsolatedAsyncioTestCase):
    def make_router(
        self,
        *results,
        owner="b:1",
        request_class=RequestClass.REPEATABLE,
        own_group_id=None,
        clock=CLOCK,
    ):
        self.forward = ScriptedCall(*results)
        self.execute = ScriptedCall(*results)
        self.peers = FakePeers(self.forward)
        self.groups = FakeGroups(make_group(1, owner, "a", "b", "c"))
        router = OwnerRouter()
        router.bind(
            StubRegistry(
                clock=clock,
                catalogue=FakeCatalogue(make_entry(request_class)),
                groups=self.groups,
                peers=self.peers,
                membership=SimpleNamespace(member_id="a:1", own_group_id=own_group_id),
                execution=SimpleNamespace(execute=self.execute),
                settings=make_settings(),
            )
        )
        return router

    async def fill_budget(self, router, retries=1):
        """Sends successful requests until the budget permits at least one retry."""
        results, self.forward.results = self.forward.results, type(self.forward.results)()
        self.forward.results.append(make_response())
        for _ in range(10 * retries + 1):
            await router.route(make_request())
        self.forward.results = results
        self.forward.calls.clear()

    async def test_unknown_outcome_is_kept_after_an_attempt_that_did_not_run(self):
        """Guards against `not_run` for a request whose earlier attempt may have run."""
        router = self.make_router()
        await self.fill_budget(router)
        self.forward.results.extend(
            [OutcomeLostError("stream ended"), *[OwnerUnreachableError("gone")] * 200]
        )
        with self.assertRaises(OutcomeLostError) as caught:
            await router.route(make_request(timeout_s=0.3))
        self.assertIn("owner_unreachable", str(caught.exception))

    async def test_owner_runs_the_request(self):
        """Guards against forwarding a request to its own agent, or to a member without the key."""
        router = self.make_router(make_response(), owner="a:1")
        await router.route(make_request())
        self.assertEqual((len(self.execute.calls), len(self.forward.calls)), (1, 0))
        router = self.make_router(make_response(), owner="b:1")
        await router.route(make_request())
        self.assertEqual(self.forward.calls[0][0].id, "b:1")

    async def test_hint_is_followed_at_once(self):
        """Guards against waiting for a newer group version when the refusal names the owner."""
        router = self.make_router(NotOwnerError("moved", owner_id="c:1"), make_response())
        await router.route(make_request())
        self.assertEqual([call[0].id for call in self.forward.calls], ["b:1", "c:1"])
        self.assertEqual(self.groups.update_count, 0)

    async def test_circular_hints_are_bounded(self):
        """Guards against two agents that redirect a request to each other until its deadline."""
        router = self.make_router(NotOwnerError("moved", owner_id="c:1"))
        with self.assertRaises(NotOwnerError):
            await router.route(make_request(0.3))
        self.assertLess(len(self.forward.calls), 20)

    async def test_waits_for_a_new_owner_within_the_deadline(self):
        """Guards against a refusal although an owner is assigned before the deadline."""
        router = self.make_router(make_response(), owner=None)
        waiting = asyncio.create_task(router.route(make_request(5.0)))
        await asyncio.sleep(0.02)
        self.groups.set(make_group(2, "c:1", "a", "c"))
        self.assertEqual((await asyncio.wait_for(waiting, 2)).status, 200)

    async def test_wait_ends_at_the_deadline_with_the_reason(self):
        """Guards against an unbounded wait, and a refusal that hides the reason."""
        router = self.make_router(make_response(), owner=None)
        with self.assertRaises(NoOwnerError) as caught:
            await asyncio.wait_for(router.route(make_request(0.1)), 2)
        self.assertEqual(caught.exception.outcome, "not_run")

    def route_together(self, view, count, timeout_s):
        """Returns the results of requests that are routed at once, on simulated time."""
        world = World()
        loop = world.loops["a"] = AgentLoop(world, 100.0, 1.0)
        router = self.make_router(make_response(), clock=ManualClock(loop))
        self.groups.current = view
        request = replace(make_request(), deadline=loop.time() + timeout_s)
        tasks = []
        loop.call_soon(
            lambda: tasks.extend(loop.create_task(router.route(request)) for _ in range(count))
        )
        world.advance(2 * timeout_s)
        return [task.exception() for task in tasks]

    def test_waiting_requests_share_their_questions(self):
        """Guards against platform load that grows with the number of waiting requests."""
        for view in (None, make_group(1, None, "b")):
            results = self.route_together(view, 200, 0.6)
            self.assertEqual([type(result) for result in results], [NoOwnerError] * 200)
            self.assertTrue(1 <= self.groups.update_count <= 5, self.groups.update_count)

    async def test_own_group_is_not_updated(self):
        """Guards against update calls for a group whose versions arrive with lease renewals."""
        router = self.make_router(make_response(), owner=None, own_group_id=GroupId("depot", 0))
        with self.assertRaises(NoOwnerError):
            await router.route(make_request(0.1))
        self.assertEqual(self.groups.update_count, 0)

    async def test_not_run_is_tried_again_for_every_class(self):
        """Guards against refusing a request that has not reached an upstream."""
        for error in (
            LeaseExpiredError("ended"),
            OwnerUnreachableError("refused"),
            UpstreamUnavailableError("refused"),
        ):
            router = self.make_router(error, make_response(), request_class=RequestClass.ONCE)
            self.assertEqual((await router.route(make_request())).status, 200)

    async def test_unknown_outcome_is_tried_again_only_if_repeatable(self):
        """Guards against a payment that runs twice."""
        for request_class, attempts in ((RequestClass.ONCE, 1), (RequestClass.REPEATABLE, 2)):
            router = self.make_router(
                OutcomeLostError("reset"), make_response(), request_class=request_class
            )
            await self.fill_budget(router)
            try:
                await router.route(make_request())
            except OutcomeLostError:
                self.assertEqual(request_class, RequestClass.ONCE)
            self.assertEqual(len(self.forward.calls), attempts)

    async def test_body_that_has_begun_is_never_sent_twice(self):
        """Guards against a second upload attempt that lacks the part already read."""
        for error in (OutcomeLostError("reset"), LeaseExpiredError("ended")):
            router = self.make_router(error, make_response())
            await self.fill_budget(router)
            body = StreamedBody(b"x")
            body.started = True
            with self.assertRaises(type(error)):
                await router.route(make_request(body=body))
            self.assertEqual(len(self.forward.calls), 1)
            unread = make_request(body=StreamedBody(b"x"))
            await router.route(unread)

    async def test_final_refusals_are_not_tried_again(self):
        """Guards against retries that add load to an overloaded upstream."""
        for error in (OverloadedError("full"), DeadlineExceededRunningError("late")):
            router = self.make_router(error, make_response())
            await self.fill_budget(router, 3)
            with self.assertRaises(type(error)):
                await router.route(make_request())
            self.assertEqual(len(self.forward.calls), 1)

    async def test_attempts_stay_within_the_budget(self):
        """Guards against a retry storm when one upstream fails all its requests."""
        for error in (OutcomeLostError("reset"), UpstreamRefusedError("grant")):
            router = self.make_router(error)
            requests = 300
            for _ in range(requests):
                with self.assertRaises(RefusalError):
                    await router.route(make_request(0.05))
            self.assertGreater(len(self.forward.calls), requests)
            self.assertLessEqual(len(self.forward.calls) / requests, 1.1)

    async def test_deadline_after_an_unknown_outcome_keeps_it(self):
        """Guards against `not_run` for a request that may have run before its deadline."""
        router = self.make_router(OutcomeLostError("reset"))
        await self.fill_budget(router, 3)
        with self.assertRaises(OutcomeLostError):
            await router.route(make_request(0.03))

    async def test_streams_to_members_that_left_are_dropped(self):
        """Guards against requests that wait for a removed owner until their deadline."""
        router = self.make_router(make_response())
        router.group_changed(make_group(1, "b:1", "a", "b"))
        router.group_changed(make_group(2, "a:1", "a"))
        self.assertEqual(self.peers.dropped, ["b:1"])
