"""Tests of invariants 3, 4 and 5: intact responses, correct refusals and at most one run."""

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

from .base import DeploymentTestCase, deployment_spec, is_member, is_removed, wait


class WholeAnswerTest(DeploymentTestCase):
    async def test_large_answers_while_owners_and_upstreams_are_lost(self):
        """Guards against truncated or swapped responses that seem intact to the caller."""
        deployment = await self.deploy(deployment_spec())
        first, second = deployment.members[:2]

        async def fail() -> None:
            await first.upstream.kill()
            await wait(0.3)
            await deployment.kill_member(second)
            await wait_until(lambda: is_removed(deployment, second.name), 10, "removed")

        small = run_under_load(deployment, fail, tail_s=2.0, resends=3)
        large = run_under_load(
            deployment,
            lambda: wait(4.0),
            tail_s=1.0,
            pace=ClosedLoop(4),
            query=(("size", "1500000"), ("sleep_ms", "20")),
            resends=3,
        )
        for result in await asyncio.gather(small, large):
            self.assert_holds(result)
            self.assertEqual(result.summary.wrong_answers, 0)
            self.assertGreater(result.summary.successes, 0)

    async def test_truncated_answers_are_never_accepted(self):
        """Guards against a truncated body that the caller accepts as complete."""
        deployment = await self.deploy(deployment_spec(members=2))
        for member in deployment.members:
            for size in ("100", "500000"):
                request = CallerRequest(
                    service="depot", key="key-1", query=(("truncate", "1"), ("size", size))
                )
                response = await deployment.send(request, member)
                self.assertFalse(response.succeeded, response.label)


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
            await wait_until(lambda: is_member(deployment, leaving.name), 20, "back")
            await deployment.pause_member(paused)
            await wait_until(lambda: is_removed(deployment, paused.name), 10, "removed")
            deployment.resume_member(paused)
            await wait_until(lambda: is_member(deployment, paused.name), 20, "back")
            await deployment.kill_member(killed)
            await wait_until(lambda: is_removed(deployment, killed.name), 10, "removed")

        result = await run_under_load(
            deployment, fail, tail_s=2.0, resends=6, query=(("sleep_ms", "30"),), method="POST"
        )
        self.assert_holds(result)
        runs = Counter(
            event.token
            for event in deployment.journal_events()
            if event.kind is EventKind.START and event.token
        )
        self.assertEqual([token for token, count in runs.items() if count > 1], [])

    async def test_outage_and_lost_owner(self):
        """Guards against jobs that run again because the owner is lost during an outage."""
        deployment = await self.deploy(
            deployment_spec(request_class=RequestClass.ONCE, limits=Limits(deadline_ms=800))
        )
        killed = deployment.members[0]

        async def fail() -> None:
            await deployment.platform.set_faults(Faults(mode=Mode.DOWN))
            await deployment.kill_member(killed)
            await wait(2.5)
            await deployment.platform.set_faults(Faults())
            await wait_until(lambda: is_removed(deployment, killed.name), 10, "removed")

        result = await run_under_load(
            deployment, fail, tail_s=1.5, resends=6, query=(("sleep_ms", "20"),), method="POST"
        )
        self.assert_holds(result)


class NotRunTest(DeploymentTestCase):
    async def test_not_run_under_overload_and_loss(self):
        """Guards against a request that was run but is reported as not run."""
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
            await wait_until(lambda: is_removed(deployment, victim.name), 10, "removed")

        result = await run_under_load(
            deployment, fail, tail_s=1.0, pace=ClosedLoop(40), method="POST", body=b"charge"
        )
        self.assert_holds(result)
        self.assertIn("overloaded", result.summary.refusals)


class CrashingRequestTest(DeploymentTestCase):
    async def test_crashing_request_stops_after_two_upstreams(self):
        """Guards against one request that crashes one upstream after another."""
        deployment = await self.deploy(deployment_spec(members=4))
        other_requests = run_under_load(
            deployment,
            lambda: self._crash(deployment),
            tail_s=0.5,
            pace=ClosedLoop(4, 0.02),
            resends=8,
        )
        result = await other_requests
        self.assertTrue(result.verdict.holds, str(result.verdict))
        self.assertLessEqual(self._count_stopped_upstreams(deployment), 2)
        request = CallerRequest(service="depot", key="key-1", path="bad", query=(("crash", "1"),))
        running = next(member for member in deployment.members if member.upstream.running)
        self.assertEqual((await deployment.send(request, running)).label, "quarantined")
        harmless_request = CallerRequest(service="depot", key="key-1")

        async def served() -> bool:
            return (await deployment.send(harmless_request, running)).succeeded

        await wait_until(served, 10, "other requests with the key are served")

    async def _crash(self, deployment):
        for _ in range(12):
            request = CallerRequest(
                service="depot", key="key-1", path="bad", query=(("crash", "1"),), deadline_ms=2000
            )
            response = await deployment.send(request, deployment.members[3])
            if response.label == "quarantined":
                return
            await wait(0.3)

    def _count_stopped_upstreams(self, deployment) -> int:
        return sum(not member.upstream.running for member in deployment.members)
