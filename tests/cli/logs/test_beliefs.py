"""Tests of the beliefs that are derived from the log of an agent."""

from __future__ import annotations

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

from fescueward import docs
from fescueward.cli.logs import beliefs, route
from fescueward.cli.logs.beliefs import BELIEF_EVENTS, Belief, Beliefs, BeliefTracker
from fescueward.cli.logs.files import read_lines
from fescueward.cli.logs.search import _REFUSAL_EVENTS
from fescueward.kernel import events

from .samples import EVENTS, line


class BeliefsTest(unittest.TestCase):
    def beliefs_at(
        self, text: str, at_s: float, key: str = "", shard: int | None = None
    ) -> Beliefs:
        """Returns the beliefs after the log lines of `text`, `at_s` seconds into the minute."""
        with TemporaryDirectory() as directory:
            path = Path(directory) / "a.log"
            path.write_text(text + line(at_s, "request_run"))
            lines = [log_line for log_line in read_lines(path, 0) if log_line is not None]
        tracker = BeliefTracker()
        for log_line in lines[:-1]:
            tracker.observe(log_line)
        return tracker.beliefs(lines[-1].at, "depot", key, shard)

    def test_latest_value_and_its_age(self):
        """Guards against an outdated value, and an age that is counted from another line."""
        text = (
            line(1, "configuration_applied", version=2)
            + line(2, "group_changed", group="depot/0", version=7, members=4)
            + line(3, "group_changed", group="orders/0", version=9, members=6)
            + line(4, "lease_held", member="a:1")
            + line(5, "configuration_applied", version=3)
            + line(6, "lease_expired", member="a:1")
        )
        latest = self.beliefs_at(text, 8)
        self.assertEqual(latest.configuration, Belief("version 3", 3.0))
        self.assertEqual(latest.group, Belief("version 7, 4 members", 6.0))
        self.assertEqual(latest.lease, Belief("expired", 2.0))
        self.assertIsNone(latest.load)

    def test_entry_of_the_service_goes_before_the_configuration(self):
        """Guards against the entry version of another service."""
        text = line(1, "entry_applied", service="depot", version=4) + line(
            2, "entry_applied", service="orders", version=9
        )
        self.assertEqual(self.beliefs_at(text, 2).configuration, Belief("entry version 4", 1.0))

    def test_grant_of_the_key(self):
        """Guards against the grant of another range, and a grant that was released later."""
        text = (
            line(1, "range_active", first=0, last=99, epoch=5)
            + line(2, "range_active", first=100, last=199, epoch=6)
            + line(3, "range_released", first=100, last=199, epoch=6)
            + line(4, "range_active", first=150, last=160, epoch=8)
        )
        cases = {
            "99": Belief("range 0-99 held, epoch 5", 4.0),
            "100": Belief("range 100-199 released, epoch 6", 2.0),
            "155": Belief("range 150-160 held, epoch 8", 1.0),
            "200": None,
            "": None,
            "k-1": None,
        }
        for key, expected in cases.items():
            self.assertEqual(self.beliefs_at(text, 5, key).grant, expected, key)

    def test_grant_of_the_shard(self):
        """Guards against the grant of another shard."""
        text = line(1, "shard_taken", shard=3, epoch=5) + line(2, "shard_releasing", shard=4)
        grant = self.beliefs_at(text, 5, "k", 3).grant
        self.assertEqual(grant, Belief("shard 3 taken over, epoch 5", 4.0))

    def test_load(self):
        """Guards against a known load that a refusal without an occupancy clears."""
        refused = line(1, "request_not_run", occupancy="Occupancy(running=6)")
        refused += line(2, "request_not_run", occupancy=None)
        self.assertEqual(self.beliefs_at(refused, 3).load, Belief("Occupancy(running=6)", 2.0))
        reduced = refused + line(2, "slots_reduced", limit=3, slots=6)
        self.assertEqual(self.beliefs_at(reduced, 3).load, Belief("3 of 6 slots", 1.0))
        slow = reduced + line(3, "slow_start", usable=1, slots=6)
        self.assertEqual(self.beliefs_at(slow, 3).load, Belief("1 of 6 slots", 0.0))

    def test_state(self):
        """Guards against a stopping agent that is shown as not ready only."""
        self.assertIsNone(self.beliefs_at("", 1).state)
        waiting = line(1, "not_ready", stopping=False)
        self.assertEqual(self.beliefs_at(waiting, 1).state, Belief("not ready", 0.0))
        stopping = waiting + line(2, "not_ready", stopping=True)
        self.assertEqual(self.beliefs_at(stopping, 2).state, Belief("stopping", 0.0))
        finishing = stopping + line(3, "shutdown_phase", phase="finishing", open=2)
        self.assertEqual(self.beliefs_at(finishing, 5).state, Belief("stopping, finishing", 2.0))

    def test_memory_is_bounded(self):
        """Guards against memory that grows with the number of grants and groups in a log."""
        with mock.patch.object(beliefs, "_MAX_GRANTS", 2):
            text = "".join(
                line(at_s, "range_active", first=at_s * 10, last=at_s * 10 + 9, epoch=1)
                for at_s in range(1, 4)
            )
            self.assertIsNone(self.beliefs_at(text, 5, "15").grant)
            self.assertIsNotNone(self.beliefs_at(text, 5, "25").grant)

    def test_events_exist(self):
        """Guards against renamed events, whose log lines would be ignored without an error."""
        docs.pages()  # imports all modules, so that all events are declared
        numbers = {event.name: event.number for event in events()}
        names = {
            *BELIEF_EVENTS,
            *_REFUSAL_EVENTS,
            *route._SENT_EVENTS,
            *route._FINAL_EVENTS,
        }
        self.assertEqual(names - set(numbers), set())
        for name, number in EVENTS.items():
            self.assertEqual(numbers[name], number, name)
