"""Tests of slots, queue, limits, shedding and slow start."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from fescueward.kernel.errors import (
    DeadlineExceededError,
    Outcome,
    OverloadedError,
    RateLimitedError,
)
from fescueward.messages import Announcement, Request
from fescueward.services import admission as module
from fescueward.services.admission import SlotAdmission

from .fakes import CLOCK, StubRegistry, make_announcement, make_entry, make_request


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.admission = self.make(2)

    def make(self, slots: int, cold: bool = False) -> SlotAdmission:
        admission = SlotAdmission()
        admission.bind(StubRegistry())
        with mock.patch.object(module, "_COLD_SHARE", 0.25 if cold else 1.0):
            admission.observe_announcement(make_announcement(slots))
        return admission

    async def hold(self, entered: list, name: str, release: asyncio.Event, within_s=5.0):
        async with self.admission.slot(make_request(within_s), make_entry()):
            entered.append(name)
            await release.wait()

    async def settle(self):
        for _ in range(5):
            await asyncio.sleep(0)

    async def test_queue_is_in_the_order_of_deadlines(self):
        """Guards against a request that misses its deadline behind one that has time."""
        entered, release = [], asyncio.Event()
        tasks = [asyncio.create_task(self.hold(entered, n, release)) for n in "ab"]
        await self.settle()
        for name, within_s in (("late", 9.0), ("soon", 1.0), ("later", 10.0)):
            tasks.append(asyncio.create_task(self.hold(entered, name, release, within_s)))
        await self.settle()
        self.assertEqual(entered, ["a", "b"])
        release.set()
        await asyncio.gather(*tasks)
        self.assertEqual(entered, ["a", "b", "soon", "late", "later"])

    async def test_no_slot_is_lost_by_cancellation(self):
        """Guards against slots that are lost when holders and waiters are cancelled."""
        entered, release = [], asyncio.Event()
        for when in ("waiting", "granted", "holding"):
            with self.subTest(when=when):
                tasks = [asyncio.create_task(self.hold(entered, n, release)) for n in "abc"]
                await self.settle()
                if when == "granted":
                    # The holder's end grants the slot; the waiter is cancelled in the same turn.
                    tasks[0].cancel()
                    tasks[2].cancel()
                    await asyncio.sleep(0)
                    tasks[2].cancel()
                elif when == "waiting":
                    tasks[2].cancel()
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                self.assertEqual(self.admission._running, 0)
                self.assertEqual(len(self.admission._waiting), 0)

    async def test_cancellation_after_the_grant(self):
        """Guards against a slot that was granted to a task that never sees the grant."""
        release = asyncio.Event()
        tasks = [asyncio.create_task(self.hold([], n, release)) for n in "abc"]
        await self.settle()
        waiter = next(iter(self.admission._waiting.values()))
        self.admission.release(0.0, RuntimeError())  # grants the slot of `a` to `c`
        self.assertTrue(waiter.done())
        tasks[2].cancel()
        await asyncio.gather(tasks[2], return_exceptions=True)
        self.assertEqual(self.admission._running, 1)
        for task in tasks[:2]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_full_queue_is_shed_at_once(self):
        """Guards against a queue without bound, and a refusal without a time to retry."""
        entry = make_entry(queue_length=1)
        async with (
            self.admission.slot(make_request(), entry),
            self.admission.slot(make_request(), entry),
        ):
            waiting = asyncio.create_task(self.hold([], "w", asyncio.Event()))
            await self.settle()
            with self.assertRaises(OverloadedError) as shed:
                await self.admission.acquire(make_request(), entry)
            self.assertEqual(shed.exception.outcome, Outcome.NOT_RUN)
            self.assertGreaterEqual(shed.exception.retry_after_s, 1.0)
            waiting.cancel()

    async def test_expected_wait_beyond_the_deadline_is_shed(self):
        """Guards against a request that waits for a slot it can no longer use."""
        self.admission._runs.mean_s = 0.5
        async with (
            self.admission.slot(make_request(), make_entry()),
            self.admission.slot(make_request(), make_entry()),
        ):
            with self.assertRaises(OverloadedError):
                await self.admission.acquire(make_request(0.6), make_entry())
            enough = asyncio.create_task(self.hold([], "w", asyncio.Event(), 3.0))
            await self.settle()
            self.assertFalse(enough.done())
            enough.cancel()

    async def test_deadline_passes_in_the_queue(self):
        """Guards against a waiter that outlives its deadline."""
        async with (
            self.admission.slot(make_request(), make_entry()),
            self.admission.slot(make_request(), make_entry()),
        ):
            with self.assertRaises(DeadlineExceededError):
                await self.admission.acquire(make_request(0.05), make_entry())
        self.assertEqual(self.admission._running, 0)

    async def test_slot_is_not_given_to_a_run_that_cannot_end_in_time(self):
        """Guards against goodput that collapses under overload, as late runs take all slots."""
        release = asyncio.Event()
        tasks = [asyncio.create_task(self.hold([], n, release)) for n in "ab"]
        await self.settle()
        late = asyncio.create_task(self.hold([], "late", release, 0.2))
        await self.settle()
        self.admission._runs.mean_s = 1.0
        release.set()
        with self.assertRaises(OverloadedError):
            await late
        await asyncio.gather(*tasks)

    async def test_rate_limit_of_the_entry(self):
        """Guards against an entry whose requests_per_second has no effect."""
        entry = make_entry(requests_per_second=20)
        refused = 0
        for _ in range(10):
            try:
                async with self.admission.slot(make_request(), entry):
                    pass
            except RateLimitedError as error:
                self.assertEqual(error.http_status, 429)
                refused += 1
        self.assertGreaterEqual(refused, 6)
        raised = make_entry(requests_per_second=10_000)
        async with self.admission.slot(make_request(), raised):
            pass

    async def test_cold_upstream_gets_its_slots_gradually(self):
        """Guards against a new upstream that is flooded, and one that stays throttled."""
        self.admission = self.make(8, cold=True)
        self.assertEqual(self.admission.capacity, 0.25)
        for _ in range(4):
            async with self.admission.slot(make_request(), make_entry()):
                await asyncio.sleep(0.002)
        self.assertEqual(self.admission.capacity, 0.5)
        self.admission._runs.mean_s = 10.0  # slower than at first: no more slots by measurement
        for _ in range(4):
            async with self.admission.slot(make_request(), make_entry()):
                pass
        self.assertEqual(self.admission.capacity, 0.5)
        self.admission._cold_since -= 11
        self.assertEqual(self.admission.capacity, 1.0)
        self.admission.observe_announcement(make_announcement(8))
        self.assertEqual(self.admission.capacity, 1.0)
        self.admission.observe_announcement(make_announcement(8, port=10))
        self.assertEqual(self.admission.capacity, 0.25)

    async def test_sheds_of_the_upstream_reduce_the_slots(self):
        """Guards against an upstream that is driven past what it accepts."""
        self.admission = self.make(10)
        entry = make_entry()
        with self.assertRaises(OverloadedError):
            async with self.admission.slot(make_request(), entry):
                for _ in range(9):
                    await self.admission.acquire(make_request(), entry)
                raise OverloadedError("the upstream sheds")
        self.assertEqual(self.admission.capacity, 0.8)
        for _ in range(9):
            self.admission.release(self.admission.now(), None)
        for _ in range(20):
            async with self.admission.slot(make_request(), entry):
                pass
        self.assertEqual(self.admission.capacity, 1.0)

    async def test_connections_are_left_for_grants(self):
        """Guards against grants that wait behind requests for a connection."""
        self.admission.observe_announcement(make_announcement(50, connections=10))
        self.assertEqual(self.admission._slots, 7)


class LaneTest(unittest.IsolatedAsyncioTestCase):
    """Requests that can be in time run before those that will be late."""

    async def asyncSetUp(self) -> None:
        self.admission = SlotAdmission()
        self.admission.bind(StubRegistry())
        self.admission.observe_announcement(
            Announcement("depot", "127.0.0.1", 1, slots=1, connections=110, cold_s=0.0)
        )
        self.admission._runs.add(0.1)
        self.order: list[str] = []

    def request(self, name: str, useful_s: float, **values) -> Request:
        return make_request(2.0, id=name, useful_until=CLOCK.now() + useful_s, **values)

    async def run_one(self, request: Request) -> None:
        async with self.admission.slot(request, make_entry()):
            self.order.append(request.id)
            await asyncio.sleep(0.02)

    async def test_late_requests_run_last(self):
        """Guards against an overload in which every answer comes after its objective."""
        requests = (
            self.request("first", 1.0),
            self.request("late", 0.05),
            self.request("in-time", 1.5),
        )
        await asyncio.gather(*map(self.run_one, requests))
        self.assertEqual(self.order, ["first", "in-time", "late"])

    async def test_late_lane_is_bounded(self):
        """Guards against requests that are held although they will be refused in the end."""
        first = asyncio.create_task(self.run_one(self.request("first", 1.0)))
        await asyncio.sleep(0)
        late = asyncio.create_task(self.run_one(self.request("late", 0.05)))
        await asyncio.sleep(0)
        with self.assertRaises(OverloadedError) as refused:
            await self.admission.acquire(self.request("later", 0.05), make_entry())
        self.assertGreater(refused.exception.retry_after_s, 0)
        await asyncio.gather(first, late)

    async def test_short_route_is_judged_by_its_own_runs(self):
        """Guards against short calls that are refused because others on the server take long.

        Found by scale-2 of kagaz-mesh: short lookups failed the orders that had called them.
        """
        for _ in range(20):
            self.admission._measure(0.4, "long")
            self.admission._measure(0.02, "short")
        holder = asyncio.create_task(self.run_one(self.request("holder", 1.0, route="long")))
        await asyncio.sleep(0)
        short = self.request("short", 0.35, route="short")
        lane, _ = self.admission._lane(short, make_entry())
        self.assertIs(lane, self.admission._waiting)
        await holder

    async def test_request_that_becomes_late_lets_others_pass(self):
        """Guards against a slot for a late answer while one in time still waits."""
        holder = asyncio.create_task(self.run_one(self.request("holder", 1.0)))
        await asyncio.sleep(0)
        tight = asyncio.create_task(self.run_one(self.request("tight", 0.32, priority=0)))
        await asyncio.sleep(0)
        roomy = asyncio.create_task(self.run_one(self.request("roomy", 1.5, priority=1)))
        await asyncio.sleep(0)
        self.admission._runs.mean_s = 0.33
        await asyncio.gather(holder, tight, roomy)
        self.assertEqual(self.order, ["holder", "roomy", "tight"])
