"""Tests of the detection of pauses."""

from __future__ import annotations

import asyncio
import unittest

from fescueward.kernel.pauses import PauseWatch


class StepClock:
    """A clock whose periods take as long as the test says."""

    def __init__(self) -> None:
        self.time_s = 100.0
        self.woken = asyncio.Event()

    def now(self) -> float:
        return self.time_s

    async def sleep(self, seconds: float) -> None:
        await self.woken.wait()
        self.woken.clear()


class PauseWatchTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = StepClock()
        self.watch = PauseWatch(self.clock)
        task = asyncio.create_task(self.watch.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(0)

    async def advance(self, seconds: float) -> None:
        """Advances the clock and lets the watch check it."""
        self.clock.time_s += seconds
        self.clock.woken.set()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    async def test_signal_that_was_sent_during_a_pause(self):
        """Guards against a stopping agent that is killed before the end that it expects.

        Whether the signal or the check comes first after the pause must not matter.
        """
        await self.advance(0.25)
        self.clock.time_s += 3.6
        self.assertAlmostEqual(self.watch.earliest_arrival(), 100.25)
        await self.advance(0.25)
        await self.advance(3.6)
        self.assertAlmostEqual(self.watch.earliest_arrival(), 104.1)

    async def test_signal_before_the_first_check(self):
        """Guards against a process whose start counts as a pause."""
        watch = PauseWatch(self.clock)
        self.clock.time_s += 5
        self.assertEqual(watch.earliest_arrival(), 105)

    async def test_signal_without_a_pause(self):
        """Guards against a shorter stop after a stall, or long after a pause."""
        await self.advance(0.9)
        self.assertAlmostEqual(self.watch.earliest_arrival(), 100.9)
        await self.advance(5)
        await self.advance(0.25)
        self.assertAlmostEqual(self.watch.earliest_arrival(), 106.15)
