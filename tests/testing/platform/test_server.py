"""Tests of the platform stand-in."""

from __future__ import annotations

import asyncio
import io
import unittest

import aiohttp

from fescueward.kernel.errors import ObjectNotFoundError
from fescueward.testing.callers import without_retries
from fescueward.testing.platform import MAX_VALUE_BYTES, Faults, Mode, PlatformStandIn
from fescueward.testing.waiting import wait_until


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = PlatformStandIn()
        await self.platform.start()
        self.addAsyncCleanup(self.platform.stop)
        self.session = without_retries(aiohttp.ClientSession(f"{self.platform.url}/"))
        self.addAsyncCleanup(self.session.close)

    async def _put(self, key, value, version, method="PUT"):
        headers = {"If-Match": str(version)}
        body = None if value is None else io.BytesIO(value)
        async with self.session.request(
            method, f"objects/{key}", data=body, headers=headers
        ) as response:
            body = await response.json() if response.content_type == "application/json" else {}
            return response.status, body.get("version")

    async def _list(self, **query):
        async with self.session.get("objects", params=query) as response:
            return await response.json()

    async def test_conditional_writes(self):
        """Guards against lost updates and against versions that do not increase across objects."""
        self.assertEqual(await self._put("groups/depot/0", b"[1]", 0), (200, 1))
        self.assertEqual(await self._put("groups/depot/0", b"[2]", 0), (409, 1))
        self.assertEqual(await self._put("other", b"1", 7), (409, 0))
        self.assertEqual(await self._put("other", b"1", 0), (200, 2))
        self.assertEqual(await self._put("groups/depot/0", b"[3]", 1), (200, 3))
        async with self.session.get("objects/groups/depot/0") as response:
            expected = {"key": "groups/depot/0", "version": 3, "value": [3]}
            self.assertEqual(await response.json(), expected)
        self.assertEqual(await self._put("groups/depot/0", None, 3, "DELETE"), (200, 4))
        self.assertEqual(await self._put("groups/depot/0", None, 4, "DELETE"), (404, None))
        self.assertEqual(await self._put("groups/depot/0", b"[4]", 0), (200, 5))

    async def test_bad_writes_are_refused(self):
        """Guards against writes of oversized or non-JSON values and writes without a version."""
        largest = b'"' + b"x" * (MAX_VALUE_BYTES - 2) + b'"'
        self.assertEqual(await self._put("a", largest, 0), (200, 1))
        self.assertEqual((await self._put("b", largest + b" ", 0))[0], 413)
        self.assertEqual((await self._put("b", b"{", 0))[0], 400)
        self.assertEqual((await self._put("b", b"1", "x"))[0], 400)

    async def test_watch_waits_for_a_change_of_its_prefixes(self):
        """Guards against watches that miss a change or return for other objects."""
        await self._put("groups/depot/0", b"1", 0)
        watch = asyncio.create_task(
            self._list(prefix="groups/", since=1, wait_ms=20_000),
        )
        await wait_until(lambda: self.platform.store.waiting, 5, "the watch waits")
        await self._put("entries/depot", b"2", 0)
        await self._put("groups/depot/0", None, 1, "DELETE")
        changed = {"key": "groups/depot/0", "version": 3, "value": None, "deleted": True}
        self.assertEqual(await watch, {"revision": 3, "objects": [changed]})
        everything = await self._list(since=0)
        self.assertEqual([item["key"] for item in everything["objects"]], ["entries/depot"])
        self.assertEqual(await self._list(since=3, wait_ms=1), {"revision": 3, "objects": []})

    async def test_outages_have_no_effect_on_objects(self):
        """Guards against a write that is rejected and still applied."""
        self.platform.set_faults(Faults(Mode.DOWN))
        self.assertEqual((await self._put("a", b"1", 0))[0], 503)
        self.platform.set_faults(Faults(Mode.DOWN, fail_connections=True))
        with self.assertRaises(aiohttp.ClientError):
            await self._put("a", b"1", 0)
        self.platform.set_faults(Faults(Mode.HANG))
        write = asyncio.create_task(self._put("a", b"1", 0))
        watch = asyncio.create_task(self._list(since=0, wait_ms=20_000))
        await wait_until(lambda: self.platform.counters.total == 4, 5, "both calls hang")
        self.assertFalse(write.done())
        self.platform.set_faults(Faults())
        for call in (write, watch):
            with self.assertRaises(aiohttp.ClientError):
                await call
        self.assertEqual(self.platform.store.revision, 0)

    async def test_outage_ends_waiting_watches(self):
        """Guards against watches that keep delivering changes while the platform is down."""
        watch = asyncio.create_task(self._list(since=0, wait_ms=20_000))
        await wait_until(lambda: self.platform.store.waiting, 5, "the watch waits")
        self.platform.set_faults(Faults(Mode.DOWN, fail_connections=True))
        with self.assertRaises(aiohttp.ClientError):
            await watch

    async def test_lost_and_late_writes_take_effect(self):
        """Guards against an injected fault that loses the write together with its response."""
        self.platform.set_faults(Faults(lose_responses=1))
        with self.assertRaises(aiohttp.ClientError):
            await self._put("a", b"1", 0)
        self.assertEqual(self.platform.store.get("a").version, 1)
        self.assertEqual(await self._put("a", b"2", 1), (200, 2))
        async with self.session.post("control", json={"delay_writes": 1, "delay_writes_ms": 50}):
            pass
        with self.assertRaises(aiohttp.ClientError):
            await self._put("b", b"1", 0)
        with self.assertRaises(ObjectNotFoundError):
            self.platform.store.get("b")
        await wait_until(lambda: self.platform.store.revision == 3, 5, "the delayed write")

    async def test_calls_are_counted_by_kind(self):
        """Guards against call counters that leave out watches or include control calls."""
        await self._put("a", b"1", 0)
        await self._put("a", b"1", 0)
        await self._list(since=0)
        await self._list(since=0, wait_ms=5)
        async with self.session.post("control", json={"mode": "bad"}) as response:
            self.assertEqual(response.status, 400)
        async with self.session.get("counters") as response:
            counters = await response.json()
        expected = {"puts": 2, "conflicts": 1, "lists": 1, "watches": 1, "gets": 0, "total": 4}
        self.assertEqual({name: counters[name] for name in expected}, expected)
