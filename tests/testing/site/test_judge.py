"""Tests that the judge finds breaches of each rule and reports none for valid evidence."""

from __future__ import annotations

import unittest
from dataclasses import replace

from fescueward.testing.site.judge import Rule, judge
from fescueward.testing.site.records import (
    Arrival,
    Attempt,
    Departure,
    Disturbance,
    Evacuation,
    Evidence,
    Hold,
    ProcessEvent,
    RateLimit,
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
        breaches = judge(Evidence(**evidence))
        self.assertEqual([breach.rule for breach in breaches], list(rules), breaches)

    def test_sound_evidence_has_no_breach(self):
        """Guards against breaches that the judge reports for normal operation."""
        self.assert_finds(attempts=[SERVED], runs=[RUN], processes=[TERM], holds=[HOLD])

    def test_run_in_an_evacuated_domain(self):
        """Guards against a judge that misses requests to a domain that was to be evacuated."""
        evacuation = Evacuation(domain="d", machines=("b",), acknowledged=4.0, removed=12.0)
        evidence = {"attempts": [SERVED], "runs": [RUN]}
        self.assert_finds(Rule.EVAC, evacuations=[evacuation], **evidence)
        for other in (
            replace(evacuation, machines=("a",)),
            replace(evacuation, acknowledged=5.2),
            replace(evacuation, removed=10.0),
        ):
            self.assert_finds(evacuations=[other], **evidence)
        cut_off = Disturbance(machine="b", since=2.0, until=6.0, what="store-part", store=True)
        self.assert_finds(evacuations=[evacuation], disturbances=[cut_off], **evidence)

    def test_request_cut_after_stop_signal(self):
        """Guards against a judge that misses requests which a stopping agent does not answer."""
        self.assert_finds(Rule.LOST, attempts=[CUT], runs=[RUN], processes=[TERM])
        self.assert_finds(Rule.LOST, attempts=[CUT], processes=[TERM])
        bad_gateway = replace(SERVED, status=502, receipt="")
        running = replace(RUN, ended=11.0)
        self.assert_finds(Rule.LOST, attempts=[bad_gateway], runs=[running], processes=[TERM])

    def test_cuts_that_are_permitted(self):
        """Guards against breaches for cut-off requests that the platform's rules permit.

        A request may be cut off when it crosses the close of its connection, when its upstream
        crashes, when its agent is killed, and at the end of the grace time.
        """
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
        """Guards against breaches caused by late timestamps, and against hidden ones."""
        stall = Stall(10.1, 10.4)
        self.assert_finds(attempts=[CUT], processes=[TERM], stalls=[stall])
        self.assert_finds(Rule.LOST, attempts=[CUT], runs=[RUN], processes=[TERM], stalls=[stall])

    def test_outage_of_the_store_excuses_only_keyed_requests(self):
        """Guards against a judge that lets a store outage excuse requests without a key."""
        down = Disturbance(machine="", since=5.0, until=15.0, what="store", store=True)
        evidence = {"runs": [RUN], "processes": [TERM], "disturbances": [down]}
        self.assert_finds(Rule.LOST, attempts=[CUT], **evidence)
        self.assert_finds(attempts=[replace(CUT, key=3)], **evidence)

    def test_second_run(self):
        """Guards against a judge that misses a non-idempotent request which ran twice."""
        second = replace(RUN, instance="i-2@5", machine="c")
        self.assert_finds(Rule.TWICE, attempts=[SERVED], runs=[RUN, second])
        self.assert_finds(attempts=[replace(SERVED, repeatable=True)], runs=[RUN, second])

    def test_refusal_of_a_request_that_ran(self):
        """Guards against a judge that accepts a status 503 for a request which ran."""
        refused = replace(SERVED, status=503, receipt="")
        self.assert_finds(Rule.REFUSED, attempts=[refused], runs=[RUN])

    def test_double_ownership(self):
        """Guards against a judge that misses two holders of one key, or an outdated epoch."""
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
        resumed = ProcessEvent(agent="b", life=1, signal=Signal.CONTINUE, at=7.9)
        self.assert_finds(holds=[HOLD, second], processes=[resumed])

    def test_mixed_answers(self):
        """Guards against a judge that accepts responses to other requests or truncated bodies."""
        for mixed in (
            replace(SERVED, receipt=""),
            replace(SERVED, receipt=receipt("i-1", "r2", 200)),
            replace(SERVED, status=500),
            replace(SERVED, echo="r2"),
            replace(SERVED, whole=False),
        ):
            with self.subTest(wrong=mixed):
                self.assert_finds(Rule.MIXED, attempts=[mixed], runs=[RUN])

    def test_work_after_acknowledged_leave(self):
        """Guards against a judge that misses requests which start after an upstream has left."""
        departure = Departure(instance="i-1@5", machine="b", acknowledged=8.0)
        self.assert_finds(Rule.DRAIN, attempts=[SERVED], runs=[RUN], departures=[departure])
        later = replace(departure, acknowledged=8.2)
        self.assert_finds(attempts=[SERVED], runs=[RUN], departures=[later])

    def test_requests_above_a_limit(self):
        """Guards against a judge that misses an upstream which gets more than it takes."""
        limit = RateLimit(instance="i-1@5", per_second=2.0, since=10.0, until=30.0)
        within = [Arrival(instance="i-1@5", at=14.0 + number / 4) for number in range(17)]
        excess = [*within, Arrival(instance="i-1@5", at=17.9)]
        self.assert_finds(rate_limits=[limit], arrivals=within)
        self.assert_finds(Rule.LIMIT, rate_limits=[limit], arrivals=excess)
        early = [replace(arrival, at=arrival.at - 4.5) for arrival in excess]
        self.assert_finds(rate_limits=[limit], arrivals=early)

    def test_configuration_that_goes_back(self):
        """Guards against a judge that misses an agent which returns to an older version."""
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
        """Guards against a judge that accepts an agent which is killed after the grace time."""
        forced = ProcessEvent(agent="a", life=1, signal=Signal.EXIT, at=15.0, forced=True)
        self.assert_finds(Rule.GRACE, processes=[TERM, forced])
        paused = replace(TERM, signal=Signal.PAUSE, at=10.0)
        self.assert_finds(processes=[TERM, paused, forced])
