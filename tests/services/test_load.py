"""Tests of load measurement and load reports."""

from __future__ import annotations

import math
import unittest
import zlib
from dataclasses import replace

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from fescueward.kernel.errors import MalformedMessageError
from fescueward.messages.frames import FrameDecoder, FrameEncoder
from fescueward.messages.peer import LoadReport
from fescueward.services.load import DECAY_S, WINDOW_S, KeyWork, ShardWork
from fescueward.services.reports import ReportTable

from .groups_for_tests import assigned_group, member

_QUICK = settings(derandomize=True, max_examples=60, deadline=None, database=None)


class ShardWorkTest(unittest.TestCase):
    """Work decays exponentially."""

    def test_steady_work_is_its_rate(self):
        """Guards against a wrong unit or a wrong decay."""
        work = ShardWork()
        for step in range(400):
            work.add(3, 0.02, step * 0.1)
        self.assertAlmostEqual(work.rates(40.0)[3], 0.2, delta=0.01)

    def test_idle_shards_are_forgotten(self):
        """Guards against memory and reports that grow with each shard that was served before."""
        work = ShardWork()
        work.add(3, 0.02, 0.0)
        self.assertEqual(work.rates(DECAY_S * 20), {})

    def test_split_keeps_the_sum(self):
        """Guards against counting work twice after a key got its own shard."""
        work = ShardWork()
        work.add(3, 0.4, 0.0)
        work.split(3, 256, 0.06, 0.0)
        self.assertAlmostEqual(work.rates(0.0)[256], 0.06)
        self.assertAlmostEqual(sum(work.rates(0.0).values()), 0.1)
        work.split(3, 257, 9.0, 0.0)
        self.assertAlmostEqual(sum(work.rates(0.0).values()), 0.1)


class KeyWorkTest(unittest.TestCase):
    """The hottest keys are detected in bounded memory."""

    def test_hot_key_among_many_is_detected_and_dropped(self):
        """Guards against a hot key that is detected late, and one that stays hot forever."""
        keys = KeyWork(0.0)
        for step in range(4000):
            keys.add(f"key-{step}", 0.001, step / 1000)
            if step % 5 == 0:
                keys.add("viral", 0.01, step / 1000)
        hottest = keys.hottest(4.0)
        self.assertEqual(list(hottest), ["viral"])
        self.assertAlmostEqual(hottest["viral"], 2.0, delta=0.3)
        self.assertEqual(keys.hottest(4.0 + 2 * WINDOW_S), {})

    def test_new_hot_key_is_detected_within_a_window(self):
        """Guards against windows that hide a key that became hot recently."""
        keys = KeyWork(0.0)
        for step in range(100):
            keys.add("old", 0.01, step * 0.1)
        for step in range(20):
            keys.add("new", 0.02, 10.0 + step * 0.1)
        self.assertIn("new", keys.hottest(12.0))

    def test_long_keys_are_left_out(self):
        """Guards against reports and groups whose size grows with the length of keys."""
        keys = KeyWork(0.0)
        keys.add("x" * 5000, 5.0, 1.0)
        self.assertEqual(keys.hottest(1.5), {})


class ReportTableTest(unittest.TestCase):
    """The planner sums up the reports."""

    def setUp(self):
        self.group = assigned_group(member("a"), member("b"))
        self.table = ReportTable(0.0, 2.0)

    def test_waits_for_all_members_or_some_rounds(self):
        """Guards against a new planner that moves shards before their work is reported."""
        self.table.add(LoadReport("a:1", {0: 500_000}), 1.0)
        self.table.update(self.group, 2.0)
        self.assertFalse(self.table.load.complete)
        self.table.update(self.group, 7.0)
        self.assertTrue(self.table.load.complete)
        full_table = ReportTable(0.0, 2.0)
        full_table.add(LoadReport("a:1", {}), 1.0)
        full_table.add(LoadReport("b:1", {}), 1.0)
        full_table.update(self.group, 2.0)
        self.assertTrue(full_table.load.complete)

    def test_reports_expire_and_former_members_do_not_count(self):
        """Guards against counting the work of former members forever."""
        self.table.add(LoadReport("a:1", {0: 500_000}), 1.0)
        self.table.add(LoadReport("gone:1", {1: 500_000}), 1.0)
        self.table.update(self.group, 2.0)
        self.assertEqual(self.table.load.work, {0: 0.5})
        for round_number in range(60):
            self.table.update(self.group, 20.0 + round_number)
        self.assertEqual(self.table.load.work, {})
        self.assertEqual(self.table.load.capacity, {})

    def test_restored_work_is_used_until_it_is_reported(self):
        """Guards against a new planner without work by shard, or with NaN in it."""
        self.table.restore({0: 0.4, 1: math.nan, 2: -1.0})
        self.table.add(LoadReport("a:1", {0: 400_000}), 1.0)
        self.table.update(self.group, 2.0)
        self.assertEqual(self.table.load.work, {0: 0.4})

    @_QUICK
    @given(st.dictionaries(st.integers(0, 2000), st.integers(0, 1 << 62), max_size=20))
    def test_excessive_reports_are_bounded_by_slots(self, work):
        """Guards against a report that outweighs those of all other members."""
        self.table = ReportTable(0.0, 2.0)
        self.table.add(LoadReport("a:1", work, {"k": max(work.values(), default=0)}), 1.0)
        self.table.update(self.group, 2.0)
        self.assertLessEqual(sum(self.table.load.work.values()), 12.001)
        self.assertTrue(set(self.table.load.work) < set(range(len(self.group.shards))))

    def test_report_on_the_wire(self):
        """Guards against large reports, and reports with NaN or negative work."""
        idle = FrameEncoder().encode(LoadReport("depot-12:1796373518507", {}, {}, 2**63, 1.0))
        self.assertLess(len(idle), 150)
        busy = LoadReport(
            "depot-12:1796373518507",
            {shard: 250_000 for shard in range(16)},
            {f"motif-{number:08d}": 60_000 for number in range(12)},
            2**63,
        )
        self.assertLess(len(FrameEncoder().encode(busy)), 600)
        kind = msgpack.unpackb(idle)[0]
        deflate = zlib.compressobj(1, zlib.DEFLATED, -14)
        for invalid_work in (math.nan, -1, 0.5):
            with self.assertRaises(MalformedMessageError):
                content = msgpack.packb({"member_id": "a", "work": {0: invalid_work}})
                content = deflate.compress(content) + deflate.flush(zlib.Z_FULL_FLUSH)
                list(FrameDecoder().feed(msgpack.packb([kind, content, b""])))


class SplitTest(unittest.TestCase):
    """The work of a split key moves to its new shard."""

    def test_split_takes_effect_before_the_next_report(self):
        """Guards against a planner that accounts for a split key one round too late."""
        group = assigned_group(member("a"), member("b"))
        table = ReportTable(0.0, 2.0)
        table.add(LoadReport("a:1", {5: 900_000}, {"viral": 700_000}), 1.0)
        table.update(group, 2.0)
        table.split(5, 64, "viral")
        self.assertAlmostEqual(table.load.work[64], 0.7)
        self.assertAlmostEqual(table.load.work[5], 0.2)
        self.assertEqual(replace(table.load, work={}).hot_keys, {"viral": 0.7})
