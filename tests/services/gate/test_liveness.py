"""When an agent takes its upstream for dead."""

import asyncio
import unittest

from fescueward.kernel import BootClock, Kernel
from fescueward.services.gate.liveness import UpstreamLiveness
from tests.services.fakes import StubRegistry


class ShiftedClock(BootClock):
    """A clock that can be put forward."""

    shift = 0.0

    def now(self) -> float:
        return super().now() + self.shift


class FakeMembership:
    """Counts departures."""

    def __init__(self) -> None:
        self.left = 0

    async def leave(self, reason: str) -> None:
        self.left += 1


class UpstreamLivenessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock, self.membership = ShiftedClock(), FakeMembership()
        self.liveness = UpstreamLiveness(Kernel())
        self.liveness.bind(StubRegistry(clock=self.clock, membership=self.membership))
        await self.liveness.start()
        self.addAsyncCleanup(self.liveness.stop)
        self.liveness.heartbeat_received()

    async def fail(self, seconds: float) -> None:
        self.liveness.unreachable()
        self.clock.shift += seconds
        self.liveness.unreachable()
        await asyncio.sleep(0.25)

    async def test_silent_and_unreachable(self):
        """Guards against keys that nobody serves until a dead upstream starts again."""
        await self.fail(2.0)
        self.assertEqual(self.membership.left, 1)

    async def test_unreachable_but_heard(self):
        """Guards against an agent that leaves because its upstream is full."""
        await self.fail(0.5)
        self.assertEqual(self.membership.left, 0)
        self.liveness.heartbeat_received()
        self.clock.shift += 2.0
        await asyncio.sleep(0.25)
        self.assertEqual(self.membership.left, 0)

    async def test_silent_but_connected(self):
        """Guards against an agent that leaves because a heartbeat is late."""
        self.clock.shift += 2.0
        self.liveness.unreachable()
        self.liveness.connected()
        self.liveness.unreachable()
        await asyncio.sleep(0.25)
        self.assertEqual(self.membership.left, 0)
