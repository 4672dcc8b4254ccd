"""Tests of the service life cycle in the kernel and of its failure reports."""

from __future__ import annotations

import asyncio
import io
import unittest
from contextlib import suppress

from fescueward.kernel import Kernel, StopLimits, TaskOwner, configure_logging
from fescueward.kernel.errors import DuplicateNameError, ServiceFailedError, UnknownNameError


class RecordingService:
    """A service that records the calls of its life cycle methods."""

    def __init__(self, kernel: Kernel, name: str, log: list[str], *requires: str) -> None:
        self.name = name
        self.requires = requires
        self.log = log
        self.tasks: TaskOwner = kernel.task_owner(name)
        self.failing = ""
        self.hang = False

    def bind(self, registry) -> None:
        self.record("bind")

    async def start(self) -> None:
        self.record("start")

    async def drain(self) -> None:
        self.record("drain")

    async def stop(self) -> None:
        await self.tasks.cancel()
        self.record("stop")
        if self.hang:
            await asyncio.Event().wait()

    def record(self, method: str) -> None:
        self.log.append(f"{method} {self.name}")
        if method == self.failing:
            raise ValueError(f"{method} failed")


class KernelTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.lines = io.StringIO()
        configure_logging("DEBUG", "text", self.lines)
        self.kernel = Kernel(StopLimits(drain_s=0.1, stop_s=0.2))
        self.log: list[str] = []

    def add(self, name: str, *requires: str) -> RecordingService:
        service = RecordingService(self.kernel, name, self.log, *requires)
        self.kernel.add(service)
        return service

    async def test_services_start_after_what_they_need(self):
        """Guards against a service that uses another one before its start or after its stop."""
        for name, requires in (("c", ("b", "absent")), ("b", ("a",)), ("a", ()), ("d", ())):
            self.add(name, *requires)
        running = asyncio.create_task(self.kernel.run())
        self.kernel.request_stop()
        await running
        transitions = [entry for entry in self.log if entry.startswith(("start", "stop"))]
        self.assertEqual(transitions[:4], ["start a", "start b", "start c", "start d"])
        self.assertEqual(transitions[4:], ["stop d", "stop c", "stop b", "stop a"])
        self.assertLess(self.log.index("drain d"), self.log.index("stop d"))
        self.assertEqual(self.log[:4], ["bind c", "bind b", "bind a", "bind d"])

    async def test_failed_task_ends_the_process(self):
        """Guards against an agent that holds its lease after one of its services has failed."""
        self.add("a")
        broken = self.add("broken", "a")

        async def fail() -> None:
            raise ZeroDivisionError("in a task")

        async def start() -> None:
            broken.tasks.spawn("job", fail())

        broken.start = start
        with self.assertRaisesRegex(ServiceFailedError, "broken:job: ZeroDivisionError") as caught:
            await asyncio.wait_for(self.kernel.run(), 5)
        self.assertIsInstance(caught.exception.__cause__, ZeroDivisionError)
        # A failed agent must not hand work over, because its state may be inconsistent.
        self.assertNotIn("drain a", self.log)
        self.assertIn("stop a", self.log)
        self.assertIn("1003 service_failed task=broken:job", self.lines.getvalue())

    async def test_failed_start_stops_what_runs(self):
        """Guards against ports that stay bound after a failed start."""
        self.add("a")
        self.add("b", "a").failing = "start"
        with self.assertRaisesRegex(ValueError, "start failed"):
            await asyncio.wait_for(self.kernel.run(), 5)
        self.assertEqual(self.log[-1], "stop a")
        self.assertNotIn("stop b", self.log)

    async def test_port_that_is_taken_is_a_typed_failure(self):
        """Guards against a stack trace in place of the service name and the address."""

        async def start() -> None:
            raise OSError(98, "address already in use")

        self.add("a")
        self.add("b", "a").start = start
        with self.assertRaisesRegex(ServiceFailedError, "b did not start: .*already in use"):
            await asyncio.wait_for(self.kernel.run(), 5)
        self.assertEqual(self.log[-1], "stop a")

    async def test_failing_or_hanging_stop_does_not_keep_others(self):
        """Guards against one service that prevents the others from stopping."""
        self.add("a")
        self.add("failing", "a").failing = "stop"
        self.add("hanging", "a").hang = True
        self.kernel.request_stop()
        with self.assertRaises(ServiceFailedError):
            await asyncio.wait_for(self.kernel.run(), 5)
        self.assertEqual(self.log[-1], "stop a")
        self.assertIn("1004 service_stop_timeout service=hanging", self.lines.getvalue())

    async def test_hanging_drain_ends_with_its_limit(self):
        """Guards against a process that is killed because one service never drains."""
        hanging = self.add("hanging")
        hanging.drain = asyncio.Event().wait
        self.add("after", "hanging")
        self.kernel.request_stop()
        await asyncio.wait_for(self.kernel.run(), 5)
        self.assertEqual(self.log[-3:], ["drain after", "stop after", "stop hanging"])
        self.assertIn("1004 service_stop_timeout service=hanging", self.lines.getvalue())

    async def test_failing_drain_does_not_keep_others(self):
        """Guards against requests that are aborted because another service failed to drain."""
        self.add("failing").failing = "drain"
        self.add("after", "failing")
        self.kernel.request_stop()
        with self.assertRaises(ServiceFailedError):
            await asyncio.wait_for(self.kernel.run(), 5)
        self.assertIn("drain after", self.log)

    async def test_step_that_ignores_its_cancellation_is_abandoned(self):
        """Guards against a service that ignores its cancellation and blocks the process exit."""
        released = asyncio.Event()

        async def stop() -> None:
            with suppress(asyncio.CancelledError):
                await released.wait()
            await released.wait()

        self.add("a")
        self.add("deaf", "a").stop = stop
        self.kernel.request_stop()
        await asyncio.wait_for(self.kernel.run(), 5)
        released.set()
        self.assertEqual(self.log[-1], "stop a")
        self.assertLess(self.kernel.stopping_s, 1)

    async def test_bind_checks_without_starting(self):
        """Guards against services that `check-config` starts."""
        self.add("a")
        self.kernel.bind()
        self.assertEqual(self.log, ["bind a"])
        with self.assertRaises(DuplicateNameError):
            self.add("a")
        with self.assertRaises(UnknownNameError):
            self.kernel.registry.find("b", RecordingService)

    async def test_tasks_end_with_their_owner(self):
        """Guards against tasks that continue to run after their service has stopped."""
        failures: list[str] = []
        owner = TaskOwner("a", lambda name, error: failures.append(name))
        task = owner.spawn("wait", asyncio.Event().wait())
        await owner.cancel()
        self.assertTrue(task.cancelled())

        async def cancel_from_inside() -> str:
            await owner.cancel()
            return "went on"

        self.assertEqual(await owner.spawn("self", cancel_from_inside()), "went on")
        self.assertEqual(failures, [])
