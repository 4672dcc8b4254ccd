"""Tests of the order of waiting requests."""

import unittest

from fescueward.services.admission.queue import RequestQueue
from fescueward.services.admission.run_times import RunTimes
from fescueward.services.admission.shares import ServedShares

from ..fakes import make_request


class RequestQueueTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.shares, self.run_times = ServedShares(), RunTimes()
        self.queue = RequestQueue(self.shares)
        for route, run_s in (("short", 0.1), ("long", 0.4)) * 3:
            self.run_times.add(run_s, route)

    def add(self, name: str, timeout_s: float = 5.0, late: bool = False, **values) -> None:
        request = make_request(timeout_s, id=name, **values)
        self.queue.add(request, late)

    def order(self) -> list[str]:
        return [self.queue.pop(self.run_times)[0].request.id for _ in range(len(self.queue))]

    async def test_calls_then_priority_then_short_runs(self):
        """Guards against runs that wait in their slots for calls behind new work."""
        self.add("long", priority=1, route="long")
        self.add("late", priority=0, route="short", late=True)
        self.add("short", priority=1, route="short")
        self.add("urgent", priority=0, route="long")
        self.add("call", priority=3, route="lookup", inner=True)
        self.assertEqual(self.order(), ["call", "urgent", "short", "long", "late"])

    async def test_callers_that_return_go_first_within_their_kind(self):
        """Guards against a caller that came back as told and is refused for a new one."""
        self.add("new", 1.0, route="short")
        self.add("back", 2.0, route="short", returning=True)
        self.add("urgent", 3.0, route="short", priority=-1)
        self.assertEqual(self.order(), ["urgent", "back", "new"])

    async def test_late_request_of_a_starved_kind_goes_first(self):
        """Guards against a kind that is always late, and so never runs beside others."""
        late, other = make_request(route="long", priority=3), make_request(route="short")
        for _ in range(20):
            self.shares.record_refused(late, 0.0)
            self.shares.record_served(other, 0.0)
        self.add("other", route="short")
        self.add("starved", route="long", priority=3, late=True)
        self.assertEqual(self.order(), ["starved", "other"])

    async def test_estimate_counts_the_work_that_runs_before(self):
        """Guards against requests that are let in and refused once their time has run out."""
        for number in range(4):
            self.add(f"long{number}", route="long", priority=1)
            self.add(f"short{number}", route="short", priority=0)
        for _ in range(20):
            self.shares.record_served(make_request(route="short", priority=0), 0.0)
        behind = make_request(route="last", priority=2)
        ahead = self.queue.work_ahead(behind, self.run_times, 0.0)
        self.assertEqual((ahead.requests, round(ahead.run_s, 3)), (8, 2.0))
        self.assertGreater(ahead.overtaking_slots, 0.2)
        first = make_request(route="short", priority=0, returning=True)
        self.assertEqual(self.queue.work_ahead(first, self.run_times, 0.0).run_s, 0.0)
