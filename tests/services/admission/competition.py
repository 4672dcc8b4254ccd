"""A model of gates whose callers compete, which runs the admission code on simulated time.

One service serves keyed requests that call a second service, which also has requests of its own.
It is a fixture for decisions: there is no network, and each run takes its work at the upstream's
speed.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any

from fescueward.kernel.errors import OverloadedError, RefusalError
from fescueward.messages import Announcement, Request
from fescueward.messages.request import BytesBody
from fescueward.services.admission import SlotAdmission
from fescueward.services.gate.call_room import RunLimits

from ..fakes import StubRegistry, make_entry
from ..timed_fakes import AgentLoop, ManualClock, World

_WAVE_S = 11.0
# Longest time that a caller waits after the last arrival.
_LAST_RESPONSES_S = 30.0
# Standard deviation of the logarithm of run times.
_SPREAD = 0.7
_ENTRY = make_entry(queue_length=256, retry_after_ms=100)
# Sends that look for an upstream whose response is not late, and all sends, as of the router.
_SEARCHES = 2
_SENDS = 6


@dataclass(frozen=True)
class Load:
    """Requests on one route.

    Attributes:
        route: Name.
        priority: Rank.
        work_s: Run time at speed 1.
        objective_s: Time within which a response has its full value.
        deadline_s: Time that the caller waits.
        per_second: Mean rate at each gate.
        calls: Calls that a run makes one after the other, each with a probability of 0.7.
    """

    route: str
    priority: int
    work_s: float
    objective_s: float
    deadline_s: float
    per_second: float
    calls: int = 0


CHECK = Load("check", 2, 0.19, 0.9, 2.3, 6.6, calls=2)
RESERVE = Load("reserve", 1, 0.25, 0.9, 2.3, 2.4)
DOWNLOAD = Load("download", 2, 0.15, 1.3, 3.3, 4.7)
LOOKUP = Load("lookup", 0, 0.055, 0.3, 0.93, 0.0)


class Gate:
    """Admission before one upstream.

    Args:
        speed: Work done per second of a slot.
        clock: Source of time.
    """

    def __init__(self, speed: float, clock: ManualClock) -> None:
        self._clock = clock
        self.speed = speed
        self.run_limits: RunLimits | None = None
        self.idle_slots = 0
        self.admission = SlotAdmission()
        self.admission.bind(StubRegistry(clock=clock))
        announcement = Announcement("depot", "127.0.0.1", 9, 3, 100, cold_s=0.0)
        self.admission.observe_announcement(announcement)

    async def run(
        self, request: Request, work_s: float, calls: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Waits for a slot and holds it for the work and the calls."""
        if self.run_limits is not None:
            retry_after_s = self.run_limits.retry_after_s(
                request.route, request.id, self._clock.now()
            )
            if retry_after_s is not None:
                raise OverloadedError("its calls would fail", retry_after_s=retry_after_s)
        async with self.admission.slot(request, _ENTRY):
            await asyncio.sleep(work_s / self.speed)
            await calls()
        occupancy = self.admission.occupancy
        self.idle_slots += occupancy.running < occupancy.slots and occupancy.waiting > 0


class Competition:
    """The model.

    Args:
        keyed: Number of gates whose requests have one owner.
        called: Number of gates of the called service.
        scale: Factor on all rates.
        called_speed: Mean speed of the called service.
        seed: Seed of arrivals.
        keyed_loads: Requests at the gates of the first service.
        wave_depth: Change of the rates in proportion to their means.
        limits_runs: Whether gates begin fewer runs of a route whose calls fail.

    Attributes:
        counts: Number of requests by route and outcome.
        refused_after_wait: Refusals of requests that had waited for a slot.
    """

    def __init__(
        self,
        keyed: int = 9,
        called: int = 2,
        scale: float = 1.0,
        called_speed: float = 1.0,
        seed: int = 1,
        keyed_loads: tuple[Load, ...] = (CHECK, RESERVE),
        wave_depth: float = 0.55,
        limits_runs: bool = False,
    ) -> None:
        self._random = random.Random(seed)
        self._scale = scale
        self._wave_depth = wave_depth
        self._keyed_loads = keyed_loads
        self._world = World()
        self._loop = self._world.loops["model"] = AgentLoop(self._world, 1000.0, 1.0)
        self._clock = ManualClock(self._loop)
        speeds = (0.6 + (number + 0.5) / keyed for number in range(keyed))
        self._keyed = [Gate(speed, self._clock) for speed in speeds]
        self._called = [
            Gate(called_speed * (0.9 + 0.2 * number), self._clock) for number in range(called)
        ]
        if limits_runs:
            for gate in self._keyed:
                gate.run_limits = RunLimits()
        self.counts: Counter[tuple[str, str]] = Counter()
        self.refused_after_wait = 0
        self._ids = itertools.count()

    @property
    def idle_slots(self) -> int:
        """Number of times that a slot was free although a request waited."""
        return sum(gate.idle_slots for gate in (*self._keyed, *self._called))

    def share(self, route: str, *outcomes: str) -> float:
        """Returns the share of a route's requests that ended in one of the outcomes."""
        total = sum(count for (name, _), count in self.counts.items() if name == route)
        return sum(self.counts[route, outcome] for outcome in outcomes) / max(total, 1)

    def play(self, seconds: float) -> None:
        """Plays arrivals for some seconds and waits for the last responses."""
        play = self._loop.create_task(self._play(seconds))
        self._world.advance(seconds + _LAST_RESPONSES_S)
        play.result()

    async def _play(self, seconds: float) -> None:
        async with asyncio.TaskGroup() as group:
            for gate in self._keyed:
                for load in self._keyed_loads:
                    group.create_task(self._arrivals(group, load, seconds, [gate]))
            for _ in self._called:
                group.create_task(self._arrivals(group, DOWNLOAD, seconds, self._called))

    async def _arrivals(self, group: Any, load: Load, seconds: float, gates: list[Gate]) -> None:
        clock, end = self._clock, self._clock.now() + seconds
        # Arrivals have a generator of their own, so that they do not depend on the decisions.
        generator = random.Random(self._random.random())
        while clock.now() < end:
            wave = 1 + self._wave_depth * math.sin(2 * math.pi * (end - clock.now()) / _WAVE_S)
            rate = load.per_second * self._scale * wave
            await asyncio.sleep(generator.expovariate(rate))
            group.create_task(self._client(load, gates))

    async def _client(self, load: Load, gates: list[Gate]) -> None:
        """Sends a request, and once more at the time told after a refusal."""
        clock = self._clock
        began = clock.now()
        deadline = began + load.deadline_s
        outcome = "refused"
        for returning in (False, True):
            try:
                await self._send(load, gates, began, deadline, returning=returning)
            except OverloadedError as error:
                wait_s = max(error.retry_after_s or 0.1, 0.1)
                if wait_s > (deadline - clock.now()) / 3:
                    break
                await asyncio.sleep(wait_s)
            except (RefusalError, RuntimeError):
                outcome = "failed"
                break
            else:
                in_aim = clock.now() - began <= load.objective_s
                outcome = "in aim" if in_aim else "late"
                break
        self.counts[load.route, outcome] += 1

    async def _send(
        self, load: Load, gates: list[Gate], began: float, deadline: float, **values: Any
    ) -> None:
        useful_until = began + load.objective_s
        request = Request(
            str(next(self._ids)), "depot", "", "GET", "/", (), BytesBody(b""), deadline,
            priority=load.priority, useful_until=useful_until, route=load.route, **values,
        )  # fmt: skip
        order = self._random.sample(gates, len(gates))[:_SENDS]
        for number, gate in enumerate(order):
            searching = number < min(len(order) - 1, _SEARCHES)
            attempt = replace(request, has_alternatives=searching)
            sent_at = self._clock.now()
            try:
                return await gate.run(
                    attempt,
                    self._work_s(load),
                    lambda gate=gate: self._calls(load, deadline, gate),
                )
            except OverloadedError:
                self.refused_after_wait += self._clock.now() > sent_at
                if gate is order[-1]:
                    raise

    def _work_s(self, load: Load) -> float:
        """Returns the run time of a request, of which some take several times the mean."""
        return load.work_s * self._random.lognormvariate(-(_SPREAD**2) / 2, _SPREAD)

    async def _calls(self, load: Load, deadline: float, gate: Gate) -> None:
        for _ in range(load.calls):
            if self._random.random() > 0.7:
                continue
            now = self._clock.now()
            until = min(deadline, now + LOOKUP.deadline_s)
            error: RefusalError | None = None
            try:
                await self._send(LOOKUP, self._called, now, until, inner=True)
            except RefusalError as refusal:
                error = refusal
            self.counts["lookup", "failed" if error else "in aim"] += 1
            if gate.run_limits is not None:
                ended_at = self._clock.now()
                retry_after_s = error.retry_after_s or 0.0 if error else 0.0
                gate.run_limits.record_call(
                    load.route, ended_at - now, ended_at, error is not None, retry_after_s
                )
            if error is not None:
                raise RuntimeError("a call failed") from error
