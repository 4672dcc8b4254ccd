"""Tests of the order in which ranges are released."""

import unittest
from dataclasses import replace

from fescueward.messages.group import KeyRange
from fescueward.services.keyspace.handover import range_id
from fescueward.services.keyspace.handover_queue import MAX_CONCURRENT_RELEASES, HandoverQueue


class HandoverQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = HandoverQueue()
        count = MAX_CONCURRENT_RELEASES + 2
        self.ranges = [KeyRange(8 * n, 8 * n + 7, "a:1", 1, "b:1") for n in range(count)]
        self.queue.update(self.ranges)

    def test_ranges_beyond_the_limit_wait_until_others_are_recorded(self):
        """Guards against a member whose keys are all without a server at the same time."""
        started = self.queue.start_releases()
        self.assertEqual(len(started), MAX_CONCURRENT_RELEASES)
        self.assertEqual(self.queue.start_releases(), [])
        self.queue.finish(started[0])
        self.assertEqual(self.queue.start_releases(), [self.ranges[-2]])
        self.assertFalse(self.queue.empty)

    def test_waiting_range_whose_successor_is_lost_is_not_released(self):
        """Guards against keys that are released although no member takes them."""
        started = self.queue.start_releases()
        kept = [replace(each, successor=None) for each in self.ranges[-2:]]
        self.queue.update([*self.ranges[:-2], *kept])
        for key_range in started:
            self.queue.finish(key_range)
        self.assertEqual(self.queue.start_releases(), [])
        self.assertNotIn(range_id(self.ranges[-1]), self.queue.released)
