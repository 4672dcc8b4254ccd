"""Tests of the measured work of key blocks."""

import unittest
from types import SimpleNamespace

from fescueward.kernel import BootClock, Kernel
from fescueward.messages.request import Occupancy
from fescueward.services.keyspace.load import KeyBlockLoad
from fescueward.services.keyspace.moves import BLOCK_KEYS
from tests.services.fakes import StubRegistry


class KeyBlockLoadTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.load = KeyBlockLoad(Kernel())
        self.load.bind(
            StubRegistry(
                clock=BootClock(),
                groups=None,
                peers=SimpleNamespace(on=lambda kind, handler: None),
                membership=SimpleNamespace(member_id="a:1"),
                placement=None,
                admission=SimpleNamespace(occupancy=Occupancy(6, 0, 6, 100.0)),
            )
        )
        self.load._decayed_at = BootClock().now()

    def test_upstream_that_takes_little_is_reported_as_full(self):
        """Guards against keys that stay with an upstream which names a rate below its slots."""
        self.load._slots.occupancy = Occupancy(3, 0, 6, 100.0, per_second=30.0)
        for _ in range(10):
            report = self.load.measure()
        self.assertAlmostEqual(report.utilisation, 1.0, delta=0.05)

    def test_slots_that_a_cold_upstream_can_use_are_reported(self):
        """Guards against a full share of keys for an upstream that takes little as yet."""
        self.assertIsNone(self.load.measure().usable_slots)
        self.load._slots.occupancy = Occupancy(0, 0, 6, 100.0, per_second=5.0)
        self.assertEqual(self.load.measure().usable_slots, 0.5)
        self.load._slots.occupancy = Occupancy(0, 0, 6, 0.0, per_second=5.0)
        self.assertEqual(self.load.measure().usable_slots, 1.5)

    def test_work_beyond_the_slots_shows_in_the_report(self):
        """Guards against an overloaded server that is reported as merely full."""
        for _ in range(240):
            self.load.record(5, "5", 0.1)
        for _ in range(10):
            report = self.load.measure()
        self.assertAlmostEqual(report.work[5 // BLOCK_KEYS], 24.0, delta=1)
        self.assertAlmostEqual(report.utilisation, 4.0, delta=0.3)
