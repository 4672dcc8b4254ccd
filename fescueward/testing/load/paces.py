"""When the requests of a load are sent."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import Protocol

from ...kernel.clock import BootClock


class Sink(Protocol):
    """What a pace drives."""

    @property
    def active(self) -> bool:
        """Whether more requests are wanted."""
        ...

    async def send(self, begun_s: float) -> bool:
        """Sends one request and records its answers.

        Args:
            begun_s: Time at which it was due, in seconds of CLOCK_BOOTTIME.

        Returns:
            Whether it succeeded.
        """
        ...

    def skip(self) -> None:
        """Counts a request that was due and not sent."""
        ...


class Pace(Protocol):
    """Decides when requests are sent."""

    async def drive(self, sink: Sink) -> None:
        """Sends requests until the sink wants no more."""
        ...


@dataclass(frozen=True, slots=True)
class ClosedLoop:
    """Callers that each send the next request after the last answer.

    Attributes:
        callers: Number of callers.
        pause_s: Pause of a caller after each success, in seconds.
        failure_pause_s: Pause after each failure, in seconds. Without one, callers of an agent
            that refuses connections take a whole core.
    """

    callers: int
    pause_s: float = 0.0
    failure_pause_s: float = 0.01

    async def drive(self, sink: Sink) -> None:
        """Sends requests until the sink wants no more."""

        async def call() -> None:
            clock = BootClock()
            while sink.active:
                succeeded = await sink.send(clock.now())
                await clock.sleep(self.pause_s if succeeded else self.failure_pause_s)

        async with asyncio.TaskGroup() as callers:
            for _ in range(self.callers):
                callers.create_task(call())


@dataclass(frozen=True, slots=True)
class OpenLoop:
    """Requests at a mean rate with exponential gaps, whatever the answers take.

    A request counts from when it was due, so that a stalled generator does not hide latency.

    Attributes:
        rate: Requests per second.
        max_outstanding: Requests without an answer; those due beyond it are skipped.
        seed: Seed of the gaps.
    """

    rate: float
    max_outstanding: int = 2000
    seed: int = 0

    async def drive(self, sink: Sink) -> None:
        """Sends requests until the sink wants no more."""
        clock = BootClock()
        draw = random.Random(self.seed)
        outstanding: set[asyncio.Task[bool]] = set()
        due_s = clock.now()
        async with asyncio.TaskGroup() as requests:
            while sink.active:
                if len(outstanding) >= self.max_outstanding:
                    sink.skip()
                else:
                    task = requests.create_task(sink.send(due_s))
                    outstanding.add(task)
                    task.add_done_callback(outstanding.discard)
                due_s += draw.expovariate(self.rate)
                await clock.sleep(max(0.0, due_s - clock.now()))
