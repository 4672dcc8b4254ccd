"""Tests of the renewals that extend a lease, and of the time from which they count."""

from __future__ import annotations

import unittest

from fescueward.kernel.errors import PlatformUnavailableError
from fescueward.messages.peer import RenewAck

from .test_recovery_time import start_fleet
from .timed_fakes import ResponseMode


class RenewalByWriteTest(unittest.TestCase):
    def setUp(self):
        self.fleet = start_fleet(4, 2)
        self.agent = self.fleet.agents["a0"]
        self.fleet.cut("a0", self.fleet.agents)
        self.results = []

    def test_write_with_a_lost_response_is_not_taken_for_a_later_one(self):
        """Guards against a lease that counts from a later write than the one that took effect."""
        lease, platform = self.agent.lease, self.agent.platform
        get = platform.get
        reads = []

        async def do_nothing() -> bool:
            return False

        async def get_without_first_response(key: str):
            platform.response_mode = ResponseMode.NORMAL if reads else ResponseMode.IGNORED
            reads.append(key)
            return await get(key)

        async def write() -> None:
            platform.response_mode = ResponseMode.LOST
            try:
                self.results.append(await lease._write_stamp(self.agent.member_id))
            except PlatformUnavailableError:
                self.results.append(None)

        lease.renew_by_write = self.agent.monitor.take_over_expired = do_nothing
        self.fleet.world.advance(0.1)
        platform.get = get_without_first_response
        before = self.fleet.group().members[self.agent.member_id].stamp
        # The monitors must not remove the member before the second write.
        self.fleet.world.paused |= set(self.fleet.agents) - {"a0"}
        self.agent.spawn(write)
        self.fleet.world.advance(2.1)
        self.agent.spawn(write)
        self.fleet.world.advance(1.1)
        self.assertEqual(self.fleet.group().members[self.agent.member_id].stamp, before + 1)
        self.assertEqual(self.results, [None, False])

    def test_renews_by_writes_while_the_monitors_are_cut_off(self):
        """Guards against the takeover of a member that is cut off from its monitors only."""
        self.fleet.world.advance(10)
        self.assertTrue(self.agent.lease.held)
        self.assertIn(self.agent.member_id, self.fleet.group().members)
        self.assertTrue(self.fleet.served())

    def test_writes_with_lost_responses_are_read_back(self):
        """Guards against a lease that ends although the writes take effect."""
        self.agent.platform.write_response_mode = ResponseMode.LOST
        self.fleet.world.advance(8)
        self.assertIn(self.agent.member_id, self.fleet.group().members)


class AcknowledgementTest(unittest.TestCase):
    def test_unknown_or_foreign_acknowledgements_extend_nothing(self):
        """Guards against a lease that an unexpected or refused acknowledgement extends."""
        fleet = start_fleet(3, 3)
        agent = fleet.agents["a0"]
        monitor = fleet.group().members[agent.member_id].monitors[0]
        fleet.world.advance(0.05)
        before = agent.lease.expires_at
        sequence = agent.lease._sequence
        for sender, message in (
            (monitor, RenewAck(monitor, agent.member_id, sequence + 9, True)),
            (monitor, RenewAck(monitor, agent.member_id, sequence, False)),
            ("x:1", RenewAck(monitor, agent.member_id, sequence, True)),
            (monitor, RenewAck(monitor, "a0:999", sequence, True)),
        ):
            agent.lease._on_ack(sender, message)
            self.assertEqual(agent.lease.expires_at, before)

    def test_lease_ends_on_the_agents_own_clock(self):
        """Guards against a paused agent that serves requests as soon as it resumes."""
        fleet = start_fleet(3, 3)
        agent = fleet.agents["a0"]
        fleet.world.paused.add("a0")
        fleet.world.advance(1.3)
        self.assertFalse(agent.lease.held)
        self.assertEqual(agent.serving(), {})


class JoinTest(unittest.TestCase):
    def test_join_takes_one_write(self):
        """Guards against a start in which each member writes the group a second time."""
        fleet = start_fleet(4, 2)
        agent = fleet.start("a4", "d0")
        held_after_join = []
        for _ in range(60):
            fleet.world.advance(0.05)
            if agent.membership.own_member() is not None:
                held_after_join.append(agent.lease.held)
        self.assertTrue(held_after_join)
        self.assertTrue(all(held_after_join))
        self.assertEqual(fleet.group().members[agent.member_id].stamp, 0)

    def test_lease_of_a_join_counts_from_its_write(self):
        """Guards against a lease that ends later than its monitors expect."""
        fleet = start_fleet(4, 2)
        agent = fleet.start("a4", "d0")
        started_at = agent.lease._clock.now()
        added_at = []

        def record_write(old, new):
            if agent.member_id.encode() in new.value:
                added_at.append(agent.lease._clock.now())

        fleet.platform.on_write = record_write
        while agent.membership.own_member() is None:
            fleet.world.advance(0.01)
        # Another member may have made the write that adds the agent.
        self.assertLessEqual(agent.lease.expires_at, added_at[0] + agent.lease._lease_s)
        self.assertGreaterEqual(agent.lease.expires_at, started_at + agent.lease._lease_s)
