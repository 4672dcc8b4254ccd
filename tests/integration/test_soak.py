"""Short runs of the fault soak with seeds that violated a rule before."""

from __future__ import annotations

import shutil
import unittest
from pathlib import Path

import uvloop

from fescueward.testing.site.soak import run_soak

DURATION_S = 20
AGENT_COUNT = 6
LOG_DIRECTORY = Path(__file__).resolve().parents[2] / "runs" / "soak-tests"


class SoakTest(unittest.TestCase):
    def _run_seed(self, seed: int, restores: bool = False) -> None:
        directory = LOG_DIRECTORY / f"seed-{seed}"
        shutil.rmtree(directory, ignore_errors=True)
        directory.mkdir(parents=True)
        result = uvloop.run(run_soak(seed, DURATION_S, AGENT_COUNT, directory, restores))
        details = "\n".join(map(str, (result, *result.breaches, directory)))
        self.assertEqual(result.breaches, (), details)
        self.assertGreater(result.served, 0)
        shutil.rmtree(directory)

    def test_seed_4(self):
        """Guards against a restarted upstream that is granted keys under an old epoch.

        Shutdowns, leaving upstreams and outages of the store overlap in this plan.
        """
        self._run_seed(4)

    def test_seed_205(self):
        """Guards against a last member that leaves while its upstream still holds the keys.

        The upstreams of a keyed service leave one after another in this plan.
        """
        self._run_seed(205)

    def test_seed_3110(self):
        """Guards against bodies and receipts that are not the upstream's.

        Upstreams answer twice, cut off and malformed in this plan, on connections that stay open.
        """
        self._run_seed(3110)

    def test_seed_1035(self):
        """Guards against a request that is cut without a response by a stopping agent."""
        self._run_seed(1035)

    def test_seed_2018(self):
        """Guards against a judge that blames an agent for what its upstream cut off by a crash."""
        self._run_seed(2018)

    def test_seed_3106_with_restores(self):
        """Guards against requests that are cut when SIGTERM is sent to a paused agent."""
        self._run_seed(3106, restores=True)

    def test_seed_1_with_restores(self):
        """Guards against epochs that go back, and keys without an owner, in a restored store."""
        self._run_seed(1, restores=True)
