"""Tests of gates whose upstreams call each other."""

from __future__ import annotations

import unittest

from .call_model import CallingFleet


class CallsTest(unittest.TestCase):
    def test_full_service_serves_the_calls_of_running_requests(self):
        """Guards against runs that are wasted because a full service turned their calls away."""
        fleet = CallingFleet(page_gates=60, order_gates=28, seed=1)
        fleet.run(pages_per_s=610.0, orders_per_s=280.0, duration_s=6.0)
        pages = sum(count for (kind, _), count in fleet.ends.items() if kind == "page")
        orders_refused = fleet.ends["order", "refused"]
        self.assertGreater(orders_refused, 0)
        self.assertLess(fleet.ends["page", "failed"] / pages, 0.01)
