"""Tests of the quarantine of requests that crash their upstream, with real processes."""

from __future__ import annotations

import unittest

from fescueward.testing.callers import CallerRequest
from fescueward.testing.harness import Deployment
from fescueward.testing.journal import EventKind
from fescueward.testing.specs import small_deployment
from fescueward.testing.waiting import wait_until


class QuarantineTest(unittest.IsolatedAsyncioTestCase):
    async def test_crashing_request_is_refused_after_two_crashes(self):
        """Guards against one request that crashes all upstreams of a group one after another."""
        async with Deployment(small_deployment(shard_count=8)) as deployment:
            await deployment.wait_ready()
            labels = []

            async def send(via, path="poison", query=(("crash", "1"),)):
                return await deployment.send(
                    CallerRequest(service="depot", key="k", path=path, query=query), via
                )

            async def quarantined():
                response = await send(deployment.members[0])
                labels.append(response.label)
                return response.label == "quarantined"

            await wait_until(quarantined, 20, "the request is quarantined")
            crashes = [
                event
                for event in deployment.journal_events()
                if event.kind is EventKind.EXIT and event.reason == "crash"
            ]
            self.assertEqual(len(crashes), 2, labels)

            async def quarantined_everywhere():
                responses = [await send(member) for member in deployment.members]
                return all(response.label == "quarantined" for response in responses)

            await wait_until(quarantined_everywhere, 5, "all agents refuse the request")

            async def other_requests_run():
                return (await send(deployment.members[1], "fine", ())).succeeded

            await wait_until(other_requests_run, 10, "other requests of the key run")
            self.assertTrue(all(member.agent.running for member in deployment.members))
