"""Watch of one kind of objects for the whole fleet."""

from __future__ import annotations

from typing import Protocol

from ...interfaces import Platform
from ...interfaces.platform import Changes
from ...kernel import Clock, Event, Level
from ...kernel.errors import PlatformAnswerError, PlatformError
from ...kernel.retries import ReadingRetries
from .watch_duty import WatchDuty

WATCH_FAILED = Event(
    2205, "watch_failed", Level.WARNING, "Watch calls to the platform started to fail."
)
_WATCH_RESUMED = Event(2206, "watch_resumed", Level.INFO, "Watch calls succeed again.")

WATCH_RETRY_S = 0.25


class WatchedObjects(Protocol):
    """One kind of objects that the watchers of a fleet read for all agents."""

    @property
    def prefix(self) -> str:
        """Prefix of their platform keys."""
        ...

    @property
    def pause_s(self) -> float:
        """Pause between two watch calls, in seconds."""
        ...

    def is_left_to_watchers(self) -> bool:
        """Whether an agent that is no watcher needs no read of its own.

        Called while the agent is no watcher.
        """
        ...

    async def apply(self, changes: Changes) -> bool:
        """Applies what a watch call has returned; returns whether all of it could be applied."""
        ...


class FleetWatch:
    """Watches one kind of objects while this agent is a watcher.

    Args:
        objects: The kind of objects.
        duty: Decides whether this agent watches.
        platform: The platform.
        clock: Source of time.
        wait_s: Longest wait of a watch call in seconds.
    """

    def __init__(
        self,
        objects: WatchedObjects,
        duty: WatchDuty,
        platform: Platform,
        clock: Clock,
        wait_s: float,
    ) -> None:
        self._objects = objects
        self._duty = duty
        self._platform = platform
        self._clock = clock
        self._wait_s = wait_s

    async def run(self) -> None:
        """Watches until the task is cancelled."""
        prefix = self._objects.prefix
        retries = ReadingRetries(f"groups:watch {prefix}", self._clock)
        since_revision = 0
        failing = False
        while True:
            is_watcher = self._duty.is_watcher()
            if not is_watcher:
                self._duty.end()
                since_revision = 0
                if self._objects.is_left_to_watchers():
                    await self._clock.sleep(WATCH_RETRY_S)
                    continue
            try:
                wait_s = self._wait_s if since_revision else 0.0
                changes = await self._platform.watch((prefix,), since_revision, wait_s)
            except PlatformError as error:
                if not failing:
                    WATCH_FAILED.emit(prefix=prefix, error=error)
                failing = True
                self._record_call(is_watcher, False)
                since_revision = 0 if isinstance(error, PlatformAnswerError) else since_revision
                await self._clock.sleep(WATCH_RETRY_S)
                continue
            except Exception as error:  # what another program wrote must not end this agent
                failing = True
                self._record_call(is_watcher, False)
                since_revision = 0
                await retries.pause_after(error)
                continue
            retries.succeeded()
            if failing:
                _WATCH_RESUMED.emit(prefix=prefix)
            failing = False
            self._record_call(is_watcher, True)
            since_revision = changes.revision
            if not await self._objects.apply(changes):
                since_revision = 0
                await self._clock.sleep(WATCH_RETRY_S)
                continue
            await self._clock.sleep(self._objects.pause_s)

    def _record_call(self, is_watcher: bool, healthy: bool) -> None:
        if is_watcher:
            self._duty.record_call(healthy)
