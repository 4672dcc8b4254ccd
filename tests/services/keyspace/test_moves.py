"""Tests of the functions that change key ranges."""

import unittest
from dataclasses import replace

from fescueward.messages import Group, MemberState
from fescueward.messages.group import LAST_KEY, KeyRange
from fescueward.services.keyspace import moves
from fescueward.services.keyspace.evacuees import with_evacuees_moved
from tests.services.groups_for_tests import member, with_added_members


def group_of(*names: str) -> Group:
    """Returns a group whose keys are distributed among members with these names."""
    group = with_added_members(Group("depot", 0, 1), *(member(name) for name in names))
    return moves.assigned(group)


class Invariants(unittest.TestCase):
    def check(self, group: Group) -> None:
        """Checks that each key is in exactly one range, whose owner is a member if it has one."""
        expected = 0
        for key_range in group.ranges:
            self.assertEqual(key_range.first, expected)
            self.assertLessEqual(key_range.first, key_range.last)
            self.assertLessEqual(key_range.epoch, group.fence)
            if key_range.owner is not None:
                self.assertIn(key_range.owner, group.members)
            expected = key_range.last + 1
        self.assertEqual(expected, LAST_KEY + 1)

    def widths(self, group: Group) -> dict[str, int]:
        widths: dict[str, int] = {}
        for part in group.ranges:
            widths[part.owner] = widths.get(part.owner, 0) + part.width
        return widths


class AssignTest(Invariants):
    def test_first_keys_are_divided_evenly(self):
        """Guards against gaps, overlaps and members without keys at the first assignment."""
        group = group_of("a", "b", "c")
        self.check(group)
        for width in self.widths(group).values():
            self.assertAlmostEqual(width, (LAST_KEY + 1) / 3, delta=moves._MIN_PART_KEYS)

    def test_keys_of_a_lost_member_get_a_higher_epoch(self):
        """Guards against a new owner whose epoch does not fence off the earlier owner."""
        group = group_of("a", "b", "c")
        fence = group.fence
        after = moves.without_members(group, frozenset({"b:1"}))
        self.check(after)
        self.assertNotIn("b:1", self.widths(after))
        for key_range in after.ranges:
            before = group.range_of(key_range.first)
            if before.owner == "b:1":
                self.assertGreater(key_range.epoch, fence)
            else:
                self.assertEqual((key_range.owner, key_range.epoch), (before.owner, before.epoch))

    def test_loss_of_the_owner_gives_the_range_to_its_successor(self):
        """Guards against a third member that gets keys which the successor may already own."""
        group = group_of("a", "b", "c")
        ranges = moves.change_keys(
            group.ranges, 0, 99, lambda key_range: replace(key_range, successor="c:1")
        )
        after = moves.without_members(moves.with_ranges(group, ranges), frozenset({"a:1"}))
        self.check(after)
        self.assertEqual(after.range_of(50).owner, "c:1")

    def test_keys_wait_when_nobody_is_left(self):
        """Guards against keys that stay with a lost member, and a crash when no member is left."""
        after = moves.without_members(group_of("a"), frozenset({"a:1"}))
        self.assertEqual([key_range.owner for key_range in after.ranges], [None])
        rejoined = moves.assigned(with_added_members(after, member("b")))
        self.assertEqual(self.widths(rejoined), {"b:1": LAST_KEY + 1})

    def test_restart_on_the_same_vm_keeps_the_ranges(self):
        """Guards against keys that move to other members because an agent was restarted."""
        group = group_of("a", "b")
        group = with_added_members(group, member("a", incarnation=2))
        after = moves.with_transferred_ranges(group, frozenset({"a:1"}), "a:2")
        self.assertEqual(
            {
                (key_range.first, key_range.last)
                for key_range in after.ranges
                if key_range.owner == "a:2"
            },
            {
                (key_range.first, key_range.last)
                for key_range in group.ranges
                if key_range.owner == "a:1"
            },
        )
        for key_range in after.ranges:
            if key_range.owner == "a:2":
                self.assertGreater(key_range.epoch, group.fence)

    def test_new_start_of_an_upstream_gets_higher_epochs(self):
        """Guards against a grant to an earlier start of an upstream that is valid for the next."""
        group = group_of("a", "b")
        after = moves.with_raised_epochs(group, "a:1")
        for key_range in after.ranges:
            changed = key_range.epoch > group.fence
            self.assertEqual(changed, key_range.owner == "a:1")


class HandoverTest(Invariants):
    def leaving(self) -> Group:
        group = group_of("a", "b", "c")
        state = replace(group.members["a:1"], state=MemberState.LEAVING)
        return moves.with_successors(
            replace(group, members={**group.members, "a:1": state}), "a:1"
        )

    def test_departure_names_successors_for_all_keys(self):
        """Guards against keys that are not served once a member has left."""
        group = self.leaving()
        self.check(group)
        for key_range in group.ranges:
            if key_range.owner == "a:1":
                self.assertIn(key_range.successor, {"b:1", "c:1"})

    def test_released_ranges_go_to_their_successors_with_the_token(self):
        """Guards against cold keys after a planned move, and an epoch that is not raised."""
        group = self.leaving()
        leaving_ranges = [key_range for key_range in group.ranges if key_range.owner == "a:1"]
        tokens = {
            (old_range.first, old_range.last, old_range.epoch): f"t{old_range.first}"
            for old_range in leaving_ranges
        }
        after = moves.handed_over(group, tokens, "a:1")
        self.check(after)
        for old_range in leaving_ranges:
            key_range = after.range_of(old_range.first)
            self.assertEqual(key_range.owner, old_range.successor)
            self.assertEqual(key_range.handover, f"t{old_range.first}")
            self.assertGreater(key_range.epoch, group.fence)

    def test_handover_to_a_lost_successor_keeps_the_owner(self):
        """Guards against keys without an owner if the successor is lost during the release."""
        group = self.leaving()
        leaving_ranges = [
            old_range
            for old_range in group.ranges
            if old_range.owner == "a:1" and old_range.successor == "b:1"
        ]
        tokens = {
            (old_range.first, old_range.last, old_range.epoch): "t" for old_range in leaving_ranges
        }
        after = moves.handed_over(moves.without_members(group, frozenset({"b:1"})), tokens, "a:1")
        for old_range in leaving_ranges:
            new_range = after.range_of(old_range.first)
            self.assertEqual(new_range.owner, "a:1")
            self.assertGreater(new_range.epoch, old_range.epoch)

    def test_confirmation_of_a_cancelled_handover_ends_no_later_one(self):
        """Guards against keys that are handed over while their owner works on them again."""
        for cancel in (
            lambda group: moves.without_members(group, frozenset({"b:1"})),
            lambda group: moves.with_successors(group, "b:1"),
            lambda group: with_evacuees_moved(group, frozenset({"evacuated"}), {}),
        ):
            group = group_of("a", "b", "c")
            first, last = next(
                (part.first, part.last) for part in group.ranges if part.owner == "a:1"
            )
            evacuated = replace(group.members["b:1"], failure_domain="evacuated")
            group = group.with_member(evacuated)
            leaving = self.with_successor(group, first, last, "b:1")
            released = leaving.range_of(first)
            later = self.with_successor(cancel(leaving), first, last, "c:1")
            token = {(released.first, released.last, released.epoch): "t"}
            self.assertEqual(moves.handed_over(later, token, "a:1"), later)

    def with_successor(self, group: Group, first: int, last: int, successor_id: str) -> Group:
        ranges = moves.change_keys(
            group.ranges, first, last, lambda part: replace(part, successor=successor_id)
        )
        return moves.with_ranges(group, ranges)

    def test_late_handover_changes_nothing(self):
        """Guards against a late handover that takes keys from a later owner."""
        group = group_of("a", "b")
        self.assertEqual(moves.handed_over(group, {(0, 9, 1): "t"}, "a:1"), group)


class ChangeKeysTest(unittest.TestCase):
    def test_change_splits_and_merge_joins(self):
        """Guards against a growing number of ranges that differ only in their bounds."""
        whole = (KeyRange(0, 99, "a"),)
        parts = moves.change_keys(whole, 10, 19, lambda part: replace(part, successor="b"))
        self.assertEqual([(part.first, part.last) for part in parts], [(0, 9), (10, 19), (20, 99)])
        again = moves.change_keys(parts, 10, 19, lambda part: replace(part, successor=None))
        self.assertEqual(moves.merged(again), whole)


class NewMemberSharesTest(Invariants):
    """Tests of the shares of members that own no keys yet."""

    def shares(self, group: Group) -> dict[str, int]:
        widths = dict.fromkeys(group.members, 0)
        for part in group.ranges:
            widths[part.successor or part.owner] += part.width
        return widths

    def grown(self, before: int, after: int) -> tuple[Group, Group]:
        old = group_of(*(f"a{number:02}" for number in range(before)))
        new = with_added_members(
            old, *(member(f"b{number:02}") for number in range(after - before))
        )
        return new, moves.with_new_member_shares(new, frozenset(new.members))

    def test_new_members_get_their_shares_together(self):
        """Guards against new members without keys while other members refuse requests."""
        for before, after in ((2, 3), (16, 17), (16, 40), (40, 56), (1, 40), (400, 401)):
            with self.subTest(before=before, after=after):
                _, group = self.grown(before, after)
                self.check(group)
                for width in self.shares(group).values():
                    self.assertGreaterEqual(width, moves.KEY_COUNT / after * 0.7)

    def test_cold_member_gets_its_share_as_it_warms(self):
        """Guards against a cold member that gets more keys than its rate bears."""
        old = group_of("a", "b", "c")
        group = with_added_members(old, member("d"))
        full = self.shares(moves.with_new_member_shares(group, group.members))["d:1"]
        cold = moves.with_new_member_shares(group, group.members, {"d:1": 0.2}, {"d:1"})
        self.check(cold)
        self.assertAlmostEqual(self.shares(cold)["d:1"], 0.2 * full, delta=0.03 * full)
        again = moves.with_new_member_shares(cold, group.members, {"d:1": 0.2}, {"d:1"})
        self.assertEqual(again, cold)
        warm = moves.with_new_member_shares(cold, group.members, {}, {"d:1"})
        self.check(warm)
        self.assertGreater(self.shares(warm)["d:1"], 0.9 * full)

    def test_keys_in_handover_stay(self):
        """Guards against a successor that is replaced although it may already be the owner."""
        before, once = self.grown(4, 6)
        again = with_added_members(once, member("c"))
        twice = moves.with_new_member_shares(again, frozenset(again.members))
        for key_range in once.ranges:
            if key_range.successor is not None:
                self.assertEqual(twice.range_of(key_range.first), key_range)
        for part in twice.ranges:
            old_range = before.range_of(part.first)
            self.assertEqual((part.owner, part.epoch), (old_range.owner, old_range.epoch))

    def test_result_is_complete(self):
        """Guards against an edit that moves more keys if repeated after a lost response."""
        _, group = self.grown(16, 40)
        self.assertEqual(moves.with_new_member_shares(group, frozenset(group.members)), group)

    def test_members_out_of_reach_are_left_alone(self):
        """Guards against handovers from or to a member that is unreachable."""
        old, _ = self.grown(4, 6)
        group = moves.with_new_member_shares(old, frozenset(old.members) - {"a00:1", "b00:1"})
        moving = [key_range for key_range in group.ranges if key_range.successor]
        self.assertEqual({key_range.successor for key_range in moving}, {"b01:1"})
        self.assertNotIn("a00:1", {key_range.owner for key_range in moving})
