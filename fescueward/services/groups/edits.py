"""Edits of groups: pending edits of a group are combined into one conditional write."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import Protocol

from ...interfaces.groups import GroupChange
from ...kernel import Clock, Event, Level, TaskOwner
from ...kernel.errors import (
    FescuewardError,
    MalformedMessageError,
    OutcomeUnknownError,
    PlatformError,
    UnwritableGroupError,
    VersionConflictError,
)
from ...messages import Group, GroupId, VersionedGroup
from ...messages.group_object import encode_group

_EDITED = Event(
    2215, "group_edited", Level.INFO, "An edit of a group succeeded after version conflicts."
)
_DELAYED = Event(
    2216, "group_edit_delayed", Level.WARNING, "An edit of a group keeps meeting other writes."
)

_UNWRITABLE = Event(
    2217,
    "group_edit_unwritable",
    Level.ERROR,
    "An edit leads to a group that no agent could read; the others of its batch are written.",
)

_MAX_ATTEMPTS = 40
# An edit that has been refused so often is logged before it ends.
_LOGGED_ATTEMPTS = 8
# Upper bound of the random backoff after the first version conflict. It grows linearly up to ten
# times this value.
_BACKOFF_S = 0.01


class GroupAccess(Protocol):
    """Cached reads, platform reads and conditional writes that edits are built on."""

    def view(self, group: GroupId) -> VersionedGroup | None:
        """Returns the cached version of a group, or None if none was received yet."""
        ...

    @property
    def receives_versions(self) -> bool:
        """Whether the watchers send newer versions to this agent."""
        ...

    async def read_or_empty(self, group: GroupId) -> VersionedGroup:
        """Reads a group from the platform; an absent group is returned empty at version 0.

        Raises:
            UnknownServiceError: The group is absent and its service has no catalogue entry.
            PlatformError: The platform could not be read.
        """
        ...

    async def write(self, base: VersionedGroup, group: Group) -> VersionedGroup:
        """Writes a group on condition that its version is that of `base`; see `Groups.write`."""
        ...


@dataclass(frozen=True, slots=True)
class _PendingEdit:
    """An edit that is queued for the next write.

    Attributes:
        change: Function that edits the group.
        member_count: Number of members that the edit is for.
        done: Future of the written version; cancelled once the caller has stopped waiting.
    """

    change: GroupChange
    member_count: int
    done: asyncio.Future[VersionedGroup]

    def apply_to(self, group: Group) -> Group:
        """Returns the edited group, or `group` itself if the edit changes nothing or has ended."""
        if self.done.done():
            return group
        try:
            changed = self.change(group)
        except Exception as error:  # fails this edit only; the rest of the batch continues
            self.fail(error)
            return group
        return group if changed is None else changed

    def finish(self, written: VersionedGroup) -> None:
        if not self.done.done():
            self.done.set_result(written)

    def fail(self, error: Exception) -> None:
        if not self.done.done():
            self.done.set_exception(error)


class GroupEdits:
    """Queues and writes the group edits of one agent.

    Args:
        groups: Cached and stored groups.
        tasks: Owner of the task that writes the edits of a group.
        clock: Source of time.
    """

    def __init__(self, groups: GroupAccess, tasks: TaskOwner, clock: Clock) -> None:
        self._groups = groups
        self._tasks = tasks
        self._clock = clock
        self._pending: dict[GroupId, list[_PendingEdit]] = {}
        self._active_groups: set[GroupId] = set()

    async def edit(
        self, group: GroupId, change: GroupChange, member_count: int = 1
    ) -> VersionedGroup:
        """Applies an edit with read, change and conditional write; see `Groups.edit`.

        Pending edits of a group are applied in call order.
        """
        done: asyncio.Future[VersionedGroup] = asyncio.get_running_loop().create_future()
        pending = _PendingEdit(change, member_count, done)
        self._pending.setdefault(group, []).append(pending)
        if group not in self._active_groups:
            self._active_groups.add(group)
            self._tasks.spawn(f"edit {group}", self._run(group))
        return await pending.done

    def _newer_than(self, group: GroupId, version: int) -> VersionedGroup | None:
        """Returns the cached version of a group if it is above `version`."""
        cached = self._groups.view(group)
        return cached if cached is not None and cached.version > version else None

    async def _run(self, group: GroupId) -> None:
        """Writes the pending edits of a group until the queue is empty."""
        batch: tuple[_PendingEdit, ...] = ()
        try:
            while self._pending.get(group):
                batch = tuple(self._pending.pop(group))
                try:
                    written = await self._write_batch(group, batch)
                except FescuewardError as error:
                    for pending in batch:
                        pending.fail(error)
                else:
                    for pending in batch:
                        pending.finish(written)
        finally:
            self._active_groups.discard(group)
            for pending in (*batch, *self._pending.pop(group, ())):
                pending.done.cancel()

    async def _write_batch(
        self, group: GroupId, batch: tuple[_PendingEdit, ...]
    ) -> VersionedGroup:
        base = self._groups.view(group)
        begun_at = base_known_at = self._clock.now()
        outcome_unknown: OutcomeUnknownError | None = None
        # Writers get shares of the group's writes in proportion to their members.
        member_count = max(sum(pending.member_count for pending in batch), 1)
        for attempt in range(_MAX_ATTEMPTS):
            if base is None:
                try:
                    base = await self._groups.read_or_empty(group)
                    base_known_at = self._clock.now()
                except PlatformError as error:
                    if outcome_unknown is None:
                        raise
                    raise outcome_unknown from error
            changed = base.group
            for pending in batch:
                changed = pending.apply_to(changed)
            if changed is base.group:
                return base
            started_at = self._clock.now()
            try:
                written = await self._groups.write(base, changed)
            except UnwritableGroupError:
                _fail_unwritable(batch, base.group)
            except VersionConflictError:
                refused_version = base.version
                if attempt + 1 == _LOGGED_ATTEMPTS:
                    _DELAYED.emit(
                        group=group,
                        edits=len(batch),
                        attempts=attempt + 1,
                        seconds=round(self._clock.now() - begun_at, 3),
                        base_age_s=round(started_at - base_known_at, 3),
                    )
                base_known_at = self._clock.now()
                # A large group takes long to write, so other writers need as long between them.
                unit_s = max(_BACKOFF_S, self._clock.now() - started_at)
                await self._clock.sleep(
                    random.uniform(0, unit_s * min(attempt + 1, 10) / member_count)
                )
                # An agent that is sent no versions does not notice writes during longer waits.
                if attempt and not self._groups.receives_versions:
                    base = None
                else:
                    base = self._newer_than(group, refused_version)
            except OutcomeUnknownError as error:
                outcome_unknown = error
                # The edits are idempotent: if a fresh read leaves nothing to change, the write
                # was made.
                base = None
            else:
                if attempt:
                    _EDITED.emit(
                        group=group,
                        version=written.version,
                        edits=len(batch),
                        attempts=attempt + 1,
                        seconds=round(self._clock.now() - begun_at, 3),
                    )
                return written
        raise OutcomeUnknownError(
            f"edit of group {group} not confirmed after {_MAX_ATTEMPTS} attempts"
        )


def _fail_unwritable(batch: tuple[_PendingEdit, ...], group: Group) -> None:
    """Fails the edits of a batch that lead from a group to one that no agent could read.

    Members edit the group for others: an odd entry of one must not hold up the edits of all.
    """
    for pending in batch:
        changed = pending.apply_to(group)
        try:
            encode_group(changed)
        except MalformedMessageError as error:
            _UNWRITABLE.emit(group=group.id, error=str(error)[:300])
            pending.fail(UnwritableGroupError(f"group {group.id} is not written: {error}"))
        else:
            group = changed
