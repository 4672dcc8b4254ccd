"""Handover of key ranges: release by the upstream, then a group edit with the new owners."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from ...interfaces import Groups, Membership, Peers, RangeGrants
from ...interfaces.groups import GroupChange
from ...kernel import Clock, Event, Level, Registry, TaskOwner
from ...kernel.errors import PlatformError, RefusalError
from ...kernel.retries import report_reading_failure
from ...messages import Group, GroupId, VersionedGroup
from ...messages.group import KeyRange
from ...messages.peer import RangesReleased, ReleasedRange
from . import moves

_RELEASED = Event(2823, "range_released", Level.INFO, "The upstream released a key range.")
_RELEASE_FAILED = Event(
    2824,
    "range_release_failed",
    Level.WARNING,
    "The release of a key range was not confirmed; its grant will expire.",
)
_HANDED_OVER = Event(
    2825, "ranges_handed_over", Level.INFO, "Key ranges were handed over to their successors."
)
_HANDOVER_FAILED = Event(
    2826,
    "range_handover_failed",
    Level.WARNING,
    "A handover could not be recorded; it will be retried.",
)
_RECORDED = Event(
    2827,
    "range_handover_recorded",
    Level.INFO,
    "This member recorded a handover for another owner.",
)

_RETRY_S = 0.1
# Handovers that reach the planner within this time share one write: the owners of a placement
# round release their ranges at about the same time, and each write reaches all agents.
_RECORD_BATCH_S = 0.05
# Ranges that are released within this time share one message to the planner.
_RELEASE_BATCH_S = 0.005
# Time for the planner to record a handover: the batch, one or two writes on a busy processor and
# their way through a watcher. It begins anew with each version, because the planner of a large
# group records a queue of handovers in several writes.
_PLANNER_RECORD_TIMEOUT_S = 0.6
# Time after which the owner writes the group itself although versions arrive: others may write
# them while the planner is cut off from the platform. Its write conflicts with theirs.
_PLANNER_RECORD_LIMIT_S = 3 * _PLANNER_RECORD_TIMEOUT_S
# A release is attempted for at least this time, even if the grants have expired: its response has
# the token that spares the next owner a cold start.
_MIN_RELEASE_TIMEOUT_S = 0.2

# First key, last key and epoch of a key range.
RangeId = tuple[int, int, int]


def range_id(key_range: KeyRange) -> RangeId:
    """Returns the identity of a range; it changes with the bounds and with the epoch."""
    return (key_range.first, key_range.last, key_range.epoch)


class RangeHandover:
    """Releases ranges of this agent and makes their successors the owners.

    Args:
        tasks: Owner of the tasks that record handovers of other members.
    """

    def __init__(self, tasks: TaskOwner) -> None:
        self._tasks = tasks
        # Unconfirmed grants, which may still take effect, and the times when they end.
        self._unconfirmed_grants: list[tuple[KeyRange, float]] = []
        # Time by which all grants to the upstream, confirmed or not, have certainly expired.
        self._last_grant_end = 0.0
        # Ranges that the upstream has released since the last record, with their tokens, and the
        # task that will record them.
        self._own_batches: dict[GroupId, dict[RangeId, tuple[KeyRange, str]]] = {}
        self._recordings: dict[GroupId, asyncio.Task[None]] = {}
        # Handovers of other members that the next batch records.
        self._pending_records: list[RangesReleased] = []

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses and registers the message handler."""
        self._clock = registry.find("clock", Clock)
        self._groups = registry.find("groups", Groups)
        self._membership = registry.find("membership", Membership)
        self._upstream = registry.find("upstream", RangeGrants)
        self._peers = registry.find("peers", Peers)
        self._peers.on(RangesReleased, self._on_released)

    def add_confirmed_grant(self, end: float) -> None:
        """Records the end of a grant that the upstream has confirmed.

        Args:
            end: Time by which it has certainly expired, in seconds of CLOCK_BOOTTIME.
        """
        self._last_grant_end = max(self._last_grant_end, end)

    def add_unconfirmed_grant(self, key_range: KeyRange, end: float) -> None:
        """Records a grant without a confirmation, which may still take effect.

        Args:
            key_range: The granted range.
            end: Time by which it has certainly expired, in seconds of CLOCK_BOOTTIME.
        """
        self._unconfirmed_grants.append((key_range, end))
        self.add_confirmed_grant(end)

    async def hand_over(
        self, own_group_id: GroupId, leaving_range: KeyRange, is_leaving: Callable[[], bool]
    ) -> None:
        """Releases a range and returns once the group object has its new owner.

        Args:
            own_group_id: Group of this agent.
            leaving_range: The range.
            is_leaving: Returns False once the handover is cancelled; the release is not repeated
                then, since the upstream may have been granted the keys again.
        """
        token = await self.release(leaving_range, is_leaving)
        if not is_leaving():
            return
        batch = self._own_batches.get(own_group_id)
        if batch is None:
            batch = self._own_batches[own_group_id] = {}
            recording = self._tasks.spawn("record own", self._record_own_batch(own_group_id))
            self._recordings[own_group_id] = recording
        batch[range_id(leaving_range)] = (leaving_range, token)
        await asyncio.wait((self._recordings[own_group_id],))

    async def release(self, leaving_range: KeyRange, is_leaving: Callable[[], bool]) -> str:
        """Releases a range; afterwards the upstream has no grant for any of its keys.

        Args:
            leaving_range: The range.
            is_leaving: See `hand_over`.

        Returns:
            The token that spares the next owner a cold start, or an empty string.
        """
        token = await self._release_range(leaving_range, self._last_grant_end, is_leaving)
        await self._wait_until_unconfirmed_grants_end(leaving_range)
        return token

    async def _record_own_batch(self, own_group_id: GroupId) -> None:
        """Makes the successors of the ranges that are released about now their owners."""
        await self._clock.sleep(_RELEASE_BATCH_S)
        batch = self._own_batches.pop(own_group_id)
        leaving_ranges = [leaving_range for leaving_range, _ in batch.values()]
        released = {range_key: token for range_key, (_, token) in batch.items()}
        edit = _handover_edit(released, self._membership.member_id)
        written = await self._record_through_planner(own_group_id, released, edit)
        while written is None:
            try:
                written = await self._groups.edit(own_group_id, edit)
            except PlatformError as error:
                _HANDOVER_FAILED.emit(group=own_group_id, ranges=len(leaving_ranges), error=error)
                self._request_record(own_group_id, leaving_ranges, released)
                await self._clock.sleep(_RETRY_S)
        _HANDED_OVER.emit(
            group=own_group_id,
            version=written.version,
            ranges=[
                (key_range.first, key_range.last, key_range.successor)
                for key_range in leaving_ranges
            ],
        )

    async def _record_through_planner(
        self, own_group_id: GroupId, released: dict[RangeId, str], edit: GroupChange
    ) -> VersionedGroup | None:
        """Lets the planner record a handover; returns None if that fails or takes too long.

        The planner combines the handovers of several members in one write. If each member wrote
        its own, their conditional writes would conflict.
        """
        view = self._groups.view(own_group_id)
        planner = next(iter(moves.active_members(view.group)), None) if view is not None else None
        own_id = self._membership.member_id
        if view is None or planner is None or planner.id == own_id:
            return None
        if not self._peers.send(planner, self._released_message(own_group_id, released)):
            return None
        limit = self._clock.now() + _PLANNER_RECORD_LIMIT_S
        while edit(view.group) is not None:
            timeout_s = min(_PLANNER_RECORD_TIMEOUT_S, limit - self._clock.now())
            if not await self._groups.wait_until_newer(own_group_id, view.version, timeout_s):
                return None
            view = self._groups.view(own_group_id)
            assert view is not None
        return view

    def _request_record(
        self, own_group_id: GroupId, leaving_ranges: list[KeyRange], released: dict[RangeId, str]
    ) -> None:
        """Requests that other members record the handover, since they may reach the platform.

        The planner and the successors may be cut off from the platform like the owner, so each
        call also includes one random member.
        """
        view = self._groups.view(own_group_id)
        if view is None:
            return
        active_ids = [member.id for member in moves.active_members(view.group)]
        recipient_ids = {key_range.successor for key_range in leaving_ranges}
        recipient_ids.update(active_ids[:1])
        recipient_ids.update(random.sample(active_ids, min(len(active_ids), 1)))
        for member_id in recipient_ids - {self._membership.member_id}:
            member = view.group.members.get(member_id or "")
            if member is not None:
                self._peers.send(member, self._released_message(own_group_id, released))

    def _released_message(
        self, own_group_id: GroupId, released: dict[RangeId, str]
    ) -> RangesReleased:
        ranges = tuple(
            ReleasedRange(*key_range_id, token) for key_range_id, token in released.items()
        )
        return RangesReleased(
            own_group_id.service, own_group_id.number, self._membership.member_id, ranges
        )

    def _on_released(self, sender: str, message: RangesReleased) -> None:
        group_id = GroupId(message.service, message.number)
        if sender != message.owner_id or group_id != self._membership.own_group_id:
            return
        self._pending_records.append(message)
        if len(self._pending_records) == 1:
            self._tasks.spawn("record", self._record_batch(group_id))

    async def _record_batch(self, group_id: GroupId) -> None:
        await self._clock.sleep(_RECORD_BATCH_S)
        messages, self._pending_records = self._pending_records, []
        # Edits that are queued together share one write.
        await asyncio.gather(*(self._record(group_id, message) for message in messages))

    async def _record(self, group_id: GroupId, message: RangesReleased) -> None:
        released = {
            (
                released_range.first,
                released_range.last,
                released_range.epoch,
            ): released_range.handover
            for released_range in message.ranges
        }
        edit = _handover_edit(released, message.owner_id)
        try:
            written = await self._groups.edit(group_id, edit)
        except PlatformError as error:
            # The owner repeats its request until the handover is recorded.
            _HANDOVER_FAILED.emit(group=group_id, ranges=len(released), error=error)
            return
        except Exception as error:  # a handover of another member must not end this agent
            report_reading_failure("ownership:record", error)
            return
        _RECORDED.emit(
            group=group_id,
            version=written.version,
            owner=message.owner_id,
            ranges=len(released),
        )

    async def _wait_until_unconfirmed_grants_end(self, leaving_range: KeyRange) -> None:
        now = self._clock.now()
        self._unconfirmed_grants = [
            (granted_range, end) for granted_range, end in self._unconfirmed_grants if end > now
        ]
        ends = [
            end
            for granted_range, end in self._unconfirmed_grants
            if granted_range.first <= leaving_range.last
            and leaving_range.first <= granted_range.last
        ]
        if ends:
            await self._clock.sleep(max(ends) - now)

    async def _release_range(
        self, key_range: KeyRange, grants_end: float, is_leaving: Callable[[], bool]
    ) -> str:
        """Releases a range, and retries until it is confirmed or all grants have expired.

        Returns:
            The handover token, or an empty string without one.
        """
        while True:
            timeout_s = max(grants_end - self._clock.now(), _MIN_RELEASE_TIMEOUT_S)
            try:
                async with asyncio.timeout(timeout_s):
                    token = await self._upstream.release_range(key_range)
                break
            except (RefusalError, TimeoutError) as error:
                _RELEASE_FAILED.emit(
                    first=key_range.first, last=key_range.last, epoch=key_range.epoch, error=error
                )
                now = self._clock.now()
                if now >= grants_end:
                    return ""
                await self._clock.sleep(min(_RETRY_S, grants_end - now))
                if not is_leaving():
                    return ""
        _RELEASED.emit(
            first=key_range.first, last=key_range.last, epoch=key_range.epoch, warm=bool(token)
        )
        return token


def _handover_edit(released: dict[RangeId, str], owner_id: str) -> GroupChange:
    """Returns the group edit that makes the successors of released ranges their owners."""

    def edit(group: Group) -> Group | None:
        changed = moves.handed_over(group, released, owner_id)
        return None if changed == group else changed

    return edit
