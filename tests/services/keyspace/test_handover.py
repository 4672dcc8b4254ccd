"""Tests of the platform calls of handovers that come together."""

import random
import unittest
from dataclasses import replace

from tests.services.fleet import GROUP_ID

from .keyed_fleet import KeyedFleet

OWNERS = 24
# The planner's own handover, and the records of the others in a few batches.
MAX_CALLS = 6


class HandoverTest(unittest.TestCase):
    def test_handovers_of_a_placement_round_share_writes(self):
        """Each handover of a round was a write of its own, which every agent received.

        Found by merrimack-siphon-grown quiet-1: 446 writes and 224 reads after conflicts in 22 s.
        """
        random.seed(3)
        fleet = KeyedFleet()
        for number in range(OWNERS):
            fleet.start(f"a{number:02}", f"d{number % 4}")
        self.assertIsNotNone(fleet.time_until_distributed(20))
        fleet.world.advance(5)
        for upstream in fleet.upstreams.values():
            upstream.release_delay_s = random.uniform(0.005, 0.05)
        planner = fleet.agents["a00"]

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

        calls = fleet.platform.calls
        version = planner.groups.view(GROUP_ID).version
        planner.spawn(lambda: planner.groups.edit(GROUP_ID, move_one_range_of_each))
        for _ in range(100):
            fleet.world.advance(0.02)
            ranges = planner.groups.view(GROUP_ID).group.ranges
            if fleet.platform.calls > calls and not any(each.successor for each in ranges):
                break
        self.assertGreater(planner.groups.view(GROUP_ID).version, version + 1)
        self.assertFalse(any(each.successor for each in ranges))
        self.assertLessEqual(fleet.platform.calls - calls, MAX_CALLS)
