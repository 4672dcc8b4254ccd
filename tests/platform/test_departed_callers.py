"""Tests of requests whose callers disconnect, from the socket to the upstream of another agent."""

from __future__ import annotations

import asyncio
import unittest

from fescueward.testing.ports import PortReservations
from fescueward.testing.waiting import wait_until

from .test_stop import Agent, Upstream


class DepartedCallerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        ports = PortReservations()
        self.addCleanup(ports.close)
        self.upstream = Upstream()
        self.port = ports.reserve()
        self.agent = Agent("a", self.upstream, self.port, ports.reserve())
        gate = Agent("b", self.upstream, ports.reserve(), ports.reserve())
        self.agent.others = dict.fromkeys(("a:1", "b:1"), gate)
        # Every request is forwarded to the other agent.
        self.agent.router._membership.member_id = ""
        for agent in (self.agent, gate):
            await agent.start()
            self.addAsyncCleanup(agent.frontend.stop)
            self.addAsyncCleanup(agent.shutdown.stop)

    async def leave_after(self, wait_s: float, route: str, path: str) -> None:
        """Sends a request and closes its connection."""
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(
            f"POST /x/{path} HTTP/1.1\r\nHost: {route}.example\r\nContent-Length: 0\r\n"
            f"X-Fescueward-Request-Id: {route}\r\n\r\n".encode()
        )
        await asyncio.sleep(wait_s)
        writer.close()

    async def test_queued_request_is_withdrawn_when_its_caller_leaves(self):
        """Guards against sending requests to an upstream after their callers left (GONE)."""
        for route in ("once", "again"):
            await self.leave_after(0.1, route, "q0.4w0.1")
        await asyncio.sleep(0.6)
        self.assertEqual(dict(self.upstream.runs), {})

    async def test_run_that_must_not_repeat_ends_after_its_caller_left(self):
        """Guards against breaking off a payment, and against running on for nobody."""
        for route in ("once", "again"):
            await self.leave_after(0.1, route, "q0w0.4")
        await wait_until(lambda: "once" in self.upstream.ended, 2, "the run has ended")
        self.assertEqual(set(self.upstream.runs), {"once", "again"})
        self.assertEqual(self.upstream.ended, {"once"})
