"""Slots of the upstream, given out by priority and deadline, with early load shedding."""

from __future__ import annotations

import asyncio
import math
from types import TracebackType

from ...interfaces import Warmup
from ...kernel import Clock, Event, Level, Registry
from ...kernel.errors import DeadlineExceededError, OverloadedError
from ...messages import Announcement, Entry, Request
from ...messages.request import Occupancy
from .entry_rates import EntryRates
from .pace import StartPace
from .queue import RequestQueue, Waiter
from .run_times import RunTimes
from .shares import ServedShares
from .slot_limit import SlotLimit
from .slowness import PresentSlowness

_RATE_LIMITED = Event(
    3103,
    "rate_limited",
    Level.INFO,
    "The upstream named or changed the rate that it takes, or names none any more.",
)

# Connections to the upstream reserved for grants, cancellations and health checks.
_RESERVED_CONNECTIONS = 3
# Share of the slots that a waiting request counts on, however many are used by kinds before it: a
# starved kind goes first.
_MIN_SLOT_SHARE = 0.5
# A request with this much time to spare after its expected wait waits although it will be late. A
# refusal would make its caller send it, and a long body, once more.
_PATIENCE_S = 2.0
# A request that seeks a free slot waits for at most this share of its useful time, or for a time
# in which another agent could not have been asked.
_SEARCH_WAIT_SHARE = 0.08
_MIN_SEARCH_WAIT_S = 0.02


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
    reports is not used, because it lags or is wrong. A rate that it names is kept, and so is the
    limit on a cold upstream.

    Args:
        upstream_names_limits: Whether upstreams may name a rate in their responses.
    """

    name = "admission"
    requires = ("warmup",)

    def __init__(self, upstream_names_limits: bool = False) -> None:
        self._upstream_names_limits = upstream_names_limits
        self._pace = StartPace()
        self._pace_timer: asyncio.TimerHandle | None = None
        self._upstream_start: tuple[str, int, str] | None = None
        self._running = 0
        self._shares = ServedShares()
        self._queue = RequestQueue(self._shares)
        self._run_times = RunTimes()
        self._entry_rates = EntryRates()

    @property
    def capacity(self) -> float:
        """Usable share of the slots, from above 0.0 to 1.0."""
        return min(self.occupancy.usable_slots / self._slot_limit.slots, 1.0)

    @property
    def occupancy(self) -> Occupancy:
        """Load of the slots as measured by this agent."""
        rates = [
            rate for rate in (self._pace.per_second, self._warmup.per_second) if rate is not None
        ]
        return Occupancy(
            self._running,
            len(self._queue),
            self._slot_limit.current(),
            round(self._run_times.mean_s * 1000, 1),
            min(rates, default=None),
            slowness=round(self._slowness.value, 2),
            cold_ms=math.ceil(self._warmup.cold_left_s * 1000),
        )

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses and subscribes to changes of the warm-up."""
        self._clock = registry.find("clock", Clock)
        self._warmup = registry.find("warmup", Warmup)
        self._warmup.subscribe(self)
        self._slot_limit = SlotLimit(self._clock)
        self._slowness = PresentSlowness(self._clock)

    async def start(self) -> None:
        """Starts nothing: this service has no background task."""

    async def stop(self) -> None:
        """Stops nothing: this service has no background task."""

    def now(self) -> float:
        """Returns the current time in seconds of CLOCK_BOOTTIME."""
        return self._clock.now()

    def observe_announcement(self, announcement: Announcement) -> None:
        """Sets the number of slots from an announcement; a new upstream begins a slow start."""
        self._slot_limit.slots = max(
            min(announcement.slots, announcement.connections - _RESERVED_CONNECTIONS), 1
        )
        address = (announcement.host, announcement.port)
        upstream_start = (*address, announcement.start)
        if upstream_start != self._upstream_start:
            self._upstream_start = upstream_start
            self._pace.limit(None, self._clock.now())
            self._slot_limit.heard = not self._upstream_names_limits
            # An upstream that announces its warm-up time is slower while cold, but all its slots
            # are usable.
            if announcement.cold_s is None:
                self.begin_slow_start()
        self._wake_next()

    def begin_slow_start(self) -> None:
        """Limits the slots of a cold upstream; see `Admission.begin_slow_start`."""
        self._slot_limit.begin_slow_start()
        self._run_times = RunTimes()

    def warmup_changed(self) -> None:
        """Lets requests begin that no longer have to wait; see `WarmupListener`."""
        if self._pace_timer is not None:
            self._pace_timer.cancel()
            self._wake_paced()

    def limit_rate(self, per_second: float | None) -> None:
        """Sets the rate that the upstream takes; see `RateControl.limit_rate`."""
        was_heard, self._slot_limit.heard = self._slot_limit.heard, True
        before = self._pace.per_second
        self._pace.limit(per_second, self._clock.now())
        if self._pace.per_second != before:
            _RATE_LIMITED.emit(per_second=self._pace.per_second, before=before)
        elif was_heard:
            return
        self._wake_next()

    def observe_slowness(self, slowness: float) -> None:
        """Applies how long work takes at present; see `RateControl.observe_slowness`."""
        self._slowness.observe(slowness)

    def slot(self, request: Request, entry: Entry) -> _Slot:
        """Returns a context that waits for a slot; see `Admission.slot`."""
        return _Slot(self, request, entry)

    def check(self, request: Request, entry: Entry) -> None:
        """Raises as `Admission.check` if the request would be refused now."""
        if self._must_wait():
            self._check_wait(request, entry)
        elif request.has_alternatives:
            ends_at = self._clock.now() + self._expected_run_s(request)
            if ends_at > self._worth_until(request):
                raise OverloadedError("the response would be late here")

    async def acquire(self, request: Request, entry: Entry) -> None:
        """Waits for a slot and takes it; raises as `Admission.slot`."""
        await self._entry_rates.take(entry)
        if not self._must_wait():
            self._begin_run(request)
            return
        waiter = self._queue.add(request, self._check_wait(request, entry))
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._latest_start_s(request), self._expire, waiter)
        self._wake_at_pace()
        try:
            await waiter.admitted
        except asyncio.CancelledError:
            admitted = waiter.admitted
            if admitted.done() and not admitted.cancelled() and admitted.exception() is None:
                # The slot was assigned in the event loop iteration of the cancellation.
                self._running -= 1
                self._wake_next()
            elif not request.has_alternatives:
                self._shares.record_refused(request, self._clock.now())
            raise
        finally:
            timer.cancel()
            self._queue.remove(waiter)

    def release(self, acquired_at: float, error: BaseException | None, route: str = "") -> None:
        """Releases a slot.

        Args:
            acquired_at: When the slot was acquired, in seconds of CLOCK_BOOTTIME.
            error: The exception that ended the run, or None if the run succeeded.
            route: Name of the route of the request, or empty.
        """
        self._running -= 1
        if isinstance(error, OverloadedError):
            self._slot_limit.record_shed(self._running, self._run_times.mean_s)
        elif error is None:
            self._record_run(self._clock.now() - acquired_at, route)
        self._wake_next()

    def _must_wait(self) -> bool:
        return (
            self._running >= self._slot_limit.current()
            or len(self._queue) > 0
            or self._pace_wait_s(0) > 0
        )

    def _begin_run(self, request: Request) -> None:
        self._running += 1
        now = self._clock.now()
        self._shares.record_served(request, now)
        self._pace.take(now)
        self._warmup.take(now)

    def _pace_wait_s(self, ahead: int) -> float:
        """Returns the time until the rates permit a run after `ahead` others, in seconds."""
        now = self._clock.now()
        return max(self._pace.wait_s(ahead, now), self._warmup.wait_s(ahead, now))

    def _wake_at_pace(self) -> None:
        """Wakes the queue when the rate of the upstream permits the next run."""
        wait_s = self._pace_wait_s(0)
        if wait_s > 0 and self._pace_timer is None:
            self._pace_timer = asyncio.get_running_loop().call_later(wait_s, self._wake_paced)

    def _wake_paced(self) -> None:
        self._pace_timer = None
        self._wake_next()

    def _record_run(self, run_s: float, route: str) -> None:
        # A run that was slow because of others on its machine says nothing of later ones.
        self._run_times.add(run_s / self._slowness.value, route)
        self._slot_limit.record_run(self._run_times.mean_s)

    def _check_wait(self, request: Request, entry: Entry) -> bool:
        """Decides as `_will_be_late` and counts a final refusal.

        A refusal that leaves the request to another upstream says nothing about its kind.
        """
        try:
            return self._will_be_late(request, entry)
        except OverloadedError:
            if not request.has_alternatives:
                self._shares.record_refused(request, self._clock.now())
            raise

    def _will_be_late(self, request: Request, entry: Entry) -> bool:
        """Returns whether the response to a request that begins to wait now will be late.

        Raises:
            OverloadedError: The queue is full, or the response would be too late.
        """
        limit = self._slot_limit.current()
        now = self._clock.now()
        run_s = self._expected_run_s(request)
        ahead = self._queue.work_ahead(request, self._run_times, now)
        slots = max(limit - ahead.overtaking_slots, limit * _MIN_SLOT_SHARE)
        mean_run_s = self._run_times.mean_s
        work_s = (mean_run_s + ahead.run_s) * self._slowness.value
        wait_s = max(work_s / slots, self._pace_wait_s(ahead.requests))
        drain_s = self._drain_s()
        retry_after_s = max(drain_s, entry.limits.retry_after_ms / 1000)
        if len(self._queue) >= entry.limits.queue_length:
            raise OverloadedError("the queue is full", retry_after_s=retry_after_s)
        if request.seeks_free_slot and self._is_long_wait(request, wait_s):
            raise OverloadedError("all slots are in use here", retry_after_s=retry_after_s)
        if now + wait_s + run_s <= self._worth_until(request):
            return False
        if request.has_alternatives:
            raise OverloadedError("the response would be late here", retry_after_s=retry_after_s)
        # Requests that can be in time and arrive during its wait precede a late one.
        late_slots = limit * _MIN_SLOT_SHARE
        late_work_s = (mean_run_s + ahead.late_run_s) * self._slowness.value
        late_end = now + late_work_s / late_slots + run_s
        can_be_late = (request.useful_until or request.deadline) < request.deadline
        spare_s = request.deadline - max(late_end, now + self._pace_wait_s(len(self._queue)))
        few_late = ahead.late_requests < limit
        if can_be_late and spare_s >= (self._run_times.mean_s if few_late else _PATIENCE_S):
            return True
        raise OverloadedError(
            "the expected wait exceeds the deadline", retry_after_s=retry_after_s
        )

    def _is_long_wait(self, request: Request, wait_s: float) -> bool:
        """Returns whether a wait takes more of the useful time than a further hop."""
        useful_s = (request.useful_until or request.deadline) - self._clock.now()
        return wait_s > max(useful_s * _SEARCH_WAIT_SHARE, _MIN_SEARCH_WAIT_S)

    def _worth_until(self, request: Request) -> float:
        """Returns until when a response to a request justifies a slot for which others wait."""
        if self._run_times.is_short(request.route):
            return request.deadline
        return request.useful_until or request.deadline

    def _expected_run_s(self, request: Request) -> float:
        """Returns the time in seconds within which most runs of the route would end now."""
        return self._run_times.expected_s(request.route) * self._slowness.value

    def _latest_start_s(self, request: Request) -> float:
        """Returns the time from now after which a run cannot end before the deadline."""
        remaining_s = request.deadline - self._clock.now()
        return max(remaining_s - self._expected_run_s(request), 0.0)

    def _expire(self, waiter: Waiter) -> None:
        """Refuses a request once it cannot be served any more.

        The agent that forwarded it learns before the deadline that it has not run, so its caller
        gets a certain answer and can return.
        """
        if waiter.admitted.done():
            return
        self._shares.record_refused(waiter.request, self._clock.now())
        if waiter.request.deadline <= self._clock.now():
            waiter.admitted.set_exception(
                DeadlineExceededError("the deadline passed while waiting for a slot")
            )
            return
        waiter.admitted.set_exception(self._too_late_error())

    def _too_late_error(self) -> OverloadedError:
        return OverloadedError(
            "too little time is left to run the request",
            retry_after_s=max(self._drain_s(), self._run_times.mean_s),
        )

    def _wake_next(self) -> None:
        limit = self._slot_limit.current()
        while len(self._queue) and self._running < limit:
            if self._pace_wait_s(0) > 0:
                self._wake_at_pace()
                return
            waiter, was_late = self._queue.pop(self._run_times)
            if waiter.admitted.done():
                continue
            request = waiter.request
            ends_at = self._clock.now() + self._expected_run_s(request)
            if ends_at > request.deadline:
                # A run that cannot end in time would take the slot from one that can.
                self._shares.record_refused(request, self._clock.now())
                waiter.admitted.set_exception(self._too_late_error())
                continue
            turned_late = not was_late and ends_at > self._worth_until(request)
            if turned_late and self._queue.has_on_time:
                # Its response will be late, so requests that can be in time run first.
                self._queue.put_late(waiter)
                continue
            self._begin_run(request)
            waiter.admitted.set_result(None)

    def _drain_s(self) -> float:
        queued_count = len(self._queue)
        return max(
            self._run_times.mean_s * (queued_count + 1) / self._slot_limit.current(),
            self._pace_wait_s(queued_count),
        )
