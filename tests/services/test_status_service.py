"""Tests of the status service: which agents it queries, and missing or invalid replies."""

from __future__ import annotations

import asyncio
import io
import unittest
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

from fescueward.kernel import Registry, configure_logging
from fescueward.kernel.errors import (
    ObjectNotFoundError,
    PeerUnavailableError,
    PlatformUnavailableError,
    UnknownServiceError,
)
from fescueward.messages import (
    Entry,
    Group,
    GroupId,
    Member,
    Shard,
    VersionedEntry,
    VersionedGroup,
)
from fescueward.messages.codec import to_map
from fescueward.messages.peer import Promise, StatusQuery, StatusReply
from fescueward.messages.status import AgentState, AgentStatus, ProblemKind
from fescueward.services import status
from fescueward.services.status import FleetStatusReports

GROUP_ID = GroupId("depot", 0)


def group(service: str, *names: str) -> VersionedGroup:
    members = {
        f"{name}:1": Member(f"{name}:1", name, 1, "b", "h", 1, "h", 2, "lowell", 6, 110)
        for name in names
    }
    shards = tuple(Shard(f"{names[0]}:1", 1) for _ in range(4)) if names else ()
    return VersionedGroup(3, Group(service, 0, 4, members, shards))


class Fleet:
    """A fake of all services that the status service reads."""

    def __init__(self) -> None:
        self.settings = SimpleNamespace(agent=SimpleNamespace(failure_domain="lowell"))
        self.agent = self.settings.agent
        self.member_id = "a:1"
        self.own_group_id = GROUP_ID
        self.announcement = SimpleNamespace()
        self.leaving = self.watching = False
        self.held = True
        self.expires_at = 100.9
        self.in_flight = 0
        self.unavailable_since = None
        self.views = {GROUP_ID: group("depot", "a", "b")}
        self.stored: dict = {}
        self.replies: dict = {}
        self.sent: list = []
        self.calls = 0

    def now(self):
        return 100.0

    def own_member(self):
        return self.views[GROUP_ID].group.members["a:1"]

    def monitored(self):
        return {}

    def active(self):
        return {0: 1}

    def versions(self):
        return {"depot": 7, "orders": 8}

    def entries(self):
        return tuple(self.entry(name) for name in ("depot", "orders"))

    def entry(self, service):
        if service not in self.versions():
            raise UnknownServiceError(service)
        return VersionedEntry(self.versions()[service], Entry(service, "team", shard_count=4))

    def view(self, group_id):
        return self.views.get(group_id)

    async def refresh(self, group_id):
        stored = self.stored.get(group_id, ObjectNotFoundError("none"))
        if isinstance(stored, Exception):
            raise stored
        return stored

    def subscribe(self, listener): ...

    def on(self, kind, handler):
        self.handler = handler

    def next_call(self):
        self.calls += 1
        return self.calls

    def reply(self, sender, message):
        self.sent.append((sender, message))
        return True

    async def call(self, member, message, call):
        reply = self.replies.get(member.id, PeerUnavailableError("gone"))
        if isinstance(reply, Exception):
            raise reply
        if reply is None:
            await asyncio.Event().wait()
        return reply


class FakeRegistry(Registry):
    def __init__(self, fleet: Fleet) -> None:
        super().__init__()
        self._fleet = fleet

    def find(self, name, kind):
        return self._fleet


class StatusServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        configure_logging("ERROR", "text", io.StringIO())
        self.fleet = Fleet()
        self.service = FleetStatusReports()
        self.service.bind(FakeRegistry(self.fleet))
        await self.service.start()

    def reply(self, member_id: str, **fields) -> StatusReply:
        base = AgentStatus(member_id, "lowell", "depot/0", AgentState.ACTIVE, 1.0, True, 0.9)
        return StatusReply(1, to_map(replace(base, **fields)))

    async def test_malformed_replies_count_as_missing(self):
        """Guards against one agent whose reply fails or delays the status of all others."""
        malformed = [
            PeerUnavailableError("gone"),
            None,
            Promise(1, "b:1", 1, True),
            StatusReply(1, {"member_id": "b:1"}),
            self.reply("c:1"),
        ]
        for reply in malformed:
            with self.subTest(reply=reply), mock.patch.object(status, "_QUERY_TIMEOUT_S", 0.05):
                self.fleet.replies["b:1"] = reply
                fleet_status = await asyncio.wait_for(self.service.fleet("depot"), 2)
                self.assertEqual((fleet_status.agents_asked, fleet_status.agents_answered), (2, 1))
                kinds = [problem.kind for problem in fleet_status.services[0].problems]
                self.assertIn(ProblemKind.MEMBER_SILENT, kinds)
        self.fleet.replies["b:1"] = self.reply("b:1", entry_versions={"depot": 7})
        fleet_status = await self.service.fleet("depot")
        self.assertEqual(
            (fleet_status.agents_answered, fleet_status.services[0].agents_applying), (2, 2)
        )

    async def test_groups_of_other_services_are_read(self):
        """Guards against outdated views of groups that this agent does not watch."""
        other = GroupId("orders", 0)
        self.fleet.views[other] = group("orders", "old")
        self.fleet.stored[other] = group("orders", "new")
        fleet_status = await self.service.fleet("orders")
        self.assertEqual(
            [item.id for item in fleet_status.services[0].groups[0].members], ["new:1"]
        )
        self.fleet.stored[other] = PlatformUnavailableError("down")
        fleet_status = await self.service.fleet("orders")
        group_status = fleet_status.services[0].groups[0]
        self.assertEqual((group_status.members[0].id, group_status.fresh), ("old:1", False))
        with self.assertRaises(UnknownServiceError):
            await self.service.fleet("none")

    async def test_cost_is_bounded(self):
        """Guards against a status that reads all groups or queries all agents of a large fleet."""
        large_entry = Entry("depot", "team", groups=1000, shard_count=4)
        self.fleet.entry = lambda service: VersionedEntry(7, large_entry)
        names = [f"m{number}" for number in range(500)]
        self.fleet.views[GROUP_ID] = group("depot", "a", *names)
        fleet_status = await self.service.fleet("depot")
        self.assertEqual(fleet_status.agents_asked, status._MAX_AGENTS)
        self.assertEqual(fleet_status.services[0].groups_total, 1000)
        self.assertLess(self.fleet.calls, status._MAX_AGENTS)

    async def test_query_of_a_peer_gets_a_reply(self):
        """Guards against agents that query others but do not reply themselves."""
        self.fleet.handler("b:1", StatusQuery(9))
        ((sender, message),) = self.fleet.sent
        self.assertEqual((sender, message.call), ("b:1", 9))
        self.assertEqual(message.status, to_map(self.service.agent()))

    async def test_explanation_queries_owner_and_successor_only(self):
        """Guards against an explanation that queries as many agents as a status."""
        self.fleet.views[GROUP_ID] = group("depot", "b", "a", "c", "d")
        self.fleet.replies["b:1"] = self.reply("b:1", shards=dict.fromkeys(range(4), 1))
        explanation = await self.service.explain("depot", "k")
        self.assertTrue(explanation.served, explanation.text)
        self.assertEqual(self.fleet.calls, 1)
