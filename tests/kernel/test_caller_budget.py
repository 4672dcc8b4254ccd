"""Tests of the memory that all connections share."""

import unittest

from fescueward.kernel.caller_budget import CallerBudget


class Holder:
    evicted = False

    def evict(self) -> None:
        self.evicted = True


class CallerBudgetTest(unittest.TestCase):
    def test_largest_holder_is_evicted(self):
        """Guards against ordinary callers that are cut off for what others hold."""
        budget = CallerBudget(300_000_000)
        ordinary, hard, harder = Holder(), Holder(), Holder()
        budget.update(ordinary, 5_000_000)
        budget.update(hard, 30_000_000)
        budget.update(harder, 31_000_000)
        self.assertEqual(
            [holder.evicted for holder in (ordinary, hard, harder)], [False, False, True]
        )
        self.assertEqual(budget.total_bytes, 35_000_000)
        budget.update(hard, 0)
        budget.update(hard, 0)
        self.assertEqual(budget.total_bytes, 5_000_000)

    def test_small_machine_holds_one_large_response(self):
        """Guards against a response that no request can get on a machine of 150 MB."""
        budget, holder = CallerBudget(150_000_000), Holder()
        budget.update(holder, 8 * 1024 * 1024)
        self.assertFalse(holder.evicted)
