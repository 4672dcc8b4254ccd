"""Tests of gates whose upstreams call each other."""

from __future__ import annotations

import unittest

from .call_model import CallingFleet


class CallsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = CallingFleet(page_gates=60, order_gates=28, seed=1)
        cls.fleet.run(pages_per_s=610.0, orders_per_s=280.0, duration_s=6.0)

    def page_share(self, outcome: str) -> float:
        ends = self.fleet.ends
        return ends["page", outcome] / sum(ends[end] for end in ends if end[0] == "page")

    def test_full_service_serves_the_calls_of_running_requests(self):
        """Guards against runs that are wasted because a full service turned their calls away."""
        self.assertGreater(self.fleet.ends["order", "refused"], 0)
        self.assertLess(self.page_share("failed"), 0.01)

    def test_responses_are_in_time_while_some_upstreams_have_room(self):
        """Guards against requests that wait as late at one upstream while others have room."""
        self.assertLess(self.page_share("late"), 0.08)


class FreeSlotTest(unittest.TestCase):
    def test_requests_do_not_wait_while_other_upstreams_have_free_slots(self):
        """Guards against late responses at two thirds of the load that the upstreams can bear.

        Without a search for a free slot 2 in 100 were late here, with reports seconds old.
        """
        fleet = CallingFleet(page_gates=60, order_gates=28, seed=1)
        fleet.run(pages_per_s=400.0, orders_per_s=180.0, duration_s=4.0)
        late = sum(count for (_, outcome), count in fleet.ends.items() if outcome == "late")
        self.assertLess(late, 0.01 * sum(fleet.ends.values()))
