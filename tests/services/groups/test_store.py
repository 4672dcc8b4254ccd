"""Tests of edits, versions and watchers of the group object."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

from fescueward.interfaces import StoredObject
from fescueward.kernel import BootClock, Kernel
from fescueward.kernel.errors import (
    InvalidRequestError,
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailableError,
    UnknownServiceError,
)
from fescueward.messages import Group, GroupId, VersionedGroup
from fescueward.messages.codec import encode_json
from fescueward.messages.configuration import (
    CONFIGURATION_KEY,
    Configuration,
    Route,
    Target,
    VersionedConfiguration,
)
from fescueward.messages.frames import FrameEncoder
from fescueward.messages.peer import Fetch, Publish, Versions, WatchStatus
from fescueward.services.groups import GroupStore
from fescueward.services.routing.routes import RouteTable
from fescueward.testing.waiting import wait_until

from ..fakes import CLOCK, StubRegistry
from ..fleet import HOME
from ..groups_for_tests import joined, member
from ..test_recovery_time import formed
from ..timed_fakes import Answers


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

    def __init__(self, *open_ids: str, dialled: tuple[str, ...] = ()) -> None:
        self.open_ids = set(open_ids)
        self.dialled_ids = dialled
        self.sent: list[tuple[str, object]] = []

    def on(self, kind: type, handler) -> None:
        """Does nothing: the tests call the handlers themselves."""

    def send(self, target, message: object) -> bool:
        if target.id in self.open_ids:
            self.sent.append((target.id, message))
        return target.id in self.open_ids

    def unreachable(self, target) -> bool:
        return target.id not in (*self.open_ids, *self.dialled_ids)

    def reply(self, sender: str, message: object) -> bool:
        self.sent.append((sender, message))
        return True


class DirectoryTest(unittest.IsolatedAsyncioTestCase):
    """What agents tell an agent that was restarted while the platform is away."""

    def store(
        self, member_id: str, peers: RecordingPeers, home: GroupId | None = None
    ) -> GroupStore:
        self.routes = RouteTable()
        store = GroupStore(Kernel(), fleet_wide=True)
        store.bind(
            StubRegistry(
                clock=BootClock(),
                platform=None,
                catalogue=None,
                peers=peers,
                membership=SimpleNamespace(
                    home=home,
                    member_id=member_id,
                    me=lambda: home and store.view(home).group.members.get(member_id),
                ),
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

    async def test_member_that_is_being_dialled_gets_no_second_stream(self):
        """Guards against watchers that hold two streams to each agent of the fleet."""
        peers = RecordingPeers("b:0", dialled=("b:1",))
        store = self.store("w:1", peers)
        store._send_status({"b:1": member("b")}, WatchStatus("w:1", True, Versions(0, 5)))
        self.assertEqual(peers.sent, [])

    async def test_few_agents_inform_a_restarted_one_in_an_outage(self):
        """Guards against a restarted agent that nobody tells while the platform is away for all.

        Found by tests/integration/test_site.py: only watchers whose own watch works told it.
        """
        members = {f"m{number}:1": member(f"m{number}") for number in range(9)}
        told = {
            name: set(self.store(name, RecordingPeers())._told_in_outage(members))
            for name in (*members, "m3:2")
        }
        for name in members:
            tellers = [one for one in members if name in told[one]]
            self.assertEqual((len(tellers), name in tellers), (4, False))
        self.assertEqual(told["m3:2"], told["m3:1"])
        pair = {name: members[name] for name in ("m0:1", "m1:1")}
        store = self.store("m1:1", RecordingPeers())
        self.assertEqual(set(store._told_in_outage(pair)), {"m0:1"})

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

    async def test_agent_that_has_not_joined_publishes_nothing(self):
        """Guards against a start at which all agents send each change to all others."""
        home = GroupId("depot", 0)
        group = joined(Group("depot", 0, 1), member("b"), member("c"))
        configuration = Configuration(2, {}, {})
        objects = (
            StoredObject(home.object_key, 3, encode_json(group)),
            StoredObject(CONFIGURATION_KEY, 4, encode_json(configuration)),
        )
        for agent, told in (("n", []), ("b", ["c:1"])):
            with self.subTest(agent=agent):
                peers = RecordingPeers("b:1", "c:1")
                store = self.store(f"{agent}:1", peers, home)
                store._listening_since = store._clock.now()
                for stored in objects:
                    store._observe_fleet_object(stored)
                await asyncio.sleep(0.01)
                self.assertEqual([target for target, _ in peers.sent], told * len(objects))
                self.assertEqual(store.view(home), VersionedGroup(3, group))
                self.assertEqual(self.routes.current, VersionedConfiguration(4, configuration))

    async def test_writer_tells_what_it_changed(self):
        """Guards against a copy of a large group to the whole fleet for each write."""
        home = GroupId("depot", 0)
        base = VersionedGroup(3, joined(Group("depot", 0, 1), member("b"), member("c")))
        changed = joined(base.group, replace(member("b"), stamp=1))
        writer_peers = RecordingPeers("c:1")
        writer = self.store("b:1", writer_peers, home)
        writer._views[home] = base
        writer._platform = SimpleNamespace(put=mock.AsyncMock(return_value=4))
        written = await writer.write(base, changed)
        await wait_until(lambda: writer_peers.sent, 2, "the fleet is told")
        ((target, message),) = writer_peers.sent
        self.assertEqual((target, message.groups), ("c:1", ()))

        up_to_date = self.store("c:1", RecordingPeers(), home)
        up_to_date.observe(base)
        up_to_date._on_publish("b:1", message)
        self.assertEqual(up_to_date.view(home), written)

        peers = RecordingPeers()
        behind = self.store("d:1", peers, home)
        behind.observe(replace(base, version=2))
        behind._on_publish("b:1", message)
        self.assertEqual(peers.sent, [("b:1", Fetch("depot", 0, 2))])
        writer._on_fetch("d:1", peers.sent[0][1])
        behind._on_publish(*writer_peers.sent[-1])
        self.assertEqual(behind.view(home), written)

    async def test_writer_tells_the_watchers_only(self):
        """Guards against streams and messages from each agent to each other agent."""
        home = GroupId("depot", 0)
        members = [member(name) for name in "abcde"]
        base = VersionedGroup(3, joined(Group("depot", 0, 1), *members))
        ids = tuple(base.group.members)
        changed = joined(base.group, replace(member("d"), stamp=1))
        without_e = replace(changed, members={**changed.members})
        del without_e.members["e:1"]
        for case, group, open_ids, told in (
            ("a change", changed, ids, ["a:1", "b:1"]),
            ("a removal concerns all", without_e, ids, ["a:1", "b:1", "c:1"]),
            ("a lost watcher", changed, ids[1:], ["a:1", "b:1", "c:1", "e:1"]),
        ):
            with self.subTest(case):
                peers = RecordingPeers(*open_ids)
                writer = self.store("d:1", peers, home)
                writer._listening_since = writer._clock.now()
                writer.observe(base)
                writer._platform = SimpleNamespace(put=mock.AsyncMock(return_value=4))
                await writer.write(base, group)
                await asyncio.sleep(0.1)
                self.assertEqual(sorted(target for target, _ in peers.sent), told)

    async def test_first_watcher_brings_versions_to_all(self):
        """Guards against members that never learn of a version, and against one copy of each."""
        home = GroupId("depot", 0)
        base = VersionedGroup(3, joined(Group("depot", 0, 1), *(member(name) for name in "abc")))
        newer = VersionedGroup(5, joined(base.group, replace(member("c"), stamp=2)))
        newest = VersionedGroup(6, joined(newer.group, replace(member("b"), stamp=2)))
        for agent, told in (("a", ["b:1", "c:1"]), ("b", [])):
            with self.subTest(agent=agent):
                peers = RecordingPeers("a:1", "b:1", "c:1")
                store = self.store(f"{agent}:1", peers, home)
                store._listening_since = store._clock.now()
                store._views[home] = base
                for version in (newer, newest):
                    store._on_publish("c:1", Publish(groups=(version,)))
                await asyncio.sleep(0.1)
                self.assertEqual([target for target, _ in peers.sent], told)
                for _, message in peers.sent:
                    (delta,) = message.deltas
                    self.assertEqual(delta.apply_to(base), newest)

    async def test_agent_that_joins_late_is_no_watcher(self):
        """Guards against each agent that joins sending each version to the whole fleet.

        Watchers tell members only, so all of them seemed silent to an agent that joined more than
        three seconds after its start.
        """
        home = GroupId("depot", 0)
        group = joined(Group("depot", 0, 1), *(member(name) for name in "abc"))
        store = self.store("d:1", RecordingPeers("a:1", "b:1", "c:1"), home)
        store._listening_since = store._clock.now() - 10
        store.observe(VersionedGroup(3, group))
        store.observe(VersionedGroup(4, joined(group, member("d"))))
        self.assertFalse(store._is_watcher())
        with mock.patch.object(store, "_clock", SimpleNamespace(now=lambda: CLOCK.now() + 5)):
            self.assertTrue(store._is_watcher())

    async def test_watcher_tells_what_changed_of_the_configuration(self):
        """Guards against a copy of 1,000 routes to the whole fleet for the change of one."""
        home = GroupId("depot", 0)
        group = VersionedGroup(3, joined(Group("depot", 0, 1), member("b"), member("c")))
        many = {
            f"r{number}": Route(
                f"r{number}", "a.example", f"/{number}/", True, 3, 4.0, 0.6, 2, (Target("depot"),)
            )
            for number in range(1000)
        }
        base = VersionedConfiguration(4, Configuration(1, many))
        fewer = {name: route for name, route in many.items() if name != "r7"}
        changed = Configuration(2, fewer)
        peers = RecordingPeers("c:1")
        watcher = self.store("b:1", peers, home)
        watcher._views[home] = group
        self.routes.observe(base)
        stored = StoredObject(CONFIGURATION_KEY, 5, encode_json(changed))
        watcher._observe_fleet_object(stored)
        ((_, message),) = peers.sent
        self.assertLess(len(FrameEncoder().encode(message)), 200)

        up_to_date = self.store("c:1", RecordingPeers(), home)
        self.routes.observe(base)
        up_to_date._on_publish("b:1", message)
        self.assertEqual(self.routes.current, VersionedConfiguration(5, changed))

        told = RecordingPeers()
        behind = self.store("d:1", told, home)
        behind._on_publish("b:1", message)
        self.assertEqual(told.sent, [("b:1", Fetch(objects={}))])
        self.assertIsNone(self.routes.current)

    async def test_versions_on_their_way_are_not_fetched(self):
        """Guards against a copy of each group with each renewal while a group changes."""
        home = GroupId("depot", 0)
        old = VersionedGroup(3, joined(Group("depot", 0, 1), member("b"), member("c")))
        new = VersionedGroup(4, joined(old.group, replace(member("c"), stamp=2)))
        lost = Versions(0, 5)
        peers = RecordingPeers("c:1")
        store = self.store("b:1", peers, home)
        other = self.store("c:1", RecordingPeers(), home)
        store._views[home] = old
        other._views[home] = new
        store.compare(member("c"), other.versions())
        store.observe(new)
        await asyncio.sleep(0.3)
        store.compare(member("c"), self.store_at(old).versions())
        await asyncio.sleep(0.3)
        self.assertEqual([sent for _, sent in peers.sent if isinstance(sent, Fetch)], [])
        store.compare(member("c"), lost)
        await wait_until(lambda: isinstance(peers.sent[-1][1], Fetch), 2, "the rest is fetched")

    def store_at(self, view: VersionedGroup) -> GroupStore:
        store = self.store("d:1", RecordingPeers(), view.group.id)
        store._views[view.group.id] = view
        return store
