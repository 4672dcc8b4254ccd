"""Tests of agents whose store has group objects that another program wrote."""

from __future__ import annotations

import asyncio
import json
import unittest
from types import SimpleNamespace
from unittest import mock

from hypothesis import given, settings

from fescueward.interfaces import StoredObject
from fescueward.kernel import Kernel
from fescueward.kernel.errors import PlatformAnswerError
from fescueward.messages import Group, GroupId, VersionedGroup
from fescueward.messages.codec import encode_json
from fescueward.messages.delta import GroupDelta
from fescueward.messages.group import LAST_KEY, KeyRange
from fescueward.messages.group_object import decode_group
from fescueward.messages.peer import Fetch, Publish
from fescueward.services.groups import GroupStore, stored_objects
from fescueward.services.routing.routes import RouteTable
from tests.mutation import damaged_documents

from ..fakes import CLOCK, StubRegistry
from ..groups_for_tests import member, with_added_members
from ..keyspace.keyed_fleet import KeyedFleet

RANGES = (KeyRange(0, 99, "a:1", 4), KeyRange(100, LAST_KEY, "b:1", 5))
GROUP = with_added_members(Group("depot", 0, 1, ranges=RANGES, fence=5), member("a"), member("b"))
OTHER = json.loads(encode_json(with_added_members(Group("other", 0, 1), member("c"))))


def group_store(peers: object, platform: object) -> GroupStore:
    groups = GroupStore(Kernel(), fleet_wide=True)
    groups.bind(
        StubRegistry(
            clock=CLOCK,
            platform=platform,
            catalogue=SimpleNamespace(),
            peers=peers,
            membership=SimpleNamespace(
                member_id="a:1", own_group_id=GROUP.id, own_member=lambda: None
            ),
            routes=RouteTable(),
            settings=SimpleNamespace(
                platform=SimpleNamespace(watch_ms=1000),
                agent=SimpleNamespace(failure_domain="lowell"),
            ),
        )
    )
    return groups


class OddObjectsTest(unittest.TestCase):
    def setUp(self):
        self.peers = mock.Mock()
        self.platform = mock.AsyncMock()
        self.groups = group_store(self.peers, self.platform)
        self.groups.observe(VersionedGroup(3, GROUP))

    def test_copy_under_another_name_is_not_used(self):
        """Guards against a copy of a group, under a name of its own, that takes its place."""
        copy = encode_json(with_added_members(GROUP, member("stranger")))
        for key in ("groups/copy/0", "groups//odd", "groups/depot/1"):
            self.groups._objects.observe(StoredObject(key, 9, copy, False))
        self.assertEqual(self.groups.view(GROUP.id), VersionedGroup(3, GROUP))

    def test_spoiled_group_leaves_the_earlier_version_in_use(self):
        """Guards against an agent that loses its group, or ends, because its object is damaged."""
        spoiled = encode_json(Group("depot", 0, 1, ranges=(RANGES[1], RANGES[0])))
        stored = StoredObject(GROUP.id.object_key, 9, spoiled, False)
        self.platform.get.return_value = stored
        with mock.patch.object(stored_objects, "_MALFORMED_OBJECT") as event:
            for _ in range(3):
                self.groups._objects.observe(stored)
                with self.assertRaises(PlatformAnswerError):
                    asyncio.run(self.groups.refresh(GROUP.id))
        self.assertEqual(self.groups.view(GROUP.id), VersionedGroup(3, GROUP))
        self.assertEqual(event.emit.call_count, 1)

    def test_group_of_a_peer_is_checked_too(self):
        """Guards against a damaged group that spreads between agents, and hides the next one."""
        spoiled = VersionedGroup(9, Group("depot", 0, 1, ranges=RANGES[1:]))
        other = VersionedGroup(4, with_added_members(Group("other", 0, 1), member("c")))
        self.groups._exchange.on_publish("b:1", Publish(groups=(spoiled, other)))
        self.assertEqual(self.groups.view(GROUP.id), VersionedGroup(3, GROUP))
        self.assertEqual(self.groups.view(GroupId("other", 0)), other)

    def test_delta_that_does_not_fit_fetches_the_whole_group_once(self):
        """Guards against two agents that exchange an unusable delta without end."""
        delta = GroupDelta("depot", 0, 3, 4, ranges=(KeyRange(50, 60, "b:1", 6),))
        self.groups._exchange.on_publish("b:1", Publish(deltas=(delta,)))
        self.peers.reply.assert_called_once_with("b:1", Fetch("depot", 0, 0))
        self.groups._exchange.on_publish(
            "b:1", Publish(groups=(VersionedGroup(4, Group("depot", 0, 1, ranges=RANGES[1:])),))
        )
        self.peers.reply.assert_called_once()
        self.assertEqual(self.groups.view(GROUP.id), VersionedGroup(3, GROUP))


class OddObjectsInAFleetTest(unittest.TestCase):
    def test_unexpected_exception_of_the_watch(self):
        """Guards against agents that end because reading their store raised an exception."""
        fleet = KeyedFleet()
        for name in ("a0", "a1"):
            fleet.start(name, "d0")
        fleet.world.advance(3)
        calls = []

        async def fail(prefixes, since, wait_s):
            calls.append(fleet.world.now)
            raise RecursionError("nested too deeply")

        agents = list(fleet.agents.values())
        working = [agent.platform.watch for agent in agents]
        for agent in agents:
            agent.platform.watch = fail
        fleet.world.advance(30)
        self.assertLess(len(calls), 60, "the watch spins")
        self.assertTrue(fleet.distributed())
        for agent, watch in zip(agents, working, strict=True):
            agent.platform.watch = watch
        fleet.start("a2", "d0")
        fleet.world.advance(8)
        self.assertTrue(fleet.distributed())
        fleet.close()

    def test_unexpected_exception_for_one_object(self):
        """Guards against one object that hides the others, or ends the agents that read it."""
        fleet = KeyedFleet()
        for name in ("a0", "a1"):
            fleet.start(name, "d0")
        fleet.world.advance(3)
        fleet.platform.on_write = lambda old, new: None
        original = stored_objects.decode_group

        def decode(key, value):
            if key == "groups/aaa/0":
                raise ZeroDivisionError
            return original(key, value)

        with mock.patch.object(stored_objects, "decode_group", decode):
            fleet.platform.write("groups/aaa/0", b"{}", 0)
            fleet.platform.write("groups/other/0", json.dumps(OTHER).encode(), 0)
            fleet.start("a2", "d0")
            self.assertIsNotNone(fleet.time_until_distributed(10))
        for agent in fleet.agents.values():
            self.assertIsNotNone(agent.groups.view(GroupId("other", 0)))
        fleet.close()

    @settings(max_examples=25, deadline=None)
    @given(damaged_documents(OTHER), damaged_documents(OTHER))
    def test_fleet_serves_on_beside_odd_groups(self, odd_group, odd_copy):
        """Guards against a group of another program that ends agents or stops their watch."""
        fleet = KeyedFleet()
        check_write = fleet.platform.on_write
        for name in ("a0", "a1", "a2"):
            fleet.start(name, "d0")
        fleet.world.advance(3)
        fleet.platform.on_write = lambda old, new: None
        fleet.platform.write("groups/other/0", json.dumps(odd_group).encode(), 0)
        fleet.platform.write("groups//odd", json.dumps(odd_copy).encode(), 0)
        fleet.platform.on_write = check_write
        fleet.world.advance(1)
        fleet.start("a3", "d0")
        self.assertIsNotNone(fleet.time_until_distributed(10))
        fleet.close()

    def test_fleet_serves_on_when_a_member_is_spoiled(self):
        """Guards against a fleet that no agent can join because of one odd member."""
        fleet = KeyedFleet()
        for name in ("a0", "a1"):
            fleet.start(name, "d0")
        fleet.world.advance(3)
        key = "groups/depot/0"
        stored = fleet.platform.read(key)
        group = json.loads(stored.value)
        odd = {**next(iter(group["members"].values())), "id": "odd:1", "peer_port": 70_000}
        group["members"]["odd:1"] = odd
        fleet.platform.on_write = lambda old, new: None
        fleet.platform.write(key, json.dumps(group).encode(), stored.version)
        fleet.start("a2", "d0")
        self.assertIsNotNone(fleet.time_until_distributed(10))
        self.assertNotIn("odd:1", decode_group(key, fleet.platform.read(key).value).members)
        fleet.close()
