"""Tests of an agent whose upstream exits, with real processes."""

from __future__ import annotations

import unittest

from fescueward.testing.callers import CallerRequest
from fescueward.testing.harness import Deployment
from fescueward.testing.specs import small_deployment
from fescueward.testing.waiting import wait_until


class UpstreamLostTest(unittest.IsolatedAsyncioTestCase):
    async def test_agent_leaves_and_joins_again(self):
        """Guards against keys that stay with a lost upstream, and an agent that exits with it."""
        async with Deployment(small_deployment(shard_count=8)) as deployment:
            await deployment.wait_ready()
            lost = await deployment.owner("depot", "k")
            via = next(member for member in deployment.members if member is not lost)
            initial = await deployment.group("depot")
            ids_by_name = {m.name: m.id for m in initial.group.members.values()}
            await lost.upstream.kill()

            async def served():
                response = await deployment.send(CallerRequest(service="depot", key="k"), via)
                return response.succeeded

            await wait_until(served, 8, "another upstream serves the key")

            async def has_left():
                stored = await deployment.group("depot")
                return ids_by_name[lost.name] not in stored.group.members

            await wait_until(has_left, 8, "the agent has left")
            self.assertTrue(lost.agent.running)
            # No upstream announces itself yet, so the agent does not join again.
            stored = await deployment.group("depot")
            names = {member.name for member in stored.group.members.values()}
            self.assertNotIn(lost.name, names)
            await lost.upstream.start()

            async def has_joined():
                stored = await deployment.group("depot")
                return lost.name in {member.name for member in stored.group.members.values()}

            await wait_until(has_joined, 10, "the agent has joined again")
