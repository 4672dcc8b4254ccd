"""Admission: slots in the order of deadlines, limits and early shedding."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from sortedcontainers import SortedDict

from ..kernel import Clock, Registry
from ..kernel.errors import DeadlineExceededError, OverloadedError
from ..messages import Announcement, Entry, Request

# Weight of the newest sample in the mean run time.
_SAMPLE_WEIGHT = 0.1


class SlotAdmission:
    """The `admission` service."""

    name = "admission"
    requires: tuple[str, ...] = ()

    def __init__(self) -> None:
        self._slots = 1
        self._running = 0
        self._numbers = itertools.count()
        self._waiting: SortedDict = SortedDict()
        self._mean_run_s = 0.0

    @property
    def capacity(self) -> float:
        """Usable share of the slots."""
        return 1.0

    def bind(self, registry: Registry) -> None:
        """Finds the clock."""
        self._clock = registry.find("clock", Clock)

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    def observe_announcement(self, announcement: Announcement) -> None:
        """Takes over the number of slots that the upstream announced."""
        self._slots = announcement.slots
        self._wake_next()

    @asynccontextmanager
    async def slot(self, request: Request, entry: Entry) -> AsyncIterator[None]:
        """Waits for a slot; see `Admission.slot`."""
        await self._acquire(request, entry)
        started = self._clock.now()
        try:
            yield
        finally:
            run_s = self._clock.now() - started
            self._mean_run_s += _SAMPLE_WEIGHT * (run_s - self._mean_run_s)
            self._running -= 1
            self._wake_next()

    async def _acquire(self, request: Request, entry: Entry) -> None:
        if self._running < self._slots:
            self._running += 1
            return
        self._shed(request, entry)
        place = (request.deadline, next(self._numbers))
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[place] = granted
        try:
            await asyncio.wait_for(granted, max(request.deadline - self._clock.now(), 0))
        except TimeoutError:
            raise DeadlineExceededError("the deadline passed while waiting for a slot") from None
        finally:
            self._waiting.pop(place, None)
            if granted.cancelled() is False and granted.done() is False:
                granted.cancel()

    def _shed(self, request: Request, entry: Entry) -> None:
        wait_s = self._mean_run_s * (len(self._waiting) + 1) / self._slots
        if len(self._waiting) >= entry.limits.queue_length:
            raise OverloadedError("the queue is full", retry_after_s=max(wait_s, 1.0))
        if self._clock.now() + wait_s + self._mean_run_s > request.deadline:
            raise OverloadedError(
                "the expected wait exceeds the deadline", retry_after_s=max(wait_s, 1.0)
            )

    def _wake_next(self) -> None:
        while self._waiting and self._running < self._slots:
            _, granted = self._waiting.popitem(0)
            if not granted.done():
                self._running += 1
                granted.set_result(None)
