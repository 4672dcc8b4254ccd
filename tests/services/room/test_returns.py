"""Tests of the times at which refused callers come back."""

import random
import unittest
from types import SimpleNamespace

from fescueward.services.room import CallerReturns
from tests.services.fakes import StubRegistry, make_request


class CallerReturnsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        self.returns = CallerReturns(random.Random(1))
        self.returns.bind(StubRegistry(clock=SimpleNamespace(now=lambda: self.now_s)))

    def request(self, path: str = "/a"):
        return make_request(2.0, path=path)

    def test_callers_that_are_refused_together_come_back_one_after_the_other(self):
        """Guards against a rush of all callers that one full queue has refused."""
        times = sorted(self.returns.told(self.request(f"/{n}"), 0.4) for n in range(100))
        self.assertGreaterEqual(times[0], 0.4)
        self.assertLessEqual(times[-1], 0.6)
        self.assertGreater(times[75] - times[25], 0.07)

    def test_caller_that_waited_is_recognised_once(self):
        """Guards against newcomers that are taken for a caller who was told to come back."""
        wait_s = self.returns.told(self.request(), 0.4)
        self.assertFalse(self.returns.is_returning(self.request("/b")))
        self.now_s += wait_s
        self.assertTrue(self.returns.is_returning(self.request()))
        self.assertFalse(self.returns.is_returning(self.request()))

    def test_caller_that_does_not_wait_counts_as_new(self):
        """Guards against an advantage for callers that repeat at once."""
        wait_s = self.returns.told(self.request(), 0.4)
        self.now_s += wait_s / 2
        self.assertFalse(self.returns.is_returning(self.request()))
        self.now_s += wait_s + 1.0
        self.assertFalse(self.returns.is_returning(self.request()))


if __name__ == "__main__":
    unittest.main()
