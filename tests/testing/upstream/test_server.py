"""Tests of the upstream stand-in."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import unittest
from pathlib import Path

import aiohttp
from aiohttp import web

from fescueward.messages import Announcement, GrantSet
from fescueward.messages.codec import decode_json, encode_json
from fescueward.testing.callers import without_retries
from fescueward.testing.journal import EventKind, read_journal
from fescueward.testing.ports import PortReservations
from fescueward.testing.processes import ManagedProcess
from fescueward.testing.program import HttpSite, boot_time_ns
from fescueward.testing.upstream import (
    ABORTED_HEADER,
    DIGEST_HEADER,
    REFUSAL_HEADER,
    Switches,
    UpstreamOptions,
    UpstreamStandIn,
)
from fescueward.testing.upstream.calls import body_chunks, sha256_of
from fescueward.testing.upstream.reports import DelayedLoadReporter
from fescueward.testing.upstream.switches import merge_switches
from fescueward.testing.waiting import wait_until


def _grants(sequence, expires_ms, epochs):
    return GrantSet("a:1", sequence, boot_time_ns() + expires_ms * 1_000_000, epochs)


class _UpstreamCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.journal = self.directory / "journal"
        self.session = without_retries(aiohttp.ClientSession())
        self.addAsyncCleanup(self.session.close)

    async def start(self, **options):
        upstream = UpstreamStandIn(
            UpstreamOptions(service="depot", journal=self.journal, **options)
        )
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        return upstream

    async def request(self, url, request_id, shard=3, epoch=1, deadline_ms=None, **query):
        headers = {
            "Fescueward-Request-Id": request_id,
            "Fescueward-Key": "k",
            "Fescueward-Shard": str(shard),
            "Fescueward-Epoch": str(epoch),
        }
        if deadline_ms is not None:
            headers["Fescueward-Deadline"] = str(boot_time_ns() + deadline_ms * 1_000_000)
        data = query.pop("data", None)
        async with self.session.post(
            f"{url}/health", headers=headers, params=query, data=data
        ) as response:
            reason = response.headers.get(REFUSAL_HEADER) or response.headers.get(ABORTED_HEADER)
            return response.status, reason, response.headers, await response.read()

    def events(self, request_id):
        events = read_journal(self.journal)
        return [
            (event.kind.value, event.reason) for event in events if event.request_id == request_id
        ]


class UpstreamTest(_UpstreamCase):
    async def test_grants_are_checked_before_a_run(self):
        """Guards against runs without a grant, under another epoch or after the grant expired."""
        upstream = await self.start()
        self.assertEqual((await self.request(upstream.url, "none"))[:2], (403, "grant"))
        upstream.replace_grants(_grants(1, 10_000, {3: 1}))
        self.assertEqual((await self.request(upstream.url, "valid"))[0], 200)
        self.assertEqual((await self.request(upstream.url, "epoch", epoch=2))[:2], (403, "grant"))
        upstream.replace_grants(_grants(2, -1, {3: 1}))
        self.assertEqual((await self.request(upstream.url, "late"))[:2], (403, "grant"))
        self.assertEqual(self.events("valid"), [("start", ""), ("end", "")])
        self.assertEqual(self.events("late"), [("rejected", "grant")])
        bad = await self.request(upstream.url, "bad", sleep_ms="x")
        self.assertEqual(bad[:2], (400, "malformed"))

    async def test_runs_are_aborted(self):
        """Guards against runs that continue after revocation, a higher epoch, expiry or cancel."""
        upstream = await self.start(slots=2)
        changes = (
            ("revoked", _grants(2, 10_000, {})),
            ("revoked", _grants(4, 10_000, {3: 2})),
            ("expired", _grants(6, 60, {3: 2})),
            ("cancelled", None),
        )
        for number, (expected, grants) in enumerate(changes):
            epoch = 1 if number < 2 else 2
            upstream.replace_grants(_grants(2 * number + 1, 10_000, {3: epoch}))
            request_id = f"run-{number}"
            run = asyncio.create_task(
                self.request(upstream.url, request_id, epoch=epoch, sleep_ms=20_000)
            )
            await wait_until(lambda: upstream.in_flight == 1, 5, "the request runs")
            if grants is not None:
                self.assertTrue(upstream.replace_grants(grants))
            else:
                async with self.session.post(f"{upstream.url}/cancel/{request_id}") as response:
                    self.assertEqual(response.status, 200)
            self.assertEqual((await run)[:2], (503, expected))
            self.assertEqual(self.events(request_id), [("start", ""), ("aborted", expected)])

    async def test_deadlines_and_slots_without_grants(self):
        """Guards against runs past their deadline and more concurrent runs than slots."""
        upstream = await self.start(checks_grants=False, slots=1)
        late = await self.request(upstream.url, "late", deadline_ms=-1)
        self.assertEqual(late[:2], (503, "deadline"))
        cut = self.request(upstream.url, "cut", deadline_ms=100, sleep_ms=20_000)
        run = asyncio.create_task(cut)
        await wait_until(lambda: upstream.in_flight == 1, 5, "the request runs")
        self.assertEqual((await self.request(upstream.url, "more"))[:2], (503, "shed"))
        self.assertEqual((await run)[:2], (503, "deadline"))

    async def test_bodies(self):
        """Guards against responses whose digest does not reveal a mixed-up or truncated body."""
        upstream = await self.start(checks_grants=False)
        upload = b"u" * 1_000_000
        response = await self.request(upstream.url, "up", data=upload)
        self.assertIn(sha256_of([upload]).encode(), response[3])
        for size, slow in ((0, 0), (7, 1), (300_000, 0)):
            _, _, headers, body = await self.request(upstream.url, "b", size=size, slow_body=slow)
            self.assertEqual((len(body), headers[DIGEST_HEADER]), (size, sha256_of([body])))
        self.assertNotEqual(body_chunks("a", 99, slow=False), body_chunks("b", 99, slow=False))
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.request(upstream.url, "cut", size=10, truncate=1)

    async def test_refused_connections(self):
        """Guards against an upstream that refuses connections after `refuse_ms` have elapsed."""
        upstream = await self.start(checks_grants=False)
        upstream.set_switches(Switches(refuse_ms=50))

        async def connect(expected):
            try:
                await self.request(upstream.url, "r")
            except aiohttp.ClientConnectorError:
                return expected == "refused"
            return expected == "served"

        await wait_until(lambda: connect("refused"), 5, "connections are refused")
        await wait_until(lambda: connect("served"), 5, "connections are accepted again")

    async def test_reports(self):
        """Guards against health pages that report the load more accurately than selected."""
        upstream = await self.start(checks_grants=False, slots=2)
        upstream.set_switches(merge_switches(upstream.switches, b'{"report":"lie"}'))
        run = asyncio.create_task(self.request(upstream.url, "r", sleep_ms=20_000))
        await wait_until(lambda: upstream.in_flight == 1, 5, "the request runs")
        for report, expected in (("lie", 0), ("lag", 0), ("honest", 1)):
            body = encode_json({"report": report})
            async with self.session.post(f"{upstream.url}/control", data=body):
                pass
            async with self.session.get(f"{upstream.url}/health") as response:
                self.assertEqual((await response.json())["in_flight"], expected, report)
        run.cancel()
        reporter = DelayedLoadReporter()
        reporter.observe(10.0, 3)
        reporter.observe(12.0, 1)
        self.assertEqual([reporter.in_flight(time_s) for time_s in (14.9, 15.0, 17.0)], [0, 3, 1])

    async def test_announcements_and_leaving(self):
        """Guards against an upstream that announces late that it is ready or leaves."""
        received = []

        async def receive_announcement(request):
            received.append(decode_json(await request.read(), Announcement))
            return web.Response(status=200 if len(received) > 1 else 503)

        app = web.Application()
        app.router.add_post("/announcements", receive_announcement)
        agent = HttpSite(app, "127.0.0.1", 0)
        await agent.start()
        self.addAsyncCleanup(agent.stop)
        announce = f"http://127.0.0.1:{agent.port}/announcements"
        upstream = await self.start(announce=announce, checks_grants=False, linger_ms=100)
        await wait_until(lambda: len(received) == 2, 5, "a repeated announcement")
        self.assertEqual((received[0].port, received[0].checks_grants), (upstream.port, False))
        run = asyncio.create_task(self.request(upstream.url, "last", sleep_ms=300))
        await wait_until(lambda: upstream.in_flight == 1, 5, "the request runs")
        await upstream.leave()
        self.assertEqual(received[2].state, "leaving")
        self.assertEqual((await run)[0], 200)
        self.assertEqual((await self.request(upstream.url, "new"))[:2], (503, "leaving"))


class UpstreamProgramTest(_UpstreamCase):
    async def _start_program(self, *options):
        ports = PortReservations()
        self.addCleanup(ports.close)
        port = ports.reserve()
        arguments = (sys.executable, "-m", "fescueward.testing.upstream", "--service", "depot")
        arguments += ("--port", str(port), "--journal", str(self.journal), *options)
        process = ManagedProcess("upstream", arguments, self.directory / "log", os.environ)
        await process.start()
        self.addAsyncCleanup(process.stop)
        url = f"http://127.0.0.1:{port}"

        async def responds():
            try:
                async with self.session.get(f"{url}/health") as response:
                    return response.ok
            except aiohttp.ClientError:
                return False

        await wait_until(responds, 20, "the upstream responds")
        return process, url

    async def test_grant_that_expires_during_a_pause(self):
        """Guards against a resumed upstream that completes a run whose grant has expired.

        The timers of the execution time and of the grant are both due when the process resumes.
        """
        process, url = await self._start_program()
        grants = _grants(1, 600, {3: 1})
        async with self.session.put(f"{url}/grants", data=encode_json(grants)) as response:
            self.assertEqual(response.status, 200)
        run = asyncio.create_task(self.request(url, "paused", sleep_ms=500))
        await wait_until(lambda: self.events("paused"), 5, "the request runs")
        await process.pause()
        await wait_until(lambda: boot_time_ns() > grants.expires_ns, 5, "the grant expires")
        process.resume()
        self.assertEqual((await run)[:2], (503, "expired"))
        self.assertEqual(self.events("paused"), [("start", ""), ("aborted", "expired")])

    async def test_crash_and_graceful_exit(self):
        """Guards against crashes without a journal event, and an exit status other than 0."""
        process, url = await self._start_program("--no-grants")
        with self.assertRaises(aiohttp.ClientError):
            await self.request(url, "crash", crash=1)
        self.assertEqual(await process.wait(10), 1)
        self.assertEqual(read_journal(self.journal)[-1].kind, EventKind.EXIT)
        process, url = await self._start_program("--no-grants", "--linger-ms", "0")
        run = asyncio.create_task(self.request(url, "last", sleep_ms=300))
        await wait_until(lambda: self.events("last"), 5, "the request runs")
        process.terminate()
        self.assertEqual((await run)[0], 200)
        self.assertEqual(await process.wait(10), 0)
