"""Tests of the search for an upstream with a free slot."""

import random
import unittest

from fescueward.services.routing.search import SlotSearch


class SlotSearchTest(unittest.TestCase):
    def test_search_ends_while_all_upstreams_are_full(self):
        """Guards against further hops of each request while no upstream has a free slot."""
        search = SlotSearch(random.Random(1))
        self.assertTrue(search.begin())
        for _ in range(50):
            search.record(refused=True)
        self.assertLess(sum(search.begin() for _ in range(1000)), 100)
        for _ in range(50):
            search.record(refused=False)
        self.assertTrue(search.begin())


if __name__ == "__main__":
    unittest.main()
