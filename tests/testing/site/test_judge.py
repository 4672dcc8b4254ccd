"""Tests that the judge finds each kind of breach, and no breach without one."""

from __future__ import annotations

import unittest
from dataclasses import replace

from fescueward.testing.site.judge import Rule, judge
from fescueward.testing.site.records import (
    Attempt,
    Departure,
    Disturbance,
    Evidence,
    Hold,
    ProcessEvent,
    Run,
    Signal,
    Stall,
    receipt,
)

SERVED = Attempt(
    id="r1",
    agent="a",
    life=1,
    route="orders",
    repeatable=False,
    sent=10.0,
    ended=10.5,
    timeout_s=2.0,
    status=200,
    receipt=receipt("i-1", "r1", 200),
    echo="r1",
    whole=True,
)
RUN = Run(id="r1", instance="i-1@5", machine="b", started=10.1, ended=10.4, status=200)
CUT = replace(SERVED, status=0, receipt="", echo="", whole=False, error="ServerDisconnectedError")
TERM = ProcessEvent(agent="a", life=1, signal=Signal.TERM, at=9.0)
HOLD = Hold(
    service="s", instance="i-1@5", machine="a", first=0, last=9, fence=3, since=1.0, until=9.0
)


class JudgeTest(unittest.TestCase):
    def assert_finds(self, *rules: Rule, **evidence):
        found = judge(Evidence(**evidence))
        self.assertEqual([breach.rule for breach in found], list(rules), found)

    def test_sound_evidence_has_no_breach(self):
        """Guards against a judge that sees breaches in ordinary work."""
        self.assert_finds(attempts=[SERVED], runs=[RUN], processes=[TERM], holds=[HOLD])

    def test_request_cut_after_stop_signal(self):
        """Guards against a judge that misses requests which a stopping agent leaves behind."""
        self.assert_finds(Rule.LOST, attempts=[CUT], runs=[RUN], processes=[TERM])
        self.assert_finds(Rule.LOST, attempts=[CUT], processes=[TERM])
        at_work = replace(SERVED, status=502, receipt="")
        running = replace(RUN, ended=11.0)
        self.assert_finds(Rule.LOST, attempts=[at_work], runs=[running], processes=[TERM])

    def test_cuts_that_are_permitted(self):
        """Guards against breaches for crossed closes, crashes, kills and the last moments."""
        self.assert_finds(attempts=[replace(CUT, ended=10.1)], processes=[TERM])
        self.assert_finds(
            attempts=[CUT], runs=[replace(RUN, ended=10.5, status=0)], processes=[TERM]
        )
        kill = replace(TERM, signal=Signal.KILL, at=10.5)
        self.assert_finds(attempts=[CUT], runs=[RUN], processes=[TERM, kill])
        early = replace(TERM, at=5.3)
        self.assert_finds(
            attempts=[replace(CUT, sent=8.2, ended=10.8, timeout_s=4)],
            runs=[replace(RUN, ended=10.7)],
            processes=[early],
        )

    def test_stall_of_the_emulator(self):
        """Guards against breaches that only a late emulator sees, and ones that it hides."""
        stall = Stall(10.1, 10.4)
        self.assert_finds(attempts=[CUT], processes=[TERM], stalls=[stall])
        self.assert_finds(Rule.LOST, attempts=[CUT], runs=[RUN], processes=[TERM], stalls=[stall])

    def test_outage_of_the_store_excuses_only_keyed_requests(self):
        """Guards against a judge that takes a store outage for an excuse."""
        down = Disturbance(machine="", since=5.0, until=15.0, what="store", store=True)
        evidence = {"runs": [RUN], "processes": [TERM], "disturbances": [down]}
        self.assert_finds(Rule.LOST, attempts=[CUT], **evidence)
        self.assert_finds(attempts=[replace(CUT, key=3)], **evidence)

    def test_second_run(self):
        """Guards against a judge that misses a payment which ran twice."""
        again = replace(RUN, instance="i-2@5", machine="c")
        self.assert_finds(Rule.TWICE, attempts=[SERVED], runs=[RUN, again])
        self.assert_finds(attempts=[replace(SERVED, repeatable=True)], runs=[RUN, again])

    def test_refusal_of_a_request_that_ran(self):
        """Guards against a judge that believes an untrue refusal."""
        refused = replace(SERVED, status=503, receipt="")
        self.assert_finds(Rule.REFUSED, attempts=[refused], runs=[RUN])

    def test_double_ownership(self):
        """Guards against a judge that misses two holders of one key, or an old epoch."""
        second = replace(HOLD, instance="i-2@5", machine="b", fence=4, since=8.0, until=12.0)
        self.assert_finds(Rule.OWNER, holds=[HOLD, second])
        brief = replace(second, since=8.9)
        self.assert_finds(holds=[HOLD, brief])
        runs = [
            replace(RUN, key=4, started=8.95),
            replace(RUN, id="r2", key=5, instance="i-2@5", started=8.95),
        ]
        self.assert_finds(Rule.OWNER, holds=[HOLD, brief], runs=runs)
        stale = replace(second, fence=3, since=9.5)
        self.assert_finds(Rule.OWNER, holds=[HOLD, stale])
        thawed = ProcessEvent(agent="b", life=1, signal=Signal.CONTINUE, at=7.9)
        self.assert_finds(holds=[HOLD, second], processes=[thawed])

    def test_mixed_answers(self):
        """Guards against a judge that accepts answers of other requests or cut bodies."""
        for wrong in (
            replace(SERVED, receipt=""),
            replace(SERVED, receipt=receipt("i-1", "r2", 200)),
            replace(SERVED, status=500),
            replace(SERVED, echo="r2"),
            replace(SERVED, whole=False),
        ):
            with self.subTest(wrong=wrong):
                self.assert_finds(Rule.MIXED, attempts=[wrong], runs=[RUN])

    def test_work_after_acknowledged_leave(self):
        """Guards against a judge that misses new work for an upstream that has left."""
        left = Departure(instance="i-1@5", machine="b", acknowledged=8.0)
        self.assert_finds(Rule.DRAIN, attempts=[SERVED], runs=[RUN], departures=[left])
        late = replace(left, acknowledged=8.2)
        self.assert_finds(attempts=[SERVED], runs=[RUN], departures=[late])

    def test_configuration_that_goes_back(self):
        """Guards against a judge that misses an agent which serves an old version again."""
        new = replace(SERVED, route="version-2", repeatable=True)
        old = replace(new, id="r2", route="version-1", sent=10.9, ended=11.0)
        old = replace(old, receipt=receipt("i-1", "r2", 200), echo="r2")
        evidence = {
            "runs": [RUN, replace(RUN, id="r2")],
            "versions": {"version-1": 1, "version-2": 2},
        }
        self.assert_finds(Rule.CONFIG, attempts=[new, old], **evidence)
        self.assert_finds(attempts=[new, replace(old, life=2)], **evidence)
        self.assert_finds(attempts=[new, replace(old, sent=10.7)], **evidence)

    def test_stop_beyond_the_grace_time(self):
        """Guards against a judge that accepts agents which have to be killed."""
        forced = ProcessEvent(agent="a", life=1, signal=Signal.EXIT, at=15.0, forced=True)
        self.assert_finds(Rule.GRACE, processes=[TERM, forced])
        paused = replace(TERM, signal=Signal.PAUSE, at=10.0)
        self.assert_finds(processes=[TERM, paused, forced])
