"""Tests of the routing client against agents with their upstreams."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from fescueward import Client
from fescueward.kernel.errors import (
    OutcomeLostError,
    RefusalError,
    ServiceFailedError,
    UnknownServiceError,
)
from fescueward.messages import RequestClass
from fescueward.testing.harness import SECRET, Deployment
from fescueward.testing.journal import EventKind
from fescueward.testing.specs import small_deployment
from fescueward.testing.waiting import wait_until


def _small(request_class):
    spec = small_deployment(request_class, 8)
    service = spec.services[0]
    return replace(spec, services=(replace(service, members=service.members[:2]),))


def _client(deployment, **values):
    seeds = [("127.0.0.1", member.ports.advertised_peers) for member in deployment.members]
    return Client(seeds, SECRET, **values)


def _run_starts(deployment, token=None):
    return [
        event
        for event in deployment.journal_events()
        if event.kind is EventKind.START and (token is None or event.token == token)
    ]


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests_go_straight_to_the_owner(self):
        """Guards against a client that proxies requests through an agent or truncates bodies."""
        async with Deployment(_small(RequestClass.REPEATABLE)) as deployment:
            await deployment.wait_ready()
            async with _client(deployment) as client:
                for number in range(10):
                    key = f"key-{number}"
                    answer = await client.request("depot", key, path="/stock?size=300000")
                    self.assertEqual((answer.status, len(answer.body)), (200, 300_000))
                    owner = await deployment.owner("depot", key)
                    self.assertEqual(answer.served_by.partition(":")[0], owner.name)
                answer = await client.request("depot", "k", "POST", "/x", body=b"x" * 200_000)
                self.assertIn(b'"body_bytes":200000', answer.body)
                with self.assertRaises(UnknownServiceError):
                    await client.request("nothing", "k", deadline_s=0.1)
                with self.assertRaises(RefusalError):
                    await client.request("depot", "k", path="/x?sleep_ms=2000", deadline_s=0.2)
            for member in deployment.members:
                log = (deployment.directory / f"{member.name}-agent.log").read_text()
                self.assertNotIn("key=key-1 shard=1 epoch=1 owner=", log)
            with self.assertRaises(ServiceFailedError):
                await client.request("depot", "k")

    async def test_once_runs_once_under_one_token(self):
        """Guards against a request that runs twice, and tokens that callers have to manage."""
        async with Deployment(_small(RequestClass.ONCE)) as deployment:
            await deployment.wait_ready()
            async with _client(deployment) as client:
                answer = await client.request("depot", "k", "POST", "/charge", body=b"1")
                self.assertEqual(answer.status, 200)
                repeated = await client.request(
                    "depot", "k", "POST", "/charge", body=b"1", token=answer.token
                )
                self.assertEqual(repeated.body, answer.body)
                self.assertEqual(len(_run_starts(deployment, answer.token)), 1)
                first_request = asyncio.create_task(
                    client.request("depot", "k", "POST", "/charge?sleep_ms=400")
                )
                await wait_until(
                    lambda: len(_run_starts(deployment)) == 2, 5, "the first request runs"
                )
                token = _run_starts(deployment)[1].token
                second_request = client.request(
                    "depot", "k", "POST", "/charge?sleep_ms=400", token=token
                )
                self.assertEqual((await first_request).body, (await second_request).body)
                self.assertEqual(len(_run_starts(deployment)), 2)
                with self.assertRaises(OutcomeLostError):
                    await client.request("depot", "k", "POST", "/charge?crash=1")
                self.assertEqual(len(_run_starts(deployment)), 3)

    async def test_agents_that_do_not_answer(self):
        """Guards against a client that hangs in `start` or `close` if no agent responds."""
        client = Client([("127.0.0.1", 1)], SECRET)
        await client.start()
        with self.assertRaises(UnknownServiceError):
            await client.request("depot", "k", deadline_s=0.2)
        await asyncio.wait_for(client.close(), 2)
