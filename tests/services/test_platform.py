"""Tests of the platform client's knowledge of outages."""

from __future__ import annotations

import unittest
from unittest import mock

import aiohttp

from fescueward.kernel import Registry
from fescueward.kernel.errors import OutcomeUnknownError, PlatformUnavailableError
from fescueward.services.platform import HttpPlatform

from .administration_fakes import settings_with_port


class StoppedClock:
    def __init__(self) -> None:
        self.time = 50.0

    def now(self) -> float:
        return self.time

    async def sleep(self, seconds: float) -> None:
        raise NotImplementedError


class OutageTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = StoppedClock()
        registry = Registry()
        registry.register("clock", self.clock)
        registry.register("settings", settings_with_port(4))
        self.platform = HttpPlatform()
        self.platform.bind(registry)
        await self.platform.start()
        self.addAsyncCleanup(self.platform.stop)

    async def fail(self) -> None:
        with self.assertRaises(PlatformUnavailableError):
            await self.platform.get("entries/depot")

    async def test_connection_that_ended_during_a_pause(self):
        """Guards against an agent that ends when it resumes: uvloop raises RuntimeError."""
        closed = RuntimeError("unable to perform operation on <TCPTransport closed=True>")
        with (
            mock.patch.object(aiohttp.ClientSession, "get", side_effect=closed),
            mock.patch.object(aiohttp.ClientSession, "request", side_effect=closed),
        ):
            await self.fail()
            with self.assertRaises(PlatformUnavailableError):
                await self.platform.watch(("entries/",), 0, 1.0)
            for call in (self.platform.put("k", b"{}", 1), self.platform.delete("k", 1)):
                # The bytes may have been sent before the connection ended.
                with self.assertRaises(OutcomeUnknownError):
                    await call

    async def test_outage_counts_from_its_first_failure(self):
        """Guards against an outage whose age restarts with each failed call."""
        self.assertIsNone(self.platform.unavailable_since)
        await self.fail()
        self.clock.time = 60.0
        await self.fail()
        self.assertEqual(self.platform.unavailable_since, 50.0)

    async def test_old_failure_is_no_outage(self):
        """Guards against agents without a watch that tell of an outage long after its end."""
        await self.fail()
        self.clock.time = 74.0
        self.assertEqual(self.platform.unavailable_since, 50.0)
        self.clock.time = 75.1
        self.assertIsNone(self.platform.unavailable_since)
        await self.fail()
        self.assertEqual(self.platform.unavailable_since, 75.1)
