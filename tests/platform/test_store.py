"""The client of the platform's store."""

import json
import unittest
from types import SimpleNamespace

from fescueward.kernel.errors import (
    ObjectNotFoundError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    VersionConflictError,
)
from fescueward.kernel.settings import PlatformSection
from fescueward.messages.codec import decode_json
from fescueward.messages.configuration import CONFIGURATION_KEY, Configuration
from fescueward.platform.settings import parse_site
from fescueward.platform.store import ObjectStore
from tests.endless import check_platform_client
from tests.services.fakes import StubRegistry

from .fakes import CLOCK, FakeStore
from .test_configuration import GIVEN
from .test_settings import LINES

KIND = "fescueward-groups"


class ObjectStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fake = FakeStore()
        await self.fake.start()
        self.addAsyncCleanup(self.fake.stop)
        self.store = ObjectStore()
        section = PlatformSection(url=self.fake.url, timeout_ms=300)
        self.store.bind(StubRegistry(clock=CLOCK, settings=SimpleNamespace(platform=section)))
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)

    async def test_conditional_writes(self):
        """Guards against a write over a version that was not read."""
        first = await self.store.put("groups/s1/0", b'{"x":1}', 0)
        with self.assertRaises(VersionConflictError):
            await self.store.put("groups/s1/0", b'{"x":2}', 0)
        second = await self.store.put("groups/s1/0", b'{"x":2}', first)
        self.assertGreater(second, first)
        with self.assertRaises(VersionConflictError):
            await self.store.put("groups/s1/0", b'{"x":3}', first)
        found = await self.store.get("groups/s1/0")
        self.assertEqual((found.key, found.version), ("groups/s1/0", second))
        self.assertEqual(json.loads(found.value), {"x": 2})
        with self.assertRaises(ObjectNotFoundError):
            await self.store.get("groups/s2/0")

    async def test_list_reads_all_pages(self):
        """Guards against a directory that ends with the first page."""
        for number in range(5):
            self.fake.put(KIND, f"s{number}.0", {})
        changes = await self.store.watch(("groups/",), 0, 0)
        self.assertEqual(len(changes.objects), 5)
        self.assertEqual(changes.revision, self.fake.revision)

    async def test_forgotten_history_is_read_as_a_list(self):
        """Guards against changes that are lost when the store drops its history."""
        self.fake.put(KIND, "s1.0", {})
        self.fake.oldest = 1_000
        changes = await self.store.watch(("groups/",), 5, 1)
        self.assertEqual([one.key for one in changes.objects], ["groups/s1/0"])

    async def test_refusal_had_no_effect_and_lost_answer_is_unknown(self):
        """Guards against a write that took effect and is reported as not made."""
        self.fake.status = 503
        with self.assertRaises(PlatformUnavailableError):
            await self.store.put("groups/s1/0", b"{}", 0)
        self.fake.status, self.fake.lose = 0, True
        with self.assertRaises(OutcomeUnknownError):
            await self.store.put("groups/s1/0", b"{}", 0)

    async def test_configuration_comes_in_the_products_form(self):
        """Guards against names of the platform that reach the services."""
        self.fake.put("config", "main", GIVEN)
        changes = await self.store.watch((CONFIGURATION_KEY,), 0, 0)
        found = decode_json(changes.objects[0].value, Configuration)
        self.assertEqual((changes.objects[0].key, found.version), (CONFIGURATION_KEY, 7))

    async def test_unreadable_configuration_is_passed_over(self):
        """Guards against an agent that ends, or takes over half, when an object is malformed."""
        self.fake.put("config", "main", {"version": "seven"})
        self.fake.put("config", "other", GIVEN)
        changes = await self.store.watch((CONFIGURATION_KEY,), 0, 0)
        self.assertEqual(changes.objects, ())

    async def test_outage_is_noted(self):
        """Guards against metrics that show the store as reachable while it is not."""
        self.assertIsNone(self.store.unavailable_since)
        self.fake.status = 503
        with self.assertRaises(PlatformUnavailableError):
            await self.store.get("groups/s1/0")
        self.assertAlmostEqual(self.store.unavailable_since, CLOCK.now(), delta=1)
        self.fake.status = 0
        with self.assertRaises(ObjectNotFoundError):
            await self.store.get("groups/s1/0")
        self.assertIsNone(self.store.unavailable_since)

    async def test_broken_connection_after_a_pause(self):
        """Guards against an agent that ends because uvloop raises an untyped error.

        uvloop raises RuntimeError for a write to a connection that ended during a freeze.
        """
        await self.store._session.close()
        self.store._session = SimpleNamespace(request=self.closed, close=self.fake.stop)
        with self.assertRaises(PlatformUnavailableError):
            await self.store.get("groups/s1/0")
        with self.assertRaises(OutcomeUnknownError):
            await self.store.put("groups/s1/0", b"{}", 3)

    def closed(self, *_, **__):
        raise RuntimeError("unable to perform operation on <TCPTransport closed=True>")

    async def test_answers_without_end(self):
        """Guards against an answer without end that fills the memory until the timeout."""

        async def start(section: PlatformSection) -> ObjectStore:
            client = ObjectStore()
            client.bind(StubRegistry(clock=CLOCK, settings=SimpleNamespace(platform=section)))
            await client.start()
            return client

        await check_platform_client(self, start)

    async def test_silent_watch_is_given_up_within_the_bound_on_configurations(self):
        """Guards against configurations that come late because a connection went silent.

        Found by trouble-1 of merrimack-siphon-grown (CONFIG): both watchers were behind for 2.8 s.
        """
        lines = LINES.replace("bounds=", "bounds=propagationS=2,")
        site = parse_site(lines)
        self.fake.silent = True
        started = CLOCK.now()
        with self.assertRaises(PlatformUnavailableError):
            await self.store.watch((CONFIGURATION_KEY,), 5, site.settings.platform.watch_ms / 1000)
        # The next call and the way to the fleet need a fifth of the bound.
        self.assertLess(CLOCK.now() - started, 0.8 * site.bounds.propagation_s)
