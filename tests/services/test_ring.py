"""Tests of the choice of monitors."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from fescueward.messages import Group, Member, MemberState
from fescueward.services.ring import fill_monitors, transfer_monitored


def _member(number: int, domain: int) -> Member:
    name = f"a{number:02}"
    return Member(f"{name}:1", name, 1, f"b{number}", "h", 1, "h", 1, f"d{domain}", 4, 9)


def _joined(order: list[int], domains: int) -> Group:
    group = Group("depot", 0, 4)
    for number in order:
        member = _member(number, number % domains)
        group = fill_monitors(replace(group, members={**group.members, member.id: member}))
    return group


def _settle(group: Group) -> tuple[Group, int]:
    for round_number in range(60):
        before = group
        for member_id in sorted(group.members):
            group, _ = transfer_monitored(group, member_id)
        if group == before:
            return group, round_number
    raise AssertionError("transfers do not end")


def _mutual(group: Group) -> list[str]:
    members = group.members
    return [m.id for m in members.values() for o in m.monitors if m.id in members[o].monitors]


def _same_domain(group: Group) -> list[str]:
    domain = {member.id: member.failure_domain for member in group.members.values()}
    return [m.id for m in group.members.values() for o in m.monitors if domain[o] == domain[m.id]]


class RingTest(unittest.TestCase):
    def test_join_changes_no_live_monitor(self):
        """Guards against a join that ends the role of a monitor without its consent."""
        group = _joined([0, 1, 2, 3], 2)
        joined = _joined([0, 1, 2, 3, 4], 2)
        for member_id, member in group.members.items():
            self.assertEqual(
                joined.members[member_id].monitors[: len(member.monitors)], member.monitors
            )

    def test_transfers_end_without_pairs_that_monitor_each_other(self):
        """Guards against losses of two members that nobody can repair."""
        for count in (5, 6, 7, 9, 16, 32):
            for seed in range(20):
                order = list(range(count))
                random.Random(seed).shuffle(order)
                with self.subTest(count=count, seed=seed):
                    group, _ = _settle(_joined(order, 3))
                    self.assertEqual(_mutual(group), [])
                    self.assertTrue(all(len(m.monitors) == 2 for m in group.members.values()))

    def test_two_domains_monitor_each_other(self):
        """Guards against the loss of a domain that holds the monitors of its own members."""
        for count in (4, 6, 8):
            for seed in range(20):
                order = list(range(count))
                random.Random(seed).shuffle(order)
                with self.subTest(count=count, seed=seed):
                    self.assertEqual(_same_domain(_settle(_joined(order, 2))[0]), [])

    def test_one_monitor_at_a_time_gives_a_member_up(self):
        """Guards against both monitors that stop acknowledging before an outage."""
        for seed in range(40):
            order = list(range(6))
            random.Random(seed).shuffle(order)
            group = _joined(order, 3)
            given = [
                member_id
                for monitor_id in group.members
                for member_id in transfer_monitored(group, monitor_id)[1]
            ]
            self.assertEqual(len(given), len(set(given)))

    def test_leaving_member_gets_nobody(self):
        """Guards against monitors that are about to resign."""
        group = _joined([0, 1, 2], 3)
        leaving = replace(group.members["a01:1"], state=MemberState.LEAVING)
        bare = {m.id: replace(m, monitors=()) for m in group.members.values()}
        filled = fill_monitors(
            replace(group, members={**bare, "a01:1": replace(leaving, monitors=())})
        )
        for member in filled.members.values():
            self.assertNotIn("a01:1", member.monitors)
