"""Watch of one group and of the catalogue entries, where each group has its own watchers."""

from __future__ import annotations

from collections.abc import Callable

from ...interfaces import Membership, Platform
from ...interfaces.platform import StoredObject
from ...kernel import Clock, Event, Level
from ...kernel.errors import PlatformError
from ...kernel.retries import ReadingRetries
from ...messages import GroupId
from .fleet_watch import WATCH_FAILED, WATCH_RETRY_S
from .watch_duty import WatchDuty

_WATCH_STARTED = Event(
    2202, "watch_started", Level.INFO, "This agent started to watch the platform."
)
_WATCH_ENDED = Event(
    2203, "watch_ended", Level.INFO, "This agent stopped its watch; other members watch."
)


class GroupWatch:
    """Watches the group of this agent and all entries while this agent is a watcher.

    Args:
        duty: Decides whether this agent watches.
        membership: Membership of this agent.
        platform: The platform.
        clock: Source of time.
        wait_s: Longest wait of a watch call in seconds.
        observe: Called with each changed object.
        mark_loaded: Called after each successful call.
    """

    def __init__(
        self,
        duty: WatchDuty,
        membership: Membership,
        platform: Platform,
        clock: Clock,
        wait_s: float,
        observe: Callable[[StoredObject], object],
        mark_loaded: Callable[[], None],
    ) -> None:
        self._duty = duty
        self._membership = membership
        self._platform = platform
        self._clock = clock
        self._wait_s = wait_s
        self._observe = observe
        self._mark_loaded = mark_loaded

    async def run(self) -> None:
        """Watches until the task is cancelled."""
        retries = ReadingRetries("groups:watch", self._clock)
        since_revision = 0
        watched_group_id: GroupId | None = None
        watching = False
        while True:
            own_group_id = self._membership.own_group_id
            if own_group_id != watched_group_id:
                watched_group_id, since_revision = own_group_id, 0
            if not self._duty.is_watcher():
                if watching:
                    _WATCH_ENDED.emit(group=own_group_id)
                watching, since_revision = False, 0
                self._duty.end()
                await self._clock.sleep(WATCH_RETRY_S)
                continue
            if not watching:
                _WATCH_STARTED.emit(group=own_group_id)
                watching = True
            prefixes = (
                ("entries/",) if own_group_id is None else ("entries/", own_group_id.object_key)
            )
            # Before the agent has a group, the wait is short so that it joins soon once announced.
            wait_s = 1.0 if own_group_id is None else self._wait_s
            try:
                changes = await self._platform.watch(
                    prefixes, since_revision, wait_s if since_revision else 0
                )
            except PlatformError as error:
                if self._duty.healthy:
                    WATCH_FAILED.emit(error=error)
                self._duty.record_call(False)
                await self._clock.sleep(WATCH_RETRY_S)
                continue
            except Exception as error:  # what another program wrote must not end this agent
                self._duty.record_call(False)
                since_revision = 0
                await retries.pause_after(error)
                continue
            retries.succeeded()
            self._duty.record_call(True)
            since_revision = changes.revision
            for stored in changes.objects:
                self._observe(stored)
            self._mark_loaded()
