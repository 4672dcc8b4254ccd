"""Detection of upstream crashes, refused connections and failed health checks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

import aiohttp
import msgspec

from ..interfaces import Admission, CrashListener, Membership
from ..kernel import Clock, Event, Level, Registry, TaskOwner
from ..messages import Announcement
from ..messages.upstream import upstream_url

_UPSTREAM_CRASHED = Event(
    3001, "upstream_crashed", Level.WARNING, "The upstream process ended while requests ran on it."
)
_UPSTREAM_GONE = Event(
    3003,
    "upstream_gone",
    Level.WARNING,
    "The upstream refuses connections, so its agent leaves the group.",
)
_HEALTH_UNANSWERED = Event(
    3004,
    "upstream_health_unanswered",
    Level.WARNING,
    "The health check failed; this alone has no effect.",
)
_UPSTREAM_BACK = Event(
    3005, "upstream_back", Level.INFO, "The upstream accepts connections again."
)

_HEALTH_PERIOD_S = 1.0
_HEALTH_TIMEOUT_S = 1.0
# Consecutive refused connections after which the agent leaves its group, and the pause between
# them. A restarting process closes its listening socket for a shorter time.
_MAX_REFUSALS = 4
_REFUSAL_PERIOD_S = 0.1
# The listening socket of an exiting process can stay open some milliseconds longer than its
# connections, so one probe may still succeed.
_PROBE_PAUSES_S = (0.0, 0.03)
_PROBE_TIMEOUT_S = 0.25
# Connections that end within this time after a crash are attributed to it.
_SAME_CRASH_S = 0.2
_MAX_HEALTH_BYTES = 65_536


class _Health(msgspec.Struct):
    """The fields that are read from the health page."""

    state: str = ""


class UpstreamWatch:
    """Watches the upstream for the `upstream` service.

    A connection that ends during a run while new connections are refused counts as a crash. If
    the upstream refuses connections for longer, this agent leaves its group until the next
    announcement. A health page that is slow, unavailable or malformed has no effect.

    Args:
        tasks: Owner of the probe tasks.
        session: Returns the HTTP session for an announced upstream.
    """

    def __init__(
        self, tasks: TaskOwner, session: Callable[[Announcement], aiohttp.ClientSession]
    ) -> None:
        self._tasks = tasks
        self._session = session
        self._crashes = 0
        self._listeners: list[CrashListener] = []
        self._crashed_at = 0.0
        self._probe: asyncio.Task[None] | None = None
        self._refusing_announcement: Announcement | None = None
        self._check_requested = asyncio.Event()

    @property
    def crashes(self) -> int:
        """Number of crashes since this agent started."""
        return self._crashes

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._membership = registry.find("membership", Membership)
        self._admission = registry.find("admission", Admission)

    def subscribe(self, listener: CrashListener) -> None:
        """Registers a listener to be called after each crash."""
        self._listeners.append(listener)

    def refuses(self, announcement: Announcement) -> bool:
        """Returns whether the upstream has refused connections since this announcement."""
        return self._refusing_announcement is announcement

    def check_now(self) -> None:
        """Requests a check without waiting for the end of the period."""
        self._check_requested.set()

    async def check_crash(self, error: BaseException) -> None:
        """Counts a crash if the upstream refuses connections after one ended during a run."""
        announcement = self._membership.announcement
        if announcement is None or self._clock.now() - self._crashed_at < _SAME_CRASH_S:
            return
        if self._probe is None:
            self._probe = self._tasks.spawn("probe", self._run_probe(announcement, error))
        await asyncio.shield(self._probe)

    async def run(self) -> None:
        """Checks the upstream until cancelled."""
        refusal_count = 0
        health_answered = True
        while True:
            if refusal_count:
                await self._clock.sleep(_REFUSAL_PERIOD_S)
            else:
                with suppress(TimeoutError):
                    async with asyncio.timeout(_HEALTH_PERIOD_S):
                        await self._check_requested.wait()
            self._check_requested.clear()
            announcement = self._membership.announcement
            if announcement is None:
                continue
            try:
                await self._read_health(announcement)
            except aiohttp.ClientConnectorError as error:
                if not isinstance(error.os_error, ConnectionRefusedError):
                    continue
                refusal_count += 1
                # From now on, requests fail without a connection attempt.
                self._refusing_announcement = announcement
                if refusal_count == _MAX_REFUSALS:
                    _UPSTREAM_GONE.emit(host=announcement.host, port=announcement.port)
                    await self._membership.leave("the upstream refuses connections")
                continue
            except Exception as error:  # whatever the upstream sends has no other effect
                if health_answered:
                    _HEALTH_UNANSWERED.emit(error=f"{type(error).__name__}: {error}")
                health_answered = False
            else:
                health_answered = True
            if refusal_count:
                _UPSTREAM_BACK.emit(host=announcement.host, port=announcement.port)
                self._admission.begin_slow_start()
            refusal_count, self._refusing_announcement = 0, None

    async def _run_probe(self, announcement: Announcement, error: BaseException) -> None:
        try:
            for pause_s in _PROBE_PAUSES_S:
                await self._clock.sleep(pause_s)
                if await _refuses_connections(announcement):
                    self._crashes += 1
                    self._crashed_at = self._clock.now()
                    self._admission.begin_slow_start()
                    self._check_requested.set()
                    _UPSTREAM_CRASHED.emit(error=f"{type(error).__name__}: {error}")
                    for listener in self._listeners:
                        listener.upstream_crashed()
                    return
        finally:
            self._probe = None

    async def _read_health(self, announcement: Announcement) -> _Health:
        timeout = aiohttp.ClientTimeout(total=_HEALTH_TIMEOUT_S)
        url = upstream_url(announcement, "/health")
        async with self._session(announcement).get(url, timeout=timeout) as response:
            return msgspec.json.decode(
                await response.content.read(_MAX_HEALTH_BYTES), type=_Health
            )


async def _refuses_connections(announcement: Announcement) -> bool:
    try:
        async with asyncio.timeout(_PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(announcement.host, announcement.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError, ValueError):
        # ValueError: the announced host is not a valid name.
        return False
    writer.close()
    return False
