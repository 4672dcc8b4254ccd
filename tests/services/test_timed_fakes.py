"""Tests of the fleet that runs on simulated time."""

from __future__ import annotations

import gc
import unittest
import warnings

from .fleet import Fleet, SafetyError


class FleetTest(unittest.TestCase):
    def test_close_after_a_failed_check(self):
        """Guards against warnings about simulated coroutines that hide those of the product.

        A failed check ends the simulation inside a step, so the tasks that this step has created
        are never started.
        """
        started = []

        async def child() -> None:
            started.append("child")

        def fail(name: str) -> None:
            raise SafetyError(name)

        with warnings.catch_warnings(record=True) as caught:
            warnings.simplefilter("always")
            fleet = Fleet()
            agent = fleet.start("a0", "d0")
            fleet.world.advance(1)
            fleet.world.after_step = fail
            agent.spawn(child)
            with self.assertRaises(SafetyError):
                fleet.world.advance(1)
            fleet.close()
            del agent, fleet
            gc.collect()
        self.assertEqual(started, [])
        self.assertEqual([str(warning.message) for warning in caught], [])
