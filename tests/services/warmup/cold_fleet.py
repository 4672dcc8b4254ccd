"""Upstreams that become cold, their agents and callers, on simulated time."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import replace
from types import SimpleNamespace

from fescueward.kernel.bounds import Bounds
from fescueward.kernel.errors import RefusalError, UpstreamUnavailableError
from fescueward.kernel.tasks import TaskOwner
from fescueward.messages import Announcement
from fescueward.messages.configuration import Configuration, ServiceSpec
from fescueward.messages.upstream import UpstreamNotice
from fescueward.services.admission import SlotAdmission
from fescueward.services.warmup import ColdStartLimit
from tests.services.fakes import StubRegistry, make_entry, make_request
from tests.services.timed_fakes import AgentLoop, ManualClock, World

BOUNDS = Bounds(cold_over=1.5, cold_slack=8.0)
SPEC = ServiceSpec("depot", cold_start_s=3.0, cold_per_s=6.5)
MOST = 6.5 * 1.5 + 8.0
HEARTBEAT_S = 0.87
RUN_S = 0.1
SLOTS = 6


class ColdServer:
    """An upstream that counts the requests that arrive while it is cold."""

    def __init__(self, world: World, offset_s: float = 0.0) -> None:
        self.world = world
        self.agent: Agent | None = None
        self.cold_until = 0.0
        self.down = False
        self.arrivals: list[float] = []
        self.cold_arrivals: list[float] = []
        self.checks = 0
        # Time that each heartbeat takes to its agent.
        self.heartbeat_delay_s = 0.001
        self.number = 1
        world.call_later(offset_s, self._beat)

    @property
    def worst_second(self) -> int:
        """Most requests that arrived within one second while the upstream was cold."""
        times = self.cold_arrivals
        return max((sum(t <= at < t + 1.0 for at in times) for t in times), default=0)

    def cool(self, cold_s: float) -> None:
        """Makes the upstream cold from now on."""
        self.cold_until = self.world.now + cold_s

    def restart(self, cold_s: float) -> None:
        """Starts the upstream anew and cold."""
        self.down = False
        self.number += 1
        self.cool(cold_s)

    def arrive(self) -> None:
        self.arrivals.append(self.world.now)
        if self.world.now < self.cold_until:
            self.cold_arrivals.append(self.world.now)

    def cold_left_s(self) -> float:
        return max(self.cold_until - self.world.now, 0.0)

    def announcement(self) -> Announcement:
        return Announcement(
            "depot", "h", 1, SLOTS, 100, instance=f"i{self.number}", cold_s=self.cold_left_s()
        )

    def _beat(self) -> None:
        self.world.call_later(HEARTBEAT_S, self._beat)
        if not self.down:
            self.world.call_later(self.heartbeat_delay_s, self._delivery(self.announcement()))

    def _delivery(self, announcement: Announcement):
        def deliver() -> None:
            if self.agent is not None:
                self.agent.loop.call_soon(self.agent.hear, announcement)

        return deliver


class Agent:
    """The agent beside one upstream: its warm-up limit, its admission and its callers."""

    def __init__(
        self, world: World, name: str, server: ColdServer, spec: ServiceSpec = SPEC
    ) -> None:
        self.server = server
        server.agent = self
        self.loop = world.loops[name] = AgentLoop(world, 0.0, 1.0)
        self.clock = ManualClock(self.loop)
        self.announcement: Announcement | None = None
        self.failures: list[BaseException] = []
        self.killed = False
        self.refused = 0
        self.served = 0
        configuration = Configuration(1, {}, {"depot": spec})
        services = StubRegistry(
            clock=self.clock,
            bounds=BOUNDS,
            routes=SimpleNamespace(current=SimpleNamespace(configuration=configuration)),
            membership=self,
            upstream=self,
        )
        kernel = SimpleNamespace(
            task_owner=lambda owner: TaskOwner(owner, lambda _, error: self.failures.append(error))
        )
        self.warmup = ColdStartLimit(kernel, HEARTBEAT_S)
        self.warmup.bind(services)
        services._services["warmup"] = self.warmup
        self.admission = SlotAdmission(upstream_names_limits=True)
        self.admission.bind(services)
        self.loop.create_task(self.warmup.start())

    def subscribe(self, listener: object) -> None:
        """Ignored: crashes are reported as failed connections."""

    def hear(self, announcement: Announcement) -> None:
        self.announcement = announcement
        self.warmup.observe_announcement(announcement)
        self.admission.observe_announcement(announcement)

    async def check_health(self, path: str) -> UpstreamNotice:
        self.server.checks += 1
        await self.clock.sleep(0.005)
        if self.server.down:
            self.warmup.suspect_cold()
            raise UpstreamUnavailableError("down")
        cold_s = self.server.cold_left_s()
        await self.clock.sleep(0.005)
        return UpstreamNotice("", cold_s=cold_s)

    def call(self, timeout_s: float = 2.0) -> None:
        """Lets a caller request something now."""
        self.loop.create_task(self._call(timeout_s))

    async def _call(self, timeout_s: float) -> None:
        if self.announcement is None:
            self.refused += 1
            return
        request = replace(make_request(), deadline=self.clock.now() + timeout_s)
        try:
            async with self.admission.slot(request, make_entry()):
                while (wait_s := self.warmup.begin_send()) > 0:
                    await self.clock.sleep(wait_s)
                if self.server.down:
                    self.warmup.suspect_cold()
                    raise UpstreamUnavailableError("down")
                if self.killed:
                    return
                self.server.arrive()
                await self.clock.sleep(RUN_S)
                # Each response says that the upstream names no rate of its own.
                self.admission.limit_rate(None)
            self.served += 1
        except RefusalError:
            self.refused += 1


def poisson(generator: random.Random, per_second: float, seconds: float) -> Iterator[float]:
    """Yields the times between requests of independent callers."""
    total_s = 0.0
    while total_s < seconds:
        gap_s = generator.expovariate(per_second)
        total_s += gap_s
        yield gap_s


def load(world: World, agents: list[Agent], per_second: float, seconds: float, seed: int) -> None:
    """Advances the time while callers send requests to each agent at a rate."""
    generator = random.Random(seed)
    for gap_s in poisson(generator, per_second * len(agents), seconds):
        world.advance(gap_s)
        generator.choice(agents).call()
