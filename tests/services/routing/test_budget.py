"""The shared retry budget."""

import unittest

from fescueward.kernel.bounds import Bounds
from fescueward.services.routing.budget import RetryBudget

BOUNDS = Bounds(retry_ratio=0.2, retry_burst=64, retry_window_s=10)


class RetryBudgetTest(unittest.TestCase):
    def test_fleet_stays_within_the_bound(self):
        """Guards against agents that each spend the burst of the whole fleet."""
        agents, requests = 16, 100
        budgets = [RetryBudget(BOUNDS) for _ in range(agents)]
        spent = 0
        for budget in budgets:
            for number in range(requests):
                budget.earn(number / 20)
            while budget.spend(5.0, agents):
                spent += 1
        self.assertGreater(spent, 0)
        self.assertLessEqual(spent, 0.2 * agents * requests + 64)

    def test_budget_returns_with_the_window(self):
        """Guards against a budget that is spent for good, and one that never runs out."""
        budget = RetryBudget(BOUNDS)
        while budget.spend(0.0, 4):
            pass
        self.assertFalse(budget.spend(9.0, 4))
        self.assertTrue(budget.spend(10.5, 4))
