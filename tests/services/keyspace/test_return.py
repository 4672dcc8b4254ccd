"""Tests of fleets on slow links whose agents all end and return at about the same time."""

import asyncio
import random
import unittest
from dataclasses import replace

from ..fleet import GROUP_ID
from ..timed_fakes import ResponseMode
from .keyed_fleet import KeyedFleet

# A link of 10 Mbit/s.
SLOW_LINK_BYTES_PER_S = 1.25e6
# Time until a stream opens while all agents of a fleet start.
CONNECT_S = 0.5
# A key is served again within this time of a loss; the target of the design.
SERVED_AGAIN_S = 4.0
# Time within which service must have returned; bound `recoveryS` of the platform.
RECOVERY_S = 15.0
# Time within which the departure of an upstream is acknowledged; bound `ackS` of the platform.
ACKNOWLEDGED_S = 4.0
# Writes of another member, each of which a slower write meets, and the pause between them. All
# together take longer than the timeout of a call.
OTHER_WRITES = 20
OTHER_WRITE_PERIOD_S = 0.1
# Platform calls of an agent that returns: a read, an attempt to join and another read.
CALLS_PER_AGENT = 3
# Platform calls for all agents together: plans, handovers and transfers to other monitors.
FIXED_CALLS = 12
# Period within which the agents start.
START_S = 0.5


class ReturnTest(unittest.TestCase):
    def start_fleet(self, count: int, seed: int) -> KeyedFleet:
        random.seed(seed)
        fleet = KeyedFleet()
        for number in range(count):
            fleet.world.advance(0.3 / count)
            fleet.start(f"a{number:03}", f"d{number % 3}")
        self.assertIsNotNone(fleet.time_until_distributed(20))
        fleet.world.advance(5)
        return fleet

    def restart(self, fleet: KeyedFleet, lost: int = 0) -> None:
        """Ends all agents and starts them again, except for the first ones, on slow links."""
        agents = sorted(fleet.agents.items())
        for name, _ in agents:
            fleet.kill(name)
        fleet.world.advance(1.6)
        fleet.network.connect_s = CONNECT_S
        returning = agents[lost:]
        random.shuffle(returning)
        for name, agent in returning:
            fleet.world.advance(START_S / len(agents))
            restarted = fleet.start(name, agent.domain, agent.boot)
            restarted.platform.bytes_per_s = SLOW_LINK_BYTES_PER_S

    def assert_all_join(self, fleet: KeyedFleet, limit_s: float) -> None:
        start = fleet.world.now
        while any(agent.membership.own_member() is None for agent in fleet.agents.values()):
            self.assertLess(fleet.world.now - start, limit_s)
            fleet.world.advance(0.02)

    def test_fleet_returns_after_the_end_of_all_agents(self):
        """Guards against agents that do not return while they compete for the group object.

        Found by quetza-vinos-grown trouble-2: 6 of 63 agents did not join in 17 s.
        """
        for seed in (1, 2):
            with self.subTest(seed=seed):
                fleet = self.start_fleet(58, seed)
                self.restart(fleet)
                self.assertIsNotNone(
                    fleet.time_until_distributed(SERVED_AGAIN_S), fleet.served_keys()
                )

    def test_agents_that_connect_slowly_share_the_writes_of_their_joins(self):
        """Guards against recorders that are given up before a stream to them can open."""
        fleet = self.start_fleet(58, 1)
        calls = fleet.platform.calls
        self.restart(fleet)
        self.assert_all_join(fleet, SERVED_AGAIN_S)
        self.assertLessEqual(fleet.platform.calls - calls, CALLS_PER_AGENT * 58 + FIXED_CALLS)

    def test_agents_share_writes_if_the_first_members_do_not_return(self):
        """Guards against agents that each write their joins because the first recorders ended."""
        fleet = self.start_fleet(58, 1)
        calls = fleet.platform.calls
        self.restart(fleet, lost=4)
        self.assert_all_join(fleet, SERVED_AGAIN_S)
        self.assertLessEqual(fleet.platform.calls - calls, CALLS_PER_AGENT * 54 + FIXED_CALLS)

    def test_agents_wait_for_the_write_of_their_recorder(self):
        """Guards against agents that write their own joins while the recorder writes them all.

        Found by quetza-vinos-grown trouble-1: 14 agents gave up 0.1 s before the write succeeded.
        """
        fleet = self.start_fleet(4, 1)
        calls = fleet.platform.calls
        fleet.agents["a000"].platform.write_response_mode = ResponseMode.SLOW
        other = fleet.agents["a003"]
        other.spawn(lambda: self._write_often(other))
        for number in range(20):
            fleet.start(f"b{number:03}", f"d{number % 3}")
        self.assert_all_join(fleet, SERVED_AGAIN_S)
        calls = fleet.platform.calls - calls - OTHER_WRITES
        self.assertLessEqual(calls, CALLS_PER_AGENT * 20 + FIXED_CALLS)

    async def _write_often(self, agent):
        for count in range(1, OTHER_WRITES + 1):

            def change(group, count=count):
                return group.with_member(
                    replace(group.members[agent.member_id], connections=count)
                )

            await agent.groups.edit(GROUP_ID, change)
            await asyncio.sleep(OTHER_WRITE_PERIOD_S)

    def test_members_that_join_wait_for_their_monitors(self):
        """Guards against renewals by write while streams to new monitors are opening."""
        fleet = self.start_fleet(58, 1)
        self.restart(fleet)
        self.assert_all_join(fleet, SERVED_AGAIN_S)
        fleet.world.advance(2)
        stamps = [member.stamp for member in fleet.group().members.values()]
        self.assertLessEqual(sum(stamps), 2, stamps)

    def test_members_without_monitors_keep_their_leases(self):
        """Guards against renewals by write that hinder each other, so that leases expire."""
        fleet = self.start_fleet(58, 1)
        for agent in fleet.agents.values():
            agent.platform.bytes_per_s = SLOW_LINK_BYTES_PER_S
        for member in fleet.group().members.values():
            monitors = [monitor_id.rsplit(":", 1)[0] for monitor_id in member.monitors]
            fleet.cut(member.name, monitors)
        fleet.world.advance(5)
        for _ in range(50):
            fleet.world.advance(0.2)
            lost = [name for name, agent in fleet.agents.items() if not agent.lease.held]
            self.assertEqual(lost, [])

    def test_agents_that_write_their_own_joins_succeed(self):
        """Guards against edits that write a version from before their wait, and never succeed."""
        fleet = self.start_fleet(58, 1)
        self.restart(fleet)
        for agent in fleet.agents.values():
            agent.membership._write_directly = True
        self.assert_all_join(fleet, RECOVERY_S)


class DepartureTest(unittest.TestCase):
    def test_departures_of_many_upstreams_are_recorded_in_time(self):
        """Guards against departures without an acknowledgement, because their writes conflict.

        Reported for quetza-vinos-grown: no upstream that left in calm got one in time.
        """
        random.seed(2)
        fleet = KeyedFleet()
        for number in range(58):
            agent = fleet.start(f"a{number:03}", f"d{number % 3}")
            agent.instance, agent.started_ms = f"i{number}", 1
        self.assertIsNotNone(fleet.time_until_distributed(20))
        fleet.world.advance(5)
        for agent in fleet.agents.values():
            agent.platform.bytes_per_s = SLOW_LINK_BYTES_PER_S
        leaving = random.sample(sorted(fleet.agents.values(), key=lambda agent: agent.name), 24)
        for agent in leaving:
            agent.leave()
        fleet.world.advance(ACKNOWLEDGED_S)
        missing = {agent.instance for agent in leaving} - fleet.group().departures.keys()
        self.assertEqual(missing, set())
