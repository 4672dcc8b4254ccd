"""Tests of the responses to members that fetch a group."""

import unittest
from dataclasses import replace

from fescueward.messages import Group, GroupId, VersionedGroup
from fescueward.services.groups.history import _VERSIONS_LIMIT, GroupHistory

from ..groups_for_tests import member, with_added_members

GROUP = GroupId("depot", 0)


class GroupHistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = GroupHistory()
        group = with_added_members(Group("depot", 0, 1), member("a"), member("b"))
        self.versions = []
        for version in range(1, 2 * _VERSIONS_LIMIT):
            group = with_added_members(group, replace(member("a"), stamp=version))
            self.versions.append(VersionedGroup(version, group))
            self.history.record(self.versions[-1])

    def test_delta_from_any_kept_version_gives_the_newest(self):
        """Guards against members that stay behind, or that end at a version that never was."""
        for base in self.versions[-_VERSIONS_LIMIT:-1]:
            (delta,) = self.history.changes_since(GROUP, base.version).deltas
            self.assertEqual(delta.apply_to(base), self.versions[-1])

    def test_version_that_is_not_kept_gets_the_whole_group(self):
        """Guards against a history that grows with the age of the fleet."""
        for version in (0, 1, self.versions[-_VERSIONS_LIMIT - 1].version):
            message = self.history.changes_since(GROUP, version)
            self.assertEqual((message.groups, message.deltas), ((self.versions[-1],), ()))

    def test_message_changes_with_the_newest_version(self):
        """Guards against a response that leaves out the newest version."""
        base = self.versions[-2]
        self.history.changes_since(GROUP, base.version)
        changed = with_added_members(base.group, replace(member("b"), stamp=7))
        newest = VersionedGroup(self.versions[-1].version + 1, changed)
        self.history.record(newest)
        (delta,) = self.history.changes_since(GROUP, base.version).deltas
        self.assertEqual(delta.apply_to(base), newest)
