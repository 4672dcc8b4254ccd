"""Tests of the delay of messages between machines whose clocks differ."""

import unittest

from fescueward.services.transit import TransitDelay

# By how much the clock of the receiver is ahead, in seconds.
OFFSET_S = 1_000.0


def delays(*messages: tuple[float, float]) -> list[float]:
    """Returns the delays of messages, given as seconds of sending and on the way."""
    transit = TransitDelay()
    return [
        round(transit.observe(int(sent_s * 1000), OFFSET_S + sent_s + way_s), 3)
        for sent_s, way_s in messages
    ]


class TransitDelayTest(unittest.TestCase):
    def test_delay_is_the_time_above_the_shortest_way(self):
        """Guards against requests that look late because the clocks of two machines differ."""
        self.assertEqual(
            delays((1.0, 0.002), (2.0, 0.702), (2.5, 0.202), (3.0, 0.001)), [0, 0.7, 0.2, 0]
        )

    def test_clock_that_was_set_back_is_measured_again(self):
        """Guards against refusing all requests of a machine whose clock has lost some seconds."""
        transit = TransitDelay()
        transit.observe(1_000_000, 1_000.0)
        self.assertAlmostEqual(transit.observe(1_001_000, 1_006.0), 5.0)
        self.assertAlmostEqual(transit.observe(1_035_000, 1_040.0), 5.0)
        self.assertAlmostEqual(transit.observe(1_070_000, 1_075.0), 0.0)

    def test_message_without_a_time_counts_as_punctual(self):
        """Guards against refusing the requests of earlier versions of the agent."""
        self.assertEqual(TransitDelay().observe(None, 5.0), 0.0)


if __name__ == "__main__":
    unittest.main()
