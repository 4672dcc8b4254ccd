"""Tests of the placement policies."""

from __future__ import annotations

import math
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from fescueward.interfaces.placement import GroupLoad
from fescueward.messages import Group, MemberState, Shard, Weight
from fescueward.messages.codec import encode_json
from fescueward.messages.group import key_hash
from fescueward.services.placement import imbalance
from fescueward.services.policies import BoundedLoadPolicy, StaticHashPolicy
from fescueward.services.policies.exceptions import MAX_EXCEPTIONS, hash_shard

from .groups_for_tests import (
    SHARDS,
    assigned_group,
    counts,
    entry,
    joined,
    member,
    owners,
    run_rebalance_rounds,
    violated_invariants,
    with_completed_handovers,
)

_NAMES = "abcdefghijklmnop"
_QUICK = settings(derandomize=True, max_examples=60, deadline=None, database=None)
_WORK = st.one_of(
    st.floats(0, 3), st.sampled_from([math.nan, math.inf, -1.0, 1e300]), st.just(0.0)
)
_KEYS = [f"key-{number}" for number in range(90)]
_LOADS = st.builds(
    GroupLoad,
    st.dictionaries(st.integers(-2, SHARDS + 70), _WORK, max_size=50),
    st.dictionaries(st.sampled_from(_KEYS), _WORK, max_size=30),
    st.dictionaries(st.sampled_from([f"{name}:1" for name in _NAMES]), _WORK, max_size=6),
)
_WEIGHTS = st.sampled_from(list(Weight))


class PolicyPropertyTest(unittest.TestCase):
    """Rules that hold for every load, also for one with invalid values."""

    @_QUICK
    @given(st.integers(1, 7), st.lists(_LOADS, min_size=1, max_size=6), _WEIGHTS, st.booleans())
    def test_rounds_keep_the_rules(self, count, loads, weight, hand_over):
        """Guards against a round that gives a key two owners or lowers an epoch."""
        group = assigned_group(*(member(name) for name in _NAMES[:count]))
        for load in loads:
            after = BoundedLoadPolicy().rebalance(group, load, entry(weight))
            self.assertEqual(violated_invariants(group, after), [])
            group = with_completed_handovers(after) if hand_over else after

    @_QUICK
    @given(st.integers(1, 7), st.integers(0, 7), _LOADS, _LOADS)
    def test_loss_leaves_nothing_at_lost_members(self, count, lost_count, before, during):
        """Guards against shards that a lost member keeps, or whose epoch does not rise."""
        group = assigned_group(*(member(name) for name in _NAMES[:count]))
        group = run_rebalance_rounds(group, before, 2)
        group = BoundedLoadPolicy().rebalance(group, during, entry())
        lost = frozenset(f"{name}:1" for name in _NAMES[: min(lost_count, count)])
        after = BoundedLoadPolicy().assign(group, lost, during, entry())
        for old, new in zip(group.shards, after.shards, strict=True):
            self.assertNotIn(new.owner, lost)
            self.assertNotIn(new.successor, lost)
            if new.owner != old.owner and new.owner is not None:
                self.assertGreater(new.epoch, old.epoch)
        if after.members:
            self.assertNotIn(None, owners(after))

    @_QUICK
    @given(st.integers(1, 7), _LOADS)
    def test_leaving_member_names_successors(self, count, load):
        """Guards against shards that stay with a member that leaves."""
        group = assigned_group(*(member(name) for name in _NAMES[:count]))
        leaving = replace(group.members["a:1"], state=MemberState.LEAVING)
        marked = replace(group, members={**group.members, "a:1": leaving})
        after = BoundedLoadPolicy().drain_member(marked, "a:1", load, entry())
        self.assertEqual(violated_invariants(group, after), [])
        for old, new in zip(group.shards, after.shards, strict=True):
            if old.owner != "a:1":
                self.assertEqual(new, old)
            elif count > 1:
                self.assertNotIn(new.successor, (None, "a:1"))


class BoundedLoadTest(unittest.TestCase):
    """Moves of the policy `bounded-load`."""

    def test_idle_service_spreads_by_slots(self):
        """Guards against a division by zero and uneven placement without measured work."""
        group = assigned_group(member("a"))
        group = joined(group, member("b"), member("c", slots=12))
        shard_counts = counts(run_rebalance_rounds(group, GroupLoad(), 6))
        self.assertAlmostEqual(shard_counts["c:1"], SHARDS / 2, delta=3)
        self.assertAlmostEqual(shard_counts["a:1"], SHARDS / 4, delta=3)

    def test_skewed_work_is_balanced_and_then_stable(self):
        """Guards against a balance by count alone, and against oscillation."""
        work = {shard: 3.0 / (shard + 4) for shard in range(SHARDS)}
        load = GroupLoad(work)
        for weight, goal in ((Weight.UNAVAILABILITY, 1.10), (Weight.CHURN, 1.21)):
            with self.subTest(weight=weight):
                group = assigned_group(*(member(name) for name in "abcd"))
                group = run_rebalance_rounds(group, load, 20, entry(weight))
                self.assertLess(imbalance(group, load), goal)
                unchanged = BoundedLoadPolicy().rebalance(group, load, entry(weight))
                self.assertEqual(unchanged, group)

    def test_small_imbalance_moves_nothing(self):
        """Guards against moves that are caused by measurement noise."""
        group = assigned_group(*(member(name) for name in "abcd"))
        load = GroupLoad(dict.fromkeys(range(SHARDS), 0.05))
        for weight in Weight:
            stable = run_rebalance_rounds(group, load, 20, entry(weight))
            noisy = GroupLoad(
                {shard: 0.05 + 0.002 * (shard % 3) for shard in range(SHARDS)}, {}, {}
            )
            self.assertEqual(BoundedLoadPolicy().rebalance(stable, noisy, entry(weight)), stable)

    def test_churn_entries_move_later_and_less(self):
        """Guards against a weight of the entry that has no effect."""
        group = assigned_group(*(member(name) for name in "abcd"))
        shards_of_a = [shard for shard, owner in enumerate(owners(group)) if owner == "a:1"]
        slight = GroupLoad(
            {shard: 0.058 if shard in shards_of_a else 0.05 for shard in range(SHARDS)}
        )
        strong = GroupLoad(
            {shard: 0.2 if shard in shards_of_a else 0.05 for shard in range(SHARDS)}
        )

        def moves(load: GroupLoad, weight: Weight) -> int:
            after = BoundedLoadPolicy().rebalance(group, load, entry(weight))
            return sum(shard.successor is not None for shard in after.shards)

        self.assertGreater(moves(slight, Weight.UNAVAILABILITY), 0)
        self.assertEqual(moves(slight, Weight.CHURN), 0)
        self.assertGreater(moves(strong, Weight.UNAVAILABILITY), moves(strong, Weight.CHURN))

    def test_join_moves_only_to_the_new_member(self):
        """Guards against shards that move between members that were there before."""
        group = run_rebalance_rounds(
            assigned_group(*(member(name) for name in "abcdefg")), GroupLoad(), 5
        )
        load = GroupLoad(dict.fromkeys(range(SHARDS), 0.05))
        after = run_rebalance_rounds(joined(group, member("h")), load, 20)
        moved = [new for old, new in zip(owners(group), owners(after), strict=True) if old != new]
        self.assertEqual(set(moved), {"h:1"})
        self.assertAlmostEqual(len(moved), SHARDS / 8, delta=2)

    def test_leave_moves_only_shards_of_the_lost_member(self):
        """Guards against a loss that reshuffles the shards of others."""
        group = run_rebalance_rounds(
            assigned_group(*(member(name) for name in "abcdefg")), GroupLoad(), 5
        )
        after = BoundedLoadPolicy().assign(group, frozenset({"c:1"}), GroupLoad(), entry())
        for old, new in zip(owners(group), owners(after), strict=True):
            self.assertTrue(old == new or old == "c:1")
        spread = counts(after).values()
        self.assertLessEqual(max(spread) - min(spread), 3)

    def test_returning_server_gets_its_shards_back(self):
        """Guards against a restart that reshuffles keys among all servers."""
        group = run_rebalance_rounds(
            assigned_group(*(member(name) for name in "abcdefgh")), GroupLoad(), 5
        )
        without = BoundedLoadPolicy().assign(group, frozenset({"c:1"}), GroupLoad(), entry())
        after = run_rebalance_rounds(joined(without, member("c", incarnation=2)), GroupLoad(), 20)
        shards_before = {shard for shard, owner in enumerate(owners(group)) if owner == "c:1"}
        shards_after = {shard for shard, owner in enumerate(owners(after)) if owner == "c:2"}
        self.assertGreaterEqual(len(shards_before & shards_after), len(shards_before) // 2)

    def test_restarted_member_replaces_its_old_one(self):
        """Guards against shards that leave a server because its agent was restarted."""
        group = assigned_group(*(member(name) for name in "abcd"))
        both = joined(group, member("c", incarnation=2))
        after = BoundedLoadPolicy().assign(both, frozenset({"c:1"}), GroupLoad(), entry())
        shards_before = {shard for shard, owner in enumerate(owners(group)) if owner == "c:1"}
        self.assertEqual(
            {i for i, owner in enumerate(owners(after)) if owner == "c:2"}, shards_before
        )

    def test_cold_member_is_filled_slowly(self):
        """Guards against a cold server that gets its whole share at once."""
        group = run_rebalance_rounds(
            assigned_group(*(member(name) for name in "abc")), GroupLoad(), 5
        )
        group = joined(group, member("d"))
        work = dict.fromkeys(range(SHARDS), 0.05)
        reported = {f"{name}:1": 1.0 for name in "abc"}
        cold = GroupLoad(work, {}, reported | {"d:1": 0.25})
        warm = GroupLoad(work, {}, reported | {"d:1": 1.0})
        partly = run_rebalance_rounds(group, cold, 20)
        self.assertAlmostEqual(counts(partly)["d:1"], SHARDS / 16, delta=1)
        self.assertAlmostEqual(counts(run_rebalance_rounds(partly, warm, 20))["d:1"], 16, delta=2)
        cold_again = run_rebalance_rounds(run_rebalance_rounds(partly, warm, 20), cold, 5)
        self.assertAlmostEqual(counts(cold_again)["d:1"], 16, delta=2)

    def test_more_members_than_shards(self):
        """Guards against shards that move repeatedly because shares are below one shard."""
        group = Group("depot", 0, 4, {}, (Shard(),) * 4)
        group = joined(group, *(member(name) for name in _NAMES))
        group = BoundedLoadPolicy().assign(group, frozenset(), GroupLoad(), entry())
        stable = run_rebalance_rounds(group, GroupLoad(dict.fromkeys(range(4), 0.5)), 5)
        self.assertEqual(len(set(stable.shards[i].owner for i in range(4))), 4)
        again = run_rebalance_rounds(stable, GroupLoad(dict.fromkeys(range(4), 0.5)), 5)
        self.assertEqual(again, stable)

    def test_loss_of_a_server_without_grants_holds_the_shard(self):
        """Guards against a new owner that starts while the old upstream may still run."""
        group = assigned_group(member("a", checks_grants=False), member("b"))
        after = BoundedLoadPolicy().assign(group, frozenset({"a:1"}), GroupLoad(), entry())
        for old, new in zip(group.shards, after.shards, strict=True):
            self.assertEqual(new.hold_ms, 10_000 if old.owner == "a:1" else 0)


class HotKeyTest(unittest.TestCase):
    """Exceptions of hot keys."""

    def setUp(self):
        members = (member(name) for name in "abcd")
        self.group = run_rebalance_rounds(assigned_group(*members), GroupLoad(), 5)
        self.work = dict.fromkeys(range(SHARDS), 0.05)

    def _hot(self, group: Group, key: str, work: float, more: dict[int, float]) -> GroupLoad:
        shard = group.exceptions.get(key, hash_shard(group, key, 1))
        return GroupLoad({**self.work, **more, shard: work + 0.05}, {key: work})

    def test_hot_key_gets_capacity(self):
        """Guards against a hot key that keeps slowing the other keys of its member."""
        group = self.group
        for _ in range(12):
            load = self._hot(group, "viral", 2.0, {})
            group = with_completed_handovers(BoundedLoadPolicy().rebalance(group, load, entry()))
        shard = group.shards[group.exceptions["viral"]]
        other_work = sum(
            self.work[i] for i, owner in enumerate(owners(group)) if owner == shard.owner
        )
        self.assertLess(other_work, 0.25)

    def test_cool_key_stays_where_it_is(self):
        """Guards against a needless move back."""
        group = BoundedLoadPolicy().rebalance(
            self.group, self._hot(self.group, "viral", 1.0, {}), entry()
        )
        stable = run_rebalance_rounds(group, GroupLoad(self.work), 10)
        self.assertEqual(stable.exceptions, group.exceptions)

    def test_full_table_frees_slots_one_at_a_time(self):
        """Guards against more than 64 exceptions, and a slot reused at an old epoch."""
        group = self.group
        for number in range(100):
            load = GroupLoad(self.work, {f"key-{number}": 0.5})
            for _ in range(5):
                after = BoundedLoadPolicy().rebalance(group, load, entry())
                self.assertEqual(violated_invariants(group, after), [])
                group = with_completed_handovers(after)
            self.assertIn(f"key-{number}", group.exceptions)
        self.assertEqual(len(group.exceptions), MAX_EXCEPTIONS)
        self.assertEqual(len(group.shards), SHARDS + MAX_EXCEPTIONS)
        self.assertLess(len(encode_json(group)), 40_000)

    def test_creation_and_dissolution_share_no_write(self):
        """Guards against an exception whose epoch is not above that of its raised hash shard."""
        names = (f"other-{number}" for number in range(10_000))
        hot_key = next(name for name in names if hash_shard(self.group, name, 1) == 5)
        cool_key = next(
            name
            for name in (f"cool-{number}" for number in range(10_000))
            if hash_shard(self.group, name, 1) == 5
        )
        group = self.group
        for key in (cool_key, *(f"key-{number}" for number in range(MAX_EXCEPTIONS - 2))):
            group = BoundedLoadPolicy().rebalance(group, GroupLoad({}, {key: 0.5}), entry())
        self.assertEqual(len(group.exceptions), MAX_EXCEPTIONS - 1)
        load = GroupLoad(
            {group.exceptions[key]: 0.01 for key in group.exceptions if key != cool_key},
            {hot_key: 0.9, "more": 0.8},
        )
        after = BoundedLoadPolicy().rebalance(group, load, entry())
        self.assertIn(hot_key, after.exceptions)
        self.assertEqual(violated_invariants(group, after), [])

    def test_shards_that_wait_get_no_exception(self):
        """Guards against a key that runs on its new shard while its hash shard still waits."""
        shard_id = key_hash("viral") % SHARDS
        for waiting in (Shard("a:1", 5, "b:1"), Shard("a:1", 5, None, 10_000), Shard(None, 5)):
            shards = list(self.group.shards)
            shards[shard_id] = waiting
            group = replace(self.group, shards=tuple(shards))
            load = GroupLoad(self.work, {"viral": 2.0})
            after = BoundedLoadPolicy().rebalance(group, load, entry())
            self.assertEqual(after.exceptions, {})

    def test_long_keys_get_no_exception(self):
        """Guards against a group object that grows with the length of keys."""
        load = GroupLoad(self.work, {"x" * 201: 2.0, "": 2.0})
        after = BoundedLoadPolicy().rebalance(self.group, load, entry())
        self.assertEqual(after.exceptions, {})


class StaticHashTest(unittest.TestCase):
    """The baseline of the benchmarks."""

    def test_ignores_work(self):
        """Guards against a baseline that balances measured work."""
        group = joined(Group("depot", 0, SHARDS, {}, (Shard(),) * SHARDS), member("a"))
        policy = StaticHashPolicy()
        group = policy.assign(joined(group, member("b")), frozenset(), GroupLoad(), entry())
        load = GroupLoad({0: 5.0}, {"viral": 2.0})
        self.assertEqual(policy.rebalance(group, load, entry()), group)
        after = policy.rebalance(joined(group, member("c")), GroupLoad(), entry())
        self.assertEqual({shard.successor for shard in after.shards}, {None, "c:1"})
