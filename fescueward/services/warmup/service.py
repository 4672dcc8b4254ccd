"""Keeps the requests to a cold upstream within its limit, as the `warmup` service."""

from __future__ import annotations

import asyncio
import math

from ...interfaces import CrashSource, HealthSource, Membership, Routes
from ...interfaces.warmup import WarmupListener
from ...kernel import Clock, Event, Kernel, Level, RefusalError, Registry
from ...kernel.bounds import Bounds
from ...kernel.retries import ReadingRetries
from ...messages import Announcement
from ...messages.configuration import ServiceSpec
from .limit import RAMP_S, WINDOW_S, ColdLimit, RatePace, RequestWindow
from .state import Warmth, WarmthState

_COLD = Event(
    3120, "upstream_cold", Level.INFO, "The upstream is or may be cold, so it gets few requests."
)
_WARM = Event(3121, "upstream_warm", Level.INFO, "The upstream is warm again.")

# Time for which other agents take a suspect upstream for cold; most doubts end within it.
_SUSPECT_S = 0.5
# Share of the permitted requests that may be sent to a warm upstream after it was last known to be
# warm; then its health is checked, so that the rest suffices until it has responded.
_UNCONFIRMED_SHARE = 0.6
# A check waits for the next heartbeat if that is due within this time.
_HEARTBEAT_SOON_S = 0.15
# Pause after a health check, and the longest one after failed checks in a row: each one takes time
# of the upstream and is charged.
_CHECK_PAUSE_S = 0.1
_MAX_CHECK_PAUSE_S = 2.0
# Requests that wait for a health check or for the first configuration ask again after this time.
_ASK_AGAIN_S = 0.05


class ColdStartLimit:
    """The `warmup` service.

    Every request to the upstream passes this agent, so it alone counts them. A cold upstream gets
    less than the rate of the configuration. A warm one may become cold unnoticed; until it is
    known to be warm still, it gets no more requests than a cold one may get in one second.

    Args:
        kernel: Owner of the task that checks the upstream's health.
        heartbeat_period_s: Time between two heartbeats of the upstream, in seconds.
    """

    name = "warmup"
    requires = ("routes", "upstream")

    def __init__(self, kernel: Kernel, heartbeat_period_s: float) -> None:
        self._heartbeat_period_s = heartbeat_period_s
        self._tasks = kernel.task_owner(self.name)
        self._listeners: list[WarmupListener] = []
        self._check_wanted = asyncio.Event()
        self._spec: ServiceSpec | None = None
        self._limit: ColdLimit | None = None
        self._start_id = ""
        # Requests that admission has let begin, and those that were sent.
        self._begun = RequestWindow()
        self._sent = RequestWindow()
        self._pace = RatePace()
        self._logged_warmth = Warmth.WARM
        self._was_cold = False
        # End of the last cold time, after which the rate rises; infinitely long ago at first.
        self._warm_since = -math.inf

    @property
    def cold_left_s(self) -> float:
        """Remaining time for which the upstream is or may be cold; see `Warmup.cold_left_s`."""
        now = self._clock.now()
        warmth = self._observed_warmth(now)
        if self._current_limit() is None or warmth is Warmth.WARM:
            return 0.0
        left_s = max(self._state.cold_until - now, 0.0)
        return left_s if self._state.doubted_at is None else max(left_s, _SUSPECT_S)

    @property
    def per_second(self) -> float | None:
        """Requests per second that may begin now; see `Warmup.per_second`."""
        return self._rate(self._clock.now())

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses and subscribes to crashes."""
        self._clock = registry.find("clock", Clock)
        self._bounds = registry.find("bounds", Bounds)
        self._routes = registry.find("routes", Routes)
        self._membership = registry.find("membership", Membership)
        self._health = registry.find("upstream", HealthSource)
        registry.find("upstream", CrashSource).subscribe(self)
        self._started_at = self._clock.now()
        self._state = WarmthState(self._started_at, self._heartbeat_period_s)

    async def start(self) -> None:
        """Starts the task that checks the upstream's health when its warmth is in doubt."""
        self._started_at = self._clock.now()
        self._state.suspect(self._started_at)
        self._tasks.spawn("check", self._run())

    async def stop(self) -> None:
        """Cancels the task."""
        await self._tasks.cancel()

    def subscribe(self, listener: WarmupListener) -> None:
        """Notifies a listener of each change; see `Warmup.subscribe`."""
        self._listeners.append(listener)

    def upstream_crashed(self) -> None:
        """Suspects the next start; see `CrashListener.upstream_crashed`."""
        self.suspect_cold()

    def wait_s(self, ahead: int, now: float) -> float:
        """Returns the time until a request may begin; see `Warmup.wait_s`."""
        limit = self._current_limit()
        if limit is None:
            # An earlier process may have sent requests that a cold upstream counts.
            unknown_s = self._started_at + WINDOW_S - now
            return _ASK_AGAIN_S if self._routes.current is None and unknown_s > 0 else 0.0
        rate = self._rate(now)
        rate_wait_s = self._pace.wait_s(ahead, rate, now) if rate is not None else 0.0
        warmth = self._observed_warmth(now)
        if warmth is Warmth.WARM:
            # A health check is expected to permit more soon.
            since = self._state.warm_at(now)
            window_wait_s = min(self._begun.wait_s(0, limit.most, now, since), _ASK_AGAIN_S)
            if window_wait_s:
                self._want_check(now)
            return max(min(rate_wait_s, RAMP_S), window_wait_s)
        self._want_check(now)
        if warmth is Warmth.COLD and self._state.doubted_at is None:
            rate_wait_s = min(rate_wait_s, self._state.cold_until - now + RAMP_S)
        return max(
            rate_wait_s,
            self._begun.wait_s(ahead, limit.most, now),
            self._started_at + WINDOW_S - now,
        )

    def take(self, now: float) -> None:
        """Counts a request that begins; see `Warmup.take`."""
        self._begun.add(now)
        rate = self._rate(now)
        if rate is not None:
            self._pace.take(rate, now)
        self._want_check(now)

    def begin_send(self) -> float:
        """Counts a request that is about to be sent; see `Warmup.begin_send`."""
        now = self._clock.now()
        limit = self._current_limit()
        if limit is not None:
            warm = self._observed_warmth(now) is Warmth.WARM
            since = self._state.warm_at(now) if warm else -math.inf
            wait_s = self._sent.wait_s(0, limit.most, now, since)
            if wait_s > 0:
                return min(wait_s, _ASK_AGAIN_S) if warm else wait_s
        self._sent.add(now)
        return 0.0

    def observe_announcement(self, announcement: Announcement) -> None:
        """Applies a heartbeat; see `Warmup.observe_announcement`."""
        now = self._clock.now()
        if announcement.start != self._start_id:
            self._start_id = announcement.start
            self._state.suspect(now)
        if announcement.cold_s is not None:
            self._state.hear_heartbeat(announcement.cold_s, now)
        self._report_change(now)

    def observe_cold(self, cold_left_s: float) -> None:
        """Applies what the upstream has said; see `Warmup.observe_cold`."""
        now = self._clock.now()
        self._state.hear_cold(cold_left_s, now)
        self._report_change(now)

    def suspect_cold(self) -> None:
        """Takes the upstream for cold; see `Warmup.suspect_cold`."""
        now = self._clock.now()
        self._state.suspect(now)
        self._report_change(now)

    def _current_limit(self) -> ColdLimit | None:
        current, announcement = self._routes.current, self._membership.announcement
        spec = (
            current.configuration.services.get(announcement.service)
            if current is not None and announcement is not None
            else None
        )
        if spec is not self._spec:
            self._spec, self._limit = spec, None
            if spec is not None and spec.cold_per_s > 0:
                self._limit = ColdLimit.of(
                    spec.cold_per_s, self._bounds.cold_over, self._bounds.cold_slack
                )
        return self._limit

    def _rate(self, now: float) -> float | None:
        limit = self._current_limit()
        if limit is None:
            return None
        if self._observed_warmth(now) is Warmth.WARM:
            return limit.ramp_per_second(now - self._warm_since)
        return limit.target_per_second

    def _observed_warmth(self, now: float) -> Warmth:
        """Returns the warmth; logs its change and prepares the rate that holds from now on."""
        warmth, before = self._state.warmth(now), self._logged_warmth
        if warmth is before or self._current_limit() is None:
            return warmth
        self._logged_warmth = warmth
        if warmth is Warmth.WARM:
            if self._was_cold:
                self._was_cold, self._warm_since = False, now
            _WARM.emit(before=before)
        else:
            if before is Warmth.WARM:
                self._pace.reset(now)
            self._was_cold = self._was_cold or warmth is Warmth.COLD
            _COLD.emit(
                warmth=warmth,
                left_s=round(max(self._state.cold_until - now, 0.0), 3),
                sent_in_last_second=self._sent.count(now),
            )
        return warmth

    def _report_change(self, now: float) -> None:
        self._observed_warmth(now)
        self._want_check(now)
        for listener in self._listeners:
            listener.warmup_changed()

    def _want_check(self, now: float) -> None:
        if self._needs_check(now):
            self._check_wanted.set()

    def _needs_check(self, now: float) -> bool:
        limit = self._current_limit()
        if limit is None:
            return False
        warmth = self._state.warmth(now)
        if warmth is Warmth.WARM:
            warm_at = self._state.warm_at(now)
            unconfirmed = self._begun.count(now, warm_at)
            return unconfirmed >= limit.most * _UNCONFIRMED_SHARE or (
                unconfirmed > 0
                and self._state.heartbeat_overdue(now)
                and now - warm_at > self._heartbeat_period_s
            )
        return warmth is Warmth.SUSPECT

    async def _run(self) -> None:
        pause_s = _CHECK_PAUSE_S
        retries = ReadingRetries("warmup", self._clock)
        while True:
            await self._check_wanted.wait()
            self._check_wanted.clear()
            due_s = self._state.heartbeat_due_s(self._clock.now())
            if due_s <= _HEARTBEAT_SOON_S:
                await self._clock.sleep(_HEARTBEAT_SOON_S)
            if not self._needs_check(self._clock.now()):
                continue
            try:
                responded = await self._check()
                retries.succeeded()
            except Exception as error:
                responded = False
                await retries.pause_after(error)
            pause_s = _CHECK_PAUSE_S if responded else min(pause_s * 2, _MAX_CHECK_PAUSE_S)
            await self._clock.sleep(pause_s)
            self._want_check(self._clock.now())

    async def _check(self) -> bool:
        """Asks the upstream for its remaining cold time; returns whether it has responded."""
        asked_at = self._clock.now()
        assert self._spec is not None
        self._begun.add(asked_at)
        self._sent.add(asked_at)
        cold_s: float | None = None
        try:
            notice = await self._health.check_health(self._spec.health_path)
            cold_s = notice.cold_s
        except RefusalError:
            # The upstream client logs failed connections.
            pass
        now = self._clock.now()
        if cold_s is not None:
            self._state.hear_health(cold_s, asked_at, now)
        elif self._state.heartbeat_overdue(now):
            self._state.suspect(now)
        self._report_change(now)
        return cold_s is not None
