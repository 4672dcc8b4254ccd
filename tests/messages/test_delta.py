"""Tests of deltas between two versions of a group or of the configuration."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from fescueward.messages import Group, RecordedCrashes, Shard, VersionedGroup
from fescueward.messages.configuration import (
    CallerLimits,
    Configuration,
    Route,
    ServiceSpec,
    Target,
    VersionedConfiguration,
)
from fescueward.messages.delta import GroupDelta, configuration_delta, group_delta
from fescueward.messages.frames import FrameDecoder, FrameEncoder
from fescueward.messages.group import LAST_KEY, KeyRange
from fescueward.messages.peer import Publish

from ..services.groups_for_tests import member, with_added_members


def random_ranges(rng: random.Random, count: int) -> tuple[KeyRange, ...]:
    """Divides all keys into ranges with random widths, owners and epochs."""
    first_keys = sorted({0, *rng.sample(range(1, LAST_KEY), count - 1)})
    last_keys = [*(first - 1 for first in first_keys[1:]), LAST_KEY]
    return tuple(
        KeyRange(first, last, f"m{rng.randrange(5)}:1", rng.randrange(3))
        for first, last in zip(first_keys, last_keys, strict=True)
    )


def group_of_size(size: int) -> Group:
    return with_added_members(
        Group("depot", 0, 2, {}, (Shard("m0:1", 1), Shard("m1:1", 1))),
        *(member(f"m{number}") for number in range(size)),
    )


class CountingRanges(tuple[KeyRange, ...]):
    """Ranges that count the reads of single ones; a slice counts as one."""

    reads = 0

    def __getitem__(self, index):
        self.reads += 1
        return super().__getitem__(index)

    def __iter__(self):
        self.reads += len(self)
        return super().__iter__()


class GroupDeltaTest(unittest.TestCase):
    def test_change_leads_to_the_newer_version(self):
        """Guards against deltas after which a key has two owners, or none, on an agent."""
        for seed in range(300):
            rng = random.Random(seed)
            before = replace(group_of_size(6), ranges=random_ranges(rng, rng.randint(1, 40)))
            unchanged_count = rng.randrange(len(before.ranges))
            new_ranges = random_ranges(rng, rng.randint(1, 40))
            unchanged = tuple(key_range for key_range in before.ranges[:unchanged_count])
            first = unchanged[-1].last + 1 if unchanged else 0
            replaced = tuple(
                replace(key_range, first=max(key_range.first, first))
                for key_range in new_ranges
                if key_range.last >= first
            )
            after = replace(
                before,
                members={**before.members, "m7:1": member("m7")},
                shards=(before.shards[0], Shard("m2:1", 2)),
                ranges=(*unchanged, *replaced),
                fence=seed,
                edit_id=f"edit-{seed}",
                recovery=1,
            )
            del after.members[f"m{rng.randrange(6)}:1"]
            base, newer = VersionedGroup(3, before), VersionedGroup(9, after)
            with self.subTest(seed=seed):
                delta = group_delta(base, newer)
                self.assertIsInstance(delta, GroupDelta)
                self.assertEqual(delta.apply_to(base), newer)

    def test_changed_departures(self):
        """Guards against an agent that does not learn of a departure, or keeps a removed one."""
        before = replace(group_of_size(2), departures={"i1": 1, "i2": 2, "i3": 3})
        after = replace(before, departures={"i2": 9, "i3": 3, "i4": 4})
        base, newer = VersionedGroup(3, before), VersionedGroup(4, after)
        delta = group_delta(base, newer)
        self.assertEqual(
            (delta.departures, delta.removed_departures), ({"i2": 9, "i4": 4}, ("i1",))
        )
        self.assertEqual(delta.apply_to(base), newer)

    def test_changed_records_of_crashes(self):
        """Guards against a request that is quarantined at some agents only."""
        first, second = RecordedCrashes((("a:1", 1),), 5), RecordedCrashes((("a:1", 2),), 6)
        before = replace(group_of_size(2), crashes={1: first, 2**64 - 1: first})
        after = replace(before, crashes={2**64 - 1: second, 3: first})
        base, newer = VersionedGroup(3, before), VersionedGroup(4, after)
        frame = FrameEncoder().encode(Publish(deltas=(group_delta(base, newer),)))
        (message,) = FrameDecoder().feed(frame)
        self.assertEqual(message.deltas[0].apply_to(base), newer)

    def test_change_of_one_range_reads_few_others(self):
        """Guards against processor time of each version that grows with the number of ranges."""
        ranges = CountingRanges(random_ranges(random.Random(1), 1000))
        before = replace(group_of_size(6), ranges=ranges)
        changed = replace(ranges[500], owner="m0:1", epoch=9)
        base = VersionedGroup(3, before)
        delta = GroupDelta("depot", 0, base=3, version=4, ranges=(changed,))
        ranges.reads = 0
        newer = delta.apply_to(base)
        self.assertLessEqual(ranges.reads, 40)
        self.assertEqual(newer.group.ranges, (*ranges[:500], changed, *ranges[501:]))
        self.assertIs(newer.group.members, before.members)

    def test_change_of_another_version_is_not_applied(self):
        """Guards against a delta that is applied to another version than its base."""
        base = VersionedGroup(3, group_of_size(2))
        delta = group_delta(base, VersionedGroup(5, group_of_size(3)))
        self.assertIsNone(delta.apply_to(replace(base, version=4)))
        other_group = replace(base, group=replace(base.group, service="orders"))
        self.assertIsNone(delta.apply_to(other_group))

    def test_whole_group_is_needed_for_other_changes(self):
        """Guards against agents that keep removed exceptions or ranges after a delta."""
        group = replace(group_of_size(2), ranges=random_ranges(random.Random(1), 3))
        base = VersionedGroup(3, group)
        for changed in (
            replace(group, exceptions={"k": 1}),
            replace(group, shard_count=4),
            replace(group, shards=(*group.shards, Shard())),
            replace(group, ranges=()),
        ):
            self.assertIsNone(group_delta(base, VersionedGroup(4, changed)))

    def test_change_takes_few_bytes(self):
        """Guards against a change of one member that sends a whole large group to each agent."""
        group = replace(group_of_size(39), ranges=random_ranges(random.Random(1), 120))
        base, encoder, decoder = VersionedGroup(1, group), FrameEncoder(), FrameDecoder()
        list(decoder.feed(encoder.encode(Publish(groups=(base,)))))
        changed = replace(group.members["m7:1"], stamp=5)
        newer = VersionedGroup(2, replace(group, members={**group.members, "m7:1": changed}))
        frame = encoder.encode(Publish(deltas=(group_delta(base, newer),)))
        self.assertLess(len(frame), 500)
        (message,) = decoder.feed(frame)
        self.assertEqual(message.deltas[0].apply_to(base), newer)


def routes(*names: str, prefix: str = "/") -> dict[str, Route]:
    return {
        name: Route(name, "a.example", prefix, True, 3, 4.0, 0.6, 2, (Target("depot"),))
        for name in names
    }


class ConfigurationDeltaTest(unittest.TestCase):
    def test_change_leads_to_the_newer_version(self):
        """Guards against an agent that keeps a removed or outdated route or service."""
        current = Configuration(1, routes("a", "b", "c"), {"depot": ServiceSpec("depot")})
        base = VersionedConfiguration(3, current)
        for configuration in (
            Configuration(2, routes("a", "b", "c", "d"), current.services),
            Configuration(2, routes("c"), current.services, CallerLimits(body_bytes=5)),
            Configuration(2, routes("a", "b", "c", prefix="/x/"), {"orders": ServiceSpec("x")}),
            Configuration(2, {}, {"depot": ServiceSpec("depot", keyed=True)}),
        ):
            newer = VersionedConfiguration(4, configuration)
            delta = configuration_delta(base, newer)
            if configuration.services.keys() == {"orders"}:
                # This service is listed under another name than its own.
                self.assertIsNone(delta)
                continue
            applied = delta.apply_to(base)
            self.assertEqual(applied, newer)
            self.assertEqual(list(applied.configuration.routes), list(configuration.routes))
            self.assertIsNone(delta.apply_to(replace(base, version=2)))

    def test_routes_in_another_order_need_the_whole(self):
        """Guards against agents that select different routes for the same requests."""
        base = VersionedConfiguration(3, Configuration(1, routes("a", "b")))
        for names in (("b", "a"), ("c", "b", "a")):
            newer = VersionedConfiguration(4, Configuration(2, routes(*names)))
            self.assertIsNone(configuration_delta(base, newer))

    def test_added_routes_take_their_places_among_the_others(self):
        """Guards against each new route that sends a whole large configuration to each agent.

        The operator's routes are sorted by name. Found by review case 10.
        """
        for seed in range(200):
            rng = random.Random(seed)
            before = sorted(rng.sample(range(60), rng.randint(1, 30)))
            kept = rng.sample(before, rng.randint(0, len(before)))
            after = sorted({*kept, *rng.sample(range(60), rng.randint(0, 30))})
            base = VersionedConfiguration(3, Configuration(1, routes(*map(str, before))))
            newer = VersionedConfiguration(4, Configuration(2, routes(*map(str, after))))
            delta = configuration_delta(base, newer)
            applied = delta.apply_to(base)
            self.assertEqual(applied, newer)
            self.assertEqual(list(applied.configuration.routes), list(newer.configuration.routes))
            self.assertEqual(
                {route.name for route in delta.routes}, set(map(str, set(after) - set(before)))
            )
