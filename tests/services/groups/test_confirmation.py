"""Tests of groups after the store was restored from an older copy."""

from __future__ import annotations

import unittest
from dataclasses import replace

from fescueward.kernel.errors import PlatformAnswerError, PlatformError
from fescueward.messages import Group, GroupId, VersionedGroup
from fescueward.messages.codec import decode_json, encode_json
from fescueward.messages.era import epoch_after, era_of, to_version
from fescueward.messages.group import LAST_KEY, KeyRange
from fescueward.services.groups.confirmation import _confirmed_content
from tests.services.fleet import GROUP_ID
from tests.services.groups_for_tests import member, with_added_members
from tests.services.keyspace.keyed_fleet import KeyedFleet
from tests.services.timed_fakes import ResponseMode

KEY = GROUP_ID.object_key
# A watcher's pause, the time to collect newer versions, a write and its way to all agents.
_CONFIRMED_WITHIN_S = 2.0


class ConfirmationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = KeyedFleet()
        for number in range(5):
            self.fleet.start(f"a{number}", f"d{number % 3}")
        self.fleet.world.advance(4)
        self.assertTrue(self.fleet.distributed())
        self.addCleanup(self.fleet.close)

    def edit(self, name: str, key: str) -> list[object]:
        """Adds an exception to the group as one agent; returns the results as they arrive."""
        results: list[object] = []
        agent = self.fleet.agents[name]

        def change(group: Group) -> Group | None:
            if key in group.exceptions:
                return None
            return replace(group, exceptions={**group.exceptions, key: 0})

        async def run() -> None:
            try:
                results.append(await agent.groups.edit(GROUP_ID, change))
            except PlatformError as error:
                results.append(error)

        agent.spawn(run)
        return results

    def views(self) -> list[VersionedGroup]:
        return [agent.groups.view(GROUP_ID) for agent in self.fleet.agents.values()]

    def assert_confirmed(self) -> Group:
        """Checks that all agents have the same version, of the present era; returns its group."""
        versions = {view.version for view in self.views()}
        self.assertEqual(len(versions), 1, versions)
        self.assertEqual({era_of(version) for version in versions}, {self.fleet.platform.era})
        self.assertTrue(all(view.confirmed for view in self.views()))
        return self.views()[0].group

    def restore_beside_an_old_view(self, name: str, later_writes: int) -> None:
        """Restores the store while one agent, cut off from the others, has the copy's version."""
        agents = self.fleet.agents
        for other in agents:
            if other != name:
                self.fleet.network.cut.add(frozenset((name, other)))
        agents[name].platform.response_mode = ResponseMode.REFUSED
        self.fleet.world.advance(0.1)
        copy = self.fleet.platform.copy()
        self.edit("a1", "lost")
        self.fleet.world.advance(0.8)
        for agent in agents.values():
            agent.platform.response_mode = ResponseMode.REFUSED
        self.fleet.world.advance(0.2)
        self.fleet.platform.restore(copy)
        # Other objects are written before any agent reaches the store.
        self.fleet.platform.revision += later_writes
        for agent in agents.values():
            agent.platform.response_mode = ResponseMode.NORMAL
        self.fleet.world.advance(1.0)
        self.fleet.network.cut.clear()
        self.fleet.world.advance(4.0)

    def test_late_write_on_the_copy_undoes_nothing_that_members_know(self):
        """Guards against content that counts as newer because it was stored after the restore."""
        self.restore_beside_an_old_view("a3", later_writes=20)
        self.assertIn("lost", self.fleet.group().exceptions)

    def test_watcher_without_peers_undoes_nothing_that_members_know(self):
        """Guards against a confirmation by a watcher that no other agent answers."""
        self.restore_beside_an_old_view("a2", later_writes=0)
        self.assertIn("lost", self.fleet.group().exceptions)

    def test_lost_writes_are_written_again(self):
        """Guards against an acknowledged change of a group that a restore undoes."""
        copy = self.fleet.platform.copy()
        self.edit("a3", "lost")
        self.fleet.world.advance(0.5)
        before = self.fleet.group()
        self.fleet.platform.restore(copy)
        self.fleet.world.advance(_CONFIRMED_WITHIN_S)
        group = self.assert_confirmed()
        self.assertIn("lost", group.exceptions)
        self.assertEqual(group, self.fleet.group())
        for old, new in zip(before.ranges, group.ranges, strict=True):
            self.assertEqual((old.first, old.last, old.owner), (new.first, new.last, new.owner))
            self.assertGreater(new.epoch, before.fence)

    def test_keys_are_served_all_the_while(self):
        """Guards against keys that are refused because the store was restored."""
        copy = self.fleet.platform.copy()
        self.edit("a3", "lost")
        self.fleet.world.advance(0.5)
        self.fleet.platform.restore(copy)
        for _ in range(80):
            self.fleet.world.advance(0.05)
            self.assertEqual(sum(self.fleet.served_keys().values()), LAST_KEY + 1)

    def test_group_that_the_copy_lacks_is_created_again(self):
        """Guards against a group that begins without members because the copy is older."""
        members = set(self.fleet.group().members)
        self.fleet.platform.restore((0, {}))
        self.edit("a2", "later")
        self.fleet.world.advance(_CONFIRMED_WITHIN_S)
        group = self.assert_confirmed()
        self.assertEqual(set(group.members), members)
        self.assertIn("later", group.exceptions)

    def test_members_that_left_stay_away(self):
        """Guards against a member that is sent requests again after it has left."""
        copy = self.fleet.platform.copy()
        left_id = self.fleet.agents["a4"].member_id
        self.fleet.agents["a4"].leave()
        self.fleet.world.advance(2)
        self.assertNotIn(left_id, self.fleet.group().members)
        seen = set()
        self.fleet.platform.restore(copy)
        for _ in range(40):
            self.fleet.world.advance(0.05)
            seen |= {id_ for view in self.views() for id_ in view.group.members}
        self.assertNotIn(left_id, seen)
        self.assertNotIn(left_id, self.assert_confirmed().members)

    def test_agent_that_restarts_meanwhile_believes_no_copy(self):
        """Guards against a restarted agent that takes the copy for the present group."""
        copy = self.fleet.platform.copy()
        self.edit("a3", "lost")
        self.fleet.world.advance(0.5)
        self.fleet.platform.restore(copy)
        agent = self.fleet.agents["a4"]
        self.fleet.start("a4", "d1", agent.boot)
        self.fleet.world.advance(_CONFIRMED_WITHIN_S)
        self.assertIn("lost", self.assert_confirmed().exceptions)

    def test_copy_is_confirmed_if_no_agent_knows_more(self):
        """Guards against a fleet that stays away because all agents were restarted."""
        copy = self.fleet.platform.copy()
        self.edit("a3", "lost")
        self.fleet.world.advance(0.5)
        self.fleet.platform.restore(copy)
        for name, agent in list(self.fleet.agents.items()):
            self.fleet.start(name, agent.domain, agent.boot)
        self.fleet.world.advance(8)
        self.assertNotIn("lost", self.assert_confirmed().exceptions)
        self.assertEqual(sum(self.fleet.served_keys().values()), LAST_KEY + 1)

    def test_restore_while_a_group_is_confirmed(self):
        """Guards against a confirmation that is lost by a second restore."""
        for pause_s in (0.0, 0.05, 0.2, 0.25, 0.4, 0.8):
            with self.subTest(pause=pause_s):
                copy = self.fleet.platform.copy()
                key = f"lost-{pause_s}"
                self.edit("a3", key)
                self.fleet.world.advance(0.5)
                self.fleet.platform.restore(copy)
                self.fleet.world.advance(pause_s)
                self.fleet.platform.restore(copy)
                self.fleet.world.advance(_CONFIRMED_WITHIN_S)
                self.assertIn(key, self.assert_confirmed().exceptions)

    def test_half_of_the_agents_are_refused(self):
        """Guards against agents that keep the old group because the store turns them away."""
        copy = self.fleet.platform.copy()
        self.edit("a3", "lost")
        self.fleet.world.advance(0.5)
        for name in ("a0", "a1"):
            self.fleet.agents[name].platform.response_mode = ResponseMode.REFUSED
        self.fleet.platform.restore(copy)
        self.edit("a4", "later")
        self.fleet.world.advance(3)
        self.assertIn("lost", self.assert_confirmed().exceptions)

    def test_group_that_cannot_be_written_holds_up_no_other(self):
        """Guards against watchers that list the store without end because of one odd group."""
        odd = Group("odd", 0, 1)
        self.fleet.platform.write(odd.id.object_key, encode_json(odd), 0)
        self.fleet.world.advance(1)
        attempts = []
        for agent in self.fleet.agents.values():
            put = agent.platform.put

            async def refuse_odd(key: str, value: bytes, version: int, put=put) -> int:
                if key == odd.id.object_key:
                    attempts.append(version)
                    raise PlatformAnswerError("too large")
                return await put(key, value, version)

            agent.platform.put = refuse_odd
        self.fleet.platform.restore(self.fleet.platform.copy())
        self.fleet.world.advance(10)
        self.assert_confirmed()
        self.assertLessEqual(len(attempts), 2)

    def test_confirmation_that_was_refused_once_is_repeated(self):
        """Guards against a group that stays unconfirmed after one unexpected status."""
        for agent in self.fleet.agents.values():
            put, refusals = agent.platform.put, iter([PlatformAnswerError("status 500")])

            async def refuse_once(key, value, version, put=put, refusals=refusals) -> int:
                if (refusal := next(refusals, None)) is not None:
                    raise refusal
                return await put(key, value, version)

            agent.platform.put = refuse_once
        self.fleet.platform.restore(self.fleet.platform.copy())
        self.fleet.world.advance(15)
        self.assert_confirmed()

    def test_late_write_of_an_earlier_era_is_not_believed(self):
        """Guards against a write from before the restore that undoes what was written since."""
        agent = self.fleet.agents["a3"]
        view = agent.groups.view(GROUP_ID)
        stale = encode_json(replace(view.group, exceptions={"late": 0}))
        copy = self.fleet.platform.copy()
        self.fleet.platform.restore(copy)
        self.fleet.world.advance(_CONFIRMED_WITHIN_S)
        self.edit("a1", "present")
        self.fleet.world.advance(0.5)
        self.fleet.platform.write(KEY, stale, self.fleet.platform.read(KEY).version)
        self.fleet.world.advance(_CONFIRMED_WITHIN_S)
        self.assertEqual(set(self.assert_confirmed().exceptions), {"present"})
        self.assertEqual(set(self.fleet.group().exceptions), {"present"})


class ConfirmedContentTest(unittest.TestCase):
    def test_epochs_are_above_all_earlier_ones(self):
        """Guards against two confirmations, or a lost write, that give the same epoch."""
        ranges = (
            KeyRange(0, 9, "a:1", 7),
            KeyRange(10, 19, "a:1", 9),
            KeyRange(20, LAST_KEY, "b:1", 7),
        )
        group = with_added_members(
            Group("depot", 0, 1, ranges=ranges, fence=9), member("a"), member("b")
        )
        first = _confirmed_content(group, to_version(1, 30))
        second = _confirmed_content(group, to_version(1, 31))
        third = _confirmed_content(second, to_version(2, 5))
        for before, after in ((group, first), (first, second), (second, third)):
            lowest = min(key_range.epoch for key_range in after.ranges)
            self.assertGreater(lowest, before.fence)
            self.assertGreaterEqual(after.fence, max(item.epoch for item in after.ranges))
            self.assertLess(after.ranges[0].epoch, after.ranges[1].epoch)
        self.assertLess(second.fence, epoch_after(to_version(1, 32)))
        self.assertEqual(decode_json(encode_json(third), Group), third)

    def test_versions_of_one_content_differ_by_era(self):
        """Guards against a restored group that is cached before it is confirmed."""
        content = Group("depot", 0, 1, era=1)
        self.assertTrue(VersionedGroup(to_version(1, 5), content).confirmed)
        self.assertFalse(VersionedGroup(to_version(2, 5), content).confirmed)
        self.assertEqual(GroupId("depot", 0), content.id)
