"""Tests of the emulated object store."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp

from fescueward.testing.site.store import SiteStore, StoreFaults, StoreMode


class SiteStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = SiteStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.base = f"http://127.0.0.1:{self.store.port}/fescueward/objects/things"

    async def call(self, method, path="", spec=None, revision=None, timeout_s=3.0):
        metadata = {"name": "one"} | ({"revision": revision} if revision else {})
        body = None if spec is None else {"metadata": metadata, "spec": spec}
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        async with self.session.request(
            method, self.base + path, json=body, timeout=timeout
        ) as response:
            content = await response.read()
            return response.status, (await response.json()) if content else None

    async def test_conditional_writes(self):
        """Guards against a store that accepts a write with an outdated revision."""
        _, created = await self.call("POST", spec=1)
        revision = created["metadata"]["revision"]
        self.assertEqual((await self.call("POST", spec=2))[0], 409)
        self.assertEqual((await self.call("PUT", "/one", 2, revision + 7))[0], 409)
        status, written = await self.call("PUT", "/one", 2, revision)
        self.assertEqual((status, written["spec"]), (200, 2))
        unchanged = await self.call("PUT", "/one", 2, written["metadata"]["revision"])
        self.assertEqual(unchanged[1]["metadata"]["revision"], written["metadata"]["revision"])
        self.assertEqual((await self.call("DELETE", f"/one?revision={revision}"))[0], 409)
        self.assertEqual((await self.call("DELETE", "/one"))[0], 200)
        self.assertEqual((await self.call("GET", "/one"))[0], 404)

    async def test_lists_come_in_pages(self):
        """Guards against list responses that are not paged."""
        for number in range(60):
            self.store.write("things", f"n{number:02}", b"0")
        _, first = await self.call("GET")
        _, rest = await self.call("GET", f"?after={first['items'][-1]['metadata']['name']}")
        self.assertEqual((first["hasMore"], rest["hasMore"]), (True, False))
        self.assertEqual(len(first["items"]) + len(rest["items"]), 60)

    async def test_watch_waits_and_history_ends(self):
        """Guards against watches that miss a change or start at a dropped part of the history."""
        since = self.store.write("things", "one", b"1")
        watch = asyncio.create_task(self.call("GET", f"?watch={since}&waitMs=2000"))
        await asyncio.sleep(0.05)
        self.store.write("things", "one", b"2")
        _, changes = await watch
        self.assertEqual(changes["events"][0]["object"]["spec"], 2)
        self.store.drop_history()
        self.assertEqual((await self.call("GET", f"?watch={since}"))[0], 410)

    async def test_restore_goes_back_to_a_copy(self):
        """Guards against a restored store that keeps what was written after its copy."""
        _, created = await self.call("POST", spec=1)
        copied = created["metadata"]["revision"]
        await asyncio.sleep(0.1)
        await self.call("PUT", "/one", 2)
        since = self.store.write("things", "two", b"3")
        watch = asyncio.create_task(self.call("GET", f"?watch={since}&waitMs=2000"))
        await asyncio.sleep(0.02)
        self.store.restore(0.09)
        self.assertEqual((await watch)[0], 410)
        _, listed = await self.call("GET")
        self.assertEqual([item["spec"] for item in listed["items"]], [1, 3])
        self.assertEqual(listed["currentRev"], copied + 1)
        self.assertEqual((await self.call("GET", "?watch=9999&waitMs=10"))[0], 410)
        async with self.session.get(self.base) as response:
            self.assertEqual(response.headers["Store-Era"], "1")

    async def test_faults(self):
        """Guards against faults that have no effect, and lost responses that undo the write."""
        self.store.set_faults(StoreFaults(mode=StoreMode.REFUSE))
        self.assertEqual((await self.call("GET"))[0], 503)
        self.store.set_faults(StoreFaults(mode=StoreMode.RESET))
        with self.assertRaises(aiohttp.ClientError):
            await self.call("GET")
        self.store.set_faults(StoreFaults(mode=StoreMode.SILENT))
        with self.assertRaises(TimeoutError):
            await self.call("GET", timeout_s=0.2)
        self.store.set_faults(StoreFaults(lost_share=1.0))
        with self.assertRaises(aiohttp.ClientError):
            await self.call("POST", spec=1)
        self.assertIn("one", self.store.objects("things"))
