"""Tests of what differs between two versions of a group."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from fescueward.messages import Group, Shard, VersionedGroup
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

from ..services.groups_for_tests import joined, member


def ranges(shuffled: random.Random, count: int) -> tuple[KeyRange, ...]:
    """Divides all keys into ranges of random widths and owners."""
    firsts = sorted({0, *shuffled.sample(range(1, LAST_KEY), count - 1)})
    ends = [*(first - 1 for first in firsts[1:]), LAST_KEY]
    return tuple(
        KeyRange(first, last, f"m{shuffled.randrange(5)}:1", shuffled.randrange(3))
        for first, last in zip(firsts, ends, strict=True)
    )


def formed(size: int) -> Group:
    return joined(
        Group("depot", 0, 2, {}, (Shard("m0:1", 1), Shard("m1:1", 1))),
        *(member(f"m{number}") for number in range(size)),
    )


class GroupDeltaTest(unittest.TestCase):
    def test_change_leads_to_the_newer_version(self):
        """Guards against a key that has two owners in the view of an agent, or none."""
        for seed in range(300):
            shuffled = random.Random(seed)
            before = replace(formed(6), ranges=ranges(shuffled, shuffled.randint(1, 40)))
            cut = shuffled.randrange(len(before.ranges))
            fresh = ranges(shuffled, shuffled.randint(1, 40))
            kept = tuple(found for found in before.ranges[:cut])
            first = kept[-1].last + 1 if kept else 0
            tail = tuple(
                replace(found, first=max(found.first, first))
                for found in fresh
                if found.last >= first
            )
            after = replace(
                before,
                members={**before.members, "m7:1": member("m7")},
                shards=(before.shards[0], Shard("m2:1", 2)),
                ranges=(*kept, *tail),
                fence=seed,
                edit_id=f"edit-{seed}",
                recovery=1,
            )
            del after.members[f"m{shuffled.randrange(6)}:1"]
            base, newer = VersionedGroup(3, before), VersionedGroup(9, after)
            with self.subTest(seed=seed):
                change = group_delta(base, newer)
                self.assertIsInstance(change, GroupDelta)
                self.assertEqual(change.apply_to(base), newer)

    def test_change_of_another_version_is_not_applied(self):
        """Guards against a change that is applied to a version that it was not made for."""
        base = VersionedGroup(3, formed(2))
        change = group_delta(base, VersionedGroup(5, formed(3)))
        self.assertIsNone(change.apply_to(replace(base, version=4)))
        other = replace(base, group=replace(base.group, service="orders"))
        self.assertIsNone(change.apply_to(other))

    def test_whole_group_is_needed_for_other_changes(self):
        """Guards against agents that keep an exception or ranges that are gone."""
        group = replace(formed(2), ranges=ranges(random.Random(1), 3))
        base = VersionedGroup(3, group)
        for changed in (
            replace(group, exceptions={"k": 1}),
            replace(group, shard_count=4),
            replace(group, shards=(*group.shards, Shard())),
            replace(group, ranges=()),
        ):
            self.assertIsNone(group_delta(base, VersionedGroup(4, changed)))

    def test_change_takes_few_bytes(self):
        """Guards against a copy of a large group to each agent for the change of one member."""
        group = replace(formed(39), ranges=ranges(random.Random(1), 120))
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
        """Guards against an agent that keeps a route or service that is gone or has changed."""
        held = Configuration(1, routes("a", "b", "c"), {"depot": ServiceSpec("depot")})
        base = VersionedConfiguration(3, held)
        for configuration in (
            Configuration(2, routes("a", "b", "c", "d"), held.services),
            Configuration(2, routes("c"), held.services, CallerLimits(body_bytes=5)),
            Configuration(2, routes("a", "b", "c", prefix="/x/"), {"orders": ServiceSpec("x")}),
            Configuration(2, {}, {"depot": ServiceSpec("depot", keyed=True)}),
        ):
            newer = VersionedConfiguration(4, configuration)
            delta = configuration_delta(base, newer)
            if configuration.services.keys() == {"orders"}:
                # The name of a service is not the one that it is listed under.
                self.assertIsNone(delta)
                continue
            applied = delta.apply_to(base)
            self.assertEqual(applied, newer)
            self.assertEqual(list(applied.configuration.routes), list(configuration.routes))
            self.assertIsNone(delta.apply_to(replace(base, version=2)))

    def test_routes_in_another_order_need_the_whole(self):
        """Guards against agents that take different routes for the same requests."""
        base = VersionedConfiguration(3, Configuration(1, routes("a", "b")))
        for names in (("b", "a"), ("c", "a", "b")):
            newer = VersionedConfiguration(4, Configuration(2, routes(*names)))
            self.assertIsNone(configuration_delta(base, newer))
