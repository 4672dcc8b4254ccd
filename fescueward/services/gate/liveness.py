"""Whether the upstream on this VM still lives."""

from __future__ import annotations

import asyncio

from ...interfaces import Membership
from ...kernel import Clock, Event, Kernel, Level, Registry

_GONE = Event(
    3020, "upstream_lost", Level.WARNING, "No connection and no heartbeat: this agent leaves."
)

# Failed connections that are needed, and the time that they must span, in seconds: the listening
# socket of a process that starts again is closed for less.
_LEAST_FAILURES = 2
_LEAST_SPAN_S = 0.3
# Upstreams report about once in 0.9 s; a report that is this old, in seconds, is overdue.
_OVERDUE_S = 1.3
_CHECK_PERIOD_S = 0.1


class UpstreamLiveness:
    """The `liveness` service.

    An upstream that takes no connection and sends no heartbeat is taken for dead. This agent then
    leaves its group, so that other members get its keys, and joins again with the next heartbeat.
    One sign alone is not enough: a heartbeat may be seconds late, and a connection may be refused
    by an upstream that is full.
    """

    name = "liveness"
    requires = ("membership",)

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._failures = 0
        self._failing_since = 0.0
        self._heard_at = 0.0
        self._failed = asyncio.Event()

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._membership = registry.find("membership", Membership)

    async def start(self) -> None:
        """Starts the check that follows a failed connection."""
        self._tasks.spawn("check", self._run())

    async def stop(self) -> None:
        """Ends the check."""
        await self._tasks.cancel()

    def heartbeat_received(self) -> None:
        """Takes note of a heartbeat; see `Liveness.heartbeat_received`."""
        self._heard_at = self._clock.now()
        self.connected()

    def connected(self) -> None:
        """Takes note of a connection that works; see `Liveness.connected`."""
        self._failures = 0
        self._failed.clear()

    def unreachable(self) -> None:
        """Takes note of a connection that could not be made; see `Liveness.unreachable`."""
        if self._failures == 0:
            self._failing_since = self._clock.now()
        self._failures += 1
        self._failed.set()

    async def _run(self) -> None:
        while True:
            await self._failed.wait()
            await self._clock.sleep(_CHECK_PERIOD_S)
            now = self._clock.now()
            heard_ago = now - self._heard_at
            spanned = now - self._failing_since
            if (
                self._failures < _LEAST_FAILURES
                or spanned < _LEAST_SPAN_S
                or heard_ago < _OVERDUE_S
            ):
                continue
            _GONE.emit(
                failures=self._failures,
                failing_s=round(spanned, 2),
                heartbeat_age_s=round(heard_ago, 2),
            )
            await self._membership.leave("the upstream is gone")
            self.connected()
