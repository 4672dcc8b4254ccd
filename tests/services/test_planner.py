"""Tests of the planner: which member plans, when it does, and what it logs."""

from __future__ import annotations

import io
import unittest
from dataclasses import replace
from types import SimpleNamespace

from loguru import logger

from fescueward.interfaces.placement import GroupLoad
from fescueward.kernel import Kernel, configure_logging
from fescueward.kernel.errors import PlatformUnavailableError
from fescueward.messages import GroupId, MemberState, VersionedGroup
from fescueward.services.placement import ShardPlacement
from fescueward.services.policies import BoundedLoadPolicy

from .groups_for_tests import SHARDS, assigned_group, entry, joined, member, owners

_GROUP_ID = GroupId("depot", 0)


class _Groups:
    def __init__(self, group):
        self.current = VersionedGroup(1, group)
        self.listener = None
        self.fault = None

    def view(self, group):
        return self.current

    async def edit(self, group, change):
        if self.fault is not None:
            raise self.fault
        changed = change(self.current.group)
        if changed is not None:
            self.current = VersionedGroup(self.current.version + 1, changed)
            self.listener.group_changed(self.current)
        return self.current


class _Load:
    def __init__(self):
        self.load = GroupLoad()
        self.rounds = 0

    def group_load(self):
        return self.load

    def end_round(self):
        self.rounds += 1
        return self.load


class PlannerTest(unittest.IsolatedAsyncioTestCase):
    """One member plans with complete load reports and logs its decisions."""

    def setUp(self):
        self.group = joined(assigned_group(member("a")), member("b"))
        self.groups, self.load = _Groups(self.group), _Load()
        self.events: list[tuple[int, dict]] = []
        # Other tests may have set a higher log level.
        configure_logging("DEBUG", "text", io.StringIO())
        sink = logger.add(
            lambda line: self.events.append(
                (line.record["extra"]["event"].number, line.record["extra"]["fields"])
            ),
            filter=lambda record: "event" in record["extra"],
        )
        self.addCleanup(logger.remove, sink)
        self.addCleanup(logger.disable, "fescueward")

    def _placement(self, member_id: str, *, held: bool = True) -> ShardPlacement:
        service = ShardPlacement(Kernel())
        service._membership = SimpleNamespace(own_group_id=_GROUP_ID, member_id=member_id)
        service._lease = SimpleNamespace(held=held)
        service._catalogue = SimpleNamespace(entry=lambda _: SimpleNamespace(entry=entry()))
        service._groups, service._load = self.groups, self.load
        service._policy = BoundedLoadPolicy()
        self.groups.listener = service
        return service

    def _numbers(self) -> list[int]:
        return [number for number, _ in self.events]

    async def test_moves_are_logged_once_each_with_their_round(self):
        """Guards against decisions that no log line explains."""
        await self._placement("a:1").plan()
        moving = sum(shard.successor == "b:1" for shard in self.groups.current.group.shards)
        self.assertGreater(moving, 0)
        self.assertEqual(self._numbers().count(2803), moving)
        self.assertEqual(self._numbers().count(2801), 1)
        fields = next(fields for number, fields in self.events if number == 2803)
        self.assertEqual(
            (fields["reason"], fields["source"], fields["target"]), ("balance", "a:1", "b:1")
        )

    async def test_only_the_planner_with_a_lease_plans(self):
        """Guards against two planners, and one that acts after its lease ended."""
        await self._placement("b:1").plan()
        await self._placement("a:1", held=False).plan()
        self.assertEqual(self.groups.current.version, 1)

    async def test_incomplete_reports_stop_the_round(self):
        """Guards against a new planner that moves shards by the reports of a few members."""
        self.load.load = GroupLoad(complete=False)
        await self._placement("a:1").plan()
        self.assertEqual(self.groups.current.version, 1)

    async def test_outage_ends_the_round_only(self):
        """Guards against an agent that ends because the platform is unavailable."""
        self.groups.fault = PlatformUnavailableError("down")
        self.assertFalse(await self._placement("a:1").plan())
        self.assertIn(2802, self._numbers())

    async def test_new_exception_causes_another_round(self):
        """Guards against a hot key that waits a whole round for more capacity."""
        self.load.load = GroupLoad(dict.fromkeys(range(SHARDS), 0.05), {"viral": 1.0})
        self.assertTrue(await self._placement("a:1").plan())
        self.assertEqual(self._numbers(), [2804, 2801])

    async def test_losses_are_logged_when_they_are_written(self):
        """Guards against log lines of decisions whose conditional write failed."""
        service = self._placement("a:1")
        service.assign(self.group, frozenset({"a:1"}))
        self.assertEqual(self._numbers(), [])
        assigned = service.assign(self.group, frozenset({"a:1"}))
        service.group_changed(VersionedGroup(5, assigned))
        self.assertEqual(self._numbers(), [2803] * SHARDS)
        self.assertEqual({fields["reason"] for _, fields in self.events}, {"loss"})

    async def test_drain_marks_the_member_and_is_idempotent(self):
        """Guards against an edit that never ends because each attempt changes the group."""
        service = self._placement("a:1")
        drained = service.drain_member(self.group, "a:1")
        self.assertEqual(drained.members["a:1"].state, MemberState.LEAVING)
        self.assertEqual({shard.successor for shard in drained.shards}, {"b:1"})
        self.assertEqual(service.drain_member(drained, "a:1"), drained)
        without_others = replace(self.group, members={"a:1": self.group.members["a:1"]})
        self.assertEqual(owners(service.drain_member(without_others, "a:1")), ["a:1"] * SHARDS)
