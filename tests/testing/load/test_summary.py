"""Tests of the summary of a load."""

from __future__ import annotations

import unittest

from fescueward.testing.load import (
    percentile,
    summarize,
    unavailable_times,
)

from ..test_verdicts import _record


def _records(*spans, key="k"):
    return [
        _record(f"{key}{begun_s}", key=key, begun_s=begun_s, end_s=end_s, succeeded=succeeded)
        for begun_s, end_s, succeeded in spans
    ]


class SummaryTest(unittest.TestCase):
    def test_unavailable_time_is_a_gap_with_failures(self):
        """Guards against gaps without requests that count as outages, and uncounted outages."""
        successes = _records((0, 1, True), (8, 9, True))
        self.assertEqual(unavailable_times(successes), {"k": 0.0})
        cases = (((2, 3, False), 8.0), ((0, 0.5, False), 1.0), ((9.5, 10, False), 1.0))
        for failure, expected in cases:
            self.assertEqual(unavailable_times(successes + _records(failure)), {"k": expected})
        # A request that is sent in the first gap and fails in the last one counts for every gap.
        self.assertEqual(unavailable_times(successes + _records((2, 9.5, False))), {"k": 8.0})

    def test_summary(self):
        """Guards against a summary that counts attempts as requests."""
        records = _records((0, 1, True), (1, 3, True)) + _records((3, 4, False), key="j")
        records[2] = _record(
            "x", begun_s=3, end_s=4, status=503, label="no_owner", succeeded=False
        )
        token_fetch = _record(
            "t", final=False, status=428, label="token_required", succeeded=False
        )
        summary = summarize([*records, token_fetch], skipped=2)
        self.assertEqual((summary.requests, summary.successes, summary.skipped), (3, 2, 2))
        self.assertEqual(summary.refusals, {"no_owner": 1})
        self.assertEqual((summary.latency_p50_ms, summary.latency_p99_ms), (1000, 2000))
        self.assertEqual(percentile(range(1, 201), 99), 198)
        self.assertEqual(summarize([]).requests, 0)
