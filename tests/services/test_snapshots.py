"""Tests of snapshots."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace

from fescueward.interfaces import StoredObject
from fescueward.interfaces.placement import GroupLoad
from fescueward.kernel import Kernel
from fescueward.kernel.errors import (
    ObjectNotFoundError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    VersionConflictError,
)
from fescueward.messages import GroupId, VersionedGroup
from fescueward.messages.codec import decode_json, encode_json
from fescueward.messages.snapshot import Snapshot, snapshot_object_key
from fescueward.services.placement import ShardPlacement
from fescueward.services.snapshots import PlannerSnapshots

from .groups_for_tests import assigned_group, member

_GROUP_ID = GroupId("depot", 0)


class _Platform:
    def __init__(self):
        self.objects: dict[str, StoredObject] = {}
        self.fault: Exception | None = None
        self.lose_response = False
        self.puts = 0

    era = 0

    async def get(self, key):
        if self.fault is not None:
            raise self.fault
        if key not in self.objects:
            raise ObjectNotFoundError(key)
        return self.objects[key]

    async def put(self, key, value, expected_version):
        self.puts += 1
        if self.fault is not None:
            raise self.fault
        stored = self.objects.get(key)
        if (stored.version if stored is not None else 0) != expected_version:
            raise VersionConflictError(key)
        self.objects[key] = StoredObject(key, expected_version + 1, value)
        if self.lose_response:
            raise OutcomeUnknownError(key)
        return expected_version + 1

    async def delete(self, key, expected_version):
        raise NotImplementedError

    async def watch(self, prefixes, since, wait_s):
        raise NotImplementedError


class _Load:
    def __init__(self):
        self.load = GroupLoad({3: 0.5}, {"viral": 0.25})
        self.restored = None

    def record(self, shard, key, seconds):
        raise NotImplementedError

    def group_load(self):
        return self.load

    def end_round(self):
        return self.load

    def restore(self, work, hot_keys):
        self.restored = work, hot_keys


class _Clock:
    def now(self):
        return 0.0

    async def sleep(self, seconds):
        await asyncio.sleep(0.001)


class SnapshotsTest(unittest.IsolatedAsyncioTestCase):
    """A planner stores snapshots, from which the next planner starts."""

    def setUp(self):
        self.platform, self.load = _Platform(), _Load()

    def _service(self, member_id: str) -> PlannerSnapshots:
        kernel = Kernel()
        service = PlannerSnapshots(kernel)
        service._clock, service._platform = _Clock(), self.platform
        service._groups = None
        service._membership = SimpleNamespace(own_group_id=_GROUP_ID, member_id=member_id)
        service._placement = ShardPlacement(kernel)
        service._load = self.load
        service._period_s = 1.0
        self.addAsyncCleanup(service.stop)
        return service

    async def _planner(self, member_id: str = "a:1") -> PlannerSnapshots:
        service = self._service(member_id)
        service.group_changed(VersionedGroup(1, assigned_group(member("a"), member("b"))))
        await asyncio.sleep(0.02)
        return service

    async def test_next_planner_starts_from_the_snapshot(self):
        """Guards against a new planner that starts without loads."""
        first = await self._planner()
        self.assertTrue(await first.store())
        self.assertTrue(await first.store())
        second = self._service("b:1")
        second.group_changed(VersionedGroup(2, assigned_group(member("b"))))
        await asyncio.sleep(0.02)
        self.assertEqual(self.load.restored, ({3: 0.5}, {"viral": 0.25}))
        self.assertTrue(await second.store())

    async def test_only_the_planner_writes(self):
        """Guards against one write per member and period."""
        other = await self._planner("b:1")
        self.assertFalse(await other.store())
        self.assertEqual(self.platform.puts, 0)

    async def test_incomplete_loads_are_not_stored(self):
        """Guards against a new planner that overwrites a snapshot with incomplete loads."""
        service = await self._planner()
        self.load.load = GroupLoad(complete=False)
        self.assertFalse(await service.store())
        self.assertEqual(self.platform.puts, 0)

    async def test_outage_is_survived(self):
        """Guards against a task that fails in an outage, which would end the agent."""
        self.platform.fault = PlatformUnavailableError("down")
        service = await self._planner()
        self.assertFalse(await service.store())
        self.platform.fault = None
        await asyncio.sleep(0.05)
        self.assertTrue(await service.store())
        self.platform.fault = PlatformUnavailableError("down")
        self.assertFalse(await service.store())
        self.assertEqual(self.platform.puts, 2)

    async def test_write_with_a_lost_response_is_read_back(self):
        """Guards against snapshots that fail permanently after one lost response."""
        service = await self._planner()
        self.platform.lose_response = True
        self.assertFalse(await service.store())
        self.platform.lose_response = False
        await asyncio.sleep(0.02)
        self.assertTrue(await service.store())

    async def test_malformed_snapshot_is_replaced(self):
        """Guards against a malformed object that stops the planner."""
        key = snapshot_object_key(_GROUP_ID)
        for malformed in (b"[]", b'{"service":"depot","number":0,"work":{"3":-1}}', b""):
            self.platform.objects[key] = StoredObject(key, 7, malformed)
            service = await self._planner()
            self.assertTrue(await service.store())
        self.assertIsNone(self.load.restored)

    async def test_size_is_bounded(self):
        """Guards against a snapshot that the platform refuses because of its size."""
        work = {shard: 123.456789 for shard in range(4096 + 64)}
        self.load.load = GroupLoad(work, {f"{n:0200d}": 1.0 for n in range(1000)})
        service = await self._planner()
        self.assertTrue(await service.store())
        stored = self.platform.objects[snapshot_object_key(_GROUP_ID)].value
        self.assertLess(len(stored), 300_000)
        self.assertEqual(encode_json(decode_json(stored, Snapshot)), stored)
