"""Tests of what responses say of their upstream."""

import unittest

from fescueward.messages.upstream import ReportedLoad
from fescueward.platform.responses import reported_load


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
        ):
            with self.subTest(text=text), self.assertRaises(ValueError):
                reported_load([text])
        with self.assertRaises(ValueError):
            reported_load(["3,0,8", "4,0,8"])


if __name__ == "__main__":
    unittest.main()
