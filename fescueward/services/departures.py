"""Departed starts of upstreams, which outlive the agent beside the upstream."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from cachetools import LRUCache

from ..interfaces import Groups, Membership, Recorder
from ..kernel import Clock, Event, Level, Registry, TaskOwner
from ..messages import Announcement, Group, GroupId
from ..messages.peer import MemberEdit
from .lasting_edits import edit_until_written

_RECORDED = Event(
    2414, "departure_recorded", Level.INFO, "The departure of the upstream is in the group object."
)
_RECORD_FAILED = Event(
    2415,
    "departure_not_recorded",
    Level.WARNING,
    "The departure of the upstream could not be written; it is retried.",
)

# Upstreams wait up to a second for the response to a heartbeat.
_RECORD_TIMEOUT_S = 0.7
# Departures that an agent and a group object keep. A heartbeat is late by seconds, in which fewer
# upstreams of one service leave.
_MAX_DEPARTURES = 128


class Departures:
    """Remembers which starts of the upstream have left, in memory and in the group object.

    A heartbeat can arrive seconds after its upstream has announced its departure, also at the next
    process of the agent. It must not undo the departure.

    Args:
        tasks: Owner of the tasks that write departures.
    """

    def __init__(self, tasks: TaskOwner) -> None:
        self._tasks = tasks
        # Time of the latest start that has left, in Unix milliseconds, by instance id.
        self._started_until_ms: LRUCache[str, int] = LRUCache(_MAX_DEPARTURES)
        # Writes in progress by instance id.
        self._writes: dict[str, asyncio.Task[None]] = {}

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._groups = registry.find("groups", Groups)
        self._membership = registry.find("membership", Membership)
        self._recorder = registry.find("recorder", Recorder)

    def add(
        self, group_id: GroupId, instance: str, started_until_ms: int, leaves: bool = False
    ) -> None:
        """Takes the starts of an instance up to a time as departed, and writes this to the group.

        Args:
            group_id: Group of the upstream.
            instance: Instance id of the upstream.
            started_until_ms: Time of the latest start that has left, in Unix milliseconds.
            leaves: Whether the member of this agent leaves with the upstream.
        """
        if started_until_ms <= self._started_until_ms.get(instance, -1):
            return
        self._started_until_ms[instance] = started_until_ms
        self._writes[instance] = self._tasks.spawn(
            "departure", self._write(group_id, instance, started_until_ms, leaves)
        )

    def contains(self, announcement: Announcement) -> bool:
        """Returns whether the start of an announcement is known to have left."""
        if not announcement.instance:
            return False
        view = self._groups.view(GroupId(announcement.service, announcement.group))
        recorded = view.group.departures if view is not None else {}
        return any(
            announcement.started_ms <= departures.get(announcement.instance, -1)
            for departures in (self._started_until_ms, recorded)
        )

    async def wait_until_recorded(self, instance: str) -> bool:
        """Waits for a bounded time until the departures of an instance are in the group object.

        Returns:
            Whether none is left to be written.
        """
        write = self._writes.get(instance)
        if write is None:
            return True
        await asyncio.wait((write,), timeout=_RECORD_TIMEOUT_S)
        return instance not in self._writes

    async def _write(
        self, group_id: GroupId, instance: str, started_until_ms: int, leaves: bool
    ) -> None:
        def change(group: Group) -> Group | None:
            return with_departure(group, instance, started_until_ms)

        edit = MemberEdit(
            self._membership.member_id,
            instance=instance,
            started_until_ms=started_until_ms,
            leaves=leaves,
        )
        recorded = group_id == self._membership.own_group_id and await self._recorder.record(edit)
        if not recorded:
            await edit_until_written(
                self._groups,
                self._clock,
                group_id,
                change,
                _RECORD_FAILED,
                group=group_id,
                instance=instance,
            )
        _RECORDED.emit(group=group_id, instance=instance, by_recorder=bool(recorded))
        if self._writes.get(instance) is asyncio.current_task():
            del self._writes[instance]


def with_departure(group: Group, instance: str, started_until_ms: int) -> Group | None:
    """Returns the group with a departure added, or None if it has this or a later one."""
    if started_until_ms <= group.departures.get(instance, -1):
        return None
    departures = dict(group.departures)
    departures.pop(instance, None)
    departures[instance] = started_until_ms
    while len(departures) > _MAX_DEPARTURES:
        del departures[next(iter(departures))]
    return replace(group, departures=departures)
