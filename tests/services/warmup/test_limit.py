"""Tests of the rate and the window of requests to cold upstreams."""

import itertools
import random
import unittest

from fescueward.services.warmup.limit import RAMP_S, WINDOW_S, ColdLimit, RequestWindow


class RequestWindowTest(unittest.TestCase):
    def test_no_window_has_more_than_permitted(self):
        """Guards against requests at the edge of a window that count for neither second."""
        window, rng, times, now = RequestWindow(), random.Random(1), [], 0.0
        while now < 60.0:
            now += rng.expovariate(100.0) if rng.random() < 0.998 else rng.uniform(0.0, 3.0)
            if window.wait_s(0, 17, now) <= 0:
                window.add(now)
                times.append(now)
        for start in times:
            self.assertLessEqual(sum(start <= at < start + 1.0 for at in times), 17)
        self.assertGreater(len(times), 600)

    def test_wait_counts_the_requests_ahead(self):
        """Guards against queueing requests that cannot begin before their deadline."""
        window = RequestWindow()
        for number in range(3):
            window.add(number / 10)
        self.assertEqual(window.wait_s(0, 4, 0.3), 0.0)
        self.assertAlmostEqual(window.wait_s(1, 4, 0.3), WINDOW_S - 0.3)
        self.assertAlmostEqual(window.wait_s(3, 4, 0.3), WINDOW_S - 0.1)
        self.assertGreaterEqual(window.wait_s(40, 4, 0.3), 10 * WINDOW_S)
        self.assertEqual(window.wait_s(1, 4, 0.3, since=0.0), 0.0)


class ColdLimitTest(unittest.TestCase):
    def test_rate_rises_steadily_and_ends(self):
        """Guards against a step at the end of the ramp, and against a limit that remains."""
        limit = ColdLimit.of(6.5, 1.5, 8.0)
        self.assertEqual(limit.most, 17)
        rates = [limit.ramp_per_second(RAMP_S * step / 10) for step in range(10)]
        self.assertEqual(rates, sorted(rates))
        self.assertEqual(rates[0], limit.target_per_second)
        self.assertLess(max(b / a for a, b in itertools.pairwise(rates)), 1.5)
        self.assertIsNone(limit.ramp_per_second(RAMP_S))

    def test_odd_bounds_leave_the_rate(self):
        """Guards against an agent that fails for a bound which is no number."""
        self.assertEqual(ColdLimit.of(6.5, float("nan"), 8.0).most, 6)
        self.assertEqual(ColdLimit.of(6.5, float("inf"), 8.0).most, 6)
        self.assertEqual(ColdLimit.of(0.1, -1.0, 0.0).most, 1)
