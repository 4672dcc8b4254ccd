"""Members that join together: time until each serves its share, and store calls for it."""

import random
import unittest

from .keyed_fleet import KeyedFleet

# A round of the planner, the wait for the members to settle and a grant.
SHARED_OUT_S = 1.0
# Reads and writes for each member that joins: it reads, tries to create the group and reads again.
CALLS_EACH = 3
# Reads and writes for all of them together: plans, handovers and transfers to other monitors.
CALLS_TOGETHER = 12


class StartTest(unittest.TestCase):
    def join(self, fleet: KeyedFleet, name: str, count: int, within_s: float) -> None:
        """Starts agents at random times in a span of time."""
        start = fleet.world.now
        times = sorted(random.uniform(0, within_s) for _ in range(count))
        for number, time in enumerate(times):
            fleet.world.advance(max(start + time - fleet.world.now, 0))
            fleet.start(f"{name}{number:02}", f"d{number % 4}")

    def assert_shared_out(self, fleet: KeyedFleet, joined: int, calls: int) -> None:
        took = fleet.time_until_shared_out(20)
        self.assertIsNotNone(took, fleet.held())
        self.assertLessEqual(took, SHARED_OUT_S)
        self.assertLessEqual(fleet.platform.calls - calls, CALLS_EACH * joined + CALLS_TOGETHER)

    def start_group(self, within_s: float) -> None:
        for count in (16, 40):
            with self.subTest(count=count):
                random.seed(count)
                fleet = KeyedFleet()
                self.join(fleet, "a", count, within_s)
                self.assert_shared_out(fleet, count, 0)

    def test_group_starts_within_a_second(self):
        """Guards against servers that own no keys, and store calls that grow with their square."""
        self.start_group(1.0)

    def test_group_starts_at_one_moment(self):
        """Guards against members that make each other's writes fail when all join at once."""
        self.start_group(0.02)

    def test_members_join_a_running_group(self):
        """Guards against servers that joined late and serve nobody while others refuse.

        Found by trouble-1 of merrimack-siphon-grown: 17 of 39 owned nothing after 10 s.
        """
        for before, count in ((16, 1), (16, 24), (40, 16), (2, 38)):
            # Late ones are planned by an earlier member, or plan themselves.
            for name in ("b", "0"):
                with self.subTest(before=before, count=count, name=name):
                    random.seed(count)
                    fleet = KeyedFleet()
                    self.join(fleet, "a", before, 0.02)
                    fleet.world.advance(5)
                    calls = fleet.platform.calls
                    self.join(fleet, name, count, 1.0)
                    self.assert_shared_out(fleet, count, calls)

    def test_members_join_for_a_long_time(self):
        """Guards against keys that nobody serves until the last member has joined."""
        random.seed(1)
        fleet = KeyedFleet()
        for number in range(16):
            fleet.start(f"a{number:02}", f"d{number % 4}")
            fleet.world.advance(0.3)
            if number * 0.3 > 3.0:
                self.assertGreater(sum(fleet.held().values()), 0)

    def test_all_agents_start_again(self):
        """Guards against two owners, and keys without an owner, when all processes are killed."""
        random.seed(2)
        fleet = KeyedFleet()
        self.join(fleet, "a", 16, 0.02)
        fleet.world.advance(5)
        boots = {name: agent.boot for name, agent in fleet.agents.items()}
        for name, boot in boots.items():
            fleet.start(name, "d" + str(int(name[1:]) % 4), boot)
        self.assertIsNotNone(fleet.time_until_shared_out(4), fleet.held())
