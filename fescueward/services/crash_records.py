"""Crashes of requests in the group object, which outlive all agents of the group."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace

from ..interfaces import Groups, Membership
from ..interfaces.groups import GroupChange
from ..kernel import Clock, Event, Level, Registry, TaskOwner
from ..kernel.clock import unix_ms
from ..messages import Group, GroupId, RecordedCrashes
from .lasting_edits import edit_until_written

_RECORD_FAILED = Event(
    3304,
    "crashes_not_recorded",
    Level.WARNING,
    "The crashes of a request could not be written to the group object; this is retried.",
)

# Member id of the agent whose upstream crashed, and the number of the crash at that agent.
Crash = tuple[str, int]

# Records that a group object keeps; the longest-lived ones stay.
_MAX_RECORDS = 128
# An agent that learned of a crash by a report leaves the record to the agent of the crash for this
# long, so that one of them writes.
_OTHERS_DELAY_S = 0.5


class CrashRecords:
    """Keeps the crashes of requests in the group object.

    Args:
        tasks: Owner of the tasks that write records.
        is_current: Returns whether a request is still suspected or refused.
        duration_s: Time for which a record is kept, in seconds.
        now_ms: Returns the Unix time in milliseconds, which later processes share.
    """

    def __init__(
        self,
        tasks: TaskOwner,
        is_current: Callable[[int], bool],
        duration_s: float,
        now_ms: Callable[[], int] = unix_ms,
    ) -> None:
        self._tasks = tasks
        self._is_current = is_current
        self._duration_ms = int(duration_s * 1000)
        self._now_ms = now_ms
        self._latest_write: asyncio.Task[None] | None = None

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._groups = registry.find("groups", Groups)
        self._membership = registry.find("membership", Membership)

    def add(self, fingerprint: int, crashes: Iterable[Crash], observed_here: bool) -> None:
        """Writes the crashes of a request unless the group object has them.

        Args:
            fingerprint: Fingerprint of the request.
            crashes: All known crashes of the request.
            observed_here: Whether the upstream of this agent had the last one.
        """
        known = frozenset(crashes)

        def change(group: Group) -> Group | None:
            if not self._is_current(fingerprint):
                # The request was cleared before the write.
                return None
            now_ms = self._now_ms()
            return with_crashes(group, fingerprint, known, now_ms, now_ms + self._duration_ms)

        self._spawn(change, 0 if observed_here else _OTHERS_DELAY_S)

    def remove(self, fingerprint: int) -> None:
        """Removes the record of a request that has run to completion."""

        def change(group: Group) -> Group | None:
            return without_crashes(group, fingerprint)

        self._spawn(change, 0)

    def current(self, group: Group) -> dict[int, tuple[frozenset[Crash], float]]:
        """Returns crashes and remaining time in seconds of the records in a group object."""
        now_ms = self._now_ms()
        return {
            fingerprint: (
                frozenset(record.crashes),
                min(record.until_ms - now_ms, self._duration_ms) / 1000,
            )
            for fingerprint, record in group.crashes.items()
            if record.until_ms > now_ms
        }

    async def wait_until_written(self, timeout_s: float) -> None:
        """Waits for the newest write, for `timeout_s` seconds at most."""
        if self._latest_write is not None and not self._latest_write.done():
            await asyncio.wait((self._latest_write,), timeout=timeout_s)

    def _spawn(self, change: GroupChange, delay_s: float) -> None:
        group_id = self._membership.own_group_id
        if group_id is not None:
            write = self._tasks.spawn("record", self._write(group_id, change, delay_s))
            if not delay_s:
                self._latest_write = write

    async def _write(self, group_id: GroupId, change: GroupChange, delay_s: float) -> None:
        if delay_s:
            await self._clock.sleep(delay_s)
        await edit_until_written(
            self._groups, self._clock, group_id, change, _RECORD_FAILED, group=group_id
        )


def with_crashes(
    group: Group, fingerprint: int, crashes: frozenset[Crash], now_ms: int, until_ms: int
) -> Group | None:
    """Returns the group with crashes of a request added, or None if it has them."""
    records = {key: record for key, record in group.crashes.items() if record.until_ms > now_ms}
    recorded = records.get(fingerprint, RecordedCrashes((), 0)).crashes
    if crashes.issubset(recorded):
        return None
    records[fingerprint] = RecordedCrashes(tuple(sorted(crashes.union(recorded))), until_ms)
    longest = sorted(records, key=lambda key: records[key].until_ms)[-_MAX_RECORDS:]
    return replace(group, crashes={key: records[key] for key in longest})


def without_crashes(group: Group, fingerprint: int) -> Group | None:
    """Returns the group without the record of a request, or None if it has none."""
    if fingerprint not in group.crashes:
        return None
    crashes = {key: record for key, record in group.crashes.items() if key != fingerprint}
    return replace(group, crashes=crashes)
