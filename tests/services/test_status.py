"""Tests of problems, group histories, explanations and the encoding of statuses."""

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
from fescueward.services.problems import AgentResponses, GroupView, fleet_problems, service_status

ENTRY = VersionedEntry(7, Entry("depot", "siphon-works", shard_count=4))
GROUP_ID = GroupId("depot", 0)


def member(name: str, domain: str = "lowell") -> Member:
    return Member(f"{name}:1", name, 1, "boot", "127.0.0.1", 1, "127.0.0.1", 2, domain, 6, 110)


def group(*shards: Shard, members: str = "ab", **fields) -> Group:
    group_members = {f"{name}:1": member(name) for name in members}
    return Group("depot", 0, 4, group_members, shards, **fields)


def make_status(name: str, **fields) -> AgentStatus:
    base = AgentStatus(f"{name}:1", "lowell", "depot/0", AgentState.ACTIVE, 9.0, True, 0.9)
    return replace(base, **({"entry_versions": {"depot": 7}, "watching": True} | fields))


def make_responses(*statuses: AgentStatus, queried: str = "ab") -> AgentResponses:
    by_member = {status.member_id: status for status in statuses}
    return AgentResponses("a:1", frozenset(f"{name}:1" for name in queried), by_member)


class StatusTest(unittest.TestCase):
    def setUp(self):
        self.histories = GroupHistories()
        self.now = 100.0
        self.version = 0

    def observe(self, new_group: Group, now: float) -> None:
        self.version += 1
        self.now = now
        self.observed = VersionedGroup(self.version, new_group)
        self.histories.observe(self.observed, now)

    def status(self, responses: AgentResponses, **view):
        fields = {"id": GROUP_ID, "group": self.observed, "fresh": True, "error": ""} | view
        return service_status(ENTRY, (GroupView(**fields),), responses, self.histories, self.now)

    def problem(self, kind: ProblemKind, responses: AgentResponses, **view):
        problems = [item for item in self.status(responses, **view).problems if item.kind is kind]
        self.assertEqual(len(problems), 1, self.status(responses, **view).problems)
        return problems[0]

    def test_healthy_service_has_no_problems(self):
        """Guards against a status that reports problems of a healthy service."""
        self.observe(group(*[Shard("a:1", 1)] * 4), 100)
        status = self.status(make_responses(make_status("a"), make_status("b")))
        self.assertEqual(status.problems, ())
        self.assertEqual((status.agents_applying, status.agents_asked), (2, 2))
        self.assertEqual([item.lease for item in status.groups[0].members], [LeaseState.HELD] * 2)

    def test_shards_without_owner_report_duration_and_cause(self):
        """Guards against a status that hides which lost agent owned the shard."""
        owned = [Shard("a:1", 1)] * 3
        self.observe(group(*owned, Shard("b:1", 1)), 100)
        self.observe(group(*owned, Shard(None, 2), members="a"), 101)
        self.observe(group(*owned, Shard(None, 2), members="ac"), 102)
        self.now = 103.1
        problem = self.problem(ProblemKind.NO_OWNER, make_responses(make_status("a"), queried="a"))
        self.assertEqual(
            problem.text, "shard 3 of depot has had no owner for 2.1 s: agent b:1 was lost"
        )
        self.assertEqual(problem.since_s, 2.1)
        self.observe(group(*owned, Shard("c:1", 3), members="ac"), 104)
        self.assertEqual(
            self.status(make_responses(make_status("a"), make_status("c"), queried="ac")).problems,
            (),
        )

    def test_silent_member_and_ended_lease(self):
        """Guards against a lost agent that is reported as healthy until its takeover."""
        self.observe(
            group(Shard("a:1", 1), Shard("b:1", 1), Shard("b:1", 1), Shard("a:1", 1)), 100
        )
        responses = make_responses(make_status("a", monitored_s={"b:1": 1.25}))
        problem = self.problem(ProblemKind.MEMBER_SILENT, responses)
        self.assertIn("b:1 (lowell) has not responded for 1.2 s: its 2 shards", problem.text)
        self.assertEqual(problem.since_s, 1.25)
        ended = make_responses(make_status("a", lease_held=False), make_status("b"))
        self.assertIn("lease has ended", self.problem(ProblemKind.LEASE_ENDED, ended).text)

    def test_slow_move(self):
        """Guards against stuck handovers that are not reported."""
        moving = Shard("a:1", 1, "b:1")
        self.observe(group(moving, *[Shard("a:1", 1)] * 3), 100)
        self.assertEqual(
            len(self.status(make_responses(make_status("a"), make_status("b"))).groups[0].moves), 1
        )
        self.assertEqual(
            self.status(make_responses(make_status("a"), make_status("b"))).problems, ()
        )
        self.now = 106.5
        problem = self.problem(
            ProblemKind.MOVE_SLOW, make_responses(make_status("a"), make_status("b"))
        )
        self.assertIn("shard 0 of depot moves from a:1 to b:1, started 6.5 s ago", problem.text)
        self.observe(group(moving, moving, *[Shard("a:1", 1)] * 2), 107)
        self.now = 112.5
        problem = self.problem(
            ProblemKind.MOVE_SLOW, make_responses(make_status("a"), make_status("b"))
        )
        self.assertIn(
            "shards 0, 1 of depot move from a:1 to b:1, started 12.5 s ago", problem.text
        )

    def test_entry_that_is_not_in_effect_everywhere(self):
        """Guards against accepted changes that some agents never apply."""
        self.observe(group(*[Shard("a:1", 1)] * 4), 100)
        for versions in ({"depot": 6}, {}):
            responses = make_responses(make_status("a"), make_status("b", entry_versions=versions))
            self.assertEqual(self.status(responses).agents_applying, 1)
            problem = self.problem(ProblemKind.ENTRY_NOT_APPLIED, responses)
            self.assertIn("version 7 of depot is not in effect on 1 of 2 agents", problem.text)
        incomplete = make_status("b", entry_versions={}, entry_versions_complete=False)
        self.assertEqual(self.status(make_responses(make_status("a"), incomplete)).problems, ())

    def test_version_that_this_agent_has_not_received(self):
        """Guards against an outdated agent that reports its old version as the accepted one."""
        self.observe(group(*[Shard("a:1", 1)] * 4), 100)
        responses = make_responses(make_status("a"), make_status("b", entry_versions={"depot": 9}))
        status = self.status(responses)
        self.assertEqual((status.version, status.agents_applying), (9, 1))
        self.assertIn(
            "on 1 of 2 agents", self.problem(ProblemKind.ENTRY_NOT_APPLIED, responses).text
        )

    def test_groups_that_are_missing_or_unreadable(self):
        """Guards against a status that reports an unreadable group as an empty one."""
        self.observe(group(*[Shard("a:1", 1)] * 4), 100)
        responses = make_responses(make_status("a"), make_status("b"))
        self.problem(ProblemKind.NO_MEMBERS, responses, group=None)
        problem = self.problem(
            ProblemKind.GROUP_UNREADABLE, responses, fresh=False, error="timeout"
        )
        self.assertIn("the last known version is shown: timeout", problem.text)
        self.problem(ProblemKind.GROUP_UNREADABLE, responses, group=None, error="timeout")

    def test_watchers_and_platform(self):
        """Guards against changes that are applied late without a reason in the status."""
        self.observe(group(*[Shard("a:1", 1)] * 4), 100)
        not_watching = make_responses(
            make_status("a", watching=False), make_status("b", watching=False)
        )
        self.problem(ProblemKind.NO_WATCHER, not_watching)
        self.assertEqual(fleet_problems(not_watching, None), ())
        outage = make_responses(make_status("a", platform_unavailable_s=3.0), make_status("b"))
        (problem,) = fleet_problems(outage, 3.0)
        self.assertIn("has not responded to 1 of 2 agents for 3.0 s", problem.text)


class HistoryTest(unittest.TestCase):
    def test_takeover_differs_from_handover(self):
        """Guards against handovers that are reported as takeovers, and the reverse."""
        histories = GroupHistories()
        initial = group(Shard("a:1", 1), Shard("b:1", 1))
        leaving = replace(initial.members["b:1"], state=MemberState.LEAVING)
        histories.observe(VersionedGroup(1, initial), 1)
        handed_over = replace(initial, shards=(Shard("a:1", 1), Shard("a:1", 2)))
        histories.observe(VersionedGroup(2, handed_over), 2)
        taken_over = group(Shard("b:1", 2), Shard("b:1", 3), members="b")
        histories.observe(VersionedGroup(3, taken_over), 3)
        history = histories.of(GROUP_ID)
        self.assertTrue(history.origins[0].taken_over)
        self.assertEqual(history.origins[1].previous_owner, "a:1")
        self.assertEqual([loss.member_id for loss in history.losses], ["a:1"])
        left = replace(taken_over, members={"b:1": leaving})
        histories.observe(VersionedGroup(4, left), 4)
        histories.observe(VersionedGroup(5, group(Shard(), Shard(), members="")), 5)
        self.assertEqual([loss.member_id for loss in histories.of(GROUP_ID).losses], ["a:1"])
        self.assertEqual(histories.of(GROUP_ID).unowned_since(0), (5, "b:1"))

    def test_memory_is_bounded_by_the_shards(self):
        """Guards against accumulating records of shards that no longer exist."""
        histories = GroupHistories()
        many = group(*[Shard("a:1", 1, "b:1")] * 100)
        histories.observe(VersionedGroup(1, many), 1)
        histories.observe(VersionedGroup(2, group(Shard("a:1", 1, "b:1"))), 2)
        self.assertIsNone(histories.of(GROUP_ID).moving_since(50))
        self.assertEqual(histories.of(GROUP_ID).moving_since(0), 1)


class ExplanationTest(unittest.TestCase):
    def explain(self, shard: Shard, *statuses: AgentStatus, **fields):
        explained_group = group(*[shard] * 5, **fields)
        view = GroupView(GROUP_ID, VersionedGroup(3, explained_group), True, "")
        return explain_key(ENTRY.entry, "k", view, make_responses(*statuses), "a:1")

    def test_reasons_and_refusals(self):
        """Guards against explanations that contradict what a request to the key would get."""
        epochs = dict.fromkeys(range(5), 4)
        serving_status = make_status("b", shards=epochs)
        origin = OriginStatus("c:1", True, 3.0)
        taken_over = replace(serving_status, origins=dict.fromkeys(range(5), origin))
        handed_over = replace(
            serving_status, origins=dict.fromkeys(range(5), replace(origin, taken_over=False))
        )
        successor = make_status("a", shards=dict.fromkeys(range(5), 5))
        owned, moving = Shard("b:1", 4), Shard("b:1", 4, "a:1")
        cases = [
            (owned, (serving_status,), [Reason.PLACED], None),
            (owned, (taken_over,), [Reason.TAKEN_OVER], None),
            (owned, (handed_over,), [Reason.HANDED_OVER], None),
            (replace(owned, hold_ms=100), (serving_status,), [Reason.PLACED, Reason.HOLD], None),
            (owned, (make_status("b"),), [Reason.PLACED], "shard_moving"),
            (Shard("b:1", 5), (serving_status,), [Reason.PLACED], "shard_moving"),
            (
                owned,
                (replace(serving_status, lease_held=False),),
                [Reason.PLACED],
                "lease_expired",
            ),
            (owned, (), [Reason.PLACED], "owner_unreachable"),
            (moving, (serving_status,), [Reason.PLACED, Reason.MOVING], "shard_moving"),
            (moving, (make_status("b"), successor), [Reason.PLACED, Reason.MOVING], None),
            (Shard(), (serving_status,), [Reason.NO_OWNER], "no_owner"),
        ]
        for shard, statuses, reasons, refusal in cases:
            with self.subTest(shard=shard, refusal=refusal):
                explanation = self.explain(shard, *statuses)
                self.assertEqual(list(explanation.reasons), reasons)
                self.assertEqual(
                    (explanation.refusal, explanation.served), (refusal, refusal is None)
                )

    def test_exception_and_unknown_group(self):
        """Guards against hot keys whose explanation names the shard of their hash."""
        serving_status = make_status("b", shards={4: 4})
        explanation = self.explain(Shard("b:1", 4), serving_status, exceptions={"k": 4})
        self.assertEqual((explanation.shard, explanation.reasons[0]), (4, Reason.EXCEPTION))
        view = GroupView(GROUP_ID, None, False, "timeout")
        explanation = explain_key(ENTRY.entry, "k", view, make_responses(), "a:1")
        self.assertEqual((explanation.served, explanation.refusal), (False, "no_owner"))
        self.assertIn("could not be read: timeout", explanation.text)


class StatusReplyTest(unittest.TestCase):
    def test_round_trip(self):
        """Guards against statuses that are altered by their encoding."""
        status = make_status("a", shards={3: 4}, origins={3: OriginStatus("b:1", True, 1.5)})
        (reply,) = FrameDecoder().feed(FrameEncoder().encode(StatusReply(1, to_map(status))))
        self.assertEqual(from_map(reply.status, AgentStatus), status)
        newer = to_map(status) | {"a_later_field": 1}
        self.assertEqual(from_map(newer, AgentStatus), status)

    def test_malformed_status(self):
        """Guards against a malformed reply of one peer that fails the status of all others."""
        for malformed in (
            {},
            to_map(make_status("a")) | {"shards": 3},
            to_map(make_status("a")) | {"state": "odd"},
        ):
            with self.assertRaises(MalformedMessageError):
                from_map(malformed, AgentStatus)
