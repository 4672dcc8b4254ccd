"""Tests of faulty responses of an upstream, at the agent beside it and through another one."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest
import uuid
from contextlib import suppress

import aiohttp

from fescueward.platform.names import RECEIPT, REQUEST_ID
from fescueward.testing.program import LOOPBACK
from fescueward.testing.site.deployment import SiteDeployment, SiteSpec

SPEC = SiteSpec(
    services={"orders": 1, "proofing": 1}, keyed=frozenset(), limits={"maxBodyBytes": 8_000_000}
)
# The proxy of the upstream beside the first agent leads to the faulty server.
AGENTS = ("orders-0", "proofing-1")
NO_STATUSES = ("000", "099", "100", "101", "600", "999", "20", "2000", "0200", "abc")
SERVED_WITHIN_S = 10.0
UPLOAD_BYTES = 3_000_000
RESET = struct.pack("ii", 1, 0)


class FaultyResponseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # The test case enables debug mode, which delays upstreams and store.
        asyncio.get_running_loop().set_debug(False)
        self.site = await self.enterAsyncContext(SiteDeployment(SPEC))
        await self.site.wait_ready()
        await self._wait_served()
        self.status, self.is_early, self.answered = "200", False, 0
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.addCleanup(server.close)
        proxy = self.site.machines[AGENTS[0]].upstream_proxy
        proxy._target_address = server.sockets[0].getsockname()

    async def _wait_served(self) -> None:
        """Waits until both agents serve the route: one may not know of the other's upstream."""
        async with asyncio.timeout(SERVED_WITHIN_S):
            for agent in AGENTS:
                status = 0
                while status != 200:
                    status, _ = await self._send(agent)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            lines = [line.partition(": ") for line in head.split("\r\n")]
            request_id = next(value for name, _, value in lines if name == REQUEST_ID)
            length = "" if self.is_early else "Content-Length: 2\r\n"
            writer.write(
                f"HTTP/1.1 {self.status} OK\r\n{length}"
                f"{REQUEST_ID}: {request_id}\r\n{RECEIPT}: s1\r\n\r\nok".encode()
            )
            await writer.drain()
            self.answered += 1
            if self.is_early:
                # The agent reads the response while the rest of the upload waits to be sent.
                await asyncio.sleep(0.1)
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                writer.transport.abort()
        writer.close()

    async def _send(self, agent: str, body: bytes = b"") -> tuple[int, bytes]:
        url = f"http://{LOOPBACK}:{self.site.machines[agent].callers._port}/orders-once/x"
        headers = {"Host": "orders-once", REQUEST_ID: uuid.uuid4().hex}
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers, data=body) as response,
        ):
            return response.status, await response.read()

    async def test_responses_with_no_status_of_http(self):
        """Guards against a response that is passed on although its status is none.

        The agent beside the upstream passed on a status of 000, another agent did not.
        """
        for agent in AGENTS:
            self.status = "200"
            self.assertEqual(await self._send(agent), (200, b"ok"))
            for self.status in NO_STATUSES:
                with self.subTest(agent=agent, status=self.status):
                    status, body = await self._send(agent)
                    self.assertEqual(status, 502, body)

    async def test_early_response_without_a_length_that_is_reset(self):
        """Guards against a part of a body that is passed on as the whole during an upload."""
        self.is_early = True
        for agent in AGENTS:
            with self.subTest(agent=agent):
                status, body = await self._send(agent, b"b" * UPLOAD_BYTES)
                self.assertEqual(status, 502, body)
        self.assertEqual(self.answered, len(AGENTS))
