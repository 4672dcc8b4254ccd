"""Fixture of the tests with callers that nobody controls."""

from __future__ import annotations

import asyncio
import time
import unittest
import uuid
from contextlib import ExitStack
from typing import ClassVar

import aiohttp

from fescueward.platform.names import REQUEST_ID
from fescueward.testing.program import LOOPBACK
from fescueward.testing.site.deployment import SiteDeployment, SiteSpec
from fescueward.testing.site.upstream import SIZE, WORK_MS

# An agent that answers no ordinary request for this long counts as hanging.
HANG_S = 15.0
HEAD = b"POST /orders/x HTTP/1.1\r\nHost: orders\r\n"
CHUNKED_HEAD = HEAD + b"%s: hard\r\nTransfer-Encoding: chunked\r\n\r\n" % REQUEST_ID.encode()


def get_request(size: int = 0, work_ms: int = 0) -> bytes:
    """Returns a request with an id of its own for a response of some size after some work."""
    return (
        f"GET /orders/x?{SIZE}={size}&{WORK_MS}={work_ms} HTTP/1.1\r\nHost: orders\r\n"
        f"{REQUEST_ID}: {uuid.uuid4().hex}\r\n\r\n"
    ).encode()


class HardCallersCase(unittest.IsolatedAsyncioTestCase):
    """Agents as real processes on loopback, the first of which gets the callers.

    Attributes:
        spec: The deployment.
    """

    spec: ClassVar[SiteSpec]

    async def asyncSetUp(self):
        # The test case enables debug mode, which delays upstreams and store.
        asyncio.get_running_loop().set_debug(False)
        self.site = await self.enterAsyncContext(SiteDeployment(self.spec))
        await self.site.wait_ready()
        self.machines = list(self.site.machines.values())
        self.pids = [machine.agent.pid for machine in self.machines]
        self.port = self.machines[0].callers._port
        self.connections = self.enterContext(ExitStack())
        await self.assert_served()

    def assert_same_processes(self) -> None:
        """Asserts that no process has ended."""
        self.assertEqual(self.pids, [machine.agent.pid for machine in self.machines])

    async def assert_served(self) -> None:
        """Asserts that an ordinary request is answered; its caller repeats it as usual."""
        ends_at = time.monotonic() + HANG_S
        answers = []
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3.0)) as session:
            while time.monotonic() < ends_at:
                url = f"http://{LOOPBACK}:{self.port}/orders/x"
                headers = {"Host": "orders", REQUEST_ID: uuid.uuid4().hex}
                try:
                    async with session.get(url, headers=headers) as response:
                        await response.read()
                        answers.append(response.status)
                        if response.status == 200:
                            return
                except (aiohttp.ClientError, OSError, TimeoutError) as error:
                    answers.append(type(error).__name__)
                await asyncio.sleep(0.1)
        self.fail(f"no ordinary request was answered: {answers}")
