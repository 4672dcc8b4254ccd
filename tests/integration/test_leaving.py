"""Tests of invariants 6 and 7: leaving servers get no new work and complete all requests."""

from __future__ import annotations

import asyncio

from fescueward.kernel import BootClock
from fescueward.testing.journal import EventKind
from fescueward.testing.load import ClosedLoop
from fescueward.testing.platform import Faults, Mode
from fescueward.testing.scenarios import run_under_load, wait_until_settled
from fescueward.testing.upstream import Switches
from fescueward.testing.waiting import wait_until

from .base import DeploymentTestCase, deployment_spec, is_member, is_removed, wait

NEW_WORK_BOUND_S = 3.0


class LeavingTest(DeploymentTestCase):
    async def test_no_new_work_after_announcement(self):
        """Guards against new work for a server that has announced that it leaves."""
        deployment = await self.deploy(deployment_spec())
        await self._leave(deployment)

    async def test_no_new_work_while_the_platform_is_down(self):
        """Guards against leaving servers that get new work while the platform is down."""
        deployment = await self.deploy(deployment_spec(member={"linger_ms": 6000}))
        await deployment.platform.set_faults(Faults(mode=Mode.DOWN))
        await self._leave(deployment)

    async def _leave(self, deployment):
        leaving = deployment.members[1]
        announced_s: list[float] = []

        async def leave() -> None:
            await deployment.set_switches(leaving, Switches(leaving=True))
            announced_s.append(BootClock().now())
            await wait(NEW_WORK_BOUND_S + 1.0)

        result = await run_under_load(deployment, leave, tail_s=0.5, deadline_ms=1000)
        self.assert_holds(result)
        limit_ns = (announced_s[0] + NEW_WORK_BOUND_S) * 1e9
        late = [
            event
            for event in deployment.journal_events()
            if event.kind is EventKind.START
            and event.upstream == leaving.name
            and event.time_ns > limit_ns
        ]
        self.assertEqual(late, [])


class RollingRestartTest(DeploymentTestCase):
    async def test_rolling_restart_fails_no_request(self):
        """Guards against requests and uploads that a graceful shutdown aborts."""
        deployment = await self.deploy(deployment_spec())

        async def restart_all() -> None:
            for member in deployment.members:
                await self._restart(deployment, member)

        small = run_under_load(deployment, restart_all, tail_s=1.0, pace=ClosedLoop(6, 0.005))
        upload = run_under_load(
            deployment,
            lambda: wait(10.0),
            tail_s=1.0,
            pace=ClosedLoop(2),
            method="PUT",
            query=(("sleep_ms", "100"),),
            body=b"u" * 2_000_000,
        )
        for result in await asyncio.gather(small, upload):
            self.assert_holds(result)
            self.assertEqual(result.summary.refusals, {})
            self.assertEqual(result.summary.wrong_answers, 0)

    async def _restart(self, deployment, member):
        member.agent.terminate()
        await member.agent.wait(30.0)
        await wait_until(lambda: is_removed(deployment, member.name), 5, "the member has left")
        await deployment.start_member(member)
        await wait_until(lambda: is_member(deployment, member.name), 20, "the member is back")
        await wait_until_settled(deployment, "depot", len(deployment.members))
