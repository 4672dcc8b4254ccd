"""Tests of status, problems, histories and explanations."""

from __future__ import annotations

import unittest
from dataclasses import replace

from fescueward.kernel.errors import MalformedMessageError
from fescueward.messages import (
    Entry,
    Group,
    GroupId,
    Member,
    MemberState,
    Shard,
    VersionedEntry,
    VersionedGroup,
)
from fescueward.messages.codec import from_map, to_map
from fescueward.messages.frames import FrameDecoder, FrameEncoder
from fescueward.messages.peer import StatusReply
from fescueward.messages.status import (
    AgentState,
    AgentStatus,
    LeaseState,
    OriginStatus,
    ProblemKind,
    Reason,
)
from fescueward.services.explanations import explain_key
from fescueward.services.history import GroupHistories
from fescueward.services.problems import Answers, GroupView, fleet_problems, service_status

ENTRY = VersionedEntry(7, Entry("depot", "siphon-works", shard_count=4))
HOME = GroupId("depot", 0)


def member(name: str, domain: str = "lowell") -> Member:
    return Member(f"{name}:1", name, 1, "boot", "127.0.0.1", 1, "127.0.0.1", 2, domain, 6, 110)


def group(*shards: Shard, members: str = "ab", **fields) -> Group:
    found = {f"{name}:1": member(name) for name in members}
    return Group("depot", 0, 4, found, shards, **fields)


def told(name: str, **fields) -> AgentStatus:
    base = AgentStatus(f"{name}:1", "lowell", "depot/0", AgentState.ACTIVE, 9.0, True, 0.9)
    return replace(base, **({"entry_versions": {"depot": 7}, "watching": True} | fields))


def answers(*statuses: AgentStatus, asked: str = "ab") -> Answers:
    found = {status.member_id: status for status in statuses}
    return Answers("a:1", frozenset(f"{name}:1" for name in asked), found)


class StatusTest(unittest.TestCase):
    def setUp(self):
        self.histories = GroupHistories()
        self.now = 100.0
        self.version = 0

    def see(self, seen: Group, now: float) -> None:
        self.version += 1
        self.now = now
        self.seen = VersionedGroup(self.version, seen)
        self.histories.observe(self.seen, now)

    def status(self, given: Answers, **view):
        fields = {"id": HOME, "group": self.seen, "fresh": True, "error": ""} | view
        return service_status(ENTRY, (GroupView(**fields),), given, self.histories, self.now)

    def problem(self, kind: ProblemKind, given: Answers, **view):
        found = [item for item in self.status(given, **view).problems if item.kind is kind]
        self.assertEqual(len(found), 1, self.status(given, **view).problems)
        return found[0]

    def test_healthy_service_has_no_problems(self):
        """Guards against status pages that always complain."""
        self.see(group(*[Shard("a:1", 1)] * 4), 100)
        status = self.status(answers(told("a"), told("b")))
        self.assertEqual(status.problems, ())
        self.assertEqual((status.agents_applying, status.agents_asked), (2, 2))
        self.assertEqual([item.lease for item in status.groups[0].members], [LeaseState.HELD] * 2)

    def test_shards_without_owner_say_since_when_and_why(self):
        """Guards against a status that hides which agent's loss took the owner away."""
        owned = [Shard("a:1", 1)] * 3
        self.see(group(*owned, Shard("b:1", 1)), 100)
        self.see(group(*owned, Shard(None, 2), members="a"), 101)
        self.see(group(*owned, Shard(None, 2), members="ac"), 102)
        self.now = 103.1
        problem = self.problem(ProblemKind.NO_OWNER, answers(told("a"), asked="a"))
        self.assertEqual(
            problem.text, "shard 3 of depot has no owner since 2.1 s: agent b:1 was lost"
        )
        self.assertEqual(problem.since_s, 2.1)
        self.see(group(*owned, Shard("c:1", 3), members="ac"), 104)
        self.assertEqual(self.status(answers(told("a"), told("c"), asked="ac")).problems, ())

    def test_silent_member_and_ended_lease(self):
        """Guards against a lost agent that looks healthy until its takeover."""
        self.see(group(Shard("a:1", 1), Shard("b:1", 1), Shard("b:1", 1), Shard("a:1", 1)), 100)
        given = answers(told("a", monitored_s={"b:1": 1.25}))
        problem = self.problem(ProblemKind.MEMBER_SILENT, given)
        self.assertIn("b:1 (lowell) does not answer since 1.2 s: its 2 shards", problem.text)
        self.assertEqual(problem.since_s, 1.25)
        ended = answers(told("a", lease_held=False), told("b"))
        self.assertIn("lease has ended", self.problem(ProblemKind.LEASE_ENDED, ended).text)

    def test_slow_move(self):
        """Guards against handovers that hang without a word."""
        moving = Shard("a:1", 1, "b:1")
        self.see(group(moving, *[Shard("a:1", 1)] * 3), 100)
        self.assertEqual(len(self.status(answers(told("a"), told("b"))).groups[0].moves), 1)
        self.assertEqual(self.status(answers(told("a"), told("b"))).problems, ())
        self.now = 106.5
        problem = self.problem(ProblemKind.MOVE_SLOW, answers(told("a"), told("b")))
        self.assertIn("shard 0 of depot moves from a:1 to b:1 since 6.5 s", problem.text)
        self.see(group(moving, moving, *[Shard("a:1", 1)] * 2), 107)
        self.now = 112.5
        problem = self.problem(ProblemKind.MOVE_SLOW, answers(told("a"), told("b")))
        self.assertIn("shards 0, 1 of depot move from a:1 to b:1 since 12.5 s", problem.text)

    def test_entry_that_is_not_in_effect_everywhere(self):
        """Guards against accepted changes that some agents never apply."""
        self.see(group(*[Shard("a:1", 1)] * 4), 100)
        for versions in ({"depot": 6}, {}):
            given = answers(told("a"), told("b", entry_versions=versions))
            self.assertEqual(self.status(given).agents_applying, 1)
            problem = self.problem(ProblemKind.ENTRY_NOT_APPLIED, given)
            self.assertIn("version 7 of depot is not in effect on 1 of 2 agents", problem.text)
        silent = told("b", entry_versions={}, entry_versions_complete=False)
        self.assertEqual(self.status(answers(told("a"), silent)).problems, ())

    def test_version_that_this_agent_has_not_heard_of(self):
        """Guards against an agent behind the others that reports its old version as accepted."""
        self.see(group(*[Shard("a:1", 1)] * 4), 100)
        given = answers(told("a"), told("b", entry_versions={"depot": 9}))
        status = self.status(given)
        self.assertEqual((status.version, status.agents_applying), (9, 1))
        self.assertIn("on 1 of 2 agents", self.problem(ProblemKind.ENTRY_NOT_APPLIED, given).text)

    def test_groups_that_are_missing_or_unreadable(self):
        """Guards against a status that takes an unreadable group for an empty one."""
        self.see(group(*[Shard("a:1", 1)] * 4), 100)
        given = answers(told("a"), told("b"))
        self.problem(ProblemKind.NO_MEMBERS, given, group=None)
        problem = self.problem(ProblemKind.GROUP_UNREADABLE, given, fresh=False, error="timeout")
        self.assertIn("the last version seen is shown: timeout", problem.text)
        self.problem(ProblemKind.GROUP_UNREADABLE, given, group=None, error="timeout")

    def test_watchers_and_platform(self):
        """Guards against changes that arrive late without a reason in the status."""
        self.see(group(*[Shard("a:1", 1)] * 4), 100)
        blind = answers(told("a", watching=False), told("b", watching=False))
        self.problem(ProblemKind.NO_WATCHER, blind)
        self.assertEqual(fleet_problems(blind, None), ())
        outage = answers(told("a", platform_unavailable_s=3.0), told("b"))
        (problem,) = fleet_problems(outage, 3.0)
        self.assertIn("does not answer 1 of 2 agents since 3.0 s", problem.text)


class HistoryTest(unittest.TestCase):
    def test_takeover_differs_from_handover(self):
        """Guards against planned moves that are reported as losses, and the reverse."""
        histories = GroupHistories()
        first = group(Shard("a:1", 1), Shard("b:1", 1))
        leaving = replace(first.members["b:1"], state=MemberState.LEAVING)
        histories.observe(VersionedGroup(1, first), 1)
        handed = replace(first, shards=(Shard("a:1", 1), Shard("a:1", 2)))
        histories.observe(VersionedGroup(2, handed), 2)
        taken = group(Shard("b:1", 2), Shard("b:1", 3), members="b")
        histories.observe(VersionedGroup(3, taken), 3)
        history = histories.of(HOME)
        self.assertTrue(history.origins[0].lost)
        self.assertEqual(history.origins[1].before, "a:1")
        self.assertEqual([loss.member_id for loss in history.losses], ["a:1"])
        left = replace(taken, members={"b:1": leaving})
        histories.observe(VersionedGroup(4, left), 4)
        histories.observe(VersionedGroup(5, group(Shard(), Shard(), members="")), 5)
        self.assertEqual([loss.member_id for loss in histories.of(HOME).losses], ["a:1"])
        self.assertEqual(histories.of(HOME).unowned_since(0), (5, "b:1"))

    def test_memory_is_bounded_by_the_shards(self):
        """Guards against records of shards that no longer exist."""
        histories = GroupHistories()
        many = group(*[Shard("a:1", 1, "b:1")] * 100)
        histories.observe(VersionedGroup(1, many), 1)
        histories.observe(VersionedGroup(2, group(Shard("a:1", 1, "b:1"))), 2)
        self.assertIsNone(histories.of(HOME).moving_since(50))
        self.assertEqual(histories.of(HOME).moving_since(0), 1)


class ExplanationTest(unittest.TestCase):
    def explain(self, shard: Shard, *statuses: AgentStatus, **fields):
        found = group(*[shard] * 5, **fields)
        view = GroupView(HOME, VersionedGroup(3, found), True, "")
        return explain_key(ENTRY.entry, "k", view, answers(*statuses), "a:1")

    def test_reasons_and_refusals(self):
        """Guards against explanations that promise service which a request would not get."""
        every = dict.fromkeys(range(5), 4)
        serving = told("b", shards=every)
        origin = OriginStatus("c:1", True, 3.0)
        taken = replace(serving, origins=dict.fromkeys(range(5), origin))
        handed = replace(
            serving, origins=dict.fromkeys(range(5), replace(origin, taken_over=False))
        )
        successor = told("a", shards=dict.fromkeys(range(5), 5))
        owned, moving = Shard("b:1", 4), Shard("b:1", 4, "a:1")
        cases = [
            (owned, (serving,), [Reason.PLACED], None),
            (owned, (taken,), [Reason.TAKEN_OVER], None),
            (owned, (handed,), [Reason.HANDED_OVER], None),
            (replace(owned, hold_ms=100), (serving,), [Reason.PLACED, Reason.HOLD], None),
            (owned, (told("b"),), [Reason.PLACED], "shard_moving"),
            (Shard("b:1", 5), (serving,), [Reason.PLACED], "shard_moving"),
            (owned, (replace(serving, lease_held=False),), [Reason.PLACED], "lease_expired"),
            (owned, (), [Reason.PLACED], "owner_unreachable"),
            (moving, (serving,), [Reason.PLACED, Reason.MOVING], "shard_moving"),
            (moving, (told("b"), successor), [Reason.PLACED, Reason.MOVING], None),
            (Shard(), (serving,), [Reason.NO_OWNER], "no_owner"),
        ]
        for shard, statuses, reasons, refusal in cases:
            with self.subTest(shard=shard, refusal=refusal):
                found = self.explain(shard, *statuses)
                self.assertEqual(list(found.reasons), reasons)
                self.assertEqual((found.refusal, found.served), (refusal, refusal is None))

    def test_exception_and_unknown_group(self):
        """Guards against hot keys that are explained by the shard of their hash."""
        serving = told("b", shards={4: 4})
        found = self.explain(Shard("b:1", 4), serving, exceptions={"k": 4})
        self.assertEqual((found.shard, found.reasons[0]), (4, Reason.EXCEPTION))
        view = GroupView(HOME, None, False, "timeout")
        found = explain_key(ENTRY.entry, "k", view, answers(), "a:1")
        self.assertEqual((found.served, found.refusal), (False, "no_owner"))
        self.assertIn("could not be read: timeout", found.text)


class StatusReplyTest(unittest.TestCase):
    def test_round_trip(self):
        """Guards against statuses that change between agents."""
        status = told("a", shards={3: 4}, origins={3: OriginStatus("b:1", True, 1.5)})
        (reply,) = FrameDecoder().feed(FrameEncoder().encode(StatusReply(1, to_map(status))))
        self.assertEqual(from_map(reply.status, AgentStatus), status)
        newer = to_map(status) | {"a_later_field": 1}
        self.assertEqual(from_map(newer, AgentStatus), status)

    def test_malformed_status(self):
        """Guards against a peer whose bad answer breaks the status of all others."""
        for bad in ({}, to_map(told("a")) | {"shards": 3}, to_map(told("a")) | {"state": "odd"}):
            with self.assertRaises(MalformedMessageError):
                from_map(bad, AgentStatus)
