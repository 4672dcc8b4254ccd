"""Tests of the served shares of kinds of requests."""

import unittest
from dataclasses import replace
from unittest import mock

from fescueward.services.admission import shares
from fescueward.services.admission.shares import ServedShares, kind_of

from ..fakes import make_request

URGENT = replace(make_request(), priority=0, route="urgent")
PLAIN = replace(make_request(), priority=2, route="plain")


class ServedSharesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.shares = ServedShares()

    def record(self, request, served: int, refused: int, now: float = 0.0) -> None:
        for _ in range(served):
            self.shares.record_served(request, now)
        for _ in range(refused):
            self.shares.record_refused(request, now)

    def test_kind_that_is_served_half_as_often_as_all_is_starved_until_it_recovers(self):
        """Guards against a least urgent kind that gets nothing in a lasting shortage."""
        self.record(URGENT, 30, 10)
        with mock.patch.object(shares, "_KIND_STARVED") as event:
            self.record(PLAIN, 2, 8)
        self.assertEqual(event.emit.call_count, 1)
        self.assertTrue(self.shares.is_starved(kind_of(PLAIN)))
        self.assertFalse(self.shares.is_starved(kind_of(URGENT)))
        self.record(PLAIN, 4, 0)
        self.assertFalse(self.shares.is_starved(kind_of(PLAIN)))

    def test_urgent_kind_that_is_served_less_often_than_a_less_urgent_one_trails(self):
        """Guards against less urgent requests that are served because they can wait longer."""
        self.record(URGENT, 8, 2)
        self.record(PLAIN, 9, 1)
        self.assertTrue(self.shares.is_trailing(kind_of(URGENT)))
        self.assertFalse(self.shares.is_trailing(kind_of(PLAIN)))

    def test_caller_that_returns_counts_once(self):
        """Guards against a kind that counts as starved because its callers come back as told."""
        self.record(PLAIN, 0, 10)
        self.record(replace(PLAIN, returning=True), 10, 0)
        self.assertEqual(self.shares.share(kind_of(PLAIN)), 1.0)

    def test_shortage_that_has_ended_is_forgotten(self):
        """Guards against a kind that goes first long after the shortage that starved it."""
        self.record(URGENT, 30, 0)
        self.record(PLAIN, 0, 30)
        self.record(URGENT, 30, 0, now=12.0)
        self.record(PLAIN, 6, 0, now=12.0)
        self.assertFalse(self.shares.is_starved(kind_of(PLAIN)))
        self.assertLess(self.shares.served_per_s(kind_of(URGENT), now=60.0), 0.1)
