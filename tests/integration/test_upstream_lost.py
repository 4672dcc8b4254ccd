"""Tests of an agent whose upstream ends, with real processes."""

from __future__ import annotations

import unittest

from fescueward.testing.callers import CallerRequest
from fescueward.testing.harness import Deployment
from fescueward.testing.specs import small_deployment
from fescueward.testing.waiting import wait_until


class UpstreamLostTest(unittest.IsolatedAsyncioTestCase):
    async def test_agent_leaves_and_joins_again(self):
        """Guards against keys that stay with a lost upstream, and an agent that ends with it."""
        async with Deployment(small_deployment(shard_count=8)) as deployment:
            await deployment.wait_ready()
            lost = await deployment.owner("depot", "k")
            via = next(member for member in deployment.members if member is not lost)
            first = await deployment.group("depot")
            before = {m.name: m.id for m in first.group.members.values()}
            await lost.upstream.kill()

            async def served():
                answer = await deployment.send(CallerRequest(service="depot", key="k"), via)
                return answer.succeeded

            await wait_until(served, 8, "another upstream serves the key")

            async def absent():
                found = await deployment.group("depot")
                return before[lost.name] not in found.group.members

            await wait_until(absent, 8, "the agent has left")
            self.assertTrue(lost.agent.running)
            # Nothing announces itself yet, so the agent stays out.
            found = await deployment.group("depot")
            names = {member.name for member in found.group.members.values()}
            self.assertNotIn(lost.name, names)
            await lost.upstream.start()

            async def back():
                found = await deployment.group("depot")
                return lost.name in {member.name for member in found.group.members.values()}

            await wait_until(back, 10, "the agent has joined again")
