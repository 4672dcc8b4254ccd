"""Tests of the pace of runs on an upstream that limits its rate."""

import random
import unittest

from fescueward.services.admission.pace import StartPace

WINDOW_S = 4.0


def starts(pace: StartPace, from_s: float, until_s: float, step_s: float = 0.01) -> list[float]:
    """Begins a run whenever the pace permits one; returns the times."""
    times, now = [], from_s
    while now < until_s:
        while pace.wait_s(0, now) <= 0:
            pace.take(now)
            times.append(now)
            if pace.per_second is None:
                break
        now += step_s
    return times


class StartPaceTest(unittest.TestCase):
    def test_rate_is_used_and_not_exceeded(self):
        """Guards against more runs than an upstream takes, and against far fewer."""
        for per_second in (0.5, 1.0, 7.6, 31.3, 400.0):
            pace = StartPace()
            pace.limit(per_second, 0.0)
            times = starts(pace, 0.0, 20.0, 0.001)
            self.assertAlmostEqual(len(times), 20 * per_second, delta=0.3 * per_second + 2)
            for index, start in enumerate(times):
                count = sum(start <= at <= start + WINDOW_S for at in times[index:])
                self.assertLessEqual(count, WINDOW_S * per_second * 1.3 + 2)

    def test_pause_and_change_bring_no_long_burst(self):
        """Guards against a burst after a pause, and after each new value of the limit."""
        pace = StartPace()
        rng = random.Random(1)
        times = []
        for second in range(40):
            pace.limit(rng.choice((10.0, 9.0, 11.5)), float(second))
            if second % 8 < 5:
                times += starts(pace, second, second + 1.0)
        for start in times:
            count = sum(start <= at <= start + WINDOW_S for at in times)
            self.assertLessEqual(count, 1.5 * WINDOW_S * 9.0 + 5)

    def test_wait_counts_the_runs_ahead(self):
        """Guards against queueing requests that cannot begin before their deadline."""
        pace = StartPace()
        pace.limit(10.0, 0.0)
        pace.take(0.0)
        self.assertAlmostEqual(pace.wait_s(0, 0.0), 0.1)
        self.assertAlmostEqual(pace.wait_s(9, 0.0), 1.0)
        pace.limit(None, 0.0)
        self.assertEqual(pace.wait_s(9, 0.0), 0.0)

    def test_limit_of_zero_still_asks(self):
        """Guards against an upstream that cannot raise its limit, because it gets nothing."""
        pace = StartPace()
        pace.limit(0.0, 0.0)
        self.assertAlmostEqual(len(starts(pace, 0.0, 40.0)), 10, delta=2)


if __name__ == "__main__":
    unittest.main()
