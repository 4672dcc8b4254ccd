"""Tests of the memory that request bodies share."""

from __future__ import annotations

import unittest
from contextlib import ExitStack

from fescueward.kernel.body_budget import BodyBudget
from fescueward.kernel.errors import OverloadedError

MEGABYTE = 1_000_000


class BodyBudgetTest(unittest.TestCase):
    def setUp(self):
        # 20 MB for large bodies, 10 MB for small ones.
        self.budget = BodyBudget(100 * MEGABYTE)

    def test_sum_of_large_bodies(self):
        """Guards against uploads that are bounded one by one and together fill the memory."""
        with self.budget.hold(12 * MEGABYTE):
            with self.assertRaises(OverloadedError) as refused:
                self.budget.hold(9 * MEGABYTE)
            self.assertGreater(refused.exception.retry_after_s, 0)
            with self.budget.hold(8 * MEGABYTE), self.assertRaises(OverloadedError):
                self.budget.hold(2 * MEGABYTE)
        with self.budget.hold(15 * MEGABYTE):
            pass

    def test_single_body_above_the_limit(self):
        """Guards against an upload within the limit of callers that is refused for good."""
        with self.budget.hold(60 * MEGABYTE), self.assertRaises(OverloadedError):
            self.budget.hold(2 * MEGABYTE)
        with self.budget.hold(60 * MEGABYTE):
            pass

    def test_small_bodies_beside_a_large_one(self):
        """Guards against orders that are refused while an upload is in progress."""
        with self.budget.hold(60 * MEGABYTE), self.budget.hold(1000):
            with ExitStack() as small:
                for _ in range(9):
                    small.enter_context(self.budget.hold(MEGABYTE))
                with self.assertRaises(OverloadedError):
                    self.budget.hold(MEGABYTE)
            with self.budget.hold(MEGABYTE):
                pass

    def test_body_of_unknown_length(self):
        """Guards against chunked uploads that pass the limit once they have begun."""
        with self.budget.hold(15 * MEGABYTE), self.budget.hold(0) as growing:
            growing.grow_to(MEGABYTE)
            growing.grow_to(5 * MEGABYTE)
            with self.assertRaises(OverloadedError):
                growing.grow_to(6 * MEGABYTE)
        with self.budget.hold(0) as growing:
            for size in range(MEGABYTE, 60 * MEGABYTE, MEGABYTE):
                growing.grow_to(size)
        with self.budget.hold(20 * MEGABYTE):
            pass
