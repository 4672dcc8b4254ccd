"""Tests of the removal of members by the operator's statement in the entry."""

from __future__ import annotations

import unittest
from dataclasses import replace

from fescueward.messages import VersionedEntry

from .fleet import Fleet
from .test_recovery_time import start_fleet
from .timed_fakes import ResponseMode


def _set_recovery_counter(fleet: Fleet, counter: int) -> None:
    entry = fleet.catalogue.entry("depot")
    fleet.catalogue.current = VersionedEntry(
        entry.version + 1, replace(entry.entry, recovery=counter)
    )


class RecoveryTest(unittest.TestCase):
    def test_statement_removes_members_that_monitored_each_other(self):
        """Guards against a group that stays blocked after the loss of two of three members."""
        fleet = start_fleet(3, 3)
        for name in ("a0", "a1"):
            fleet.kill(name)
        self.assertIsNone(fleet.time_until_served(6))
        _set_recovery_counter(fleet, 1)
        self.assertIsNotNone(fleet.time_until_served(9), fleet.owners())
        self.assertEqual(fleet.group().recovery, 1)
        self.assertEqual(len(fleet.group().members), 1)

    def test_statement_after_the_loss_of_all_members(self):
        """Guards against new VMs that cannot serve a group whose members are all lost."""
        fleet = start_fleet(4, 2)
        for name in list(fleet.agents):
            fleet.kill(name)
        for number in (7, 8):
            fleet.start(f"a{number}", f"d{number % 2}")
        self.assertIsNone(fleet.time_until_served(6))
        _set_recovery_counter(fleet, 1)
        self.assertIsNotNone(fleet.time_until_served(9), fleet.owners())
        self.assertEqual(len(fleet.group().members), 2)

    def test_statement_spares_members_that_answer_or_renew(self):
        """Guards against a mistaken statement that removes members that still serve."""
        for scenario in ("answer", "renew by writes", "renew by monitors", "resume"):
            with self.subTest(scenario):
                fleet = start_fleet(4, 2)
                before = set(fleet.group().members)
                if scenario == "renew by writes":
                    fleet.cut("a0", fleet.agents)
                elif scenario == "renew by monitors":
                    monitors = fleet.group().members[fleet.agents["a0"].member_id].monitors
                    names = [monitor.split(":")[0] for monitor in monitors]
                    fleet.cut("a0", [name for name in fleet.agents if name not in names])
                    fleet.agents["a0"].platform.response_mode = ResponseMode.IGNORED
                elif scenario == "resume":
                    fleet.world.paused.add("a0")
                _set_recovery_counter(fleet, 1)
                fleet.world.advance(1)
                fleet.world.paused.clear()
                fleet.world.advance(11)
                self.assertEqual(fleet.group().recovery, 1)
                self.assertEqual(set(fleet.group().members), before)

    def test_one_statement_acts_once(self):
        """Guards against members that are lost later and removed by an old statement."""
        fleet = start_fleet(3, 3)
        _set_recovery_counter(fleet, 1)
        fleet.world.advance(8)
        self.assertEqual(fleet.group().recovery, 1)
        for name in ("a0", "a1"):
            fleet.kill(name)
        fleet.world.advance(6)
        self.assertEqual(len(fleet.group().members), 3)
