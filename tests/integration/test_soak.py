"""A short run of the fault soak, and seeds that once broke a rule."""

from __future__ import annotations

import shutil
import unittest
from pathlib import Path

import uvloop

from fescueward.testing.site.soak import run_soak

SECONDS = 20
AGENTS = 6
LOGS = Path(__file__).resolve().parents[2] / "runs" / "soak-tests"


class SoakTest(unittest.TestCase):
    def play(self, seed: int) -> None:
        directory = LOGS / f"seed-{seed}"
        shutil.rmtree(directory, ignore_errors=True)
        directory.mkdir(parents=True)
        result = uvloop.run(run_soak(seed, SECONDS, AGENTS, directory))
        found = "\n".join(map(str, (result, *result.breaches, directory)))
        self.assertEqual(result.breaches, (), found)
        self.assertGreater(result.served, 0)
        shutil.rmtree(directory)

    def test_seed_4(self):
        """Guards against a new start of an upstream that gets keys under an old epoch.

        Stops, leaves of upstreams and outages of the store overlap in this plan.
        """
        self.play(4)

    def test_seed_205(self):
        """Guards against a last member that leaves while its upstream still holds the keys.

        Upstreams of a keyed service leave one after the other in this plan.
        """
        self.play(205)
