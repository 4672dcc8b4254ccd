"""Tests of edits, versions, watchers and propagation of group objects."""

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
    VersionConflictError,
)
from fescueward.messages import Group, GroupId, VersionedGroup, frames
from fescueward.messages.codec import encode_json
from fescueward.messages.configuration import (
    CONFIGURATION_KEY,
    Configuration,
    Route,
    Target,
    VersionedConfiguration,
)
from fescueward.messages.frames import FrameEncoder
from fescueward.messages.group import LAST_KEY, KeyRange
from fescueward.messages.peer import Fetch, Publish, Versions, WatchStatus
from fescueward.services.groups import GroupStore
from fescueward.services.routing.routes import RouteTable
from fescueward.testing.waiting import wait_until

from ..fakes import CLOCK, StubRegistry
from ..fleet import GROUP_ID
from ..groups_for_tests import member, with_added_members
from ..test_recovery_time import start_fleet
from ..timed_fakes import ResponseMode


class EditTest(unittest.TestCase):
    def setUp(self):
        self.fleet = start_fleet(3, 3)
        self.agent = self.fleet.agents["a0"]
        self.results = []

    def _edit(self, key: str, before_change=lambda: None) -> None:
        groups = self.agent.groups

        def change(group):
            if key in group.exceptions:
                return None
            before_change()
            return replace(group, exceptions={**group.exceptions, key: 0})

        async def edit() -> None:
            try:
                self.results.append(await groups.edit(GROUP_ID, change))
            except PlatformError as error:
                self.results.append(error)

        self.agent.spawn(edit)

    def test_concurrent_edits_are_both_made(self):
        """Guards against concurrent edits that overwrite each other."""
        for name, agent in self.fleet.agents.items():
            self.agent = agent
            self._edit(name)
        self.fleet.world.advance(0.5)
        self.assertEqual(set(self.fleet.group().exceptions), set(self.fleet.agents))
        self.assertEqual(len(self.results), 3)

    def test_lost_answer_is_read_back(self):
        """Guards against an edit that is written twice or fails because its response was lost."""
        self.agent.platform.write_response_mode = ResponseMode.LOST
        before = self.fleet.platform.revision
        self._edit("k")
        self.fleet.world.advance(1.5)
        self.assertIsInstance(self.results[0], VersionedGroup)
        self.assertEqual(self.fleet.platform.revision, before + 1)

    def test_edit_that_cannot_be_read_back_is_unknown(self):
        """Guards against an edit that takes effect although it was reported as not made."""

        def lose_responses() -> None:
            self.agent.platform.response_mode = ResponseMode.LOST

        self._edit("k", before_change=lose_responses)
        self.fleet.world.advance(4)
        self.assertIsInstance(self.results[0], OutcomeUnknownError)
        self.assertIn("k", self.fleet.group().exceptions)

    def test_edit_without_platform_is_not_made(self):
        """Guards against an unknown outcome of an edit whose write was never sent."""
        self.agent.platform.response_mode = ResponseMode.REFUSED
        self._edit("k")
        self.fleet.world.advance(2)
        self.assertIsInstance(self.results[0], PlatformUnavailableError)

    def test_edits_that_wait_share_a_write(self):
        """Guards against version conflicts between concurrent edits of one agent."""
        before = self.fleet.platform.revision
        for key in ("a", "b", "c", "d"):
            self._edit(key)
        self.fleet.world.advance(0.5)
        self.assertEqual(set(self.fleet.group().exceptions), {"a", "b", "c", "d"})
        self.assertLessEqual(self.fleet.platform.revision - before, 2)

    def test_failed_change_fails_its_caller_alone(self):
        """Guards against edits that fail because they share a batch with a faulty one."""

        def fail() -> None:
            raise InvalidRequestError("faulty")

        async def edit_faulty() -> None:
            try:
                await self.agent.groups.edit(GROUP_ID, lambda group: fail())
            except InvalidRequestError as error:
                self.results.append(error)

        self._edit("a")
        self.agent.spawn(edit_faulty)
        self._edit("b")
        self.fleet.world.advance(0.5)
        self.assertEqual(set(self.fleet.group().exceptions), {"a", "b"})
        self.assertEqual(sum(isinstance(result, VersionedGroup) for result in self.results), 2)
        self.assertEqual(len(self.results), 3)

    def test_edit_of_an_unknown_service_is_refused(self):
        """Guards against an agent that stops because its service has no catalogue entry yet."""
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
        """Guards against a delayed message that restores an earlier owner."""
        fleet = start_fleet(3, 3)
        agent = fleet.agents["a0"]
        view = agent.groups.view(GROUP_ID)
        old = VersionedGroup(view.version - 1, replace(view.group, members={}))
        same = VersionedGroup(view.version, replace(view.group, members={}))
        self.assertEqual([agent.groups.observe(old), agent.groups.observe(same)], [False, False])
        self.assertEqual(agent.groups.view(GROUP_ID), view)
        self.assertTrue(fleet.served())


class WatcherTest(unittest.TestCase):
    def _watchers(self, fleet) -> list[str]:
        return [name for name, agent in fleet.agents.items() if agent.groups._duty.is_watcher()]

    def test_unresponsive_watchers_are_replaced(self):
        """Guards against a group that receives no changes while its watchers are cut off."""
        fleet = start_fleet(6, 3)
        watchers = self._watchers(fleet)
        self.assertEqual(len(watchers), 2)
        for name in watchers:
            fleet.agents[name].platform.response_mode = ResponseMode.IGNORED
        fleet.world.advance(30)
        others = set(self._watchers(fleet)) - set(watchers)
        self.assertEqual(len(others), 2)


class RecordingPeers:
    """Records sent messages; only streams to the ids of `open_ids` are open."""

    def __init__(self, *open_ids: str, dialled: tuple[str, ...] = ()) -> None:
        self.open_ids = set(open_ids)
        self.dialled_ids = dialled
        self.sent: list[tuple[str, object]] = []

    def on(self, kind: type, handler) -> None:
        """Registers nothing: the tests call the handlers directly."""

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
    """Propagation in a fleet, also to agents that restart while the platform is unavailable."""

    def store(
        self,
        member_id: str,
        peers: RecordingPeers,
        own_group_id: GroupId | None = None,
        platform: object = None,
    ) -> GroupStore:
        self.routes = RouteTable()
        store = GroupStore(Kernel(), fleet_wide=True)
        store.bind(
            StubRegistry(
                clock=BootClock(),
                platform=platform,
                catalogue=None,
                peers=peers,
                membership=SimpleNamespace(
                    own_group_id=own_group_id,
                    member_id=member_id,
                    own_member=lambda: (
                        own_group_id and store.view(own_group_id).group.members.get(member_id)
                    ),
                ),
                routes=self.routes,
                settings=SimpleNamespace(
                    platform=SimpleNamespace(watch_ms=1000),
                    agent=SimpleNamespace(failure_domain="lowell"),
                ),
            )
        )
        return store

    async def test_edit_that_meets_another_one_reads_nothing(self):
        """Guards against three store calls for an edit where two are enough."""
        own_group = Group("depot", 0, 1)
        newer = VersionedGroup(2, replace(own_group, fence=7))
        platform = mock.AsyncMock()
        platform.put.side_effect = [
            VersionConflictError("newer", version=2, value=encode_json(newer.group)),
            3,
        ]
        store = self.store("a:1", RecordingPeers(), platform=platform)
        store.observe(VersionedGroup(1, own_group))
        written = await store.edit(
            own_group.id, lambda group: replace(group, fence=group.fence + 1)
        )
        self.assertEqual((written.version, written.group.fence), (3, 8))
        platform.get.assert_not_called()

    async def test_malformed_object_of_a_conflict_is_read_again(self):
        """Guards against an edit that is lost because a conflict has an unreadable object."""
        own_group = Group("depot", 0, 1)
        newer = replace(own_group, fence=7)
        platform = mock.AsyncMock()
        platform.put.side_effect = [VersionConflictError("", version=2, value=b"{"), 3]
        platform.get.return_value = StoredObject("groups/depot/0", 2, encode_json(newer))
        store = self.store("a:1", RecordingPeers(), platform=platform)
        store.observe(VersionedGroup(1, own_group))
        written = await store.edit(
            own_group.id, lambda group: replace(group, fence=group.fence + 1)
        )
        self.assertEqual(written.group.fence, 8)

    async def test_status_reaches_unknown_incarnation_by_address(self):
        """Guards against a restarted agent that gets no status until its incarnation is known."""
        peers = RecordingPeers("b:0")
        store = self.store("w:1", peers)
        status = WatchStatus("w:1", True, Versions(0, 5))
        store._duty.send_status({"w:1": member("w"), "b:1": member("b")}, status)
        self.assertEqual(peers.sent, [("b:0", status)])

    async def test_member_that_is_being_dialled_gets_no_second_stream(self):
        """Guards against watchers that open two streams to each agent of the fleet."""
        peers = RecordingPeers("b:0", dialled=("b:1",))
        store = self.store("w:1", peers)
        store._duty.send_status({"b:1": member("b")}, WatchStatus("w:1", True, Versions(0, 5)))
        self.assertEqual(peers.sent, [])

    async def test_few_agents_send_status_to_a_restarted_one_in_an_outage(self):
        """Guards against a restarted agent that gets no status while the platform is unavailable.

        Found by tests/integration/test_site.py: only watchers whose own watch worked sent one.
        """
        members = {f"m{number}:1": member(f"m{number}") for number in range(9)}
        recipients = {
            name: set(self.store(name, RecordingPeers())._duty.outage_status_recipients(members))
            for name in (*members, "m3:2")
        }
        for name in members:
            senders = [sender for sender in members if name in recipients[sender]]
            self.assertEqual((len(senders), name in senders), (4, False))
        self.assertEqual(recipients["m3:2"], recipients["m3:1"])
        pair = {name: members[name] for name in ("m0:1", "m1:1")}
        store = self.store("m1:1", RecordingPeers())
        self.assertEqual(set(store._duty.outage_status_recipients(pair)), {"m0:1"})

    async def test_restarted_agent_fetches_from_members(self):
        """Guards against an agent that serves nothing until the platform is available again."""
        peers = RecordingPeers()
        store = self.store("b:2", peers)
        store._on_watch_status("w-seed:1", WatchStatus("w:1", True, Versions(0, 5)))
        self.assertEqual(peers.sent, [("w-seed:1", Fetch(objects={}))])
        self.assertFalse(store.complete)
        group = VersionedGroup(3, with_added_members(Group("depot", 0, 1), member("b")))
        configuration = VersionedConfiguration(2, Configuration(2, {}, {}))
        store._exchange.on_publish(
            "w-seed:1", Publish(groups=(group,), configuration=configuration)
        )
        self.assertTrue(store.complete)
        self.assertEqual(store.view(GroupId("depot", 0)), group)
        self.assertEqual(self.routes.current, configuration)

    async def test_restarted_agent_drops_what_a_frozen_member_tells(self):
        """Guards against a member that left, or keys that were moved, in use after a restart.

        A member that was frozen for a minute still publishes what it knew.
        """
        own_group_id = GroupId("depot", 0)
        ranges = (KeyRange(0, LAST_KEY, "left:1", 1),)
        old_group = with_added_members(
            Group("depot", 0, 1, ranges=ranges), member("frozen"), member("left"), member("w")
        )
        old = VersionedGroup(3, old_group)
        old_configuration = VersionedConfiguration(2, Configuration(2, {}, {}))
        moved = (KeyRange(0, LAST_KEY, "w:1", 2),)
        members = {id_: each for id_, each in old_group.members.items() if id_ != "left:1"}
        new = VersionedGroup(9, replace(old_group, members=members, ranges=moved))
        new_configuration = VersionedConfiguration(8, Configuration(5, {}, {}))
        from_frozen = Publish(groups=(old,), configuration=old_configuration)

        up_to_date_peers = RecordingPeers()
        up_to_date = self.store("w:1", up_to_date_peers)
        up_to_date.observe(new)
        up_to_date._routes.observe(new_configuration)
        peers = RecordingPeers("w:1")
        restarted = self.store("b:2", peers)
        restarted._exchange.on_publish("frozen:1", from_frozen)
        restarted._on_watch_status("w:1", WatchStatus("w:1", True, up_to_date.versions()))
        await wait_until(lambda: peers.sent, 2, "the newer versions are fetched")
        up_to_date._exchange.on_fetch("b:2", peers.sent[-1][1])
        restarted._exchange.on_publish("w:1", up_to_date_peers.sent[-1][1])
        for _ in range(2):
            self.assertEqual(restarted.view(own_group_id), new)
            self.assertEqual(restarted._routes.current, new_configuration)
            restarted._exchange.on_publish("frozen:1", from_frozen)

    async def test_agent_that_has_not_joined_publishes_nothing(self):
        """Guards against a fleet start at which each agent sends each change to all others."""
        own_group_id = GroupId("depot", 0)
        group = with_added_members(Group("depot", 0, 1), member("b"), member("c"))
        configuration = Configuration(2, {}, {})
        objects = (
            StoredObject(own_group_id.object_key, 3, encode_json(group)),
            StoredObject(CONFIGURATION_KEY, 4, encode_json(configuration)),
        )
        for agent, recipients in (("n", []), ("b", ["c:1"])):
            with self.subTest(agent=agent):
                peers = RecordingPeers("b:1", "c:1")
                store = self.store(f"{agent}:1", peers, own_group_id)
                store._duty.expect_statuses()
                for stored in objects:
                    store._objects.observe(stored)
                await asyncio.sleep(0.01)
                self.assertEqual([target for target, _ in peers.sent], recipients * len(objects))
                self.assertEqual(store.view(own_group_id), VersionedGroup(3, group))
                self.assertEqual(self.routes.current, VersionedConfiguration(2, configuration))

    async def test_writer_publishes_a_delta(self):
        """Guards against writes that each send a copy of a large group to the whole fleet."""
        own_group_id = GroupId("depot", 0)
        base = VersionedGroup(
            3, with_added_members(Group("depot", 0, 1), member("b"), member("c"))
        )
        changed = with_added_members(base.group, replace(member("b"), stamp=1))
        writer_peers = RecordingPeers("c:1")
        writer = self.store("b:1", writer_peers, own_group_id)
        writer._views[own_group_id] = base
        writer._platform = SimpleNamespace(put=mock.AsyncMock(return_value=4))
        written = await writer.write(base, changed)
        await wait_until(lambda: writer_peers.sent, 2, "the write is published")
        ((target, message),) = writer_peers.sent
        self.assertEqual((target, message.groups), ("c:1", ()))

        up_to_date = self.store("c:1", RecordingPeers(), own_group_id)
        up_to_date.observe(base)
        up_to_date._exchange.on_publish("b:1", message)
        self.assertEqual(up_to_date.view(own_group_id), written)

        peers = RecordingPeers()
        behind = self.store("d:1", peers, own_group_id)
        behind.observe(replace(base, version=2))
        behind._exchange.on_publish("b:1", message)
        self.assertEqual(peers.sent, [("b:1", Fetch("depot", 0, 2))])
        writer._exchange.on_fetch("d:1", peers.sent[0][1])
        behind._exchange.on_publish(*writer_peers.sent[-1])
        self.assertEqual(behind.view(own_group_id), written)

    async def test_member_that_missed_versions_fetches_their_difference(self):
        """Members that missed a version fetched the whole group, as did all others behind.

        Found by kagaz-mesh-large trouble-1: 290 fetches took a third of a watcher's time.
        """
        own_group_id = GroupId("depot", 0)
        members = [member(f"m{number}") for number in range(90)]
        versions = [VersionedGroup(3, with_added_members(Group("depot", 0, 1), *members))]
        for stamp in range(1, 5):
            changed = with_added_members(versions[-1].group, replace(members[0], stamp=stamp))
            versions.append(VersionedGroup(3 + stamp, changed))
        for missed in (1, 4):
            for by_digest in (False, True):
                with self.subTest(missed=missed, by_digest=by_digest):
                    peers = RecordingPeers()
                    watcher = self.store("b:1", peers, own_group_id)
                    for version in versions:
                        watcher.observe(version)
                    behind = self.store("c:1", RecordingPeers(), own_group_id)
                    behind.observe(versions[-1 - missed])
                    known = behind.view(own_group_id).version
                    objects = {own_group_id.object_key: known} if by_digest else None
                    watcher._exchange.on_fetch("c:1", Fetch("depot", 0, known, objects=objects))
                    ((_, message),) = peers.sent
                    self.assertEqual((len(message.deltas), message.groups), (1, ()))
                    behind._exchange.on_publish("b:1", message)
                    self.assertEqual(behind.view(own_group_id), versions[-1])

    async def test_writer_publishes_to_watchers_only(self):
        """Guards against streams and messages between all pairs of agents."""
        own_group_id = GroupId("depot", 0)
        members = [member(name) for name in "abcde"]
        base = VersionedGroup(3, with_added_members(Group("depot", 0, 1), *members))
        ids = tuple(base.group.members)
        changed = with_added_members(base.group, replace(member("d"), stamp=1))
        without_e = replace(changed, members={**changed.members})
        del without_e.members["e:1"]
        for case, group, open_ids, recipients in (
            ("a change", changed, ids, ["a:1", "b:1"]),
            ("a removal goes to all", without_e, ids, ["a:1", "b:1", "c:1"]),
            ("a lost watcher", changed, ids[1:], ["a:1", "b:1", "c:1", "e:1"]),
        ):
            with self.subTest(case):
                peers = RecordingPeers(*open_ids)
                writer = self.store("d:1", peers, own_group_id)
                writer._duty.expect_statuses()
                writer.observe(base)
                writer._platform = SimpleNamespace(put=mock.AsyncMock(return_value=4))
                await writer.write(base, group)
                await asyncio.sleep(0.1)
                self.assertEqual(sorted(target for target, _ in peers.sent), recipients)

    async def test_first_watcher_publishes_versions_to_all(self):
        """Guards against members that miss a version, and against one full copy per version."""
        own_group_id = GroupId("depot", 0)
        base = VersionedGroup(
            3, with_added_members(Group("depot", 0, 1), *(member(name) for name in "abc"))
        )
        newer = VersionedGroup(5, with_added_members(base.group, replace(member("c"), stamp=2)))
        newest = VersionedGroup(6, with_added_members(newer.group, replace(member("b"), stamp=2)))
        for agent, recipients in (("a", ["b:1", "c:1"]), ("b", [])):
            with self.subTest(agent=agent):
                peers = RecordingPeers("a:1", "b:1", "c:1")
                store = self.store(f"{agent}:1", peers, own_group_id)
                store._duty.expect_statuses()
                store._views[own_group_id] = base
                for version in (newer, newest):
                    store._exchange.on_publish("c:1", Publish(groups=(version,)))
                await asyncio.sleep(0.1)
                self.assertEqual([target for target, _ in peers.sent], recipients)
                for _, message in peers.sent:
                    (delta,) = message.deltas
                    self.assertEqual(delta.apply_to(base), newest)

    async def test_agent_that_joins_late_is_no_watcher(self):
        """Guards against joining agents that each publish every version to the whole fleet.

        Watchers send their status to members only. An agent that joined more than three seconds
        after its start regarded all of them as lost and became a watcher.
        """
        own_group_id = GroupId("depot", 0)
        group = with_added_members(Group("depot", 0, 1), *(member(name) for name in "abc"))
        store = self.store("d:1", RecordingPeers("a:1", "b:1", "c:1"), own_group_id)
        store._duty._roster.expect_statuses(store._clock.now() - 10)
        store.observe(VersionedGroup(3, group))
        store.observe(VersionedGroup(4, with_added_members(group, member("d"))))
        self.assertFalse(store._duty.is_watcher())
        with mock.patch.object(
            store._duty, "_clock", SimpleNamespace(now=lambda: CLOCK.now() + 5)
        ):
            self.assertTrue(store._duty.is_watcher())

    async def test_watcher_publishes_a_configuration_delta(self):
        """Guards against a copy of 1,000 routes to the whole fleet when one of them changes."""
        own_group_id = GroupId("depot", 0)
        group = VersionedGroup(
            3, with_added_members(Group("depot", 0, 1), member("b"), member("c"))
        )
        many = {
            f"r{number}": Route(
                f"r{number}", "a.example", f"/{number}/", True, 3, 4.0, 0.6, 2, (Target("depot"),)
            )
            for number in range(1000)
        }
        base = VersionedConfiguration(1, Configuration(1, many))
        fewer = {name: route for name, route in many.items() if name != "r7"}
        changed = Configuration(2, fewer)
        peers = RecordingPeers("c:1")
        watcher = self.store("b:1", peers, own_group_id)
        watcher._views[own_group_id] = group
        self.routes.observe(base)
        stored = StoredObject(CONFIGURATION_KEY, 5, encode_json(changed))
        watcher._objects.observe(stored)
        ((_, message),) = peers.sent
        self.assertLess(len(FrameEncoder().encode(message)), 200)

        up_to_date = self.store("c:1", RecordingPeers(), own_group_id)
        self.routes.observe(base)
        up_to_date._exchange.on_publish("b:1", message)
        self.assertEqual(self.routes.current, VersionedConfiguration(2, changed))

        peers_behind = RecordingPeers()
        behind = self.store("d:1", peers_behind, own_group_id)
        behind._exchange.on_publish("b:1", message)
        self.assertEqual(peers_behind.sent, [("b:1", Fetch(objects={}))])
        self.assertIsNone(self.routes.current)

    async def test_member_that_missed_a_configuration_gets_a_delta(self):
        """Guards against copies of 1,000 routes to all members that missed one of many changes."""
        many = {
            f"r{number}": Route(
                f"r{number}", "a.example", f"/{number}/", True, 3, 4.0, 0.6, 2, (Target("depot"),)
            )
            for number in range(1000)
        }
        first, second, third = (
            VersionedConfiguration(
                version, Configuration(version, dict(list(many.items())[version:]))
            )
            for version in (1, 2, 3)
        )
        peers = RecordingPeers("c:1")
        watcher = self.store("b:1", peers, GroupId("depot", 0))
        for configuration in (first, second, third):
            watcher._exchange.on_publish("a:1", Publish(configuration=configuration))
        watcher._exchange.on_fetch("c:1", Fetch(objects={CONFIGURATION_KEY: 1}))
        ((_, message),) = peers.sent
        self.assertLess(len(FrameEncoder().encode(message)), 200)
        behind = self.store("c:1", RecordingPeers(), GroupId("depot", 0))
        self.routes.observe(first)
        behind._exchange.on_publish("b:1", message)
        self.assertEqual(self.routes.current, third)

    async def test_object_too_large_for_a_message_is_read_from_the_platform(self):
        """Guards against members that never learn of an object which no message can carry.

        The failure to send it was logged, and nothing else was tried.
        """
        group_id = GroupId("depot", 0)
        group = VersionedGroup(3, with_added_members(Group("depot", 0, 1), *map(member, "bc")))
        route = Route("r", "a.example", "/", True, 3, 4.0, 0.6, 2, (Target("depot"),))
        large = Configuration(2, {f"r{n}": replace(route, name=f"r{n}") for n in range(200)})
        stored = StoredObject(CONFIGURATION_KEY, 5, encode_json(large))
        peers = RecordingPeers("c:1")
        watcher = self.store("b:1", peers, group_id)
        watcher._views[group_id] = group
        platform = mock.AsyncMock()
        platform.get.side_effect = [PlatformUnavailableError("slow"), stored]
        with mock.patch.object(frames, "MAX_MESSAGE_BYTES", 4_000):
            watcher._objects.observe(stored)
            watcher._exchange.on_fetch("c:1", Fetch(objects={group_id.object_key: 3}))
            published, fetched = (message for _, message in peers.sent)
        reader = self.store("c:1", RecordingPeers(), group_id, platform)
        # The read that follows the published message fails, and the one after the fetch does not.
        for message in (published, fetched):
            self.assertLess(len(FrameEncoder().encode(message)), 200)
            reader._exchange.on_publish("b:1", message)
            await reader._exchange._read_task
        self.assertEqual(self.routes.current, VersionedConfiguration(2, large))

    async def test_configurations_are_ordered_by_their_own_number(self):
        """Guards against a change that is ignored, or undone, because revisions went back."""
        store = self.store("b:1", RecordingPeers())
        in_force = []
        for revision, number in ((20, 5), (12, 6), (30, 4)):
            configuration = Configuration(number, {}, {})
            stored = StoredObject(CONFIGURATION_KEY, revision, encode_json(configuration))
            store._objects.observe(stored)
            in_force.append(self.routes.current.configuration.version)
        self.assertEqual(in_force, [5, 6, 6])

    async def test_versions_in_flight_are_not_fetched(self):
        """Guards against fetches of all groups at each renewal while a group changes."""
        own_group_id = GroupId("depot", 0)
        old = VersionedGroup(3, with_added_members(Group("depot", 0, 1), member("b"), member("c")))
        new = VersionedGroup(4, with_added_members(old.group, replace(member("c"), stamp=2)))
        lost = Versions(0, 5)
        peers = RecordingPeers("c:1")
        store = self.store("b:1", peers, own_group_id)
        other = self.store("c:1", RecordingPeers(), own_group_id)
        store._views[own_group_id] = old
        other._views[own_group_id] = new
        store.fetch_newer(member("c"), other.versions())
        store.observe(new)
        await asyncio.sleep(0.3)
        store.fetch_newer(member("c"), self.store_at(old).versions())
        await asyncio.sleep(0.3)
        self.assertEqual([sent for _, sent in peers.sent if isinstance(sent, Fetch)], [])
        store.fetch_newer(member("c"), lost)
        await wait_until(
            lambda: isinstance(peers.sent[-1][1], Fetch), 2, "the unknown versions are fetched"
        )

    def store_at(self, view: VersionedGroup) -> GroupStore:
        store = self.store("d:1", RecordingPeers(), view.group.id)
        store._views[view.group.id] = view
        return store
