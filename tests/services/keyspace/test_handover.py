"""Tests of the platform calls of handovers that come together."""

import asyncio
import random
import unittest
from dataclasses import replace
from unittest import mock

from fescueward.services.keyspace import moves
from fescueward.services.keyspace.moves import BLOCK_KEYS
from tests.services import timed_fakes
from tests.services.fleet import GROUP_ID
from tests.services.timed_fakes import ResponseMode

from .keyed_fleet import KeyedFleet

OWNERS = 24
# The planner's own handover, and the records of the others in a few batches.
MAX_CALLS = 6
# Writes of a group with hundreds of ranges take long on slow links, so a queue of handovers takes
# longer than one of them may take.
WRITE_S = 0.35
LONGEST_RELEASE_S = 0.8
# One batch for each slow write, and the planner's own handover.
MAX_SLOW_CALLS = 12
# Time that an upstream works on a key, longer than a lease.
WORK_S = 1.5


def move_one_range_of_each(group):
    ranges = []
    owners = set()
    ids = sorted(group.members)
    for key_range in group.ranges:
        if key_range.owner not in owners:
            owners.add(key_range.owner)
            successor = ids[(ids.index(key_range.owner) + 1) % len(ids)]
            key_range = replace(key_range, successor=successor)
        ranges.append(key_range)
    return replace(group, ranges=tuple(ranges))


class HandoverTest(unittest.TestCase):
    def setUp(self):
        random.seed(3)
        self.fleet = KeyedFleet()
        for number in range(OWNERS):
            self.fleet.start(f"a{number:02}", f"d{number % 4}")
        self.assertIsNotNone(self.fleet.time_until_distributed(20))
        self.fleet.world.advance(5)
        self.planner = self.fleet.agents["a00"]

    def count_calls_of_a_round(self, longest_release_s, duration_s):
        """Hands over one range of each owner and returns the number of platform calls."""
        for upstream in self.fleet.upstreams.values():
            upstream.release_delay_s = random.uniform(0.005, longest_release_s)
        platform = self.fleet.platform
        calls = platform.calls
        version = self.planner.groups.view(GROUP_ID).version
        self.planner.spawn(lambda: self.planner.groups.edit(GROUP_ID, move_one_range_of_each))
        for _ in range(round(duration_s / 0.02)):
            self.fleet.world.advance(0.02)
            view = self.planner.groups.view(GROUP_ID)
            ranges = view.group.ranges
            if view.version > version and not any(each.successor for each in ranges):
                break
        self.assertGreater(self.planner.groups.view(GROUP_ID).version, version + 1)
        self.assertFalse(any(each.successor for each in ranges))
        return platform.calls - calls

    def test_handovers_of_a_placement_round_share_writes(self):
        """Each handover of a round was a write of its own, which every agent received.

        Found by merrimack-siphon-grown quiet-1: 446 writes and 224 reads after conflicts in 22 s.
        """
        self.assertLessEqual(self.count_calls_of_a_round(0.05, 2.0), MAX_CALLS)

    def test_owners_wait_while_the_planner_records_others(self):
        """Owners wrote their handovers themselves, and all their writes conflicted.

        Found by kagaz-mesh-large quiet-1: 468 of 543 writes in 14 s were refused, and keys waited
        for seconds for their new owners.
        """
        for agent in self.fleet.agents.values():
            agent.platform.write_response_mode = ResponseMode.SLOW
        with (
            mock.patch.dict(timed_fakes._EFFECT_DELAY_S, {ResponseMode.SLOW: WRITE_S / 2}),
            mock.patch.dict(timed_fakes._RESPONSE_DELAY_S, {ResponseMode.SLOW: WRITE_S / 2}),
        ):
            calls = self.count_calls_of_a_round(LONGEST_RELEASE_S, 8.0)
        self.assertLessEqual(calls, MAX_SLOW_CALLS)


class SteadyHandoverTest(unittest.TestCase):
    """One owner hands over 40 blocks, and the upstream still works on one of them for 1 s."""

    def setUp(self):
        self.fleet = KeyedFleet()
        self.owner = self.fleet.start("a00", "d0")
        successor = self.fleet.start("a01", "d1")
        self.assertIsNotNone(self.fleet.time_until_distributed(20))
        self.fleet.world.advance(5)
        self.owner_id = self.owner.membership.member_id
        self.successor_id = successor.membership.member_id
        ranges = self.owner.groups.view(GROUP_ID).group.ranges
        first = next(each.first for each in ranges if each.owner == self.owner_id)
        self.keys = [first + 2 * BLOCK_KEYS * number for number in range(1, 41)]
        self.busy_key = self.keys[3]
        self.releases: list[int] = []
        upstream = self.fleet.upstreams["a00"]
        self._release_range = upstream.release_range
        upstream.release_range = self.release_range

    async def release_range(self, key_range):
        self.releases.append(key_range.first)
        await asyncio.sleep(1.0 if key_range.first == self.busy_key else 0.1)
        return await self._release_range(key_range)

    def move_blocks(self, group):
        ranges = group.ranges
        for key in self.keys:
            ranges = moves.change_keys(
                ranges,
                key,
                key + BLOCK_KEYS - 1,
                lambda part: replace(part, successor=self.successor_id),
            )
        return moves.with_ranges(group, ranges)

    def owners(self):
        group = self.owner.groups.view(GROUP_ID).group
        return [group.range_of(key).owner for key in self.keys]

    def admitted(self, key):
        """Returns whether the owner admits a request for a key at once."""
        tickets = []

        async def admit():
            deadline = self.fleet.world.now + 0.01
            tickets.append(await self.owner.ownership.admit("depot", str(key), deadline))

        self.owner.spawn(admit)
        self.fleet.world.advance(0.01)
        return bool(tickets)

    def test_work_on_one_range_does_not_delay_the_others(self):
        """All ranges of a round were refused until the upstream had released the last of them.

        Found on 39 servers with hot keys: 3,917 refusals of 2,845 requests in one day.
        """
        self.owner.spawn(lambda: self.owner.groups.edit(GROUP_ID, self.move_blocks))
        self.fleet.world.advance(0.85)
        self.assertEqual(self.owners().count(self.successor_id), len(self.keys) - 1)
        self.assertEqual(self.owners()[3], self.owner_id)
        self.fleet.world.advance(0.5)
        self.assertEqual(self.owners().count(self.successor_id), len(self.keys))

    def test_ranges_are_served_until_their_turn_and_hot_ones_leave_first(self):
        """Guards against keys that nobody serves while other keys are being released."""
        hot_key, last_key = self.keys[30], self.keys[-1]
        for _ in range(4):
            self.assertTrue(self.admitted(hot_key))
        self.owner.spawn(lambda: self.owner.groups.edit(GROUP_ID, self.move_blocks))
        self.fleet.world.advance(0.08)
        self.assertEqual(self.releases[0], hot_key)
        self.assertLess(len(self.releases), len(self.keys))
        self.assertFalse(self.admitted(hot_key))
        self.assertTrue(self.admitted(last_key))


class RestartDuringHandoverTest(unittest.TestCase):
    """An owner is killed and restarted while it hands over keys on which its upstream works."""

    def setUp(self):
        self.fleet = KeyedFleet()
        self.owner = self.fleet.start("a00", "d0", "boot")
        self.successor = self.fleet.start("a01", "d1")
        self.assertIsNotNone(self.fleet.time_until_distributed(20))
        self.fleet.world.advance(5)
        self._upstream = self.fleet.upstreams["a00"]
        self._release_range = self._upstream.release_range
        self.releases = 0
        self._upstream.release_range = self.release_after_work

    async def release_after_work(self, key_range):
        """Keeps the grants of a range until the work on its keys has ended."""
        self.releases += 1
        await asyncio.sleep(WORK_S)
        return await self._release_range(key_range)

    def move_last_block(self, group):
        owner_id = self.owner.membership.member_id
        last = max(each.last for each in group.ranges if each.owner == owner_id)
        return moves.with_ranges(
            group,
            moves.change_keys(
                group.ranges,
                last + 1 - BLOCK_KEYS,
                last,
                lambda part: replace(part, successor=self.successor.membership.member_id),
            ),
        )

    def test_successor_gets_keys_once_the_work_of_the_upstream_has_ended(self):
        """Guards against two upstreams that have a grant for a key (OWNER); see `KeyedFleet`.

        Found by review case 8: the restarted agent knew no grant and waited 0.2 s for a response.
        """
        self.owner.spawn(lambda: self.owner.groups.edit(GROUP_ID, self.move_last_block))
        self.fleet.world.advance(0.2)
        self.assertEqual(self.releases, 1)
        self.fleet.kill("a00")
        self.fleet.world.advance(0.1)
        self.owner = self.fleet.start("a00", "d0", "boot")
        self.fleet.world.advance(0.6)
        group = self.successor.groups.view(GROUP_ID).group
        moving = next(each for each in group.ranges if each.successor is not None)
        self.assertEqual(moving.owner, self.owner.membership.member_id)
        self.assertIn(
            (moving.first, moving.last, moving.epoch), [g[:3] for g in self._upstream.grants]
        )
        self.fleet.world.advance(5)
        group = self.successor.groups.view(GROUP_ID).group
        self.assertEqual(group.range_of(moving.first).owner, self.successor.membership.member_id)
