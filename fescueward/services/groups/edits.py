"""Edits of groups: those that wait at the same time are made by one conditional write."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import Protocol

from ...interfaces.groups import GroupChange
from ...kernel import Clock, TaskOwner
from ...kernel.errors import (
    FescuewardError,
    OutcomeUnknownError,
    PlatformError,
    VersionConflictError,
)
from ...messages import Group, GroupId, VersionedGroup

_ATTEMPTS = 40
# Longest pause after the first conflict, in seconds; it grows to ten times that.
_BACKOFF_S = 0.01


class EditedGroups(Protocol):
    """Reads and writes of groups that edits are made of."""

    def view(self, group: GroupId) -> VersionedGroup | None:
        """Returns the newest version seen, or None."""
        ...

    async def read_or_create(self, group: GroupId) -> VersionedGroup:
        """Reads a group, or returns an empty one if the catalogue knows its service."""
        ...

    async def write(self, base: VersionedGroup, group: Group) -> VersionedGroup:
        """Makes one conditional write on the version of `base`."""
        ...


@dataclass(frozen=True, slots=True)
class _PendingEdit:
    """An edit that waits for a write.

    Attributes:
        change: The edit.
        done: Its result; cancelled if the caller does not wait any more.
    """

    change: GroupChange
    done: asyncio.Future[VersionedGroup]

    def apply_to(self, group: Group) -> Group:
        """Returns the group with this edit, or the same group if nothing is left to change."""
        if self.done.done():
            return group
        try:
            changed = self.change(group)
        except Exception as error:  # it is the caller's; the other edits go on
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
    """Makes the edits of one agent.

    Args:
        groups: What reads and writes the groups.
        tasks: Owner of the task that makes the edits of a group.
        clock: Source of time.
    """

    def __init__(self, groups: EditedGroups, tasks: TaskOwner, clock: Clock) -> None:
        self._groups = groups
        self._tasks = tasks
        self._clock = clock
        self._pending: dict[GroupId, list[_PendingEdit]] = {}
        self._editing: set[GroupId] = set()

    async def edit(self, group: GroupId, change: GroupChange) -> VersionedGroup:
        """Reads, changes and writes until a write succeeds; see `Groups.edit`.

        Edits that wait at the same time are made in the order of the calls.
        """
        pending = _PendingEdit(change, asyncio.get_running_loop().create_future())
        self._pending.setdefault(group, []).append(pending)
        if group not in self._editing:
            self._editing.add(group)
            self._tasks.spawn(f"edit {group}", self._run(group))
        return await pending.done

    async def _run(self, group: GroupId) -> None:
        """Makes all edits that wait for a group, also those that come meanwhile."""
        batch: tuple[_PendingEdit, ...] = ()
        try:
            while self._pending.get(group):
                batch = tuple(self._pending.pop(group))
                try:
                    written = await self._edit_together(group, batch)
                except FescuewardError as error:
                    for pending in batch:
                        pending.fail(error)
                else:
                    for pending in batch:
                        pending.finish(written)
        finally:
            self._editing.discard(group)
            for pending in (*batch, *self._pending.pop(group, ())):
                pending.done.cancel()

    async def _edit_together(
        self, group: GroupId, batch: tuple[_PendingEdit, ...]
    ) -> VersionedGroup:
        base = self._groups.view(group)
        unknown: OutcomeUnknownError | None = None
        for attempt in range(_ATTEMPTS):
            if base is None:
                try:
                    base = await self._groups.read_or_create(group)
                except PlatformError as error:
                    if unknown is None:
                        raise
                    raise unknown from error
            changed = base.group
            for pending in batch:
                changed = pending.apply_to(changed)
            if changed is base.group:
                return base
            try:
                return await self._groups.write(base, changed)
            except VersionConflictError:
                base = None
                await self._clock.sleep(random.uniform(0, _BACKOFF_S * min(attempt + 1, 10)))
            except OutcomeUnknownError as error:
                unknown = error
                # The changes are idempotent: a read shows whether anything is left to do.
                base = None
        raise OutcomeUnknownError(f"group {group} could not be edited in {_ATTEMPTS} attempts")
