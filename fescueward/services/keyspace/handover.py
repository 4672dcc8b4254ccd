"""Handover of key ranges: release by the upstream and the record of the new owners."""

from __future__ import annotations

import asyncio
import random

from ...interfaces import Groups, Membership, Peers, RangeGrants
from ...interfaces.groups import GroupChange
from ...kernel import Clock, Event, Level, Registry, TaskOwner
from ...kernel.errors import PlatformError, RefusalError
from ...messages import Group, GroupId, VersionedGroup
from ...messages.group import KeyRange
from ...messages.peer import RangesReleased, ReleasedRange
from . import moves

_RELEASED = Event(2823, "range_released", Level.INFO, "The upstream has given a key range back.")
_RELEASE_FAILED = Event(
    2824, "range_release_failed", Level.WARNING, "A release was not confirmed; its grant runs out."
)
_HANDED_OVER = Event(2825, "ranges_handed_over", Level.INFO, "Successors own key ranges now.")
_HANDOVER_FAILED = Event(
    2826, "range_handover_failed", Level.WARNING, "A handover was not recorded; it is retried."
)
_RECORDED = Event(
    2827, "range_handover_recorded", Level.INFO, "A handover was recorded for its owner."
)

_RETRY_S = 0.1
# Time in which the planner records a handover, in seconds: a write or two and a busy processor.
# After it the owner writes itself.
_RECORD_S = 0.3
# A release is tried for this long, in seconds, although the grants have run out: its answer
# carries the token that spares the next owner a cold start.
_LEAST_RELEASE_S = 0.2

# First key, last key and epoch of a range.
RangeId = tuple[int, int, int]


def range_id(found: KeyRange) -> RangeId:
    """Returns what tells a range from its earlier and later forms."""
    return (found.first, found.last, found.epoch)


class RangeHandover:
    """Gives ranges of this agent back and makes their successors the owners.

    Args:
        tasks: Owner of the tasks that record handovers of other members.
    """

    def __init__(self, tasks: TaskOwner) -> None:
        self._tasks = tasks
        # Ends of grants without an answer, which the upstream may take up later.
        self._unanswered: list[tuple[KeyRange, float]] = []
        # Latest time at which the upstream may still hold keys that it does not give back.
        self._held_until = 0.0

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._groups = registry.find("groups", Groups)
        self._membership = registry.find("membership", Membership)
        self._upstream = registry.find("upstream", RangeGrants)
        self._peers = registry.find("peers", Peers)
        self._peers.on(RangesReleased, self._on_released)

    def grant_confirmed(self, end: float) -> None:
        """Takes note of a grant.

        Args:
            end: When it has run out for certain, in seconds of CLOCK_BOOTTIME.
        """
        self._held_until = max(self._held_until, end)

    def grant_unanswered(self, found: KeyRange, end: float) -> None:
        """Takes note of a grant that may take effect later, until `end`."""
        self._unanswered.append((found, end))
        self.grant_confirmed(end)

    async def run(self, home: GroupId, leaving: list[KeyRange]) -> None:
        """Releases ranges and returns when the group names their new owners."""
        released = await self.give_back(leaving)
        commit = _commit(released, self._membership.member_id)
        written = await self._recorded_by_planner(home, released, commit)
        while written is None:
            try:
                written = await self._groups.edit(home, commit)
            except PlatformError as error:
                _HANDOVER_FAILED.emit(group=home, ranges=len(leaving), error=error)
                self._ask_others(home, leaving, released)
                await self._clock.sleep(_RETRY_S)
        _HANDED_OVER.emit(
            group=home,
            version=written.version,
            ranges=[(found.first, found.last, found.successor) for found in leaving],
        )

    async def give_back(self, leaving: list[KeyRange]) -> dict[RangeId, str]:
        """Takes ranges back from the upstream, which holds none of them afterwards.

        Returns:
            The token of each range that spares its next owner a cold start; empty without one.
        """
        held_until = self._held_until
        tokens = await asyncio.gather(*(self._release(found, held_until) for found in leaving))
        await self._await_unanswered(leaving)
        return dict(zip(map(range_id, leaving), tokens, strict=True))

    async def _recorded_by_planner(
        self, home: GroupId, released: dict[RangeId, str], commit: GroupChange
    ) -> VersionedGroup | None:
        """Lets the planner record a handover with those of others; None if that takes too long.

        Members that all record their handovers themselves make each other's writes fail.
        """
        view = self._groups.view(home)
        planner = next(iter(moves.active_members(view.group)), None) if view is not None else None
        me = self._membership.member_id
        if view is None or planner is None or planner.id == me:
            return None
        if not self._peers.send(planner, self._message(home, released)):
            return None
        until = self._clock.now() + _RECORD_S
        while commit(view.group) is not None:
            if not await self._groups.changed(home, view.version, until - self._clock.now()):
                return None
            view = self._groups.view(home)
            assert view is not None
        return view

    def _ask_others(
        self, home: GroupId, leaving: list[KeyRange], released: dict[RangeId, str]
    ) -> None:
        """Asks others to record the handover: they may reach the platform.

        The planner and the successors may be cut off like the owner, so each time one more member
        is asked.
        """
        view = self._groups.view(home)
        if view is None:
            return
        active = [member.id for member in moves.active_members(view.group)]
        asked = {found.successor for found in leaving}
        asked.update(active[:1])
        asked.update(random.sample(active, min(len(active), 1)))
        for member_id in asked - {self._membership.member_id}:
            member = view.group.members.get(member_id or "")
            if member is not None:
                self._peers.send(member, self._message(home, released))

    def _message(self, home: GroupId, released: dict[RangeId, str]) -> RangesReleased:
        ranges = tuple(ReleasedRange(*found_id, token) for found_id, token in released.items())
        return RangesReleased(home.service, home.number, self._membership.member_id, ranges)

    def _on_released(self, sender: str, message: RangesReleased) -> None:
        home = GroupId(message.service, message.number)
        if sender == message.owner_id and home == self._membership.home:
            self._tasks.spawn("record", self._record(home, message))

    async def _record(self, home: GroupId, message: RangesReleased) -> None:
        released = {(one.first, one.last, one.epoch): one.handover for one in message.ranges}
        commit = _commit(released, message.owner_id)
        try:
            written = await self._groups.edit(home, commit)
        except PlatformError as error:
            # The owner asks again until the handover is recorded.
            _HANDOVER_FAILED.emit(group=home, ranges=len(released), error=error)
            return
        _RECORDED.emit(
            group=home, version=written.version, owner=message.owner_id, ranges=len(released)
        )

    async def _await_unanswered(self, leaving: list[KeyRange]) -> None:
        now = self._clock.now()
        self._unanswered = [(found, end) for found, end in self._unanswered if end > now]
        ends = [
            end
            for found, end in self._unanswered
            if any(found.first <= one.last and one.first <= found.last for one in leaving)
        ]
        if ends:
            await self._clock.sleep(max(ends) - now)

    async def _release(self, found: KeyRange, held_until: float) -> str:
        """Takes a range back; without an answer it waits until the grants have run out."""
        while True:
            left_s = max(held_until - self._clock.now(), _LEAST_RELEASE_S)
            try:
                async with asyncio.timeout(left_s):
                    token = await self._upstream.release_range(found)
                break
            except (RefusalError, TimeoutError) as error:
                _RELEASE_FAILED.emit(
                    first=found.first, last=found.last, epoch=found.epoch, error=error
                )
                now = self._clock.now()
                if now >= held_until:
                    return ""
                await self._clock.sleep(min(_RETRY_S, held_until - now))
        _RELEASED.emit(first=found.first, last=found.last, epoch=found.epoch, warm=bool(token))
        return token


def _commit(released: dict[RangeId, str], owner_id: str) -> GroupChange:
    """Returns the edit that makes the successors of released ranges their owners."""

    def commit(group: Group) -> Group | None:
        changed = moves.handed_over(group, released, owner_id)
        return None if changed == group else changed

    return commit
