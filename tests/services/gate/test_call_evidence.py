"""Tests of the recognition of calls among the requests of a VM, on synthetic arrivals."""

import heapq
import itertools
import math
import random
import unittest

from fescueward.services.gate.call_evidence import CallEvidence

_SLOTS = 3
_SECONDS = 40.0
_TIMEOUT_S = 2.0


class UpstreamTrace:
    """Runs of `parent` and `other` at one upstream in waves of 11 s, and requests of its VM.

    Args:
        load: Offered load of the slots.
        calls: Calls that a run of `parent` makes, one after the other.
        client_lookups_per_s: Rate at which clients use the called route, too.
        seed: Seed of all times.
    """

    def __init__(self, load: float, calls: int, client_lookups_per_s: float, seed: int) -> None:
        self.evidence = CallEvidence()
        self.recognised: list[bool] = []
        self.mistaken = 0
        self._calls = calls
        self._random = random.Random(seed)
        self._events: list[tuple] = []
        self._numbers = itertools.count()
        self._running = 0
        rates = {
            "parent": load * _SLOTS * 0.7 / 0.3,
            "other": load * _SLOTS * 0.3 / 0.25,
            "page": 9.0,
            "lookup": client_lookups_per_s,
        }
        for route, rate in rates.items():
            if rate:
                self._after(0.0, 1 / rate, self._client, route, rate)
        now = 0.0
        while now < _SECONDS:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)

    def _after(self, now: float, mean_s: float, action, *arguments) -> None:
        at = now + self._random.expovariate(1 / mean_s)
        heapq.heappush(self._events, (at, next(self._numbers), action, arguments))

    def _client(self, now: float, route: str, rate: float) -> None:
        wave = 1 + 0.55 * math.sin(2 * math.pi * now / 11)
        self._after(now, 1 / (rate * wave), self._client, route, rate)
        self.mistaken += self.evidence.arrived(route, now + _TIMEOUT_S, now)
        if route in ("parent", "other") and self._running < _SLOTS:
            self._running += 1
            deadline = now + _TIMEOUT_S
            self.evidence.run_began(route, deadline, now)
            calls = self._calls if route == "parent" else 0
            self._after(now, 0.2, self._proceed, route, deadline, calls)

    def _proceed(self, now: float, route: str, deadline: float, calls: int) -> None:
        if calls:
            self.recognised.append(self.evidence.arrived("lookup", min(deadline, now + 0.9), now))
            self._after(now, 0.06, self._proceed, route, deadline, calls - 1)
        else:
            self.evidence.run_ended(route, deadline, now)
            self._running -= 1


class CallEvidenceTest(unittest.TestCase):
    def test_calls_are_recognised_also_while_something_always_runs(self):
        """Guards against calls that wait behind new work on an upstream that is never idle."""
        for load in (0.3, 1.4, 3.0):
            for seed in range(4):
                with self.subTest(load=load, seed=seed):
                    trace = UpstreamTrace(load, 2, 0.0, seed)
                    self.assertEqual(trace.evidence.parent_of("lookup"), "parent")
                    late = trace.recognised[len(trace.recognised) * 2 // 3 :]
                    self.assertGreater(sum(late), 0.9 * len(late))
                    self.assertEqual(trace.mistaken, 0)

    def test_requests_of_clients_are_not_taken_for_calls(self):
        """Guards against clients that jump the queue because they come in waves, as runs do."""
        believed = 0
        for load, seed in itertools.product((0.3, 0.9, 3.0), range(20)):
            trace = UpstreamTrace(load, 0, 9.0, seed)
            routes = ("parent", "other", "page", "lookup")
            believed += sum(trace.evidence.parent_of(route) is not None for route in routes)
        self.assertLessEqual(believed, 3)

    def test_request_that_outlasts_all_runs_is_no_call(self):
        """Guards against a client on a called route: calls end with their parent."""
        trace = UpstreamTrace(0.9, 2, 0.0, 1)
        now = _SECONDS + 1
        trace.evidence.run_began("parent", now + 1, now)
        self.assertTrue(trace.evidence.arrived("lookup", now + 0.9, now))
        self.assertFalse(trace.evidence.arrived("lookup", now + 60, now))
