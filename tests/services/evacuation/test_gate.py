"""Tests of the bound on requests to an evacuated upstream, on simulated time."""

import asyncio
import unittest
from contextlib import asynccontextmanager, nullcontext
from dataclasses import replace
from types import SimpleNamespace

from fescueward.interfaces.platform import Changes
from fescueward.kernel import Kernel
from fescueward.kernel.bounds import Bounds
from fescueward.kernel.errors import EvacuatedError
from fescueward.messages import Announcement
from fescueward.messages.request import Occupancy
from fescueward.services.evacuation import EvacuatedDomains
from fescueward.services.gate.execution import GateExecution
from fescueward.services.shutdown import GracefulShutdown
from tests.services.fakes import FakePeers, StubRegistry, make_request, make_response
from tests.services.timed_fakes import AgentLoop, ManualClock, World

from .test_versions import stored

_BOUNDS = Bounds(evacuate_s=5.0)
_RUN_S = 4.0


class Slots:
    """Slots of which one becomes free every 0.3 seconds."""

    occupancy = Occupancy(0, 0, 6, 1.0)

    @asynccontextmanager
    async def slot(self, request, entry):
        await asyncio.sleep(0.3)
        yield


class GateTest(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.loop = self.world.loops["a"] = AgentLoop(self.world, 0.0, 1.0)
        self.addCleanup(self.loop.abandon)
        self.warmup = SimpleNamespace(
            suspected=0, suspect_cold=self.suspect_cold, begin_send=lambda: 0.0
        )
        self.started_at: dict[str, list[float]] = {"": [], "7": []}
        self.refused_at: dict[str, list[float]] = {"": [], "7": []}
        self.ended = 0
        kernel = Kernel()
        self.evacuations = EvacuatedDomains(kernel)
        ticket = nullcontext(SimpleNamespace(epoch=1))
        shutdown = GracefulShutdown(kernel)
        self.execution = GateExecution()
        registry = StubRegistry(
            clock=ManualClock(self.loop),
            bounds=_BOUNDS,
            settings=SimpleNamespace(agent=SimpleNamespace(failure_domain="d0")),
            warmup=self.warmup,
            evacuations=self.evacuations,
            shutdown=shutdown,
            catalogue=SimpleNamespace(entry=lambda service: SimpleNamespace(entry=None)),
            membership=SimpleNamespace(
                announcement=Announcement("depot", "h", 1, 6, 110, instance="i1"), closed=False
            ),
            ownership=SimpleNamespace(admit=lambda *arguments: self.ticket(ticket)),
            admission=Slots(),
            upstream=SimpleNamespace(run=self.run_request),
            load=SimpleNamespace(record=lambda *arguments: None),
            quarantine=SimpleNamespace(guard=nullcontext_of),
            peers=FakePeers(),
        )
        for service in (self.evacuations, shutdown, self.execution):
            service.bind(registry)

    def suspect_cold(self) -> None:
        self.warmup.suspected += 1

    async def ticket(self, ticket):
        return ticket

    async def run_request(self, request, shard, epoch, deadline):
        self.started_at[request.key].append(self.world.now)
        await asyncio.sleep(_RUN_S)
        self.ended += 1
        return make_response(b"ok")

    def on_loop(self, call, *arguments) -> None:
        self.loop.call_soon(call, *arguments)
        self.world.advance(0.001)

    def send(self, key: str) -> None:
        async def send() -> None:
            request = replace(make_request(key=key), deadline=self.world.now + 30)
            try:
                await self.execution.execute(request)
            except EvacuatedError:
                self.refused_at[key].append(self.world.now)

        self.on_loop(lambda: self.loop.create_task(send()))

    def send_until(self, end_s: float) -> None:
        while self.world.now < end_s:
            for key in self.started_at:
                self.send(key)
            self.world.advance(0.1)

    def learn(self, changes: Changes) -> None:
        self.on_loop(self.evacuations.observe_changes, changes)

    def test_nothing_starts_past_the_bound(self):
        """Guards against requests that wait in the queue or arrive late and run all the same."""
        self.learn(Changes(3, (), complete=True))
        self.send_until(2.0)
        begun_at = self.world.now
        self.learn(Changes(5, (stored("d0", 5),)))
        self.assertTrue(self.evacuations.begun and not self.evacuations.closed)
        self.send_until(9.0)
        self.assertLessEqual(max(self.started_at[""]), begun_at)
        self.assertGreater(max(self.started_at["7"]), begun_at + 2)
        self.assertLessEqual(max(self.started_at["7"]), begun_at + _BOUNDS.evacuate_s / 2)
        # What waited is refused at once, so that it can be sent elsewhere in time.
        self.assertAlmostEqual(min(self.refused_at[""]), begun_at, delta=0.01)
        closed_at = begun_at + _BOUNDS.evacuate_s / 2
        self.assertAlmostEqual(min(self.refused_at["7"]), closed_at, delta=0.01)
        self.world.advance(_RUN_S)
        self.assertEqual(self.ended, sum(map(len, self.started_at.values())))
        self.assertEqual(self.warmup.suspected, 0)
        self.learn(Changes(9, (stored("d0", 9, deleted=True),)))
        self.assertEqual(self.warmup.suspected, 1)
        before = len(self.started_at[""])
        self.send_until(self.world.now + 1)
        self.assertGreater(len(self.started_at[""]), before)

    def test_machine_that_stalls_while_the_gate_closes(self):
        """Guards against a slot that is due before the timer of the gate, after a stall."""
        self.learn(Changes(3, (), complete=True))
        self.learn(Changes(5, (stored("d0", 5),)))
        self.send_until(2.4)
        stalled_at = self.world.now
        self.world.paused.add("a")
        self.world.advance(_BOUNDS.evacuate_s)
        self.world.paused.clear()
        self.world.advance(1)
        self.assertTrue(self.started_at["7"])
        self.assertLessEqual(max(self.started_at["7"]), stalled_at)

    def test_agent_that_does_not_know_the_evacuations_runs_nothing(self):
        """Guards against an agent that restarts during an evacuation and serves meanwhile."""
        self.send_until(0.5)
        self.learn(Changes(5, (stored("d0", 5),), complete=True))
        self.send_until(1.5)
        self.assertEqual(self.started_at, {"": [], "7": []})

    def test_second_evacuation_has_a_time_of_its_own(self):
        """Guards against keys that are refused at once, or never, in a later evacuation."""
        self.learn(Changes(3, (), complete=True))
        for revision in (5, 7):
            self.learn(Changes(revision, (stored("d0", revision),)))
            self.world.advance(2.0)
            self.assertFalse(self.evacuations.closed)
            self.learn(Changes(revision + 1, (stored("d0", revision + 1, deleted=True),)))
        self.learn(Changes(11, (stored("d0", 11),)))
        self.world.advance(2.0)
        # Written again while it is in force: the time goes on.
        self.learn(Changes(12, (stored("d0", 12),)))
        self.world.advance(0.51)
        self.assertTrue(self.evacuations.closed)

    def test_other_domains_close_nothing(self):
        """Guards against an unknown or another domain that empties this one."""
        self.learn(Changes(5, (stored("d1", 5), stored("nowhere", 4)), complete=True))
        self.world.advance(_BOUNDS.evacuate_s)
        self.assertFalse(self.evacuations.begun or self.evacuations.closed)


@asynccontextmanager
async def nullcontext_of(request):
    yield request
