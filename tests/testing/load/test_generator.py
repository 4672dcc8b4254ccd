"""Tests of the load generator and its callers."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from aiohttp import web

from fescueward.kernel.errors import Outcome
from fescueward.testing.load import (
    ClosedLoop,
    LoadGenerator,
    LoadPlan,
    OpenLoop,
    UniformKeys,
    read_records,
    write_records,
)
from fescueward.testing.ports import PortReservations
from fescueward.testing.program import HttpSite, abort_connection
from fescueward.testing.upstream import UpstreamOptions, UpstreamStandIn


class LoadGeneratorTest(unittest.IsolatedAsyncioTestCase):
    async def _start_server(self, handler):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handler)
        site = HttpSite(app, "127.0.0.1", 0)
        await site.start()
        self.addAsyncCleanup(site.stop)
        return f"http://127.0.0.1:{site.port}"

    async def _run(self, targets, **plan):
        values = {"keys": UniformKeys(3), "pace": ClosedLoop(2), "duration_s": 5.0}
        values |= {"max_requests": 20, "service": "depot", "targets": tuple(targets)}
        generator = LoadGenerator(LoadPlan(**{**values, **plan}))
        records = await generator.run()
        return records, generator.summary

    async def test_responses_of_an_upstream_are_checked(self):
        """Guards against a generator that counts wrong or truncated responses as successes."""
        upstream = UpstreamStandIn(UpstreamOptions(service="depot", checks_grants=False))
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        for pace in (ClosedLoop(2), OpenLoop(500.0)):
            records, summary = await self._run([upstream.url], pace=pace)
            self.assertEqual((len(records), summary.successes), (20, 20))
            self.assertEqual(
                {(r.served_by, r.digest_ok) for r in records}, {(upstream.name, True)}
            )
        truncated = await self._run([upstream.url], query=(("size", "9"), ("truncate", "1")))
        self.assertEqual(truncated[1].refusals, {"connection_lost": 20})
        self.assertEqual(truncated[0][0].outcome, Outcome.OUTCOME_UNKNOWN)
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "records"
            write_records(path, records)
            self.assertEqual(read_records(path), records)

    async def test_tokens_are_fetched_and_kept_for_resends(self):
        """Guards against a payment that is sent again with a new token, and so charged twice."""
        received_tokens = []

        async def agent(request):
            token = request.headers.get("Fescueward-Token")
            received_tokens.append(token)
            if token is None:
                error = {"code": 2009, "label": "token_required", "outcome": "not_run"}
                error |= {"message": "m", "request_id": "r", "token": "t"}
                return web.json_response({"error": error}, status=428)
            return abort_connection(request) if received_tokens.count("t") == 1 else web.Response()

        records, summary = await self._run(
            [await self._start_server(agent)], max_requests=1, resends=1
        )
        self.assertEqual(received_tokens, [None, "t", "t"])
        self.assertEqual(len({record.request_id for record in records}), 3)
        self.assertEqual([record.final for record in records], [False, False, True])
        self.assertEqual((summary.requests, summary.successes), (1, 1))

    async def test_failures(self):
        """Guards against failures that are recorded with a wrong label or outcome."""

        async def respond_to_other_request(_request):
            return web.Response(headers={"Fescueward-Request-Id": "other"})

        records, summary = await self._run([await self._start_server(respond_to_other_request)])
        self.assertEqual((summary.successes, summary.wrong_answers), (0, 20))
        ports = PortReservations()
        self.addCleanup(ports.close)
        closed_url = f"http://127.0.0.1:{ports.reserve()}"
        records, summary = await self._run([closed_url], max_requests=1)
        self.assertEqual((records[0].label, records[0].outcome), ("unreachable", Outcome.NOT_RUN))
        options = UpstreamOptions(service="depot", checks_grants=False, slots=20)
        upstream = UpstreamStandIn(options)
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        _, summary = await self._run([closed_url, upstream.url])
        self.assertEqual(summary.successes, 20)
        slow = await self._run([upstream.url], timeout_s=0.05, query=(("sleep_ms", "5000"),))
        self.assertEqual(slow[1].refusals["timeout"], 20)
