"""Tests of the keys that an emulated upstream holds."""

from __future__ import annotations

import unittest

from fescueward.testing.site.holds import KeyHolds


class KeyHoldsTest(unittest.TestCase):
    def setUp(self):
        self.book = []
        self.holds = KeyHolds("catalogue", "i-1", "m", self.book)

    def test_lower_fence_is_refused_and_renewal_extends(self):
        """Guards against an upstream that takes a stale grant."""
        self.assertTrue(self.holds.grant(0, 99, 5, 10))
        self.assertFalse(self.holds.grant(50, 60, 4, 10))
        self.assertTrue(self.holds.grant(0, 99, 5, 20))
        self.assertEqual(len(self.holds.open()), 1)
        self.assertEqual(self.book, [])

    def test_part_of_a_grant_is_released(self):
        """Guards against a release that ends more or less than its keys."""
        self.holds.grant(0, 99, 5, 10)
        self.holds.release(40, 59, 5)
        held = [self.holds.fence(key) for key in (39, 40, 59, 60)]
        self.assertEqual(held, [5, None, None, 5])
        self.assertEqual([(hold.first, hold.last) for hold in self.book], [(40, 59)])
