"""Tests of the ranges that leave an evacuated failure domain."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from fescueward.messages import Group, MemberState
from fescueward.messages.group import LAST_KEY, KeyRange
from fescueward.messages.peer import RangeLoad
from fescueward.services.keyspace import moves
from fescueward.services.keyspace.evacuees import with_evacuees_moved
from fescueward.services.keyspace.placement import consolidated, rebalanced
from tests.services.groups_for_tests import member, with_added_members

_EVACUATED = frozenset({"d0"})


@st.composite
def groups(draw) -> Group:
    """Returns a group with members of three domains, and ranges of any owners and successors."""
    count = draw(st.integers(1, 9))
    members = [
        replace(
            member(f"m{number}", slots=draw(st.integers(1, 8))),
            failure_domain=f"d{draw(st.integers(0, 2))}",
            state=draw(st.sampled_from((MemberState.ACTIVE, MemberState.LEAVING))),
        )
        for number in range(count)
    ]
    ids = [each.id for each in members]
    cuts = sorted(draw(st.sets(st.integers(1, LAST_KEY), max_size=12)))
    ranges = []
    for first, end in zip([0, *cuts], [*cuts, LAST_KEY + 1], strict=True):
        owner = draw(st.sampled_from((None, *ids)))
        others = [None, *(id_ for id_ in ids if id_ != owner)] if owner else [None]
        ranges.append(
            KeyRange(first, end - 1, owner, draw(st.integers(1, 5)), draw(st.sampled_from(others)))
        )
    group = Group("depot", 0, 1, ranges=draw(st.sampled_from((tuple(ranges), ()))), fence=5)
    return with_added_members(group, *members)


@st.composite
def reports(draw, group: Group) -> dict[str, RangeLoad]:
    known = draw(st.sets(st.sampled_from(sorted(group.members))))
    return {
        id_: RangeLoad(
            id_,
            draw(st.floats(0, 2)),
            draw(st.dictionaries(st.integers(0, LAST_KEY // 8), st.floats(0, 3), max_size=5)),
        )
        for id_ in known
    }


def holder(key_range: KeyRange) -> str | None:
    return key_range.successor or key_range.owner


class NoTargetTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(st.data())
    def test_no_path_gives_keys_to_an_evacuated_domain(self, data):
        """Guards against keys that are handed to the domain that they have to leave."""
        group = data.draw(groups())
        load = data.draw(reports(group))
        lost = frozenset(data.draw(st.sets(st.sampled_from(sorted(group.members)))))
        leaving = data.draw(st.sampled_from(sorted(group.members)))
        paths = {
            "assigned": moves.assigned(group, _EVACUATED),
            "lost": moves.without_members(group, lost, _EVACUATED),
            "leaving": moves.with_successors(group, leaving, _EVACUATED),
            "new": moves.with_new_member_shares(group, load, evacuated=_EVACUATED),
            "evacuated": with_evacuees_moved(group, _EVACUATED, load),
        }
        if group.ranges:
            still = {
                id_: report
                for id_, report in load.items()
                if all(id_ not in (r.owner, r.successor) for r in group.ranges if r.successor)
            }
            paths["rebalanced"] = rebalanced(group, still, _EVACUATED)
            paths["consolidated"] = consolidated(group, still, evacuated=_EVACUATED)
        for path, after in paths.items():
            expected = 0
            for part in after.ranges:
                self.assertEqual(part.first, expected, path)
                expected = part.last + 1
                before = group.range_of(part.first)
                if before is None or part.owner != before.owner:
                    self.assertFalse(moves.is_evacuated(after, part.owner, _EVACUATED), path)
                if not moves.is_evacuated(after, holder(part), _EVACUATED):
                    continue
                self.assertIsNotNone(before, path)
                # It keeps what it had or was to get, until an evacuation round moves it.
                self.assertIn(holder(part), (before.owner, before.successor), path)

    @settings(max_examples=200, deadline=None)
    @given(st.data())
    def test_rounds_empty_the_domain_and_change_no_owner(self, data):
        """Guards against ranges that no round moves, and a second owner of a key."""
        group = data.draw(groups())
        load = data.draw(reports(group))
        after = group
        for _ in range(8):
            after = with_evacuees_moved(after, _EVACUATED, load)
        may_move = bool(moves.active_members(group, _EVACUATED))
        for part in after.ranges:
            before = group.range_of(part.first)
            self.assertEqual(part.owner, before.owner)
            if may_move and moves.is_evacuated(group, before.successor, _EVACUATED):
                # The handover is cancelled, and its owner may be granted the keys again.
                self.assertGreater(part.epoch, group.fence)
            else:
                self.assertEqual(part.epoch, before.epoch)
        if may_move:
            for part in after.ranges:
                self.assertFalse(moves.is_evacuated(after, holder(part), _EVACUATED))
        else:
            self.assertEqual(after, group)


class OrderTest(unittest.TestCase):
    def test_hot_ranges_go_first_and_to_the_members_with_most_room(self):
        """Guards against hot keys that wait for cold ones, or go to the busiest member."""
        members = [replace(member(f"e{n}"), failure_domain="d0") for n in range(4)]
        members += [replace(member(name), failure_domain="d1") for name in ("busy", "idle")]
        count = 64
        width = (LAST_KEY + 1) // count
        ranges = tuple(
            KeyRange(n * width, (n + 1) * width - 1, f"e{n % 4}:1", 1) for n in range(count)
        )
        group = with_added_members(Group("depot", 0, 1, ranges=ranges, fence=1), *members)
        hot = 50
        work = {f"e{hot % 4}:1": {hot * width // moves.BLOCK_KEYS: 3.0}}
        load = {
            each.id: RangeLoad(each.id, 0.9 if each.name == "busy" else 0.1, work.get(each.id, {}))
            for each in members
        }
        after = with_evacuees_moved(group, _EVACUATED, load)
        self.assertEqual(after.range_of(hot * width).successor, "idle:1")
        moving = [part for part in after.ranges if part.successor is not None]
        self.assertLess(sum(part.width for part in moving), LAST_KEY)
