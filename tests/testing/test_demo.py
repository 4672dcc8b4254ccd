"""Tests of the demo's judgement; tests/integration runs the demo itself."""

from __future__ import annotations

import contextlib
import io
import unittest
from unittest import mock

from fescueward.testing import demo
from fescueward.testing.callers import CallerResponse


class TrafficTest(unittest.TestCase):
    def count(self, traffic: demo.Traffic, key: str, at: float, **answer) -> None:
        with mock.patch("time.monotonic", return_value=at):
            traffic._count(key, CallerResponse(request_id="r", **answer))

    def test_unavailable_time_spans_all_failures(self):
        """Guards against an unavailable time that restarts with each failed request."""
        traffic = demo.Traffic(mock.Mock())
        for at, status in ((1.0, 200), (1.1, 503), (2.0, 503), (3.5, 200), (3.6, 503), (3.7, 200)):
            label = "no_owner" if status == 503 else ""
            self.count(traffic, "k", at, status=status, label=label, served_by="depot-1")
        self.assertAlmostEqual(traffic.unavailable_s["k"], 2.5)
        self.assertEqual(traffic.phases["before"].refused, {"no_owner": 3})
        self.assertEqual(traffic.served_since(3.6), 1)

    def test_bad_results_fail_the_demo(self):
        """Guards against a demo that exits 0 although a bound was exceeded."""
        slow = demo.Traffic(mock.Mock())
        slow.unavailable_s["k"] = 4.1
        mixed = demo.Traffic(mock.Mock())
        self.count(mixed, "k", 1.0, status=200, digest_ok=False)
        for traffic in (slow, mixed):
            with (
                contextlib.redirect_stdout(io.StringIO()),
                self.assertRaises(demo.DemoFailedError),
            ):
                demo._report(traffic)
