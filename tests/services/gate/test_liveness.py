"""Tests of the conditions under which an agent considers its upstream lost."""

import asyncio
import unittest

from fescueward.kernel import BootClock, Kernel
from fescueward.services.gate.liveness import UpstreamLiveness
from tests.services.fakes import RecordedWarmup, StubRegistry


class ShiftedClock(BootClock):
    """A clock that the test moves forward by `shift_s`."""

    shift_s = 0.0

    def now(self) -> float:
        return super().now() + self.shift_s


class FakeMembership:
    """Counts the calls of `leave`."""

    def __init__(self) -> None:
        self.leave_count = 0

    async def leave(self, reason: str) -> None:
        self.leave_count += 1


class UpstreamLivenessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock, self.membership = ShiftedClock(), FakeMembership()
        self.liveness = UpstreamLiveness(Kernel())
        self.warmup = RecordedWarmup()
        self.liveness.bind(
            StubRegistry(clock=self.clock, membership=self.membership, warmup=self.warmup)
        )
        await self.liveness.start()
        self.addAsyncCleanup(self.liveness.stop)
        self.liveness.heartbeat_received()

    async def fail_connections(self, span_s: float) -> None:
        self.liveness.connection_failed()
        self.clock.shift_s += span_s
        self.liveness.connection_failed()
        await asyncio.sleep(0.25)

    async def test_no_heartbeat_and_no_connection(self):
        """Guards against keys that stay unserved until a crashed upstream restarts."""
        await self.fail_connections(2.0)
        self.assertEqual(self.membership.leave_count, 1)

    async def test_failed_connection_makes_the_upstream_suspect(self):
        """Guards against the full rate for an upstream that has restarted and is cold."""
        self.liveness.connection_succeeded()
        self.assertEqual(self.warmup.heard, [])
        self.liveness.connection_failed()
        self.assertEqual(self.warmup.heard, ["suspect"])

    async def test_no_connection_but_heartbeats(self):
        """Guards against leaving the group because an overloaded upstream refuses connections."""
        await self.fail_connections(0.5)
        self.assertEqual(self.membership.leave_count, 0)
        self.liveness.heartbeat_received()
        self.clock.shift_s += 2.0
        await asyncio.sleep(0.25)
        self.assertEqual(self.membership.leave_count, 0)

    async def test_no_heartbeat_but_connections(self):
        """Guards against leaving the group because a heartbeat is late."""
        self.clock.shift_s += 2.0
        self.liveness.connection_failed()
        self.liveness.connection_succeeded()
        self.liveness.connection_failed()
        await asyncio.sleep(0.25)
        self.assertEqual(self.membership.leave_count, 0)
