"""Tests of the shared retry budget."""

import unittest

from fescueward.kernel.bounds import Bounds
from fescueward.services.routing.budget import RetryBudget

BOUNDS = Bounds(retry_ratio=0.2, retry_burst=64, retry_window_s=10)


class RetryBudgetTest(unittest.TestCase):
    def test_fleet_stays_within_the_bound(self):
        """Guards against agents that each use the burst of the whole fleet."""
        agents, requests = 16, 100
        budgets = [RetryBudget(BOUNDS) for _ in range(agents)]
        retries = 0
        for budget in budgets:
            for number in range(requests):
                budget.deposit(number / 20)
            while budget.try_withdraw(5.0, agents):
                retries += 1
        self.assertGreater(retries, 0)
        self.assertLessEqual(retries, 0.2 * agents * requests + 64)

    def test_budget_returns_with_the_window(self):
        """Guards against a budget that never recovers, and one that is never exhausted."""
        budget = RetryBudget(BOUNDS)
        while budget.try_withdraw(0.0, 4):
            pass
        self.assertFalse(budget.try_withdraw(9.0, 4))
        self.assertTrue(budget.try_withdraw(10.5, 4))
