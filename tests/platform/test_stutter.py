"""Tests of the client of the upstream against faulty responses that are drawn from seeds."""

from __future__ import annotations

import asyncio
import random
import unittest
from dataclasses import replace
from types import SimpleNamespace

import uvloop

from fescueward.kernel import Outcome, RefusalError
from fescueward.messages import Announcement, Request
from fescueward.messages.request import BytesBody
from fescueward.platform.names import RECEIPT, REQUEST_ID
from fescueward.platform.settings import Address
from fescueward.platform.upstream import LocalUpstream
from fescueward.testing.site.stutter import Answer, Fault, Script, StutteringUpstream
from tests.services.fakes import StubRegistry, make_request

from .fakes import CLOCK, RecordedLiveness, site_at

SEEDS = range(40)
REQUESTS = 40
CONCURRENT_REQUESTS = 8
TRIES = 2
TIMEOUT_S = 0.5
CHECKED = frozenset((REQUEST_ID, RECEIPT))


class StutterTest(unittest.TestCase):
    def test_every_response_is_one_that_the_upstream_gave_to_the_request(self):
        """Guards against responses of other requests, and bodies that are not whole."""
        for seed in SEEDS:
            run = uvloop.run if seed % 2 else asyncio.run
            with self.subTest(seed=seed):
                found = run(self._play(seed))
                self.assertEqual([], found)

    async def _play(self, seed: int) -> list[str]:
        """Sends requests to a faulty upstream; returns what was wrong."""
        rng = random.Random(seed)
        server = StutteringUpstream(seed)
        address = Address(*await server.start())
        upstream = LocalUpstream(site_at(address))
        announcement = Announcement("depot", address.host, address.port, 6, 110, instance="i1")
        membership = SimpleNamespace(announcement=announcement)
        upstream.bind(StubRegistry(membership=membership, liveness=RecordedLiveness()))
        await upstream.start()
        found: list[str] = []
        requests = [self._draw_request(rng, number) for number in range(REQUESTS)]

        async def send_each() -> None:
            while requests:
                found.extend(await self._send(upstream, server, requests.pop()))

        await asyncio.gather(*(send_each() for _ in range(CONCURRENT_REQUESTS)))
        await upstream.stop()
        await server.stop()
        return found

    def _draw_request(self, rng: random.Random, number: int) -> Request:
        method = rng.choice(("GET", "GET", "POST", "HEAD"))
        size = rng.choice((10, 1_000, 200_000)) if method == "POST" else 0
        request = make_request(key="", method=method, repeatable=rng.random() < 0.7)
        return replace(request, id=f"r{number}", body=BytesBody(b"b" * size))

    async def _send(
        self, upstream: LocalUpstream, server: StutteringUpstream, request: Request
    ) -> list[str]:
        refusals = 0
        for _ in range(TRIES):
            try:
                response = await upstream.run(request, 0, 0, CLOCK.now() + TIMEOUT_S)
            except RefusalError as error:
                refusals += error.outcome is Outcome.NOT_RUN
                if refusals > sum(not answer.ran for answer, _ in server.answers[request.id]):
                    return [f"{request.id} was run: {error}"]
                continue
            headers = [(name, value) for name, value in response.headers if name in CHECKED]
            received = (response.status, headers, response.body.data)
            given = [_expected(request, *answered) for answered in server.answers[request.id]]
            if received not in given:
                scripts = [script for _, script in server.answers[request.id]]
                return [f"{request.id}: {response.status} {headers} after {scripts}"[:4000]]
            break
        return []


def _expected(
    request: Request, answer: Answer, script: Script
) -> tuple[int, list[tuple[str, str]], bytes]:
    """Returns status, checked headers and body of the response to a request."""
    headers = []
    if script.fault is not Fault.NO_ID:
        headers.append((REQUEST_ID, request.id))
    if answer.ran and script.fault is not Fault.NO_RECEIPT:
        headers.append((RECEIPT, answer.receipt))
    return answer.status, headers, b"" if request.method == "HEAD" else answer.body
