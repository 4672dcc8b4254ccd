"""Tests of the reading of group objects."""

from __future__ import annotations

import json
import unittest
from contextlib import suppress

import msgspec
from hypothesis import given, settings

from fescueward.kernel.errors import MalformedMessageError
from fescueward.messages import Group
from fescueward.messages.codec import decode_json, encode_json
from fescueward.messages.group import LAST_KEY, KeyRange
from fescueward.messages.group_object import check_group, decode_group
from tests.mutation import damaged_documents

from ..services.groups_for_tests import member, with_added_members

KEY = "groups/depot/0"
RANGES = (
    KeyRange(0, 99, "a:1", 4),
    KeyRange(100, 199, "b:1", 5, successor="a:1"),
    KeyRange(200, LAST_KEY, "a:1", 4),
)
GROUP = with_added_members(
    Group("depot", 0, 1, ranges=RANGES, fence=5), member("a"), member("b"), member("idle")
)
DOCUMENT = json.loads(encode_json(GROUP))


def decode_with(**values: object) -> Group:
    return decode_group(KEY, json.dumps({**DOCUMENT, **values}).encode())


def ranges_of(*bounds: tuple[int, int]) -> list[dict[str, object]]:
    return [{"first": first, "last": last, "owner": "a:1", "epoch": 4} for first, last in bounds]


class GroupObjectTest(unittest.TestCase):
    """A group is used by every agent, so each reads it in the same way or refuses it."""

    def test_inconsistent_groups_are_refused(self):
        """Guards against a key that has two owners, or none, because of another program's edit."""
        damages = {
            "gap": {"ranges": ranges_of((0, 99), (101, LAST_KEY))},
            "overlap": {"ranges": ranges_of((0, 99), (99, LAST_KEY))},
            "unsorted": {"ranges": ranges_of((100, LAST_KEY), (0, 99))},
            "short": {"ranges": ranges_of((0, 99))},
            "late": {"ranges": ranges_of((1, LAST_KEY))},
            "reversed": {"ranges": ranges_of((0, 99), (100, 50), (51, LAST_KEY))},
            "exception": {"exceptions": {"k": 7}},
            "large epoch": {"ranges": [{**ranges_of((0, LAST_KEY))[0], "epoch": 2**63}]},
            "large fence": {"fence": 10**30},
            "large recovery": {"recovery": 10**30},
            "no shard": {"shard_count": 0},
            "other group": {"number": 1},
            "owner": {"members": {**DOCUMENT["members"], "a:1": {"id": "a:1"}}},
            "members": {"members": [1]},
        }
        self.assertEqual(decode_with(), GROUP)
        for name, values in damages.items():
            with self.subTest(name), self.assertRaises(MalformedMessageError):
                decode_with(**values)

    def test_odd_member_hides_no_other(self):
        """Guards against a group that no agent can use because of one member without keys."""
        idle = DOCUMENT["members"]["idle:1"]
        for odd in (
            {**idle, "peer_port": 70_000},
            {**idle, "caller_port": 10**30},
            {**idle, "stamp": 10**30},
            {**idle, "name": 7},
            {**idle, "id": "other:1"},
            {},
            None,
            [],
        ):
            with self.subTest(odd=odd):
                group = decode_with(members={**DOCUMENT["members"], "idle:1": odd})
                self.assertEqual(set(group.members), {"a:1", "b:1"})
                self.assertEqual(group.ranges, RANGES)

    @settings(max_examples=300, deadline=None)
    @given(damaged_documents(DOCUMENT))
    def test_damaged_group_is_refused_or_readable_by_all(self, document):
        """Guards against a group that one agent accepts and passes on, and that others cannot use.

        A number over 64 bits ended the task that published the group, and with it the agent.
        """
        with suppress(MalformedMessageError):
            group = decode_group(KEY, json.dumps(document).encode())
            check_group(group)
            self.assertEqual(decode_json(encode_json(group), Group), group)
            packed = msgspec.msgpack.encode(group)
            self.assertEqual(msgspec.msgpack.decode(packed, type=Group), group)
