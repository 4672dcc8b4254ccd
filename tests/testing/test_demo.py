"""Tests of how the demo evaluates responses; tests/integration runs the demo itself."""

from __future__ import annotations

import contextlib
import io
import unittest
from unittest import mock

from fescueward.testing import demo
from fescueward.testing.callers import CallerResponse


class TrafficTest(unittest.TestCase):
    def count(self, traffic: demo.Traffic, key: str, at_s: float, **fields) -> None:
        with mock.patch("time.monotonic", return_value=at_s):
            traffic._count(key, CallerResponse(request_id="r", **fields))

    def test_unavailable_time_spans_all_failures(self):
        """Guards against an unavailable time that restarts with each failed request."""
        traffic = demo.Traffic(mock.Mock())
        for at_s, status in (
            (1.0, 200),
            (1.1, 503),
            (2.0, 503),
            (3.5, 200),
            (3.6, 503),
            (3.7, 200),
        ):
            label = "no_owner" if status == 503 else ""
            self.count(traffic, "k", at_s, status=status, label=label, served_by="depot-1")
        self.assertAlmostEqual(traffic.unavailable_s["k"], 2.5)
        self.assertEqual(traffic.phases["before"].refused, {"no_owner": 3})
        self.assertEqual(traffic.keys_served_since(3.6), 1)

    def test_bad_results_fail_the_demo(self):
        """Guards against a demo that exits with 0 although a bound was exceeded."""
        slow = demo.Traffic(mock.Mock())
        slow.unavailable_s["k"] = 4.1
        mismatched = demo.Traffic(mock.Mock())
        self.count(mismatched, "k", 1.0, status=200, digest_ok=False)
        for traffic in (slow, mismatched):
            with (
                contextlib.redirect_stdout(io.StringIO()),
                self.assertRaises(demo.DemoFailedError),
            ):
                demo._report(traffic)
