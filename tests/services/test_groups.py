"""Tests of edits, versions and watchers of the group object."""

from __future__ import annotations

import unittest
from dataclasses import replace

from fescueward.kernel.errors import OutcomeUnknownError, PlatformError, PlatformUnavailableError
from fescueward.messages import VersionedGroup

from .fleet import HOME
from .test_recovery_time import formed
from .timed_fakes import Answers


class EditTest(unittest.TestCase):
    def setUp(self):
        self.fleet = formed(3, 3)
        self.agent = self.fleet.agents["a0"]
        self.results = []

    def _edit(self, key: str, before=lambda: None) -> None:
        groups = self.agent.groups

        def change(group):
            if key in group.exceptions:
                return None
            before()
            return replace(group, exceptions={**group.exceptions, key: 0})

        async def edit() -> None:
            try:
                self.results.append(await groups.edit(HOME, change))
            except PlatformError as error:
                self.results.append(error)

        self.agent.spawn(edit)

    def test_concurrent_edits_are_both_made(self):
        """Guards against an edit that overwrites another one."""
        for name, agent in self.fleet.agents.items():
            self.agent = agent
            self._edit(name)
        self.fleet.world.advance(0.5)
        self.assertEqual(set(self.fleet.group().exceptions), set(self.fleet.agents))
        self.assertEqual(len(self.results), 3)

    def test_lost_answer_is_read_back(self):
        """Guards against an edit that is made twice or reported as failed."""
        self.agent.platform.write_answers = Answers.LOST
        before = self.fleet.platform.revision
        self._edit("k")
        self.fleet.world.advance(1.5)
        self.assertIsInstance(self.results[0], VersionedGroup)
        self.assertEqual(self.fleet.platform.revision, before + 1)

    def test_edit_that_cannot_be_read_back_is_unknown(self):
        """Guards against an edit that is reported as not made and takes effect."""

        def lose() -> None:
            self.agent.platform.answers = Answers.LOST

        self._edit("k", before=lose)
        self.fleet.world.advance(4)
        self.assertIsInstance(self.results[0], OutcomeUnknownError)
        self.assertIn("k", self.fleet.group().exceptions)

    def test_edit_without_platform_is_not_made(self):
        """Guards against an edit of unknown outcome although no write was sent."""
        self.agent.platform.answers = Answers.REFUSED
        self._edit("k")
        self.fleet.world.advance(2)
        self.assertIsInstance(self.results[0], PlatformUnavailableError)


class VersionTest(unittest.TestCase):
    def test_older_versions_are_ignored(self):
        """Guards against a delayed message that brings back an old owner."""
        fleet = formed(3, 3)
        agent = fleet.agents["a0"]
        view = agent.groups.view(HOME)
        old = VersionedGroup(view.version - 1, replace(view.group, members={}))
        same = VersionedGroup(view.version, replace(view.group, members={}))
        self.assertEqual([agent.groups.observe(old), agent.groups.observe(same)], [False, False])
        self.assertEqual(agent.groups.view(HOME), view)
        self.assertTrue(fleet.served())


class WatcherTest(unittest.TestCase):
    def _watchers(self, fleet) -> list[str]:
        return [name for name, agent in fleet.agents.items() if agent.groups._is_watcher()]

    def test_silent_watchers_are_replaced(self):
        """Guards against a group that learns of no change while its watchers are lost."""
        fleet = formed(6, 3)
        watchers = self._watchers(fleet)
        self.assertEqual(len(watchers), 2)
        for name in watchers:
            fleet.agents[name].platform.answers = Answers.SILENT
        fleet.world.advance(30)
        others = set(self._watchers(fleet)) - set(watchers)
        self.assertEqual(len(others), 2)
