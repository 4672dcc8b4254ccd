"""Tests of the limits of runs whose calls fail, and of `RunCalls` between router and gate."""

import unittest
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

from fescueward.interfaces import CallListener, CallRoom, CallSource, RunGate
from fescueward.kernel import Outcome
from fescueward.kernel.errors import OverloadedError
from fescueward.services.gate.call_room import RunLimits
from fescueward.services.gate.execution import GateExecution
from fescueward.services.gate.run_calls import RunCalls
from fescueward.services.routing.dispatcher import DispatchRouter
from tests.services.admission.competition import Competition
from tests.services.fakes import StubRegistry, make_request


class RunLimitsTest(unittest.TestCase):
    def begun(self, limits: RunLimits, now: float) -> int:
        decisions = (limits.retry_after_s("page", f"r{number}", now) for number in range(1000))
        return sum(decision is None for decision in decisions) // 10

    def fail_calls(self, limits: RunLimits, until: float) -> None:
        for number in range(int(until * 10)):
            limits.record_call("page", 0.1, number / 10, failed=True, retry_after_s=0.4)

    def test_fewer_runs_begin_while_their_calls_fail_and_all_soon_after(self):
        """Guards against runs that take slots in vain, and against a limit that stays."""
        limits = RunLimits()
        self.fail_calls(limits, until=3.0)
        self.assertIn(self.begun(limits, 3.0), range(38, 50))
        self.assertEqual(limits.retry_after_s("other", "r1", 3.0), None)
        self.assertIn(self.begun(limits, 5.0), range(60, 85))
        self.assertEqual(self.begun(limits, 8.0), 100)

    def test_single_failures_limit_nothing(self):
        """Guards against a limit by failures that have nothing to do with room."""
        limits = RunLimits()
        for number in range(100):
            limits.record_call("page", 0.1, number / 10, failed=number % 25 == 0)
        self.assertEqual(self.begun(limits, 10.0), 100)

    def test_agents_with_the_same_limit_refuse_the_same_requests(self):
        """Guards against a limit without effect, as the router offers a request to several."""
        first, second = RunLimits(), RunLimits()
        for limits in (first, second):
            self.fail_calls(limits, until=3.0)
        for number in range(50):
            decisions = [each.retry_after_s("page", f"r{number}", 3.0) for each in (first, second)]
            self.assertEqual(*decisions)

    def test_failures_of_one_moment_lower_the_limit_once(self):
        """Guards against a limit that falls to its least by calls that failed together."""
        limits = RunLimits()
        for _ in range(20):
            limits.record_call("page", 0.1, 5.0, failed=True)
        self.assertIn(self.begun(limits, 5.0), range(70, 80))

    def test_fewer_runs_fail_while_the_called_service_is_short_of_room(self):
        """Guards against runs that fail one after the other, as their calls are turned away."""
        failed = {}
        for limits_runs in (False, True):
            model = Competition(called_speed=0.4, limits_runs=limits_runs)
            model.play(22)
            failed[limits_runs] = model.share("check", "failed")
        self.assertLess(failed[True], 0.8 * failed[False])


class RunCallsTest(unittest.TestCase):
    def test_refused_calls_limit_the_runs_of_their_parent(self):
        """Guards against what the router sees of calls not reaching the gate of their parents."""
        calls = RunCalls()
        watchers = SimpleNamespace(watch_calls=lambda _: None, watch_runs=lambda _: None)
        calls.bind(StubRegistry(router=watchers, execution=watchers))
        with mock.patch.object(calls._evidence, "parent_of", return_value="page"):
            for _ in range(3):
                call = make_request(1.0, route="lookup", inner=True)
                calls.call_ended(call, OverloadedError("full", retry_after_s=0.4), 0.0)
        page = make_request(1.0, route="page")
        with self.assertRaises(OverloadedError) as refused:
            for number in range(20):
                calls.check(replace(page, id=f"r{number}"))
        self.assertIs(refused.exception.outcome, Outcome.NOT_RUN)
        self.assertEqual(refused.exception.retry_after_s, 0.4)

    def test_services_find_each_other(self):
        """Guards against protocols that the router, the gate or the service does not satisfy."""
        self.assertIsInstance(DispatchRouter(), CallSource)
        self.assertIsInstance(GateExecution(), RunGate)
        for protocol in (CallListener, CallRoom):
            self.assertIsInstance(RunCalls(), protocol)
