"""Admission control: slots by priority and deadline, rate limits and early load shedding."""

from __future__ import annotations

import asyncio
import itertools
from types import TracebackType
from typing import TYPE_CHECKING

from sortedcontainers import SortedDict

from ..kernel import Clock, Event, Level, Registry
from ..kernel.errors import (
    DeadlineExceededError,
    OverloadedError,
    RateLimitedError,
)
from ..messages import Announcement, Entry, Request
from ..messages.request import Occupancy
from .pace import StartPace

if TYPE_CHECKING:
    from aiolimiter import AsyncLimiter

_SLOTS_REDUCED = Event(
    3101, "slots_reduced", Level.WARNING, "The upstream sheds load, so fewer slots are used."
)
_SLOW_START = Event(
    3102, "slow_start", Level.INFO, "The upstream is cold, so its slots come into use gradually."
)
_RATE_LIMITED = Event(
    3103,
    "rate_limited",
    Level.INFO,
    "The upstream named or changed the rate that it takes, or names none any more.",
)

# Weight of the newest sample in the mean run time and in its mean deviation.
_SAMPLE_WEIGHT = 0.1
# Connections to the upstream reserved for grants, cancellations and health checks.
_RESERVED_CONNECTIONS = 3
# Share of the slots that a cold upstream gets at once, and the time until all of them are usable.
_COLD_SHARE = 0.25
_COLD_PERIOD_S = 10.0
# While the upstream is cold, a run adds _COLD_STEP_SLOTS slots if the mean run time is at most
# _COLD_TOLERANCE times the lowest mean so far.
_COLD_TOLERANCE = 1.5
_COLD_STEP_SLOTS = 0.5
# A request that the upstream sheds multiplies the limit by this factor. Reductions are at least
# one mean run time apart, because requests that are shed together report the same overload.
_REDUCTION_FACTOR = 0.8
# Value of a late response in proportion to one in time. A request that will be late is worth its
# slot if its run is shorter than this share of the runs that it competes with.
_LATE_VALUE = 0.3
# Share of the slots that is used until the upstream has responded once: it may have named a rate
# to an earlier process of this agent.
_UNHEARD_SHARE = 0.25
# Burst of the rate limiter, in seconds of the permitted rate.
_RATE_BURST_S = 0.1

# Priority, deadline and sequence number of a waiting request; the lowest gets the next slot.
_QueuePosition = tuple[int, float, int]


class _RunTimeStats:
    """Moving averages of the run time and of its deviation, in seconds."""

    __slots__ = ("_mean_square_s2", "deviation_s", "mean_s")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.deviation_s = 0.0
        self._mean_square_s2 = 0.0

    @property
    def holding_s(self) -> float:
        """Mean length of a run that holds a slot at a random moment; long runs weigh more."""
        return self._mean_square_s2 / self.mean_s if self._mean_square_s2 else self.mean_s

    def add(self, run_s: float) -> None:
        """Adds the time of one run in seconds."""
        if not self.mean_s:
            self.mean_s, self.deviation_s = run_s, run_s / 2
            self._mean_square_s2 = run_s * run_s
            return
        self._mean_square_s2 += _SAMPLE_WEIGHT * (run_s * run_s - self._mean_square_s2)
        self.deviation_s += _SAMPLE_WEIGHT * (abs(run_s - self.mean_s) - self.deviation_s)
        self.mean_s += _SAMPLE_WEIGHT * (run_s - self.mean_s)


class _Slot:
    """An async context manager that holds a slot."""

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

    The number of usable slots follows this agent's own measurements: its count of running
    requests, their run times and the requests that the upstream sheds. The load that the upstream
    reports is not used, because it lags or is wrong. A rate that it names is kept.

    Args:
        upstream_names_limits: Whether upstreams may name a rate in their responses.
    """

    name = "admission"
    requires: tuple[str, ...] = ()

    def __init__(self, upstream_names_limits: bool = False) -> None:
        self._upstream_names_limits = upstream_names_limits
        # Whether the present start of the upstream has responded, or cannot name a rate.
        self._upstream_heard = True
        self._pace = StartPace()
        self._pace_timer: asyncio.TimerHandle | None = None
        self._slots = 1
        self._upstream_start: tuple[str, int, str] | None = None
        self._running = 0
        self._sequence_numbers = itertools.count()
        self._on_time_queue: SortedDict = SortedDict()
        # Requests whose responses will be late; they run while no other request waits.
        self._late_queue: SortedDict = SortedDict()
        # Requests in both queues by the sequence number of their position.
        self._queued_requests: dict[int, Request] = {}
        self._run_time = _RunTimeStats()
        # Run times of different routes can differ tenfold.
        self._run_time_by_route: dict[str, _RunTimeStats] = {}
        self._fastest_mean_s: float | None = None
        self._cold_since: float | None = None
        self._cold_slots = 0.0
        self._shed_limit = float("inf")
        self._reduced_at = 0.0
        self._rate_limiters: dict[str, tuple[int, AsyncLimiter]] = {}

    @property
    def capacity(self) -> float:
        """Usable share of the slots, from above 0.0 to 1.0."""
        return min(self.occupancy.usable_slots / self._slots, 1.0)

    @property
    def occupancy(self) -> Occupancy:
        """Load of the slots as measured by this agent."""
        return Occupancy(
            self._running,
            len(self._on_time_queue) + len(self._late_queue),
            self._slot_limit(),
            round(self._run_time.mean_s * 1000, 1),
            self._pace.per_second,
        )

    def bind(self, registry: Registry) -> None:
        """Looks up the clock."""
        self._clock = registry.find("clock", Clock)

    async def start(self) -> None:
        """Starts nothing: this service has no background task."""

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""

    def now(self) -> float:
        """Returns the current time in seconds of CLOCK_BOOTTIME."""
        return self._clock.now()

    def observe_announcement(self, announcement: Announcement) -> None:
        """Sets the number of slots from an announcement; a new upstream begins a slow start."""
        self._slots = max(
            min(announcement.slots, announcement.connections - _RESERVED_CONNECTIONS), 1
        )
        address = (announcement.host, announcement.port)
        upstream_start = (*address, announcement.start)
        if upstream_start != self._upstream_start:
            self._upstream_start = upstream_start
            self._pace.limit(None, self._clock.now())
            self._upstream_heard = not self._upstream_names_limits
            # An upstream that announces its warm-up time is slower while cold, but all its slots
            # are usable.
            if announcement.cold_s is None:
                self.begin_slow_start()
        self._wake_next()

    def begin_slow_start(self) -> None:
        """Limits the slots of a cold upstream; see `Admission.begin_slow_start`."""
        self._cold_since = self._clock.now()
        self._cold_slots = max(self._slots * _COLD_SHARE, 1.0)
        self._fastest_mean_s = None
        self._run_time = _RunTimeStats()
        self._run_time_by_route.clear()
        self._shed_limit = float("inf")
        _SLOW_START.emit(slots=self._slots, usable=int(self._cold_slots))

    def limit_rate(self, per_second: float | None) -> None:
        """Sets the rate that the upstream takes; see `RateControl.limit_rate`."""
        was_heard, self._upstream_heard = self._upstream_heard, True
        before = self._pace.per_second
        self._pace.limit(per_second, self._clock.now())
        if self._pace.per_second != before:
            _RATE_LIMITED.emit(per_second=self._pace.per_second, before=before)
        elif was_heard:
            return
        self._wake_next()

    def slot(self, request: Request, entry: Entry) -> _Slot:
        """Returns a context that waits for a slot; see `Admission.slot`."""
        return _Slot(self, request, entry)

    def check(self, request: Request, entry: Entry) -> None:
        """Raises as `Admission.check` if the request would be refused now."""
        if self._must_wait():
            self._choose_queue(request, entry)
        elif request.has_alternatives:
            ends_at = self._clock.now() + self._expected_run_s(request.route)
            if ends_at > self._worth_until(request):
                raise OverloadedError("the response would be late here")

    async def acquire(self, request: Request, entry: Entry) -> None:
        """Waits for a slot and takes it; raises as `Admission.slot`."""
        if entry.limits.requests_per_second:
            await self._check_rate(entry)
        if not self._must_wait():
            self._begin_run()
            return
        queue, position = self._choose_queue(request, entry)
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        queue[position] = waiter
        self._queued_requests[position[2]] = request
        timer = loop.call_later(self._latest_start_s(request), self._expire, waiter, request)
        self._wake_at_pace()
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
                # The slot was assigned in the event loop iteration of the cancellation.
                self._running -= 1
                self._wake_next()
            raise
        finally:
            timer.cancel()
            del self._queued_requests[position[2]]
            self._on_time_queue.pop(position, None)
            self._late_queue.pop(position, None)
            self._late_queue.pop((position[0], request.deadline, position[2]), None)

    def release(self, acquired_at: float, error: BaseException | None, route: str = "") -> None:
        """Releases a slot.

        Args:
            acquired_at: When the slot was acquired, in seconds of CLOCK_BOOTTIME.
            error: The exception that ended the run, or None if the run succeeded.
            route: Name of the route of the request, or empty.
        """
        self._running -= 1
        if isinstance(error, OverloadedError):
            self._reduce_limit()
        elif error is None:
            self._record_run(self._clock.now() - acquired_at, route)
        self._wake_next()

    def _must_wait(self) -> bool:
        return (
            self._running >= self._slot_limit()
            or bool(self._on_time_queue or self._late_queue)
            or self._pace.wait_s(0, self._clock.now()) > 0
        )

    def _begin_run(self) -> None:
        self._running += 1
        self._pace.take(self._clock.now())

    def _wake_at_pace(self) -> None:
        """Wakes the queue when the rate of the upstream permits the next run."""
        wait_s = self._pace.wait_s(0, self._clock.now())
        if wait_s > 0 and self._pace_timer is None:
            self._pace_timer = asyncio.get_running_loop().call_later(wait_s, self._wake_paced)

    def _wake_paced(self) -> None:
        self._pace_timer = None
        self._wake_next()

    def _slot_limit(self) -> int:
        limit = min(float(self._slots), self._shed_limit)
        if not self._upstream_heard:
            limit = min(limit, max(self._slots * _UNHEARD_SHARE, 1.0))
        if self._cold_since is not None:
            elapsed_share = (self._clock.now() - self._cold_since) / _COLD_PERIOD_S
            if elapsed_share >= 1 or self._cold_slots >= self._slots:
                self._cold_since = None
            else:
                share = _COLD_SHARE + (1 - _COLD_SHARE) * elapsed_share
                limit = min(limit, max(self._cold_slots, self._slots * share))
        return max(int(limit), 1)

    def _record_run(self, run_s: float, route: str) -> None:
        self._run_time.add(run_s)
        if route:
            self._run_time_by_route.setdefault(route, _RunTimeStats()).add(run_s)
        if self._cold_since is not None:
            mean_s, fastest_mean_s = self._run_time.mean_s, self._fastest_mean_s
            if fastest_mean_s is None or mean_s <= fastest_mean_s * _COLD_TOLERANCE:
                self._cold_slots += _COLD_STEP_SLOTS
            self._fastest_mean_s = min(fastest_mean_s or mean_s, mean_s)
        if self._shed_limit < self._slots:
            # Adds one slot after as many successful runs as there are usable slots.
            self._shed_limit += 1 / self._shed_limit

    def _reduce_limit(self) -> None:
        now = self._clock.now()
        if now - self._reduced_at < self._run_time.mean_s:
            return
        self._reduced_at = now
        self._shed_limit = max(min(self._shed_limit, self._running + 1) * _REDUCTION_FACTOR, 1.0)
        _SLOTS_REDUCED.emit(limit=int(self._shed_limit), slots=self._slots)

    async def _check_rate(self, entry: Entry) -> None:
        rate = entry.limits.requests_per_second
        # Few services have a limit, and the library reads package metadata when it is imported.
        from aiolimiter import AsyncLimiter

        cached = self._rate_limiters.get(entry.service)
        if cached is None or cached[0] != rate:
            burst = max(rate * _RATE_BURST_S, 1.0)
            cached = (rate, AsyncLimiter(burst, burst / rate))
            self._rate_limiters[entry.service] = cached
        if not cached[1].has_capacity():
            raise RateLimitedError(
                f"{entry.service!r} is limited to {rate} requests/s on each server",
                retry_after_s=1.0,
            )
        await cached[1].acquire()

    def _choose_queue(self, request: Request, entry: Entry) -> tuple[SortedDict, _QueuePosition]:
        """Returns the queue for a request and its position there.

        Raises:
            OverloadedError: The queues are full, or the response would be too late.
        """
        limit = self._slot_limit()
        now = self._clock.now()
        useful_until = request.useful_until or request.deadline
        position = (request.priority, useful_until, next(self._sequence_numbers))
        queued_count = len(self._on_time_queue) + len(self._late_queue)
        run_s = self._expected_run_s(request.route)
        ahead = self._on_time_queue.bisect_left(position)
        wait_s = max(self._run_time.mean_s * (ahead + 1) / limit, self._pace.wait_s(ahead, now))
        drain_s = self._drain_s()
        retry_after_s = max(drain_s, entry.limits.retry_after_ms / 1000)
        if queued_count >= entry.limits.queue_length:
            raise OverloadedError("the queue is full", retry_after_s=retry_after_s)
        if now + wait_s + run_s <= self._worth_until(request):
            return self._on_time_queue, position
        if request.has_alternatives:
            raise OverloadedError("the response would be late here", retry_after_s=retry_after_s)
        fits_late_queue = now + drain_s + run_s <= request.deadline
        if fits_late_queue and useful_until < request.deadline and len(self._late_queue) < limit:
            return self._late_queue, (
                request.priority,
                request.deadline,
                next(self._sequence_numbers),
            )
        raise OverloadedError(
            "the expected wait exceeds the deadline", retry_after_s=retry_after_s
        )

    def _worth_until(self, request: Request) -> float:
        """Returns until when a response to a request justifies a slot for which others wait."""
        run_time = self._run_time_by_route.get(request.route)
        if run_time is not None and run_time.mean_s <= _LATE_VALUE * self._run_time.holding_s:
            return request.deadline
        return request.useful_until or request.deadline

    def _expected_run_s(self, route: str) -> float:
        run_time = self._run_time_by_route.get(route, self._run_time)
        return run_time.mean_s + 2 * run_time.deviation_s

    def _latest_start_s(self, request: Request) -> float:
        """Returns the time from now after which a run cannot end before the deadline."""
        remaining_s = request.deadline - self._clock.now()
        return max(remaining_s - self._expected_run_s(request.route), 0.0)

    def _expire(self, waiter: asyncio.Future[None], request: Request) -> None:
        """Refuses a request once it cannot be served any more.

        The agent that forwarded it learns before the deadline that it has not run, so its caller
        gets a certain answer and can return.
        """
        if waiter.done():
            return
        if request.deadline <= self._clock.now():
            waiter.set_exception(
                DeadlineExceededError("the deadline passed while waiting for a slot")
            )
            return
        waiter.set_exception(self._too_late_error())

    def _too_late_error(self) -> OverloadedError:
        return OverloadedError(
            "too little time is left to run the request",
            retry_after_s=max(self._drain_s(), self._run_time.mean_s),
        )

    def _wake_next(self) -> None:
        limit = self._slot_limit()
        while (self._on_time_queue or self._late_queue) and self._running < limit:
            if self._pace.wait_s(0, self._clock.now()) > 0:
                self._wake_at_pace()
                return
            position, waiter = (self._on_time_queue or self._late_queue).popitem(0)
            if waiter.done():
                continue
            request = self._queued_requests[position[2]]
            ends_at = self._clock.now() + self._expected_run_s(request.route)
            if ends_at > request.deadline:
                # A run that cannot end in time would take the slot from one that can.
                waiter.set_exception(self._too_late_error())
                continue
            if ends_at > max(position[1], self._worth_until(request)) and self._on_time_queue:
                # Its response will be late, so requests that can be in time run first.
                self._late_queue[(position[0], request.deadline, position[2])] = waiter
                continue
            self._begin_run()
            waiter.set_result(None)

    def _drain_s(self) -> float:
        queued_count = len(self._on_time_queue) + len(self._late_queue)
        return max(
            self._run_time.mean_s * (queued_count + 1) / self._slot_limit(),
            self._pace.wait_s(queued_count, self._clock.now()),
        )
