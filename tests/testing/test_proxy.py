"""Tests of the fault proxy."""

from __future__ import annotations

import asyncio
import os
import time
import unittest

from fescueward.testing.proxy import (
    CUT,
    DROP,
    HOLD,
    PASS,
    DirectionPlan,
    FaultProxy,
    ProxyMode,
    ProxyPlan,
)
from fescueward.testing.waiting import wait_until

NO_RESPONSE_S = 0.1


class FaultProxyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.received = b""
        self.open_echoes = 0

        async def echo(reader, writer):
            self.open_echoes += 1
            try:
                while data := await reader.read(65_536):
                    self.received += data
                    writer.write(data)
                    await writer.drain()
            except ConnectionError:
                pass
            writer.close()
            self.open_echoes -= 1

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        self.addCleanup(server.close)

        async def identify(_port):
            return f"source-{self.proxy.accepted}"

        self.proxy = FaultProxy(server.sockets[0].getsockname()[1], identify=identify)
        await self.proxy.start()
        self.addAsyncCleanup(
            wait_until, lambda: self.open_echoes == 0, 5, "the target's connections close"
        )
        self.addAsyncCleanup(self.proxy.stop)

    async def _connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.proxy.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def _echo(self, connection, data, timeout_s=5.0):
        connection[1].write(data)
        return await asyncio.wait_for(connection[0].readexactly(len(data)), timeout_s)

    async def _assert_no_response(self, connection, data):
        with self.assertRaises(TimeoutError):
            await self._echo(connection, data, NO_RESPONSE_S)

    async def _assert_reset(self, connection):
        with self.assertRaises(ConnectionResetError):
            await asyncio.wait_for(connection[0].read(1), 5)

    async def test_pass_keeps_every_byte_and_the_end(self):
        """Guards against a proxy that loses the last bytes when a side closes the stream."""
        connection = await self._connect()
        data = os.urandom(3_000_000)
        self.assertEqual(await self._echo(connection, data), data)
        connection[1].write(b"last")
        connection[1].write_eof()
        self.assertEqual(await connection[0].read(), b"last")
        await wait_until(lambda: self.proxy.connection_count == 0, 5, "the connection ends")

    async def test_delay(self):
        """Guards against chunks that arrive before the delay of their direction is over."""
        connection = await self._connect()
        forward_only = ProxyPlan(forward=DirectionPlan(delay_ms=50))
        for plan, expected_s in ((ProxyPlan.both(ProxyMode.PASS, 50), 0.1), (forward_only, 0.05)):
            await self.proxy.set_plan(plan)
            started_s = time.monotonic()
            self.assertEqual(await self._echo(connection, b"late"), b"late")
            self.assertGreaterEqual(time.monotonic() - started_s, expected_s)

    async def test_cut_resets_and_refuses(self):
        """Guards against a cut that leaves connections open or accepts new ones."""
        connection = await self._connect()
        await self._echo(connection, b"a")
        await self.proxy.set_plan(CUT)
        await self._assert_reset(connection)
        with self.assertRaises(ConnectionRefusedError):
            await self._connect()
        await self.proxy.set_plan(PASS)
        self.assertEqual(await self._echo(await self._connect(), b"b"), b"b")

    async def test_drop_sends_no_reset_and_nothing_arrives_afterwards(self):
        """Guards against bytes sent during a partition that reach the target after it."""
        idle, busy = await self._connect(), await self._connect()
        for connection in (idle, busy):
            await self._echo(connection, b"a")
        await self.proxy.set_plan(DROP)
        new = await self._connect()
        await self._assert_no_response(busy, b"lost")
        await self._assert_no_response(new, b"lost")
        await self.proxy.set_plan(PASS)
        await self._assert_reset(busy)
        await self._assert_reset(new)
        self.assertEqual(await self._echo(idle, b"b"), b"b")
        self.assertNotIn(b"lost", self.received)

    async def test_hold_delivers_late(self):
        """Guards against buffered bytes that are lost or reordered."""
        connection = await self._connect()
        await self.proxy.set_plan(HOLD)
        await self._assert_no_response(connection, b"1")
        connection[1].write(b"2")
        await self.proxy.set_plan(PASS)
        self.assertEqual(await asyncio.wait_for(connection[0].readexactly(2), 5), b"12")

    async def test_plan_of_one_source(self):
        """Guards against a partition between two agents that affects other agents."""
        first, second = await self._connect(), await self._connect()
        for connection in (first, second):
            await self._echo(connection, b"a")
        await self.proxy.set_plan(DROP, "source-1")
        await self._assert_no_response(first, b"x")
        self.assertEqual(await self._echo(second, b"y"), b"y")
        await self.proxy.set_plan(CUT, "source-2")
        await self._assert_reset(second)
