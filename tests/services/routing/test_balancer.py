"""Choice among upstreams without keys."""

import unittest
from dataclasses import replace

from fescueward.messages import MemberState
from fescueward.messages.request import Occupancy
from fescueward.services.routing.balancer import Ask, Balancer
from tests.services.groups_for_tests import member

NONE = frozenset()
PAGE = Ask(0, 400.0)
UPLOAD = Ask(60_000, 500.0)


def at(name: str, domain: str):
    return replace(member(name), failure_domain=domain)


class BalancerTest(unittest.TestCase):
    def setUp(self):
        self.balancer = Balancer("lowell")
        self.near, self.far = at("near", "lowell"), at("far", "nashua")
        self.members = (self.far, self.near)

    def report(self, found, running, waiting=0, run_ms=100.0, now=10.0):
        self.balancer.started(found.id)
        self.balancer.ended(found.id, Occupancy(running, waiting, 6, run_ms), run_ms, now)

    def test_own_failure_domain_comes_first(self):
        """Guards against priced bytes between domains while a near server has room."""
        self.report(self.near, 3, run_ms=150.0)
        self.report(self.far, 0, run_ms=100.0)
        chosen = self.balancer.choose(self.members, NONE, 10.0, PAGE)
        self.assertEqual(chosen, self.near)

    def test_full_server_is_left_for_a_remote_one(self):
        """Guards against answers that are late because their bytes are cheap."""
        self.report(self.near, 6, waiting=12)
        self.report(self.far, 0)
        self.assertEqual(self.balancer.choose(self.members, NONE, 10.0, PAGE), self.far)

    def test_old_report_counts_less_than_own_requests(self):
        """Guards against a queue that was reported once and avoided for ever."""
        self.report(self.near, 6, waiting=12)
        self.report(self.far, 0)
        self.assertEqual(self.balancer.choose(self.members, NONE, 12.0, PAGE), self.near)

    def test_large_body_stays_near_longer(self):
        """Guards against uploads that cross domains for a small gain of time."""
        self.report(self.near, 6, waiting=4)
        self.report(self.far, 0)
        self.assertEqual(self.balancer.choose(self.members, NONE, 10.0, UPLOAD), self.near)

    def test_tried_and_leaving_members_are_left_out(self):
        """Guards against a second offer to the member that just refused."""
        tried = frozenset({self.near.id})
        self.assertEqual(self.balancer.choose(self.members, tried, 10.0, PAGE), self.far)
        gone = replace(self.far, state=MemberState.LEAVING)
        self.assertIsNone(self.balancer.choose((self.near, gone), tried, 10.0, PAGE))

    def test_refusing_member_is_passed_over_for_a_moment(self):
        """Guards against a queue of requests at a server that has just refused one."""
        self.balancer.avoid(self.near.id, 10.0, unreachable=False)
        self.assertEqual(self.balancer.choose(self.members, NONE, 10.1, PAGE), self.far)
        self.assertEqual(self.balancer.choose(self.members, NONE, 10.2, PAGE), self.near)
