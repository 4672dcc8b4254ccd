"""Admission: slots by priority and deadline, limits and early shedding."""

from __future__ import annotations

import asyncio
import itertools
from types import TracebackType

from aiolimiter import AsyncLimiter
from sortedcontainers import SortedDict

from ..kernel import Clock, Event, Level, Registry
from ..kernel.errors import (
    DeadlineExceededError,
    OverloadedError,
    RateLimitedError,
)
from ..messages import Announcement, Entry, Request
from ..messages.request import Occupancy

_LIMIT_REDUCED = Event(
    3101, "slots_reduced", Level.WARNING, "The upstream sheds load, so fewer slots are used."
)
_SLOW_START = Event(
    3102, "slow_start", Level.INFO, "The upstream is new, so its slots come into use gradually."
)

# Weight of the newest sample in the mean run time and in its mean deviation.
_SAMPLE_WEIGHT = 0.1
# Connections that requests leave free for grants, cancellations and health checks.
_RESERVED_CONNECTIONS = 3
# Share of the slots that a cold upstream gets at once, and the time until it has all of them.
_COLD_SHARE = 0.25
_COLD_S = 10.0
# While cold, a run at most this much slower than the fastest mean so far adds half a slot.
_COLD_TOLERANCE = 1.5
_COLD_STEP = 0.5
# A shed by the upstream multiplies the limit by this. One run's time passes between reductions,
# because the requests that are shed together report the same overload.
_REDUCTION = 0.8
# The rate limiter's burst in seconds of the permitted rate.
_BURST_S = 0.1

# Priority, deadline and number of a waiting request; the lowest gets the next slot.
_Place = tuple[int, float, int]


class _RunTime:
    """Mean time of a run and its mean deviation, in seconds."""

    __slots__ = ("deviation_s", "mean_s")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.deviation_s = 0.0

    def add(self, run_s: float) -> None:
        """Takes the time of one run."""
        if not self.mean_s:
            self.mean_s, self.deviation_s = run_s, run_s / 2
            return
        self.deviation_s += _SAMPLE_WEIGHT * (abs(run_s - self.mean_s) - self.deviation_s)
        self.mean_s += _SAMPLE_WEIGHT * (run_s - self.mean_s)


class _Slot:
    """One use of a slot, as an async context manager."""

    __slots__ = ("_admission", "_entry", "_request", "_started")

    def __init__(self, admission: SlotAdmission, request: Request, entry: Entry) -> None:
        self._admission = admission
        self._request = request
        self._entry = entry
        self._started = 0.0

    async def __aenter__(self) -> None:
        await self._admission.acquire(self._request, self._entry)
        self._started = self._admission.now()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._admission.release(self._started, error, self._request.route)


class SlotAdmission:
    """The `admission` service.

    The number of slots in use follows this agent's own measurements: its count of running
    requests, their run times and the upstream's sheds. The load that the upstream reports is
    not used, because it lags or is wrong.
    """

    name = "admission"
    requires: tuple[str, ...] = ()

    def __init__(self) -> None:
        self._slots = 1
        self._started: tuple[str, int, str] | None = None
        self._running = 0
        self._numbers = itertools.count()
        self._waiting: SortedDict = SortedDict()
        # Requests whose answers will be late; they run while no other request waits.
        self._late: SortedDict = SortedDict()
        # Waiting requests of both lanes by the number of their place.
        self._requests: dict[int, Request] = {}
        self._runs = _RunTime()
        # Requests of different routes can differ tenfold in their work.
        self._runs_by_route: dict[str, _RunTime] = {}
        self._fastest_mean_s: float | None = None
        self._cold_since: float | None = None
        self._cold_slots = 0.0
        self._shed_limit = float("inf")
        self._reduced_at = 0.0
        self._limiters: dict[str, tuple[int, AsyncLimiter]] = {}

    @property
    def capacity(self) -> float:
        """Usable share of the slots."""
        return min(self._limit() / self._slots, 1.0)

    @property
    def occupancy(self) -> Occupancy:
        """Load of the slots as this agent counts it."""
        return Occupancy(
            self._running,
            len(self._waiting) + len(self._late),
            self._limit(),
            round(self._runs.mean_s * 1000, 1),
        )

    def bind(self, registry: Registry) -> None:
        """Finds the clock."""
        self._clock = registry.find("clock", Clock)

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    def now(self) -> float:
        """Returns the present time in seconds of CLOCK_BOOTTIME."""
        return self._clock.now()

    def observe_announcement(self, announcement: Announcement) -> None:
        """Takes over the number of slots that the upstream announced."""
        self._slots = max(
            min(announcement.slots, announcement.connections - _RESERVED_CONNECTIONS), 1
        )
        address = (announcement.host, announcement.port)
        started = (*address, announcement.start)
        if started != self._started:
            self._started = started
            # An upstream that tells its warm-up is slow while cold but uses all its slots.
            if announcement.cold_s is None:
                self.begin_slow_start()
        self._wake_next()

    def begin_slow_start(self) -> None:
        """Treats the upstream as cold; see `Admission.begin_slow_start`."""
        self._cold_since = self._clock.now()
        self._cold_slots = max(self._slots * _COLD_SHARE, 1.0)
        self._fastest_mean_s = None
        self._runs = _RunTime()
        self._runs_by_route.clear()
        self._shed_limit = float("inf")
        _SLOW_START.emit(slots=self._slots, usable=int(self._cold_slots))

    def slot(self, request: Request, entry: Entry) -> _Slot:
        """Waits for a slot; see `Admission.slot`."""
        return _Slot(self, request, entry)

    async def acquire(self, request: Request, entry: Entry) -> None:
        """Takes a slot; raises as `Admission.slot`."""
        if entry.limits.requests_per_second:
            await self._check_rate(entry)
        if self._running < self._limit() and not self._waiting and not self._late:
            self._running += 1
            return
        lane, place = self._lane(request, entry)
        loop = asyncio.get_running_loop()
        granted: asyncio.Future[None] = loop.create_future()
        lane[place] = granted
        self._requests[place[2]] = request
        timer = loop.call_later(request.deadline - self._clock.now(), self._expire, granted)
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled() and granted.exception() is None:
                # The slot was granted in the same turn of the event loop as the cancellation.
                self._running -= 1
                self._wake_next()
            raise
        finally:
            timer.cancel()
            del self._requests[place[2]]
            self._waiting.pop(place, None)
            self._late.pop(place, None)
            self._late.pop((place[0], request.deadline, place[2]), None)

    def release(self, started: float, error: BaseException | None, route: str = "") -> None:
        """Gives a slot back.

        Args:
            started: When the slot was taken, in seconds of CLOCK_BOOTTIME.
            error: What ended the use, or None.
            route: Route of the request.
        """
        self._running -= 1
        if isinstance(error, OverloadedError):
            self._reduce()
        elif error is None:
            self._measure(self._clock.now() - started, route)
        self._wake_next()

    def _limit(self) -> int:
        limit = min(float(self._slots), self._shed_limit)
        if self._cold_since is not None:
            age = (self._clock.now() - self._cold_since) / _COLD_S
            if age >= 1 or self._cold_slots >= self._slots:
                self._cold_since = None
            else:
                share = _COLD_SHARE + (1 - _COLD_SHARE) * age
                limit = min(limit, max(self._cold_slots, self._slots * share))
        return max(int(limit), 1)

    def _measure(self, run_s: float, route: str) -> None:
        self._runs.add(run_s)
        if route:
            self._runs_by_route.setdefault(route, _RunTime()).add(run_s)
        if self._cold_since is not None:
            mean_s, fastest = self._runs.mean_s, self._fastest_mean_s
            if fastest is None or mean_s <= fastest * _COLD_TOLERANCE:
                self._cold_slots += _COLD_STEP
            self._fastest_mean_s = min(fastest or mean_s, mean_s)
        if self._shed_limit < self._slots:
            # One slot more after as many successes as there are slots in use.
            self._shed_limit += 1 / self._shed_limit

    def _reduce(self) -> None:
        now = self._clock.now()
        if now - self._reduced_at < self._runs.mean_s:
            return
        self._reduced_at = now
        self._shed_limit = max(min(self._shed_limit, self._running + 1) * _REDUCTION, 1.0)
        _LIMIT_REDUCED.emit(limit=int(self._shed_limit), slots=self._slots)

    async def _check_rate(self, entry: Entry) -> None:
        rate = entry.limits.requests_per_second
        known = self._limiters.get(entry.service)
        if known is None or known[0] != rate:
            burst = max(rate * _BURST_S, 1.0)
            known = (rate, AsyncLimiter(burst, burst / rate))
            self._limiters[entry.service] = known
        if not known[1].has_capacity():
            raise RateLimitedError(
                f"{entry.service!r} is limited to {rate} requests/s on each server",
                retry_after_s=1.0,
            )
        await known[1].acquire()

    def _lane(self, request: Request, entry: Entry) -> tuple[SortedDict, _Place]:
        """Returns the lane and place of a request, or refuses it.

        Raises:
            OverloadedError: The request would not be answered in time.
        """
        limit = self._limit()
        now = self._clock.now()
        useful_until = request.useful_until or request.deadline
        place = (request.priority, useful_until, next(self._numbers))
        queued = len(self._waiting) + len(self._late)
        run_s = self._expected_run_s(request.route)
        wait_s = self._runs.mean_s * (self._waiting.bisect_left(place) + 1) / limit
        drained_s = self._drained_s()
        retry_after_s = max(drained_s, entry.limits.retry_after_ms / 1000)
        if queued >= entry.limits.queue_length:
            raise OverloadedError("the queue is full", retry_after_s=retry_after_s)
        if now + wait_s + run_s <= useful_until:
            return self._waiting, place
        late_fits = now + drained_s + run_s <= request.deadline
        if late_fits and useful_until < request.deadline and len(self._late) < limit:
            return self._late, (request.priority, request.deadline, next(self._numbers))
        raise OverloadedError(
            "the expected wait exceeds the deadline", retry_after_s=retry_after_s
        )

    def _expected_run_s(self, route: str) -> float:
        runs = self._runs_by_route.get(route, self._runs)
        return runs.mean_s + 2 * runs.deviation_s

    def _expire(self, granted: asyncio.Future[None]) -> None:
        if not granted.done():
            granted.set_exception(
                DeadlineExceededError("the deadline passed while waiting for a slot")
            )

    def _wake_next(self) -> None:
        limit = self._limit()
        while (self._waiting or self._late) and self._running < limit:
            place, granted = (self._waiting or self._late).popitem(0)
            if granted.done():
                continue
            request = self._requests[place[2]]
            ends_at = self._clock.now() + self._expected_run_s(request.route)
            if ends_at > request.deadline:
                # A run that cannot end in time would take the slot from one that can.
                retry_after_s = max(self._drained_s(), self._runs.mean_s)
                granted.set_exception(
                    OverloadedError("too little time is left to run", retry_after_s=retry_after_s)
                )
                continue
            if ends_at > place[1] and self._waiting:
                # Its answer will be late, so those that can be in time go first.
                self._late[(place[0], request.deadline, place[2])] = granted
                continue
            self._running += 1
            granted.set_result(None)

    def _drained_s(self) -> float:
        queued = len(self._waiting) + len(self._late)
        return self._runs.mean_s * (queued + 1) / self._limit()
