"""Tests of edits whose content no agent could read, among the edits of other members."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from fescueward.kernel.errors import MalformedMessageError, UnwritableGroupError
from fescueward.messages import Group, MemberState
from fescueward.messages.frames import FrameDecoder, FrameEncoder
from fescueward.messages.group_object import decode_group
from fescueward.messages.peer import (
    CrashReport,
    MemberEdit,
    RangesReleased,
    RecordRequest,
    ReleasedRange,
)
from fescueward.services.crash_records import with_crashes
from tests.services.fleet import GROUP_ID, SimulatedAgent
from tests.services.keyspace.keyed_fleet import KeyedFleet

_texts = st.one_of(st.text(max_size=6), st.sampled_from(("\udce1", "\x00", "i" * 2000)))
_integers = st.one_of(st.integers(0, 9), st.sampled_from((2**53, 2**63, 2**64 - 1, 2**70, -1)))


def with_member_field(name: str, **changes: object) -> Callable[[Group], Group]:
    """Returns an edit that changes the member of an agent."""

    def change(group: Group) -> Group:
        member = next(member for member in group.members.values() if member.name == name)
        return group.with_member(replace(member, **changes))

    return change


class OddEditTest(unittest.TestCase):
    def setUp(self):
        self.fleet = KeyedFleet()
        for name in ("a0", "a1", "a2"):
            self.fleet.start(name, "d0")
        self.assertIsNotNone(self.fleet.time_until_distributed(20))
        self.fleet.world.advance(5)
        self.addCleanup(self.fleet.close)
        self.agent = self.fleet.agents["a0"]

    def edit(self, *changes: Callable[[Group], Group | None]) -> list[object]:
        """Makes edits that share one write, and returns their results."""
        results: list[object] = []

        async def run() -> None:
            edits = (self.agent.groups.edit(GROUP_ID, change) for change in changes)
            results.extend(await asyncio.gather(*edits, return_exceptions=True))

        self.agent.spawn(run)
        self.fleet.world.advance(0.5)
        self.assertEqual(len(results), len(changes), "an edit has no result")
        return results

    def stored(self) -> Group:
        key = GROUP_ID.object_key
        return decode_group(key, self.fleet.platform.read(key).value)

    def test_odd_edit_fails_alone(self):
        """Guards against an entry of one member that ends every agent which writes it (Fault)."""
        for odd in (
            with_member_field("a2", instance="i\udce1"),
            with_member_field("a2", stamp=2**64),
            with_member_field("a2", slots=0),
            lambda group: replace(group, ranges=group.ranges[1:]),
        ):
            slots = self.stored().members[self.agent.member_id].slots + 1
            results = self.edit(
                with_member_field("a1", slots=slots), odd, with_member_field("a0", slots=slots)
            )
            self.assertIsInstance(results[1], UnwritableGroupError)
            members = {member.name: member for member in self.stored().members.values()}
            self.assertEqual([members[name].slots for name in ("a0", "a1")], [slots] * 2)

    def test_odd_edit_of_a_member_costs_its_recorder_nothing(self):
        """Guards against edits of many members that fail because of one (Fault)."""
        outcomes: dict[str, bool | None] = {}

        async def record(agent: SimulatedAgent, edit: MemberEdit) -> None:
            outcomes[agent.name] = await agent.kernel.registry.find("recorder", object).record(
                edit
            )

        for agent in self.fleet.agents.values():
            stamp = 2**64 - 1 if agent.name == "a2" else 7000
            edit = MemberEdit(agent.member_id, stamp=stamp)
            agent.spawn(lambda agent=agent, edit=edit: record(agent, edit))
        self.fleet.world.advance(1.0)
        self.assertEqual(outcomes, {"a0": True, "a1": True, "a2": False})

    def test_unexpected_exception_for_one_member(self):
        """Guards against an agent that ends because an edit for another one fails (Fault)."""
        edit = MemberEdit(self.fleet.agents["a2"].member_id, leaves=True)
        recorder = self.agent.kernel.registry.find("recorder", object)
        outcomes: list[bool] = []

        async def record() -> None:
            outcomes.append(await recorder._write(GROUP_ID, edit, 0))

        with mock.patch.object(self.agent.placement, "drain_member", side_effect=KeyError("odd")):
            self.agent.spawn(record)
            self.fleet.world.advance(1.0)
        self.assertEqual(outcomes, [False])

    @settings(max_examples=150, deadline=None)
    @given(
        st.builds(MemberEdit, _texts, _integers, _texts, _integers, st.booleans()),
        st.builds(ReleasedRange, _integers, _integers, _integers, _texts),
        st.builds(CrashReport, _texts, st.tuples(_integers), crash=_integers),
    )
    def test_any_content_of_other_members(self, edit, released, report):
        """Guards against content that reaches the group object and that no agent can read."""
        agent = self.agent
        owned = next(r for r in self.stored().ranges if r.owner == agent.member_id)
        released = replace(released, first=owned.first, last=owned.last, epoch=owned.epoch)
        released_message = RangesReleased("depot", 0, agent.member_id, (released,))
        changes = [with_member_field("a1", state=MemberState.ACTIVE, connections=9)]
        if readable(RecordRequest(1, "depot", 0, 0, edit)):
            recorder = agent.kernel.registry.find("recorder", object)
            known = replace(edit, member_id=self.fleet.agents["a2"].member_id, leaves=False)
            changes.append(lambda group: recorder._with_edit(group, known, group.era))
        if readable(released_message):
            changes.append(
                lambda group: replace(
                    group,
                    ranges=tuple(
                        replace(part, handover=released.handover) for part in group.ranges
                    ),
                )
            )
        if readable(report):
            crashes = frozenset({(report.member_id, report.crash)})
            changes.append(
                lambda group: with_crashes(group, report.fingerprints[0], crashes, 0, 1)
            )
        results = self.edit(*changes, with_member_field("a0", connections=9))
        for result in results:
            if isinstance(result, Exception):
                self.assertIsInstance(result, UnwritableGroupError)
        self.assertNotIsInstance(results[0], Exception)
        self.assertNotIsInstance(results[-1], Exception)
        self.stored()


def readable(message: object) -> bool:
    """Returns whether a message can be sent and is accepted by its receiver."""
    try:
        return bool(list(FrameDecoder().feed(FrameEncoder().encode(message))))
    except MalformedMessageError:
        return False
