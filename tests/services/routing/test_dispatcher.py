"""Tests of the attempts and retries of `DispatchRouter`."""

import asyncio
import contextlib
import unittest
from dataclasses import replace
from types import SimpleNamespace

from fescueward.kernel import BootClock, Kernel, Outcome
from fescueward.kernel.bounds import Bounds
from fescueward.kernel.errors import (
    AnswerLostError,
    DrainingError,
    EvacuatedError,
    NoOwnerError,
    OverloadedError,
    OwnerUnreachableError,
    QuarantinedError,
    RefusalError,
    ShardMovingError,
)
from fescueward.messages import Group, GroupId, VersionedGroup
from fescueward.messages.group import LAST_KEY, KeyRange
from fescueward.messages.request import Occupancy
from fescueward.services.routing.dispatcher import DispatchRouter
from fescueward.services.shutdown import GracefulShutdown
from tests.services.fakes import FailedCall, StubRegistry, make_request, make_response
from tests.services.groups_for_tests import member, with_added_members


class FakePeers:
    """Responds for the reachable members."""

    def __init__(self, *reachable: str) -> None:
        self.reachable = set(reachable)
        self.forwarded: list[str] = []
        self.inner: list[bool] = []
        self.refusal: RefusalError | None = None
        # Raised from the second request on; `refusal` if None.
        self.later_refusal: RefusalError | None = None

    def dial(self, member) -> bool:
        return member.id in self.reachable

    async def forward(self, member, request):
        self.forwarded.append(member.id)
        self.inner.append(request.inner)
        if self.later_refusal is not None and len(self.forwarded) > 1:
            raise self.later_refusal
        if self.refusal is not None:
            raise self.refusal
        if member.id not in self.reachable:
            raise OwnerUnreachableError(f"no stream to {member.id}")
        return make_response(b"ok")

    def retire(self, member_id: str) -> None:
        """Ignored: this fake has no streams."""


class RouterCase(unittest.IsolatedAsyncioTestCase):
    """A router of one group, without an upstream of its own."""

    group = with_added_members(
        Group("depot", 0, 1, ranges=(KeyRange(0, LAST_KEY, "b:1", 1),)), member("b")
    )

    evacuations: object = None

    def setUp(self):
        self.kernel = Kernel()
        self.shutdown = GracefulShutdown(self.kernel)
        self.shutdown.bind(StubRegistry(bounds=Bounds(grace_s=1.3)))

    def router(self, peers: FakePeers) -> DispatchRouter:
        view = VersionedGroup(1, self.group)
        groups = SimpleNamespace(
            view=lambda group_id: view if group_id == GroupId("depot", 0) else None,
            subscribe=lambda listener: None,
            wait_until_newer=self.unchanged,
        )
        optional = {"evacuations": self.evacuations} if self.evacuations is not None else {}
        router = DispatchRouter()
        router.bind(
            StubRegistry(
                **optional,
                clock=BootClock(),
                bounds=Bounds(),
                groups=groups,
                routes=None,
                peers=peers,
                membership=SimpleNamespace(member_id="a:1"),
                execution=None,
                shutdown=self.shutdown,
                settings=SimpleNamespace(agent=SimpleNamespace(failure_domain="lowell")),
            )
        )
        return router

    async def unchanged(self, group: GroupId, version: int, timeout_s: float) -> bool:
        await asyncio.sleep(timeout_s)
        return False


class DispatchRouterTest(RouterCase):
    async def test_restarted_agent_is_reached_by_its_address(self):
        """Guards against unused upstreams whose restarted agent could not rejoin its group."""
        peers = FakePeers("b:0")
        response = await self.router(peers).route(make_request(1.0, key=""))
        self.assertEqual((response.status, peers.forwarded), (200, ["b:1", "b:0"]))

    async def test_keys_are_sent_to_their_owner_alone(self):
        """Guards against sending a keyed request to an agent that does not own the key."""
        peers = FakePeers("b:0")
        with self.assertRaises(RefusalError):
            await self.router(peers).route(make_request(0.2, key="5"))
        self.assertEqual(set(peers.forwarded), {"b:1"})

    async def test_stopping_agent_begins_no_attempt_that_it_may_cut(self):
        """Guards against a request that is sent again late in the grace and cut at its end."""
        peers = FakePeers("b:1")
        peers.refusal = OwnerUnreachableError("no stream to b:1")
        self.kernel.request_stop()
        with self.assertRaises(DrainingError) as refused:
            await self.router(peers).route(make_request(5.0, key="5"))
        self.assertIs(refused.exception.outcome, Outcome.NOT_RUN)
        self.assertLess(self.kernel.stopping_s, 0.6)

    async def test_quarantined_request_is_not_offered_again(self):
        """Guards against retrying a quarantined request at agents without a report of it."""
        for key in ("", "5"):
            peers = FakePeers("b:1", "b:0")
            peers.refusal = QuarantinedError("three crashes")
            with self.assertRaises(QuarantinedError):
                await self.router(peers).route(make_request(0.5, key=key))
            self.assertEqual(peers.forwarded, ["b:1"])

    async def test_call_is_forwarded_as_such_and_its_end_is_reported(self):
        """Guards against calls that wait behind new work, and against ends nobody learns of."""
        for refusal in (None, OverloadedError("full")):
            peers, ends = FakePeers("b:1"), []
            peers.refusal = refusal
            router = self.router(peers)
            router.watch_calls(
                SimpleNamespace(
                    arrived=lambda request: request.route == "lookup",
                    call_ended=lambda request, error, seconds, ends=ends: ends.append(error),
                )
            )
            for route in ("lookup", "page"):
                with contextlib.suppress(OverloadedError):
                    await router.route(make_request(1.0, key="5", route=route))
            self.assertEqual(peers.inner, [True, False])
            self.assertEqual(ends, [refusal])


class OutageTest(RouterCase):
    """Six owners, all of which have ended."""

    group = with_added_members(
        Group(
            "depot",
            0,
            1,
            ranges=tuple(KeyRange(n * 100, n * 100 + 99, f"m{n}:1", 1) for n in range(6)),
        ),
        *(member(f"m{n}") for n in range(6)),
    )

    async def test_callers_are_told_to_come_back_while_all_owners_are_unreachable(self):
        """Guards against requests that are held until they are late while a fleet returns."""
        peers = FakePeers()
        router = self.router(peers)
        for key in ("0", "100", "200"):
            with self.assertRaises(RefusalError):
                await router.route(make_request(0.2, key=key))
        peers.forwarded.clear()
        for key in ("300", "400", "500"):
            with self.assertRaises(RefusalError) as refused:
                await router.route(make_request(5.0, key=key))
            self.assertIs(refused.exception.outcome, Outcome.NOT_RUN)
            self.assertGreaterEqual(refused.exception.retry_after_s, 0.4)
        self.assertEqual(peers.forwarded, ["m3:1", "m4:1", "m5:1"])


class EvacuatedDomainTest(RouterCase):
    """The owner of all keys, `b`, and `c` are in an evacuated domain; `d` is in another one."""

    group = with_added_members(
        RouterCase.group,
        *(
            replace(member(name), failure_domain=domain)
            for name, domain in (("b", "d0"), ("c", "d0"), ("d", "d1"))
        ),
    )
    evacuations = SimpleNamespace(domains=frozenset({"d0"}))

    async def test_requests_without_a_key_go_to_other_domains(self):
        """Guards against requests that reach an evacuated upstream and are refused there."""
        peers = FakePeers("b:1", "c:1", "d:1")
        for _ in range(20):
            await self.router(peers).route(make_request(1.0, key=""))
        self.assertEqual(set(peers.forwarded), {"d:1"})

    async def test_refused_at_once_when_nothing_else_is_left(self):
        """Guards against requests that wait for their deadline without an upstream."""
        self.evacuations = SimpleNamespace(domains=frozenset({"d0", "d1"}))
        peers = FakePeers("b:1", "c:1", "d:1")
        peers.refusal = EvacuatedError("closed")
        for key, sent in (("", []), ("7", ["b:1"])):
            peers.forwarded.clear()
            with self.assertRaises(NoOwnerError if not key else EvacuatedError) as refused:
                await self.router(peers).route(make_request(5.0, key=key))
            self.assertIs(refused.exception.outcome, Outcome.NOT_RUN)
            self.assertEqual(peers.forwarded, sent)
            if not key:
                self.assertGreater(refused.exception.retry_after_s, 0)

    async def test_owner_is_asked_until_its_keys_have_moved(self):
        """Guards against keys that are refused although their owner still serves them."""
        peers = FakePeers("b:1", "d:1")
        self.assertEqual((await self.router(peers).route(make_request(1.0, key="7"))).status, 200)
        peers.refusal = EvacuatedError("closed")
        with self.assertRaises(EvacuatedError):
            await self.router(peers).route(make_request(0.4, key="7"))
        self.assertEqual(set(peers.forwarded), {"b:1"})
        self.assertGreater(len(peers.forwarded), 3)

    async def test_router_that_does_not_know_yet_tries_another_domain(self):
        """Guards against a failure in the moment at which the gates know and a router does not."""
        self.evacuations = None
        peers = FakePeers("b:1", "c:1", "d:1")
        forward = peers.forward

        async def refuse_in_d0(member, request):
            if member.failure_domain == "d0":
                raise EvacuatedError("begun")
            return await forward(member, request)

        peers.forward = refuse_in_d0
        for _ in range(20):
            response = await self.router(peers).route(make_request(1.0, key=""))
            self.assertEqual(response.status, 200)


class MovingPeers(FakePeers):
    """The owner of the first version refuses requests, since it hands their keys over."""

    async def forward(self, member, request):
        self.forwarded.append(member.id)
        if member.id == "b:1":
            raise ShardMovingError("key 5 is being handed over")
        return make_response(b"ok")


class HandoverTest(RouterCase):
    group = with_added_members(
        Group("depot", 0, 1, ranges=(KeyRange(0, LAST_KEY, "b:1", 1),)), *map(member, "bc")
    )

    async def test_versions_about_other_keys_cause_no_further_refusals(self):
        """Requests asked the old owner again every 50 ms and with each group version.

        Found on 39 servers with hot keys: 3,917 refusals of 2,845 requests in one day.
        """
        peers = MovingPeers("b:1", "c:1")
        router = self.router(peers)
        moving = KeyRange(0, LAST_KEY, "b:1", 1, successor="c:1")
        versions = [
            replace(self.group, ranges=ranges)
            for ranges in ((moving,), (moving,), (KeyRange(0, LAST_KEY, "c:1", 2),))
        ]
        views = [VersionedGroup(number, group) for number, group in enumerate(versions, 2)]

        async def next_version(group: GroupId, version: int, timeout_s: float) -> bool:
            await asyncio.sleep(0.04)
            router._groups.view = lambda group_id: views[version - 1]
            return True

        router._groups.wait_until_newer = next_version
        response = await router.route(make_request(2.0, key="5"))
        self.assertEqual((response.status, peers.forwarded), (200, ["b:1", "c:1"]))


class LeavingPeers(FakePeers):
    """The upstream of the only member leaves, as the response to the first request says."""

    def __init__(self) -> None:
        super().__init__()
        self.departed_starts: list[str] = []

    async def forward(self, member, request):
        self.departed_starts.append(request.departed_start)
        leaving = len(self.departed_starts) == 1
        return make_response(b"ok", occupancy=Occupancy(0, 0, 6, 1.0, leaving=leaving))


class DepartedUpstreamTest(RouterCase):
    group = with_added_members(Group("depot", 0, 1), replace(member("b"), instance="i1@5"))

    async def test_departure_is_told_to_an_agent_that_may_have_restarted(self):
        """Guards against new work for a leaving upstream after a restart of its agent (DRAIN)."""
        peers = LeavingPeers()
        router = self.router(peers)
        for _ in range(3):
            await router.route(make_request(1.0, key=""))
        self.assertEqual(peers.departed_starts, ["", "i1@5", "i1@5"])


class LatePeers(FakePeers):
    """Refuses requests that other upstreams may serve, and records which may be."""

    def __init__(self) -> None:
        super().__init__()
        self.flags: list[bool] = []

    async def forward(self, member, request):
        self.flags.append(request.has_alternatives)
        if request.has_alternatives:
            raise OverloadedError("the response would be late here")
        return make_response(b"ok")


class LateResponseTest(RouterCase):
    group = with_added_members(Group("depot", 0, 1), *map(member, "bcde"))

    async def test_late_response_is_accepted_once_no_upstream_is_timely(self):
        """Guards against a request that is refused although an upstream could serve it late."""
        peers = LatePeers()
        response = await self.router(peers).route(make_request(1.0, key=""))
        self.assertEqual((response.status, peers.flags), (200, [True, True, False]))

    async def test_last_upstream_accepts_a_late_response(self):
        """Guards against a refusal by a service whose few upstreams are all full."""
        for names, expected in (("b", [False]), ("bc", [True, False])):
            self.group = with_added_members(Group("depot", 0, 1), *map(member, names))
            peers = LatePeers()
            response = await self.router(peers).route(make_request(1.0, key=""))
            self.assertEqual((response.status, peers.flags), (200, expected))


class UnknownOutcomeTest(RouterCase):
    """A request that may have run is neither run again, unless it may be, nor called not run."""

    group = with_added_members(Group("depot", 0, 1), member("b"), member("c"))

    def refusals(self, *, not_run: bool) -> list[RefusalError]:
        kinds = [RefusalError]
        for kind in kinds:
            kinds += kind.__subclasses__()
        refusals = [kind("a refusal") for kind in kinds[1:] if not kind.__subclasses__()]
        return [each for each in refusals if (each.outcome is Outcome.NOT_RUN) is not_run]

    async def outcome(self, peers: FakePeers, *, repeatable: bool) -> Outcome:
        request = make_request(0.3, key="", attempts=3, repeatable=repeatable)
        with self.assertRaises(RefusalError) as raised:
            await self.router(peers).route(request)
        return raised.exception.outcome

    async def test_request_that_must_not_run_twice_is_sent_once(self):
        """Guards against running a payment again, whatever ended its first attempt."""
        for refusal in self.refusals(not_run=False):
            with self.subTest(refusal=refusal.label):
                peers = FakePeers("b:1", "c:1")
                peers.refusal = refusal
                self.assertIsNot(await self.outcome(peers, repeatable=False), Outcome.NOT_RUN)
                self.assertEqual(len(peers.forwarded), 1)

    async def test_failed_attempt_leaves_no_body_in_memory(self):
        """Guards against bodies of failed uploads that stay in memory (review case 9)."""
        call = FailedCall(self)
        peers = FakePeers("b:1", "c:1")

        async def forward(member, request):
            peers.forwarded.append(member.id)
            if len(peers.forwarded) < 3:
                call.fail((AnswerLostError, OverloadedError)[len(peers.forwarded) - 1]("first"))
            return make_response(b"ok")

        peers.forward = forward
        request = make_request(0.5, key="", attempts=3, repeatable=True)
        with contextlib.suppress(RefusalError):
            await self.router(peers).route(request)
        self.assertEqual(call.released, [True, True])

    async def test_refusal_after_a_lost_response_does_not_say_not_run(self):
        """Guards against 'not run' for a request whose first attempt may have run."""
        for refusal in self.refusals(not_run=True):
            with self.subTest(refusal=refusal.label):
                peers = FakePeers("b:1", "c:1")
                peers.refusal = AnswerLostError("the response is lost")
                peers.later_refusal = refusal
                self.assertIsNot(await self.outcome(peers, repeatable=True), Outcome.NOT_RUN)
                self.assertGreater(len(peers.forwarded), 1)
