"""Tests of the order of heartbeats."""

import unittest

from fescueward.kernel.heartbeat_order import HeartbeatOrder

PERIOD_S = 1.0


class HeartbeatOrderTest(unittest.TestCase):
    def setUp(self):
        self.order = HeartbeatOrder(PERIOD_S)

    def accept(self, *heartbeats: tuple[int, int, float]) -> list[bool]:
        return [self.order.accept(*heartbeat) for heartbeat in heartbeats]

    def test_late_heartbeats_are_ignored(self):
        """Guards against a delayed heartbeat that undoes a later one."""
        self.assertEqual(
            self.accept((5, 1, 0.0), (5, 3, 1.0), (5, 2, 1.1), (5, 3, 1.2)),
            [True, True, False, False],
        )

    def test_late_heartbeats_of_an_ended_start_are_ignored(self):
        """Guards against an ended start that displaces the present one after a partition."""
        self.assertEqual(self.accept((9, 1, 0.0)), [True])
        self.assertEqual(self.accept(*((5, number, 4.0) for number in range(9))), [False] * 9)
        for number in range(9):
            now = 5.0 + number
            self.assertEqual(
                self.accept((9, 2 + number, now), (5, 10 + number, now + 0.5)), [True, False]
            )

    def test_start_after_a_step_of_the_clock_is_recognised(self):
        """Guards against an upstream that is ignored because its clock was set back."""
        self.assertEqual(
            self.accept((9, 4, 0.0), (5, 1, 1.0), (5, 2, 2.0), (5, 3, 3.0), (5, 4, 4.0)),
            [True, False, False, True, True],
        )
        # A late heartbeat of the ended start, then a new start.
        self.assertEqual(self.accept((9, 5, 4.5), (7, 1, 9.0)), [False, True])
