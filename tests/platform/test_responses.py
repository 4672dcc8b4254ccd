"""Tests of what responses say of their upstream."""

import math
import unittest

from hypothesis import given, strategies

from fescueward.messages.codec import encode_json
from fescueward.messages.upstream import ReportedLoad
from fescueward.platform.responses import cold_s, handover_token, rate_limit, reported_load

# Values of response headers: text with bytes that are no UTF-8, and numbers of any size.
_headers = strategies.one_of(
    strategies.text(max_size=12),
    strategies.lists(strategies.integers().map(str), max_size=5).map(",".join),
    strategies.floats().map(str),
    strategies.sampled_from(("9" * 400, "1_0,0,8", "\udce1", "1e308", "-0.0", "nan,0,8")),
)


class HeaderTest(unittest.TestCase):
    @given(strategies.lists(_headers, max_size=2))
    def test_any_header_is_read_or_refused(self, values):
        """Guards against a header of one upstream that fails its requests, or ends the agent."""
        for read in (cold_s, handover_token, rate_limit, reported_load):
            try:
                result = read(values)
            except ValueError as error:
                str(error).encode()
                continue
            encode_json(result)
            if isinstance(result, ReportedLoad):
                self.assertTrue(math.isfinite(result.running / result.slots))
                self.assertTrue(math.isfinite(result.slowness or 0.0))


class ReportedLoadTest(unittest.TestCase):
    def test_figures(self):
        """Guards against an upstream that is slow at present and counts as usual."""
        self.assertIsNone(reported_load([]))
        self.assertEqual(reported_load(["3,0,8"]), ReportedLoad(3, 0, 8))
        self.assertEqual(reported_load(["3, 1, 8, 250"]), ReportedLoad(3, 1, 8, 2.5))

    def test_odd_figures(self):
        """Guards against a load that cannot be read and is used."""
        for text in (
            "",
            "3",
            "3,0",
            "3,0,8,100,1",
            "3,x,8",
            "-1,0,8",
            "3,0,8,-5",
            "3,0,8,0",
            "3,0,0",
            "3,0,8," + "9" * 400,
            "9" * 400 + ",0,8",
            "3,0,9" + "0" * 20,
        ):
            with self.subTest(text=text), self.assertRaises(ValueError):
                reported_load([text])
        with self.assertRaises(ValueError):
            reported_load(["3,0,8", "4,0,8"])


if __name__ == "__main__":
    unittest.main()
