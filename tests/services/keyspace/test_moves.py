"""Changes of key ranges."""

import unittest
from dataclasses import replace

from fescueward.messages import Group, MemberState
from fescueward.messages.group import LAST_KEY, KeyRange
from fescueward.services.keyspace import moves
from tests.services.groups_for_tests import joined, member


def group_of(*names: str) -> Group:
    """Returns a group whose keys are divided among members of these names."""
    group = joined(Group("depot", 0, 1), *(member(name) for name in names))
    return moves.assigned(group)


class Invariants(unittest.TestCase):
    def check(self, group: Group) -> None:
        """Checks that each key lies in one range, with an owner that is a member."""
        expected = 0
        for found in group.ranges:
            self.assertEqual(found.first, expected)
            self.assertLessEqual(found.first, found.last)
            self.assertLessEqual(found.epoch, group.fence)
            if found.owner is not None:
                self.assertIn(found.owner, group.members)
            expected = found.last + 1
        self.assertEqual(expected, LAST_KEY + 1)

    def widths(self, group: Group) -> dict[str, int]:
        found: dict[str, int] = {}
        for part in group.ranges:
            found[part.owner] = found.get(part.owner, 0) + part.width
        return found


class AssignTest(Invariants):
    def test_first_keys_are_divided_evenly(self):
        """Guards against gaps, overlaps and members without keys."""
        group = group_of("a", "b", "c")
        self.check(group)
        for width in self.widths(group).values():
            self.assertAlmostEqual(width, (LAST_KEY + 1) / 3, delta=moves._LEAST_WIDTH)

    def test_keys_of_a_lost_member_get_a_higher_epoch(self):
        """Guards against a new owner whose grant an old one could outlast."""
        group = group_of("a", "b", "c")
        fence = group.fence
        after = moves.without_members(group, frozenset({"b:1"}))
        self.check(after)
        self.assertNotIn("b:1", self.widths(after))
        for found in after.ranges:
            before = group.range_of(found.first)
            if before.owner == "b:1":
                self.assertGreater(found.epoch, fence)
            else:
                self.assertEqual((found.owner, found.epoch), (before.owner, before.epoch))

    def test_loss_of_the_owner_gives_the_range_to_its_successor(self):
        """Guards against a third member that gets keys which the successor may hold."""
        group = group_of("a", "b", "c")
        ranges = moves.cut(group.ranges, 0, 99, lambda one: replace(one, successor="c:1"))
        after = moves.without_members(moves.with_ranges(group, ranges), frozenset({"a:1"}))
        self.check(after)
        self.assertEqual(after.range_of(50).owner, "c:1")

    def test_keys_wait_when_nobody_is_left(self):
        """Guards against keys that stay with a lost member, and a crash on the last loss."""
        after = moves.without_members(group_of("a"), frozenset({"a:1"}))
        self.assertEqual([found.owner for found in after.ranges], [None])
        rejoined = moves.assigned(joined(after, member("b")))
        self.assertEqual(self.widths(rejoined), {"b:1": LAST_KEY + 1})

    def test_restart_on_the_same_vm_keeps_the_ranges(self):
        """Guards against keys that move to other servers because an agent restarted."""
        group = group_of("a", "b")
        group = joined(group, member("a", incarnation=2))
        after = moves.inherit(group, frozenset({"a:1"}), "a:2")
        self.assertEqual(
            {(found.first, found.last) for found in after.ranges if found.owner == "a:2"},
            {(found.first, found.last) for found in group.ranges if found.owner == "a:1"},
        )
        for found in after.ranges:
            if found.owner == "a:2":
                self.assertGreater(found.epoch, group.fence)

    def test_new_start_of_an_upstream_gets_higher_epochs(self):
        """Guards against a grant of an upstream's earlier life that counts for its next one."""
        group = group_of("a", "b")
        after = moves.with_raised_epochs(group, "a:1")
        for found in after.ranges:
            changed = found.epoch > group.fence
            self.assertEqual(changed, found.owner == "a:1")


class HandoverTest(Invariants):
    def leaving(self) -> Group:
        group = group_of("a", "b", "c")
        state = replace(group.members["a:1"], state=MemberState.LEAVING)
        return moves.vacated(replace(group, members={**group.members, "a:1": state}), "a:1")

    def test_departure_names_successors_for_all_keys(self):
        """Guards against keys that nobody serves once a server has left."""
        group = self.leaving()
        self.check(group)
        for found in group.ranges:
            if found.owner == "a:1":
                self.assertIn(found.successor, {"b:1", "c:1"})

    def test_released_ranges_go_to_their_successors_with_the_token(self):
        """Guards against cold keys after a planned move, and an epoch that does not grow."""
        group = self.leaving()
        going = [found for found in group.ranges if found.owner == "a:1"]
        tokens = {(one.first, one.last, one.epoch): f"t{one.first}" for one in going}
        after = moves.handed_over(group, tokens, "a:1")
        self.check(after)
        for one in going:
            found = after.range_of(one.first)
            self.assertEqual(found.owner, one.successor)
            self.assertEqual(found.handover, f"t{one.first}")
            self.assertGreater(found.epoch, group.fence)

    def test_handover_to_a_lost_successor_keeps_the_owner(self):
        """Guards against keys without an owner when the successor is lost during the release."""
        group = self.leaving()
        going = [one for one in group.ranges if one.owner == "a:1" and one.successor == "b:1"]
        tokens = {(one.first, one.last, one.epoch): "t" for one in going}
        after = moves.handed_over(moves.without_members(group, frozenset({"b:1"})), tokens, "a:1")
        for one in going:
            found = after.range_of(one.first)
            self.assertEqual(found.owner, "a:1")
            self.assertGreater(found.epoch, one.epoch)

    def test_late_handover_changes_nothing(self):
        """Guards against a handover that takes keys back from a later owner."""
        group = group_of("a", "b")
        self.assertEqual(moves.handed_over(group, {(0, 9, 1): "t"}, "a:1"), group)


class CutTest(unittest.TestCase):
    def test_cut_divides_and_merge_joins(self):
        """Guards against ranges that multiply although nothing distinguishes them."""
        whole = (KeyRange(0, 99, "a"),)
        parts = moves.cut(whole, 10, 19, lambda one: replace(one, successor="b"))
        self.assertEqual([(one.first, one.last) for one in parts], [(0, 9), (10, 19), (20, 99)])
        again = moves.cut(parts, 10, 19, lambda one: replace(one, successor=None))
        self.assertEqual(moves.merged(again), whole)


class LevelledTest(Invariants):
    """Shares of members that hold no keys."""

    def shares(self, group: Group) -> dict[str, int]:
        found = dict.fromkeys(group.members, 0)
        for part in group.ranges:
            found[part.successor or part.owner] += part.width
        return found

    def grown(self, before: int, after: int) -> tuple[Group, Group]:
        old = group_of(*(f"a{number:02}" for number in range(before)))
        new = joined(old, *(member(f"b{number:02}") for number in range(after - before)))
        return new, moves.levelled(new, frozenset(new.members))

    def test_new_members_get_their_shares_together(self):
        """Guards against servers that joined and serve nobody while others refuse requests."""
        for before, after in ((2, 3), (16, 17), (16, 40), (40, 56), (1, 40), (400, 401)):
            with self.subTest(before=before, after=after):
                _, group = self.grown(before, after)
                self.check(group)
                for width in self.shares(group).values():
                    self.assertGreaterEqual(width, moves.KEYS / after * 0.7)

    def test_keys_in_handover_stay(self):
        """Guards against a successor that is replaced while it may be the owner already."""
        before, once = self.grown(4, 6)
        again = joined(once, member("c"))
        twice = moves.levelled(again, frozenset(again.members))
        for found in once.ranges:
            if found.successor is not None:
                self.assertEqual(twice.range_of(found.first), found)
        for part in twice.ranges:
            was = before.range_of(part.first)
            self.assertEqual((part.owner, part.epoch), (was.owner, was.epoch))

    def test_result_is_complete(self):
        """Guards against an edit that moves more keys when its lost answer is read back."""
        _, group = self.grown(16, 40)
        self.assertEqual(moves.levelled(group, frozenset(group.members)), group)

    def test_members_out_of_reach_are_left_alone(self):
        """Guards against keys on their way from or to a member that is cut off."""
        old, _ = self.grown(4, 6)
        group = moves.levelled(old, frozenset(old.members) - {"a00:1", "b00:1"})
        moving = [found for found in group.ranges if found.successor]
        self.assertEqual({found.successor for found in moving}, {"b01:1"})
        self.assertNotIn("a00:1", {found.owner for found in moving})
