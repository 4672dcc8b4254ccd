"""Invariants 3, 4 and 5: whole answers, honest refusals and at most one run."""

from __future__ import annotations

import asyncio
from collections import Counter

from fescueward.messages import Limits, RequestClass
from fescueward.testing.callers import CallerRequest
from fescueward.testing.journal import EventKind
from fescueward.testing.load import ClosedLoop
from fescueward.testing.platform import Faults, Mode
from fescueward.testing.scenarios import run_under_load
from fescueward.testing.waiting import wait_until

from .base import DeploymentTestCase, deployment_spec, joined, removed, wait


class WholeAnswerTest(DeploymentTestCase):
    async def test_large_answers_while_owners_and_upstreams_are_lost(self):
        """Guards against truncated or mixed-up answers that look whole."""
        deployment = await self.deploy(deployment_spec())
        first, second = deployment.members[:2]

        async def lose() -> None:
            await first.upstream.kill()
            await wait(0.3)
            await deployment.kill_member(second)
            await wait_until(lambda: removed(deployment, second.name), 10, "removed")

        small = run_under_load(deployment, lose, tail_s=2.0, resends=3)
        large = run_under_load(
            deployment,
            lambda: wait(4.0),
            tail_s=1.0,
            pace=ClosedLoop(4),
            query=(("size", "1500000"), ("sleep_ms", "20")),
            resends=3,
        )
        for seen in await asyncio.gather(small, large):
            self.assert_holds(seen)
            self.assertEqual(seen.summary.wrong_answers, 0)
            self.assertGreater(seen.summary.successes, 0)

    async def test_truncated_answers_are_never_whole(self):
        """Guards against a short body that the caller takes for the whole answer."""
        deployment = await self.deploy(deployment_spec(members=2))
        for member in deployment.members:
            for size in ("100", "500000"):
                request = CallerRequest(
                    service="depot", key="key-1", query=(("truncate", "1"), ("size", size))
                )
                answer = await deployment.send(request, member)
                self.assertFalse(answer.succeeded, answer.label)


class AtMostOnceTest(DeploymentTestCase):
    async def test_jobs_sent_again_during_kill_pause_and_handover(self):
        """Guards against a second run of a job that is sent again through other agents."""
        deployment = await self.deploy(
            deployment_spec(request_class=RequestClass.ONCE, limits=Limits(deadline_ms=1500))
        )
        killed, paused, leaving = deployment.members[:3]

        async def fail() -> None:
            leaving.agent.terminate()
            await leaving.agent.wait(30.0)
            await deployment.start_member(leaving)
            await wait_until(lambda: joined(deployment, leaving.name), 20, "back")
            await deployment.pause_member(paused)
            await wait_until(lambda: removed(deployment, paused.name), 10, "removed")
            deployment.resume_member(paused)
            await wait_until(lambda: joined(deployment, paused.name), 20, "back")
            await deployment.kill_member(killed)
            await wait_until(lambda: removed(deployment, killed.name), 10, "removed")

        seen = await run_under_load(
            deployment, fail, tail_s=2.0, resends=6, query=(("sleep_ms", "30"),), method="POST"
        )
        self.assert_holds(seen)
        runs = Counter(
            event.token
            for event in deployment.journal_events()
            if event.kind is EventKind.START and event.token
        )
        self.assertEqual([token for token, count in runs.items() if count > 1], [])

    async def test_outage_and_lost_owner(self):
        """Guards against jobs that run again because an outage hides who owned them."""
        deployment = await self.deploy(
            deployment_spec(request_class=RequestClass.ONCE, limits=Limits(deadline_ms=800))
        )
        killed = deployment.members[0]

        async def fail() -> None:
            await deployment.platform.set_faults(Faults(mode=Mode.DOWN))
            await deployment.kill_member(killed)
            await wait(2.5)
            await deployment.platform.set_faults(Faults())
            await wait_until(lambda: removed(deployment, killed.name), 10, "removed")

        seen = await run_under_load(
            deployment, fail, tail_s=1.5, resends=6, query=(("sleep_ms", "20"),), method="POST"
        )
        self.assert_holds(seen)


class NotRunTest(DeploymentTestCase):
    async def test_not_run_under_overload_and_loss(self):
        """Guards against a request that is reported as not run although an upstream ran it."""
        deployment = await self.deploy(
            deployment_spec(
                request_class=RequestClass.ONCE,
                limits=Limits(deadline_ms=400, queue_length=8),
                member={"slots": 2, "work_ms": 20},
            )
        )
        victim = deployment.members[0]

        async def fail() -> None:
            await victim.upstream.pause()
            await wait(0.7)
            victim.upstream.resume()
            await wait(0.5)
            await deployment.kill_member(victim)
            await wait_until(lambda: removed(deployment, victim.name), 10, "removed")

        seen = await run_under_load(
            deployment, fail, tail_s=1.0, pace=ClosedLoop(40), method="POST", body=b"charge"
        )
        self.assert_holds(seen)
        self.assertIn("overloaded", seen.summary.refusals)


class CrashingRequestTest(DeploymentTestCase):
    async def test_crashing_request_stops_after_two_upstreams(self):
        """Guards against one request that takes down upstream after upstream."""
        deployment = await self.deploy(deployment_spec(members=4))
        others = run_under_load(
            deployment,
            lambda: self._crash(deployment),
            tail_s=0.5,
            pace=ClosedLoop(4, 0.02),
            resends=8,
        )
        seen = await others
        self.assertTrue(seen.verdict.holds, str(seen.verdict))
        self.assertLessEqual(self._dead(deployment), 2)
        request = CallerRequest(service="depot", key="key-1", path="bad", query=(("crash", "1"),))
        alive = next(member for member in deployment.members if member.upstream.running)
        self.assertEqual((await deployment.send(request, alive)).label, "quarantined")
        good = CallerRequest(service="depot", key="key-1")

        async def served() -> bool:
            return (await deployment.send(good, alive)).succeeded

        await wait_until(served, 10, "other requests with the key are served")

    async def _crash(self, deployment):
        for _ in range(12):
            request = CallerRequest(
                service="depot", key="key-1", path="bad", query=(("crash", "1"),), deadline_ms=2000
            )
            answer = await deployment.send(request, deployment.members[3])
            if answer.label == "quarantined":
                return
            await wait(0.3)

    def _dead(self, deployment) -> int:
        return sum(not member.upstream.running for member in deployment.members)
