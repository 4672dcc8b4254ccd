"""Tests of admission when callers compete, on the model of gates in virtual time."""

import unittest
from dataclasses import replace

from .competition import CHECK, RESERVE, Competition


class CompetitionTest(unittest.TestCase):
    def test_least_urgent_kind_is_served_in_a_lasting_shortage(self):
        """Guards against an order by priority alone, which gives the least urgent kind nothing."""
        urgent = replace(RESERVE, route="urgent", priority=0, per_second=16.0)
        plain = replace(RESERVE, route="plain", priority=3, per_second=4.0)
        model = Competition(keyed=1, called=1, keyed_loads=(urgent, plain), wave_depth=0.0)
        model.play(33)
        served = {route: model.share(route, "in aim", "late") for route in ("urgent", "plain")}
        self.assertGreater(served["plain"], 0.4 * served["urgent"])
        self.assertGreater(served["urgent"], served["plain"])

    def test_requests_that_can_wait_do_so_and_cost_the_urgent_ones_nothing(self):
        """Guards against callers with seconds left that are refused in the crest of a wave."""
        patient = replace(CHECK, route="patient", priority=3, deadline_s=9.0, calls=0)
        urgent = replace(RESERVE, priority=1, per_second=6.0)
        model = Competition(keyed=3, called=1, keyed_loads=(urgent, patient), scale=1.3)
        model.play(33)
        self.assertLess(model.share("patient", "refused"), 0.18)
        self.assertLess(model.share("reserve", "refused"), 0.11)

    def test_no_slot_is_free_while_a_request_waits(self):
        """Guards against a queue that is not woken, and against held requests that are refused."""
        model = Competition(scale=1.4)
        model.play(22)
        self.assertEqual(model.idle_slots, 0)
        requests = sum(count for (route, _), count in model.counts.items() if route != "lookup")
        self.assertLess(model.refused_after_wait, 0.08 * requests)
