"""Tests of the phases of the graceful shutdown."""

import asyncio
import io
import unittest

from fescueward.interfaces import ShutdownPhase
from fescueward.kernel import BootClock, Kernel, configure_logging
from fescueward.kernel.bounds import Bounds
from fescueward.kernel.errors import DrainingError
from fescueward.services.shutdown import GracefulShutdown

from .fakes import StubRegistry

# Accepts all requests until 0.75 s, and lets them finish until 1.2 s.
BOUNDS = Bounds(grace_s=2.0)


class GracefulShutdownTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.lines = io.StringIO()
        configure_logging("DEBUG", "text", self.lines)
        self.clock, self.kernel = BootClock(), Kernel()
        self.shutdown = GracefulShutdown(self.kernel)
        self.shutdown.bind(StubRegistry(clock=self.clock, bounds=BOUNDS))

    async def test_running_agent_accepts_all_requests(self):
        """Guards against refusals by an agent that is not stopping."""
        self.assertIs(self.shutdown.phase, ShutdownPhase.SERVING)
        self.shutdown.check(self.clock.now() + 3600)

    async def test_finishing_phase_accepts_by_deadline(self):
        """Guards against requests that are lost when the process ends, and needless refusals."""
        self.kernel.request_stop()
        self.shutdown.check(self.clock.now() + 3600)
        await asyncio.sleep(BOUNDS.accept_until_s)
        self.assertIs(self.shutdown.phase, ShutdownPhase.FINISHING)
        remaining_s = BOUNDS.finish_until_s - self.kernel.stopping_s
        self.shutdown.check(self.clock.now() + remaining_s - 0.1)
        with self.assertRaises(DrainingError) as refused:
            self.shutdown.check(self.clock.now() + remaining_s + 0.1)
        self.assertGreater(refused.exception.retry_after_s, 0)

    async def test_wait_ends_once_the_request_is_refused(self):
        """Guards against requests that wait in a stopping agent and are begun late, or cut."""
        await self.shutdown.start()
        self.addAsyncCleanup(self.shutdown.stop)

        async def wait(remaining_s: float) -> float:
            with self.assertRaises(DrainingError) as refused:
                async with self.shutdown.waiting(self.clock.now() + remaining_s):
                    await asyncio.Event().wait()
            self.assertGreater(refused.exception.retry_after_s, 0)
            return self.kernel.stopping_s

        self.kernel.request_stop()
        # One deadline is after the end of the process, the other before it.
        ends = await asyncio.gather(wait(5.0), wait(BOUNDS.finish_until_s - 0.05))
        self.assertAlmostEqual(ends[0], BOUNDS.accept_until_s, delta=0.1)
        self.assertAlmostEqual(ends[1], BOUNDS.finish_until_s, delta=0.1)

    async def test_waits_that_have_ended_do_not_fail_the_stop(self):
        """Guards against a stop that fails at a wait whose task has not continued yet."""

        async def wait(unwinding_s: float) -> None:
            with self.assertRaises(DrainingError):
                async with self.shutdown.waiting(self.clock.now() + 5.0):
                    try:
                        await asyncio.Event().wait()
                    finally:
                        await asyncio.sleep(unwinding_s)

        waits = [asyncio.create_task(wait(seconds)) for seconds in (0.1, 0.0, 0.1)]
        await asyncio.sleep(0)
        self.kernel.request_stop()
        for _ in range(4):
            self.shutdown.close()
            await asyncio.sleep(0)
        await asyncio.gather(*waits)

    async def test_idle_agent_ends_after_the_taking_phase(self):
        """Guards against a stop that waits for its whole grace time without a request."""
        self.kernel.request_stop()
        await self.shutdown.drain()
        self.assertGreaterEqual(self.kernel.stopping_s, BOUNDS.accept_until_s)
        self.assertLess(self.kernel.stopping_s, BOUNDS.finish_until_s)

    def test_taking_phase_ends_within_three_seconds(self):
        """Guards against a long taking phase: a request cut 3 s after the stop is a failure."""
        self.assertLess(Bounds(grace_s=20.0).accept_until_s, 3.0)
        self.assertLess(Bounds(grace_s=6.0).accept_until_s, 3.0)

    async def test_late_drain_keeps_to_the_same_end(self):
        """Guards against phases that are measured from the end of the previous phase."""
        self.kernel.request_stop()
        await asyncio.sleep(BOUNDS.finish_until_s)
        with self.shutdown.open_request("r1"):
            await asyncio.wait_for(self.shutdown.drain(), 0.2)
        self.assertIn("1021 request_open_at_end request=r1", self.lines.getvalue())
