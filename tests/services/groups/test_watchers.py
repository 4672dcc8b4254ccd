"""Tests of the choice of the members that watch the platform."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

from fescueward.messages.peer import Versions, WatchStatus
from fescueward.services.groups.watch_duty import WatchDuty
from fescueward.services.groups.watchers import (
    DEPUTY_STATUS_TIMEOUT_S,
    STATUS_TIMEOUT_S,
    WATCHER_COUNT,
    WatcherRoster,
)
from tests.services.groups_for_tests import member

FLEET_SIZE = 196
STATUS_PERIOD_S = 1.0
DEPUTY_STATUS_PERIOD_S = 0.25
DOMAINS = 3
CALL_TIMEOUT_S = 1.5
STEP_S = 0.05
# A configuration must reach all agents within 2 s; a watch call and its publication fit into 1 s.
REPLACEMENT_BOUND_S = 1.0


class Fleet:
    """Rosters of a fleet, whose watchers send each status to all others at once."""

    def __init__(self, size=FLEET_SIZE):
        self.now = 100.0
        self.members = {
            f"m{number:03}:1": replace(
                member(f"m{number:03}"), failure_domain=f"d{number % DOMAINS}"
            )
            for number in range(size)
        }
        self.rosters = {member_id: WatcherRoster() for member_id in self.members}
        self.silent = set()
        self.refused = set()
        self.healthy = set()
        self.next_status_at = dict.fromkeys(self.members, self.now)
        self.next_deputy_status_at = dict.fromkeys(self.members, self.now)
        # Members that get the statuses of a watcher more often, by the watcher.
        self.deputies = {}
        self.attempts = 0
        for roster in self.rosters.values():
            roster.expect_statuses(self.now)

    def watching(self):
        """Ids of the live members that take themselves for watchers."""
        return [
            member_id
            for member_id, roster in self.rosters.items()
            if member_id not in self.silent
            and any(
                chosen.id == member_id
                for chosen in roster.watchers(self.members, member_id, self.now)
            )
        ]

    def send(self, sender, healthy):
        roster = self.rosters[sender]
        self.deputies[sender] = {
            chosen.id
            for chosen in (
                *roster.watchers(self.members, sender, self.now),
                *roster.deputies(self.members, sender, self.now),
            )
        }
        for member_id, roster in self.rosters.items():
            if member_id not in self.deputies[sender]:
                roster.record_status(sender, healthy, self.now)
        self.send_to_deputies(sender, healthy)

    def send_to_deputies(self, sender, healthy):
        self.next_deputy_status_at[sender] = self.now + DEPUTY_STATUS_PERIOD_S
        for member_id in self.deputies[sender]:
            self.rosters[member_id].record_status(
                sender, healthy, self.now, DEPUTY_STATUS_TIMEOUT_S
            )

    def advance(self, duration_s):
        """Lets watchers call the platform and send their statuses; returns the most at a time."""
        most = 0
        end = self.now + duration_s
        while self.now < end:
            watching = self.watching()
            most = max(most, len(watching))
            for member_id in watching:
                self._watch(member_id)
            self.healthy &= set(watching)
            self.now += STEP_S
        return most

    def _watch(self, member_id):
        if member_id in self.refused:
            self.attempts += 1
            if member_id in self.healthy:
                self.healthy.discard(member_id)
                self.send(member_id, False)
            else:
                self.rosters[member_id].record_status(member_id, False, self.now)
            return
        self.rosters[member_id].record_status(member_id, True, self.now)
        if member_id not in self.healthy or self.now >= self.next_status_at[member_id]:
            self.healthy.add(member_id)
            self.next_status_at[member_id] = self.now + STATUS_PERIOD_S
            self.send(member_id, True)
        elif self.now >= self.next_deputy_status_at[member_id]:
            self.send_to_deputies(member_id, True)


class WatcherRosterTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.fleet.advance(5)

    def test_two_members_watch(self):
        """Each watcher costs a platform call for each change."""
        self.assertEqual(["m000:1", "m001:1"], self.fleet.watching())

    def test_silent_watchers_are_replaced_by_few(self):
        """After the loss of both watchers every agent listed the platform and dialled all others.

        Seen on merrimack-siphon-grown quiet-1: 270 lists and 3,561 new streams of 86 agents.
        """
        self.fleet.silent = {"m000:1", "m001:1"}
        most = self.fleet.advance(STATUS_TIMEOUT_S + 1)
        self.assertEqual(WATCHER_COUNT, len(self.fleet.watching()))
        self.assertLessEqual(most, 2 * WATCHER_COUNT)

    def test_silent_watchers_are_replaced_within_the_bound(self):
        """Guards against a configuration that no agent reads for three missing statuses."""
        self.fleet.silent = {"m000:1", "m001:1"}
        self.fleet.advance(REPLACEMENT_BOUND_S)
        self.assertGreaterEqual(len(self.fleet.watching()), 1)

    def test_silent_watchers_are_replaced_by_members_that_have_just_joined(self):
        """Guards against agents that keep the old configuration after a rolling restart (CONFIG).

        A new member took the first ones for watchers for 3 s, whatever their statuses said.
        """
        for ahead_s in (0.05, 0.5, 1.0, 2.0):
            with self.subTest(ahead_s=ahead_s):
                self.fleet = Fleet()
                self.fleet.advance(5)
                for member_id in list(self.fleet.members)[:6]:
                    self.fleet.rosters[member_id] = WatcherRoster()
                    self.fleet.rosters[member_id].expect_statuses(self.fleet.now)
                self.fleet.advance(ahead_s)
                self.fleet.silent = {"m000:1", "m001:1"}
                self.fleet.advance(REPLACEMENT_BOUND_S)
                self.assertGreaterEqual(len(self.fleet.watching()), 1)

    def test_silent_watchers_have_the_last_turns(self):
        """Guards against replacements that wait for the turns of those that they replace."""
        self.fleet.silent = {"m000:1", "m001:1"}
        self.fleet.now += DEPUTY_STATUS_TIMEOUT_S
        roster = self.fleet.rosters["m002:1"]
        deputies = roster.deputies(self.fleet.members, "m002:1", self.fleet.now)
        self.assertEqual("m002:1", deputies[0].id)

    def test_lost_domain_of_the_first_members(self):
        """Guards against deputies that end together with the watchers."""
        lost = [id_ for id_, one in self.fleet.members.items() if one.failure_domain == "d0"]
        self.fleet.silent = {*lost, "m001:1"}
        self.fleet.advance(REPLACEMENT_BOUND_S)
        self.assertGreaterEqual(len(self.fleet.watching()), 1)

    def test_fleet_smaller_than_its_deputies(self):
        """Guards against members without a turn."""
        fleet = Fleet(3)
        fleet.advance(5)
        fleet.silent = {"m000:1", "m001:1"}
        fleet.advance(REPLACEMENT_BOUND_S)
        self.assertEqual(["m002:1"], fleet.watching())

    def test_watcher_whose_watch_fails_is_replaced_within_the_bound(self):
        """A watcher that the store refused was replaced only after three missing statuses."""
        self.fleet.refused = {"m000:1", "m001:1"}
        self.fleet.advance(REPLACEMENT_BOUND_S)
        self.assertGreaterEqual(len(set(self.fleet.watching()) - self.fleet.refused), 1)

    def test_working_watcher_goes_on_beside_one_that_fails(self):
        """The failure of one watcher must not interrupt the other."""
        self.fleet.refused = {"m000:1"}
        for _ in range(40):
            self.fleet.advance(STEP_S)
            self.assertIn("m001:1", self.fleet.watching())

    def test_half_of_the_agents_refused(self):
        """Candidates that are refused must not hold up those behind them."""
        self.fleet.refused = set(list(self.fleet.members)[::2]) | {"m001:1"}
        self.fleet.advance(REPLACEMENT_BOUND_S)
        self.assertGreaterEqual(len(set(self.fleet.watching()) - self.fleet.refused), 1)

    def test_outage_for_all_causes_few_calls(self):
        """In an outage each agent called the platform four times a second."""
        self.fleet.refused = set(self.fleet.members)
        self.fleet.advance(10)
        self.assertLess(self.fleet.attempts / 10, FLEET_SIZE / 4)
        self.fleet.refused = set()
        self.fleet.advance(2)
        self.assertGreaterEqual(len(self.fleet.watching()), 1)

    def test_refused_members_do_not_try_again_while_two_others_watch(self):
        """Guards against members before the watchers in order that call the store every second."""
        refused = set(list(self.fleet.members)[:10])
        self.fleet.refused = refused
        self.fleet.advance(5)
        self.assertEqual(WATCHER_COUNT, len(set(self.fleet.watching()) - refused))
        attempts = self.fleet.attempts
        self.fleet.advance(4)
        self.assertEqual(attempts, self.fleet.attempts)
        self.fleet.refused = set()
        self.assertEqual(WATCHER_COUNT, self.fleet.advance(2))

    def test_failed_watcher_is_no_healthy_one(self):
        """Agents send statuses to restarted ones themselves once no watcher does."""
        roster = self.fleet.rosters["m100:1"]
        self.assertTrue(roster.has_healthy_watcher(self.fleet.members, self.fleet.now))
        roster.record_status("m000:1", False, self.fleet.now)
        roster.record_status("m001:1", False, self.fleet.now)
        self.assertFalse(roster.has_healthy_watcher(self.fleet.members, self.fleet.now))


class NewMemberTest(unittest.IsolatedAsyncioTestCase):
    async def test_members_that_join_get_a_status_soon(self):
        """Guards against deputies that know no watcher for a second after their join (CONFIG)."""
        members = {f"m{number}:1": member(f"m{number}") for number in range(4)}
        sent = []
        now = 100.0

        async def sleep(seconds):
            nonlocal now
            now += seconds
            if 100.2 < now < 100.4:
                members["m2:2"] = member("m2", incarnation=2)
            if now > 100.9:
                raise TimeoutError

        duty = WatchDuty(
            SimpleNamespace(now=lambda: now, sleep=sleep),
            SimpleNamespace(
                send=lambda to, status: sent.append((now, to.id, status.timeout_ms)) or True,
                reply=lambda to, status: True,
            ),
            SimpleNamespace(member_id="m0:1", own_member=lambda: members["m0:1"]),
            lambda: SimpleNamespace(group=SimpleNamespace(members=members)),
            lambda: members,
            Versions,
        )
        duty.record_call(True)
        with self.assertRaises(TimeoutError):
            await duty.run_statuses()
        joined = [(at, timeout_ms) for at, id_, timeout_ms in sent if id_ == "m2:2"]
        self.assertEqual(joined[0], (100.25, round(DEPUTY_STATUS_TIMEOUT_S * 1000)))
        self.assertEqual(len(joined), 3)


class WatchDutyTest(unittest.TestCase):
    def test_report_of_a_member_that_does_not_watch_is_no_failure(self):
        """Guards against replacements of watchers that pass over each other for their reports."""
        members = {f"m{number}:1": member(f"m{number}") for number in range(4)}
        duty = WatchDuty(
            SimpleNamespace(now=lambda: 100.0),
            SimpleNamespace(),
            SimpleNamespace(member_id="m3:1"),
            lambda: SimpleNamespace(group=SimpleNamespace(members=members)),
            lambda: members,
            Versions,
        )
        duty.expect_statuses()
        for member_id in ("m0:1", "m1:1"):
            duty.record_status(WatchStatus(member_id, False, timeout_ms=0))
        self.assertEqual(["m0:1", "m1:1"], [watcher.id for watcher in duty.watchers()])
