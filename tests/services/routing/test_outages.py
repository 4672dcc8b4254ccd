"""Tests of the recognition that many owners are unreachable."""

import unittest

from fescueward.services.routing.outages import OwnerOutages


class OwnerOutagesTest(unittest.TestCase):
    def test_loss_of_one_owner_is_no_outage(self):
        """Guards against refusals at once while a single agent restarts."""
        outages = OwnerOutages()
        for number in range(40):
            outages.record(f"a{number}:1", number > 1, 10.0)
        self.assertFalse(outages.widespread(10.0))

    def test_end_of_all_agents_is_an_outage_until_they_respond(self):
        """Guards against callers that wait for owners which have all ended.

        On quetza-vinos-grown trouble-1 they were held for 0.6 s and refused.
        """
        outages = OwnerOutages()
        for number in range(8):
            outages.record(f"a{number}:1", False, 10.0)
        self.assertTrue(outages.widespread(10.5))
        for number in range(30):
            outages.record(f"a{number}:2", True, 11.0)
        self.assertFalse(outages.widespread(11.0))

    def test_old_observations_end(self):
        """Guards against refusals long after the owners have returned."""
        outages = OwnerOutages()
        for number in range(8):
            outages.record(f"a{number}:1", False, 10.0)
        self.assertFalse(outages.widespread(12.5))


if __name__ == "__main__":
    unittest.main()
