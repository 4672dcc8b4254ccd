"""Tests of the client of the platform's object store."""

import json
import unittest
from types import SimpleNamespace

from fescueward.kernel.errors import (
    ObjectNotFoundError,
    OutcomeUnknownError,
    PlatformAnswerError,
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

from .fakes import CLOCK, FakeStore, RawUpstream
from .test_configuration import STORED_CONFIGURATION
from .test_settings import LINES

KIND = "fescueward-groups"


class ObjectStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = FakeStore()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.store = ObjectStore()
        section = PlatformSection(url=self.server.url, timeout_ms=300)
        self.store.bind(StubRegistry(clock=CLOCK, settings=SimpleNamespace(platform=section)))
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)

    async def test_conditional_writes(self):
        """Guards against overwriting a version that the writer has not read."""
        first = await self.store.put("groups/s1/0", b'{"x":1}', 0)
        with self.assertRaises(VersionConflictError):
            await self.store.put("groups/s1/0", b'{"x":2}', 0)
        second = await self.store.put("groups/s1/0", b'{"x":2}', first)
        self.assertGreater(second, first)
        with self.assertRaises(VersionConflictError):
            await self.store.put("groups/s1/0", b'{"x":3}', first)
        item = await self.store.get("groups/s1/0")
        self.assertEqual((item.key, item.version), ("groups/s1/0", second))
        self.assertEqual(json.loads(item.value), {"x": 2})
        with self.assertRaises(ObjectNotFoundError):
            await self.store.get("groups/s2/0")

    async def test_conflict_has_the_current_object(self):
        """Guards against a read after each write that met another one."""
        version = await self.store.put("groups/s1/0", b'{"x":1}', 0)
        newer = await self.store.put("groups/s1/0", b'{"x":2}', version)
        with self.assertRaises(VersionConflictError) as caught:
            await self.store.put("groups/s1/0", b'{"x":3}', version)
        self.assertEqual(caught.exception.version, newer)
        self.assertEqual(json.loads(caught.exception.value), {"x": 2})

    async def test_list_reads_all_pages(self):
        """Guards against a directory that contains only the first page."""
        for number in range(5):
            self.server.put(KIND, f"s{number}.0", {})
        changes = await self.store.watch(("groups/",), 0, 0)
        self.assertEqual(len(changes.objects), 5)
        self.assertEqual(changes.revision, self.server.revision)

    async def test_list_that_is_cut_is_never_a_shorter_list(self):
        """Guards against a store's answer that stops half-way and reads as an empty directory."""
        body = b'{"currentRev":7,"items":[{"metadata":{"name":"s1.0","revision":5},"spec":{}}]}'
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        chunked = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        with_length = b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        for framing, whole in (
            ("length", head + with_length),
            ("chunked", head + chunked),
            ("none", head + b"\r\n" + body),
        ):
            for cut in (*range(0, len(whole), 9), len(whole) - 1):
                upstream = RawUpstream(whole[:cut])
                address = await upstream.start()
                self.store._url = f"http://{address.host}:{address.port}/objects"
                with (
                    self.subTest(framing=framing, cut=cut),
                    self.assertRaises((PlatformUnavailableError, PlatformAnswerError)),
                ):
                    await self.store.watch(("groups/",), 0, 0)
                await upstream.stop()

    async def test_compacted_history_is_read_as_a_list(self):
        """Guards against changes that are lost when the store has discarded its history."""
        self.server.put(KIND, "s1.0", {})
        self.server.oldest_revision = 1_000
        changes = await self.store.watch(("groups/",), 5, 1)
        self.assertEqual([item.key for item in changes.objects], ["groups/s1/0"])

    async def test_refusal_had_no_effect_and_lost_answer_is_unknown(self):
        """Guards against a write that took effect and is reported as failed."""
        self.server.status = 503
        with self.assertRaises(PlatformUnavailableError):
            await self.store.put("groups/s1/0", b"{}", 0)
        self.server.status, self.server.lose_responses = 0, True
        with self.assertRaises(OutcomeUnknownError):
            await self.store.put("groups/s1/0", b"{}", 0)

    async def test_configuration_is_decoded(self):
        """Guards against field names of the platform that reach the services."""
        self.server.put("config", "main", STORED_CONFIGURATION)
        changes = await self.store.watch((CONFIGURATION_KEY,), 0, 0)
        configuration = decode_json(changes.objects[0].value, Configuration)
        self.assertEqual((changes.objects[0].key, configuration.version), (CONFIGURATION_KEY, 7))

    async def test_malformed_configuration_is_skipped(self):
        """Guards against a malformed object that stops the agent or is applied in part."""
        self.server.put("config", "main", {"version": "seven"})
        self.server.put("config", "other", STORED_CONFIGURATION)
        changes = await self.store.watch((CONFIGURATION_KEY,), 0, 0)
        self.assertEqual(changes.objects, ())

    async def test_outage_is_recorded(self):
        """Guards against metrics that show the store as available during an outage."""
        self.assertIsNone(self.store.unavailable_since)
        self.server.status = 503
        with self.assertRaises(PlatformUnavailableError):
            await self.store.get("groups/s1/0")
        self.assertAlmostEqual(self.store.unavailable_since, CLOCK.now(), delta=1)
        self.server.status = 0
        with self.assertRaises(ObjectNotFoundError):
            await self.store.get("groups/s1/0")
        self.assertIsNone(self.store.unavailable_since)

    async def test_broken_connection_after_a_pause(self):
        """Guards against an agent that is stopped by an unexpected exception type.

        uvloop raises RuntimeError for a write to a connection that ended while the process paused.
        """
        await self.store._session.close()
        self.store._session = SimpleNamespace(request=self.raise_closed, close=self.server.stop)
        with self.assertRaises(PlatformUnavailableError):
            await self.store.get("groups/s1/0")
        with self.assertRaises(OutcomeUnknownError):
            await self.store.put("groups/s1/0", b"{}", 3)

    def raise_closed(self, *_, **__):
        raise RuntimeError("unable to perform operation on <TCPTransport closed=True>")

    async def test_endless_responses(self):
        """Guards against an endless response that fills the memory until the timeout."""

        async def start(section: PlatformSection) -> ObjectStore:
            client = ObjectStore()
            client.bind(StubRegistry(clock=CLOCK, settings=SimpleNamespace(platform=section)))
            await client.start()
            return client

        await check_platform_client(self, start)

    async def test_hanging_watch_times_out_within_the_propagation_bound(self):
        """Guards against configurations that are late because a connection failed silently.

        Both watchers were 2.8 s behind (CONFIG on day trouble-1 of merrimack-siphon-grown).
        """
        lines = LINES.replace("bounds=", "bounds=propagationS=2,")
        site = parse_site(lines)
        self.server.hang = True
        started = CLOCK.now()
        with self.assertRaises(PlatformUnavailableError):
            await self.store.watch((CONFIGURATION_KEY,), 5, site.settings.platform.watch_ms / 1000)
        # The next call and publishing to the fleet need a fifth of the bound.
        self.assertLess(CLOCK.now() - started, 0.8 * site.bounds.propagation_s)
