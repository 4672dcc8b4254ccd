"""Tests of the platform client against the platform stand-in."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from fescueward.kernel.errors import (
    ObjectNotFoundError,
    OutcomeUnknownError,
    PlatformAnswerError,
    PlatformUnavailableError,
    VersionConflictError,
)
from fescueward.kernel.settings import PlatformSection
from fescueward.services.platform import HttpPlatform
from fescueward.testing.platform import Faults, Mode, PlatformStandIn
from tests.endless import check_platform_client

from .fakes import StubRegistry


class PlatformClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stand_in = PlatformStandIn()
        await self.stand_in.start()
        self.addAsyncCleanup(self.stand_in.stop)
        self.platform = HttpPlatform()
        section = PlatformSection(url=self.stand_in.url, timeout_ms=300)
        self.platform.bind(StubRegistry(settings=SimpleNamespace(platform=section)))
        await self.platform.start()
        self.addAsyncCleanup(self.platform.stop)

    async def test_lost_response_on_a_reused_connection_is_unknown(self):
        """Guards against a write that took effect but is reported as a conflict."""
        version = await self.platform.put("a/b", b'{"x": 1}', 0)
        self.stand_in.set_faults(Faults(lose_responses=1))
        with self.assertRaises(OutcomeUnknownError):
            await self.platform.put("a/b", b'{"x": 2}', version)
        stored = await self.platform.get("a/b")
        self.assertEqual((stored.value, stored.version > version), (b'{"x":2}', True))

    async def test_conflict_reports_current_version(self):
        """Guards against writes that overwrite newer versions."""
        version = await self.platform.put("a", b"1", 0)
        for expected in (0, version + 1):
            with self.assertRaises(VersionConflictError) as caught:
                await self.platform.put("a", b"2", expected)
            self.assertEqual(caught.exception.version, version)

    async def test_outage_is_typed_and_bounded(self):
        """Guards against calls that hang or raise an uncoded error during an outage."""
        with self.assertRaises(ObjectNotFoundError):
            await self.platform.get("none")
        for faults in (Faults(mode=Mode.DOWN), Faults(mode=Mode.HANG)):
            self.stand_in.set_faults(faults)
            with self.assertRaises(PlatformUnavailableError):
                await self.platform.get("none")
        self.stand_in.set_faults(Faults())
        self.assertEqual((await self.platform.watch(("a",), 0, 0)).objects, ())

    async def test_answers_without_end(self):
        """Guards against an endless response that fills the memory until the timeout."""

        async def start(section: PlatformSection) -> HttpPlatform:
            client = HttpPlatform()
            client.bind(StubRegistry(settings=SimpleNamespace(platform=section)))
            await client.start()
            return client

        await check_platform_client(self, start)


DEEP = "[" * 100_000 + "]" * 100_000


class OddObjectsTest(unittest.TestCase):
    """Other programs write to the platform too; their objects are no reason to stop."""

    def setUp(self):
        self.platform = HttpPlatform()
        self.platform._timeout_s = 1.0

    def respond(self, text: str) -> None:
        self.platform._read = mock.AsyncMock(return_value=(200, text.encode()))

    def test_odd_object_hides_no_other(self):
        """Guards against objects of other programs that end the watch or hide good objects."""
        good = '{"key":"entries/a","version":3,"value":{"x":1}}'
        for odd in (
            "null",
            "NaN",
            "[]",
            DEEP,
            "{}",
            '{"key":7,"version":4}',
            '{"key":"entries/b","version":1.5}',
            f'{{"key":"entries/b","version":{"9" * 30}}}',
            f'{{"key":"entries/b","version":4,"value":{DEEP}}}',
            '{"key":"entries/b","version":4,"value":1e999}',
            f'{{"key":"entries/b","version":4,"value":{"9" * 5_000}}}',
        ):
            with self.subTest(odd=odd[:60]):
                self.respond(f'{{"revision":9,"objects":[{odd},{good},{odd}]}}')
                changes = asyncio.run(self.platform.watch(("entries/",), 0, 0))
                values = [item.value for item in changes.objects if item.key == "entries/a"]
                self.assertEqual((changes.revision, values), (9, [b'{"x":1}']))

    def test_unreadable_object(self):
        """Guards against an object whose reading raises an error that no caller expects."""
        for text in (DEEP, f'{{"key":{DEEP}}}', "NaN"):
            self.respond(text)
            with self.subTest(text=text[:60]), self.assertRaises(PlatformAnswerError):
                asyncio.run(self.platform.get("entries/a"))
