"""Paces: closed and open loops that decide when the requests of a load are sent."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import Protocol

from ...kernel.clock import BootClock


class RequestSender(Protocol):
    """Sends the requests of a load when a pace calls it."""

    @property
    def active(self) -> bool:
        """Whether more requests are to be sent."""
        ...

    async def send(self, begun_s: float) -> bool:
        """Sends one request and records the responses to its attempts.

        Args:
            begun_s: Time at which the request was due, in seconds of CLOCK_BOOTTIME.

        Returns:
            Whether the request succeeded.
        """
        ...

    def skip(self) -> None:
        """Counts a request that was due but was not sent."""
        ...


class Pace(Protocol):
    """Decides when requests are sent."""

    async def drive(self, sender: RequestSender) -> None:
        """Sends requests while the sender is active, then waits for their responses."""
        ...


@dataclass(frozen=True, slots=True)
class ClosedLoop:
    """Concurrent callers, each of which sends a request once the last one has a response.

    Attributes:
        callers: Number of callers.
        pause_s: Pause of a caller after each success, in seconds.
        failure_pause_s: Pause after each failure, in seconds. Without it, callers of an agent
            that refuses connections use a whole core.
    """

    callers: int
    pause_s: float = 0.0
    failure_pause_s: float = 0.01

    async def drive(self, sender: RequestSender) -> None:
        """Sends requests while the sender is active, then waits for their responses."""

        async def call() -> None:
            clock = BootClock()
            while sender.active:
                succeeded = await sender.send(clock.now())
                await clock.sleep(self.pause_s if succeeded else self.failure_pause_s)

        async with asyncio.TaskGroup() as callers:
            for _ in range(self.callers):
                callers.create_task(call())


@dataclass(frozen=True, slots=True)
class OpenLoop:
    """Requests at a mean rate with exponential gaps, however long the responses take.

    Latency counts from the time at which a request was due, so that a stalled generator does not
    hide it.

    Attributes:
        rate_per_s: Mean number of requests per second.
        max_in_flight: Largest number of requests in flight; a request that is due beyond it is
            skipped.
        seed: Seed of the gaps.
    """

    rate_per_s: float
    max_in_flight: int = 2000
    seed: int = 0

    async def drive(self, sender: RequestSender) -> None:
        """Sends requests while the sender is active, then waits for their responses."""
        clock = BootClock()
        rng = random.Random(self.seed)
        in_flight: set[asyncio.Task[bool]] = set()
        due_s = clock.now()
        async with asyncio.TaskGroup() as requests:
            while sender.active:
                if len(in_flight) >= self.max_in_flight:
                    sender.skip()
                else:
                    task = requests.create_task(sender.send(due_s))
                    in_flight.add(task)
                    task.add_done_callback(in_flight.discard)
                due_s += rng.expovariate(self.rate_per_s)
                await clock.sleep(max(0.0, due_s - clock.now()))
