"""Tests of moves for hot keys, for lasting speeds, and of the return of cold ranges."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

from fescueward.kernel import Kernel
from fescueward.messages import Group
from fescueward.messages.peer import RangeLoad
from fescueward.services.keyspace import moves
from fescueward.services.keyspace.moves import BLOCK_KEYS
from fescueward.services.keyspace.placement import RangePlacement
from fescueward.services.keyspace.rebalancing import rebalanced
from fescueward.services.keyspace.shares import evened
from tests.services.groups_for_tests import member, with_added_members

RUN_MS = 180.0
SLOTS = 6


def group_of(count: int) -> Group:
    members = (replace(member(f"a{number:02}"), slots=SLOTS) for number in range(count))
    return moves.assigned(with_added_members(Group("depot", 0, 1), *members))


def report(
    name: str,
    utilisation: float,
    work: dict[int, float] | None = None,
    factor: float = 1.0,
    lasting: float | None = None,
) -> RangeLoad:
    return RangeLoad(
        f"{name}:1",
        utilisation,
        work or {},
        run_ms=RUN_MS * factor,
        lasting_utilisation=lasting,
    )


def moving(group: Group) -> list[tuple[int, int, str, str]]:
    return [
        (each.first, each.width, each.owner, each.successor)
        for each in group.ranges
        if each.successor
    ]


class HotKeysTest(unittest.TestCase):
    def test_hot_neighbours_go_to_members_with_room_in_few_parts(self):
        """Guards against dozens of single blocks, and against slow members that get most."""
        group = group_of(20)
        # 200 keys, 250 requests per second.
        work = dict.fromkeys(range(20, 45), 10 * RUN_MS / 1000)
        reports = {"a00:1": report("a00", 7.5, work)}
        for number in range(1, 20):
            factor = 0.5 if number % 2 else 1.6
            reports[f"a{number:02}:1"] = report(f"a{number:02}", 0.15, factor=factor)
        moved = moving(rebalanced(group, reports))
        self.assertLessEqual(len(moved), 15)
        self.assertGreaterEqual(sum(width for _, width, _, _ in moved), 20 * BLOCK_KEYS)
        self.assertTrue(all(int(target[1:3]) % 2 for _, _, _, target in moved))

    def test_other_keys_leave_the_owner_of_a_key_that_no_member_can_carry(self):
        """Guards against a move of the key that only moves the overload with it."""
        group = group_of(4)
        reports = {f"a{number:02}:1": report(f"a{number:02}", 0.2) for number in range(4)}
        reports["a00:1"] = report("a00", 2.7, {20: 80 * RUN_MS / 1000})
        planned = rebalanced(group, reports)
        self.assertIsNone(planned.range_of(20 * BLOCK_KEYS).successor)
        moved_keys = sum(width for _, width, owner, _ in moving(planned) if owner == "a00:1")
        self.assertGreater(moved_keys, 0.9 * group.ranges[0].width)

    def test_single_requests_move_no_block(self):
        """Guards against moves of cold blocks whose only request of the second was just run."""
        work = {block: RUN_MS / 1000 for block in range(0, 400, 9)}
        reports = {"a00:1": report("a00", 1.5, work), "a01:1": report("a01", 0.2)}
        group = group_of(2)
        self.assertEqual(rebalanced(group, reports), group)


class LastingSpeedTest(unittest.TestCase):
    def reports(self, lasting_of_slow: float | None) -> dict[str, RangeLoad]:
        reports = {
            f"a{number:02}:1": report(f"a{number:02}", 0.3, factor=0.7, lasting=0.3)
            for number in range(4)
        }
        reports["a02:1"] = report("a02", 1.2, factor=1.6, lasting=lasting_of_slow)
        return reports

    def test_slow_member_gives_one_wide_part_to_a_faster_one(self):
        """The ranges of uneven servers were cut into hundreds of pieces of 8 keys."""
        group = group_of(4)
        (moved,) = moving(evened(group, self.reports(0.7)))
        _, width, owner, _ = moved
        self.assertEqual(owner, "a02:1")
        share = width / (65_536 / 4)
        self.assertGreater(share, 0.3)
        self.assertLess(share, 0.6)

    def test_member_that_takes_little_gets_little(self):
        """Guards against a cold or limited upstream that gets the share of all of its slots."""
        reports = self.reports(0.7)
        for name in ("a00", "a01", "a03"):
            reports[f"{name}:1"] = replace(reports[f"{name}:1"], usable_slots=0.6)
        moved = moving(evened(group_of(4), reports))
        self.assertLess(sum(width for _, width, _, _ in moved), 0.2 * 65_536 / 4)

    def test_passing_load_moves_no_keys(self):
        """Guards against moves for a member that is slow for some tenths of a second."""
        group = group_of(4)
        for lasting in (None, 0.38):
            self.assertEqual(evened(group, self.reports(lasting)), group)


class ColdRangesTest(unittest.TestCase):
    def test_ranges_return_after_seconds_without_work(self):
        """Guards against hot blocks that move back and forth in a spell with short pauses."""
        group = group_of(2)
        ranges = moves.change_keys(
            group.ranges, 800, 807, lambda part: replace(part, owner="a01:1", epoch=5)
        )
        group = moves.with_ranges(group, ranges, 5)
        placement = RangePlacement(Kernel())
        now = 100.0
        placement._clock = SimpleNamespace(now=lambda: now)
        hot = {"a00:1": report("a00", 0.3), "a01:1": report("a01", 0.3, {100: 0.5})}
        cold = {**hot, "a01:1": report("a01", 0.3)}
        for reports, seconds in ((cold, 3.0), (hot, 1.0), (cold, 3.6)):
            for _ in range(round(seconds / 0.4)):
                self.assertIsNone(placement._planned_moves(group, reports))
                now += 0.4
        now += 0.8
        planned = placement._planned_moves(group, cold)
        self.assertEqual([each[:1] for each in moving(planned)], [(800,)])
