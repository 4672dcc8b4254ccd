"""Tests of edits, versions and watchers of the group object."""

from __future__ import annotations

import unittest
from dataclasses import replace
from types import SimpleNamespace

from fescueward.kernel import BootClock, Kernel
from fescueward.kernel.errors import (
    InvalidRequestError,
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailableError,
    UnknownServiceError,
)
from fescueward.messages import Group, GroupId, VersionedGroup
from fescueward.messages.configuration import Configuration, VersionedConfiguration
from fescueward.messages.peer import Fetch, Publish, Versions, WatchStatus
from fescueward.services.groups import GroupStore
from fescueward.services.routing.routes import RouteTable

from .fakes import StubRegistry
from .fleet import HOME
from .groups_for_tests import joined, member
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

    def test_edits_that_wait_share_a_write(self):
        """Guards against edits of one agent that make each other's writes fail."""
        before = self.fleet.platform.revision
        for key in ("a", "b", "c", "d"):
            self._edit(key)
        self.fleet.world.advance(0.5)
        self.assertEqual(set(self.fleet.group().exceptions), {"a", "b", "c", "d"})
        self.assertLessEqual(self.fleet.platform.revision - before, 2)

    def test_failed_change_fails_its_caller_alone(self):
        """Guards against edits that are lost because they waited beside a faulty one."""

        def fail() -> None:
            raise InvalidRequestError("faulty")

        async def edit_faulty() -> None:
            try:
                await self.agent.groups.edit(HOME, lambda group: fail())
            except InvalidRequestError as error:
                self.results.append(error)

        self._edit("a")
        self.agent.spawn(edit_faulty)
        self._edit("b")
        self.fleet.world.advance(0.5)
        self.assertEqual(set(self.fleet.group().exceptions), {"a", "b"})
        self.assertEqual(sum(isinstance(one, VersionedGroup) for one in self.results), 2)
        self.assertEqual(len(self.results), 3)

    def test_edit_of_an_unknown_service_is_refused(self):
        """Guards against an agent that ends because its service is not known yet."""
        self.fleet.catalogue.current = None
        unknown = GroupId("orders", 0)

        async def edit() -> None:
            try:
                await self.agent.groups.edit(unknown, lambda group: group)
            except UnknownServiceError as error:
                self.results.append(error)

        self.agent.spawn(edit)
        self.fleet.world.advance(0.5)
        self.assertEqual(len(self.results), 1)


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


class RecordingPeers:
    """Keeps what is sent; only streams to the given ids are open."""

    def __init__(self, *open_ids: str) -> None:
        self.open_ids = set(open_ids)
        self.sent: list[tuple[str, object]] = []

    def on(self, kind: type, handler) -> None:
        """Does nothing: the tests call the handlers themselves."""

    def send(self, target, message: object) -> bool:
        if target.id in self.open_ids:
            self.sent.append((target.id, message))
        return target.id in self.open_ids

    def reply(self, sender: str, message: object) -> bool:
        self.sent.append((sender, message))
        return True


class DirectoryTest(unittest.IsolatedAsyncioTestCase):
    """What agents tell an agent that was restarted while the platform is away."""

    def store(self, member_id: str, peers: RecordingPeers) -> GroupStore:
        self.routes = RouteTable()
        store = GroupStore(Kernel(), fleet_wide=True)
        store.bind(
            StubRegistry(
                clock=BootClock(),
                platform=None,
                catalogue=None,
                peers=peers,
                membership=SimpleNamespace(home=None, member_id=member_id, me=lambda: None),
                routes=self.routes,
                settings=SimpleNamespace(platform=SimpleNamespace(watch_ms=1000)),
            )
        )
        return store

    async def test_unknown_incarnation_is_told_by_its_address(self):
        """Guards against a restarted agent that nobody tells anything."""
        peers = RecordingPeers("b:0")
        store = self.store("w:1", peers)
        status = WatchStatus("w:1", True, Versions(0, 5))
        store._send_status({"w:1": member("w"), "b:1": member("b")}, status)
        self.assertEqual(peers.sent, [("b:0", status)])

    async def test_restarted_agent_learns_from_the_others(self):
        """Guards against an agent that serves nobody until the platform is back."""
        peers = RecordingPeers()
        store = self.store("b:2", peers)
        store._on_watch_status("w-seed:1", WatchStatus("w:1", True, Versions(0, 5)))
        self.assertEqual(peers.sent, [("w-seed:1", Fetch(objects={}))])
        self.assertFalse(store.complete)
        group = VersionedGroup(3, joined(Group("depot", 0, 1), member("b")))
        configuration = VersionedConfiguration(2, Configuration(2, {}, {}))
        store._on_publish("w-seed:1", Publish(groups=(group,), configuration=configuration))
        self.assertTrue(store.complete)
        self.assertEqual(store.view(GroupId("depot", 0)), group)
        self.assertEqual(self.routes.current, configuration)
