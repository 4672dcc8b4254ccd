"""Failure detection for the upstream on this VM."""

from __future__ import annotations

import asyncio

from ...interfaces import Membership, Warmup
from ...kernel import Clock, Event, Kernel, Level, Registry

_UPSTREAM_LOST = Event(
    3020,
    "upstream_lost",
    Level.WARNING,
    "The upstream accepts no connection and sends no heartbeat, so its agent leaves the group.",
)

# Failed connections after which the upstream counts as lost, and the time that they must span. The
# listening socket of a restarting process is closed for a shorter time.
_MIN_FAILURES = 2
_MIN_FAILURE_SPAN_S = 0.3
# Upstreams send a heartbeat about every 0.9 s.
_HEARTBEAT_TIMEOUT_S = 1.3
_CHECK_PERIOD_S = 0.1


class UpstreamLiveness:
    """The `liveness` service.

    An upstream that accepts no connection and sends no heartbeat counts as lost. The agent then
    leaves its group, so that other members take over its keys, and rejoins on the next heartbeat.
    Neither condition suffices alone: a heartbeat may be seconds late, and an overloaded upstream
    may refuse connections.
    """

    name = "liveness"
    requires = ("membership",)

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._failed_connections = 0
        self._failing_since = 0.0
        self._last_heartbeat_at = 0.0
        self._failure_recorded = asyncio.Event()

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._membership = registry.find("membership", Membership)
        self._warmup = registry.find("warmup", Warmup)

    async def start(self) -> None:
        """Starts the task that checks the upstream after failed connections."""
        self._tasks.spawn("check", self._run())

    async def stop(self) -> None:
        """Cancels the check."""
        await self._tasks.cancel()

    def heartbeat_received(self) -> None:
        """Records a heartbeat and resets the failures; see `Liveness.heartbeat_received`."""
        self._last_heartbeat_at = self._clock.now()
        self.connection_succeeded()

    def connection_succeeded(self) -> None:
        """Resets the failures; see `Liveness.connection_succeeded`."""
        self._failed_connections = 0
        self._failure_recorded.clear()

    def connection_failed(self) -> None:
        """Counts the failure and starts a check; see `Liveness.connection_failed`."""
        if self._failed_connections == 0:
            self._failing_since = self._clock.now()
        self._failed_connections += 1
        self._failure_recorded.set()
        self._warmup.suspect_cold()

    async def _run(self) -> None:
        while True:
            await self._failure_recorded.wait()
            await self._clock.sleep(_CHECK_PERIOD_S)
            now = self._clock.now()
            heartbeat_age_s = now - self._last_heartbeat_at
            failing_s = now - self._failing_since
            if (
                self._failed_connections < _MIN_FAILURES
                or failing_s < _MIN_FAILURE_SPAN_S
                or heartbeat_age_s < _HEARTBEAT_TIMEOUT_S
            ):
                continue
            _UPSTREAM_LOST.emit(
                failures=self._failed_connections,
                failing_s=round(failing_s, 2),
                heartbeat_age_s=round(heartbeat_age_s, 2),
            )
            await self._membership.leave("the upstream is lost")
            self.connection_succeeded()
