"""Tests of members that join together: time until each serves its share, and platform calls."""

import random
import unittest

from .keyed_fleet import KeyedFleet

# A placement round, the wait until the members no longer change, and a grant.
MAX_DISTRIBUTION_S = 1.0
# Platform calls of a joining member: a read, an attempt to create the group and another read.
CALLS_PER_MEMBER = 3
# Platform calls for all members together: plans, handovers and transfers to other monitors.
FIXED_CALLS = 12


class SetBackClockTest(unittest.TestCase):
    def test_incarnation_rises_although_the_clock_was_set_back(self):
        """Guards against an agent whose streams all peers refuse as those of an older process."""
        fleet = KeyedFleet()
        self.addCleanup(fleet.close)
        for name in ("a0", "a1", "a2"):
            fleet.start(name, "d0", f"boot-{name}")
        self.assertIsNotNone(fleet.time_until_distributed(20))
        first = fleet.agents["a1"].membership.member_id
        fleet.kill("a1")
        # Incarnations are times in milliseconds.
        fleet._incarnations = 0
        fleet.start("a1", "d0", "boot-a1")
        fleet.world.advance(5)
        ids = [member.id for member in fleet.group().members.values() if member.name == "a1"]
        self.assertEqual(ids, [fleet.agents["a1"].member_id])
        self.assertGreater(int(ids[0].split(":")[1]), int(first.split(":")[1]))


class StartTest(unittest.TestCase):
    def join(self, fleet: KeyedFleet, prefix: str, count: int, within_s: float) -> None:
        """Starts agents at random times within a period, in seconds."""
        start = fleet.world.now
        start_times = sorted(random.uniform(0, within_s) for _ in range(count))
        for number, start_at in enumerate(start_times):
            fleet.world.advance(max(start + start_at - fleet.world.now, 0))
            fleet.start(f"{prefix}{number:02}", f"d{number % 4}")

    def assert_distributed(self, fleet: KeyedFleet, joined: int, calls: int) -> None:
        duration_s = fleet.time_until_distributed(20)
        self.assertIsNotNone(duration_s, fleet.served_keys())
        self.assertLessEqual(duration_s, MAX_DISTRIBUTION_S)
        self.assertLessEqual(fleet.platform.calls - calls, CALLS_PER_MEMBER * joined + FIXED_CALLS)

    def start_group(self, within_s: float) -> None:
        for count in (16, 40):
            with self.subTest(count=count):
                random.seed(count)
                fleet = KeyedFleet()
                self.join(fleet, "a", count, within_s)
                self.assert_distributed(fleet, count, 0)

    def test_group_starts_within_a_second(self):
        """Guards against members without keys, and platform calls that grow with their square."""
        self.start_group(1.0)

    def test_group_starts_at_one_moment(self):
        """Guards against version conflicts between the writes of members that join at once."""
        self.start_group(0.02)

    def test_members_join_a_running_group(self):
        """Guards against members that joined late and serve no keys while others refuse requests.

        Found by trouble-1 of merrimack-siphon-grown: 17 of 39 owned nothing after 10 s.
        """
        for before, count in ((16, 1), (16, 24), (40, 16), (2, 38)):
            # The planner has the lowest id: with "b" an earlier member, with "0" a new one.
            for name in ("b", "0"):
                with self.subTest(before=before, count=count, name=name):
                    random.seed(count)
                    fleet = KeyedFleet()
                    self.join(fleet, "a", before, 0.02)
                    fleet.world.advance(5)
                    calls = fleet.platform.calls
                    self.join(fleet, name, count, 1.0)
                    self.assert_distributed(fleet, count, calls)

    def test_members_join_for_a_long_time(self):
        """Guards against keys that are not served until the last member has joined."""
        random.seed(1)
        fleet = KeyedFleet()
        for number in range(16):
            fleet.start(f"a{number:02}", f"d{number % 4}")
            fleet.world.advance(0.3)
            if number * 0.3 > 3.0:
                self.assertGreater(sum(fleet.served_keys().values()), 0)

    def test_all_agents_start_again(self):
        """Guards against two owners, and keys without an owner, after all agents were killed."""
        random.seed(2)
        fleet = KeyedFleet()
        self.join(fleet, "a", 16, 0.02)
        fleet.world.advance(5)
        boots = {name: agent.boot for name, agent in fleet.agents.items()}
        for name, boot in boots.items():
            fleet.start(name, "d" + str(int(name[1:]) % 4), boot)
        self.assertIsNotNone(fleet.time_until_distributed(4), fleet.served_keys())

    def test_agents_that_start_again_share_the_writes_of_their_joins(self):
        """Guards against a large fleet that conflicts for seconds after all agents have ended.

        On quetza-vinos-grown trouble-1 21 of 77 agents had joined after 5 s: all members of the
        group had ended, so each agent wrote the whole group itself.
        """
        random.seed(2)
        fleet = KeyedFleet()
        self.join(fleet, "a", 58, 0.3)
        fleet.world.advance(5)
        boots = {name: agent.boot for name, agent in fleet.agents.items()}
        calls = fleet.platform.calls
        for name, boot in boots.items():
            fleet.world.advance(random.uniform(0, 0.01))
            fleet.start(name, "d" + str(int(name[1:]) % 4), boot)
        self.assert_distributed(fleet, 58, calls)
