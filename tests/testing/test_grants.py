"""Tests of the upstream's grant table."""

from __future__ import annotations

import unittest

from fescueward.messages import GrantSet
from fescueward.testing.grants import GrantState, GrantTable


class GrantTableTest(unittest.TestCase):
    def test_requests_are_judged_by_shard_epoch_and_expiry(self):
        """Guards against requests that run under another epoch or after the expiry."""
        table = GrantTable()
        self.assertEqual(table.state(3, 1, 0), GrantState.MISSING)
        self.assertTrue(table.replace(GrantSet("a:1", 0, 100, {3: 5})))
        cases = ((3, 5, 99, "valid"), (3, 5, 100, "expired"), (3, 4, 0, "wrong_epoch"))
        for shard, epoch, now_ns, expected in (*cases, (3, 6, 0, "wrong_epoch")):
            self.assertEqual(table.state(shard, epoch, now_ns), expected)
        self.assertEqual(table.state(4, 5, 0), GrantState.MISSING)
        self.assertEqual(table.state(None, None, 0), GrantState.MISSING)

    def test_old_sets_and_epochs_are_ignored(self):
        """Guards against a resumed agent that regains shards with an outdated set of grants."""
        table = GrantTable()
        table.replace(GrantSet("a:2", 4, 100, {3: 5}))
        for old in (GrantSet("a:2", 4, 900, {3: 6}), GrantSet("a:1", 9, 900, {3: 6})):
            self.assertFalse(table.replace(old))
        self.assertEqual(table.state(3, 5, 99), GrantState.VALID)
        self.assertTrue(table.replace(GrantSet("a:3", 0, 200, {3: 4, 7: 1})))
        self.assertEqual(table.state(3, 4, 0), GrantState.MISSING)
        self.assertEqual(table.state(7, 1, 199), GrantState.VALID)
