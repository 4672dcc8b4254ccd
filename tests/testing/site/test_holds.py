"""Tests of the key ranges that an emulated upstream holds."""

from __future__ import annotations

import unittest

from fescueward.testing.site.holds import KeyHolds


class KeyHoldsTest(unittest.TestCase):
    def setUp(self):
        self.ended = []
        self.holds = KeyHolds("catalogue", "i-1", "m", self.ended)

    def test_lower_fence_is_refused_and_renewal_extends(self):
        """Guards against an upstream that accepts a grant with an outdated epoch."""
        self.assertTrue(self.holds.grant(0, 99, 5, 10))
        self.assertFalse(self.holds.grant(50, 60, 4, 10))
        self.assertTrue(self.holds.grant(0, 99, 5, 20))
        self.assertEqual(len(self.holds.open_holds()), 1)
        self.assertEqual(self.ended, [])

    def test_part_of_a_grant_is_released(self):
        """Guards against a release that ends the holds of more or fewer keys than it names."""
        self.holds.grant(0, 99, 5, 10)
        self.holds.release(40, 59, 5)
        fences = [self.holds.fence_of(key) for key in (39, 40, 59, 60)]
        self.assertEqual(fences, [5, None, None, 5])
        self.assertEqual([(hold.first, hold.last) for hold in self.ended], [(40, 59)])
