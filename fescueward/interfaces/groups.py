"""Protocols of the group objects: cache, edits and change notifications."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, runtime_checkable

from ..messages import Group, GroupId, Member, VersionedGroup
from ..messages.peer import MemberEdit, Versions

GroupChange = Callable[[Group], Group | None]


@runtime_checkable
class GroupListener(Protocol):
    """Subscriber to newer versions of group objects."""

    def group_changed(self, group: VersionedGroup) -> None:
        """Called once for each newer version of a group, in ascending order of versions."""
        ...


@runtime_checkable
class Directory(Protocol):
    """Cache of all groups of the fleet."""

    @property
    def complete(self) -> bool:
        """Whether all groups have been read from the platform or received from a peer once."""
        ...

    def views(self) -> tuple[VersionedGroup, ...]:
        """Returns the newest known version of every group."""
        ...


@runtime_checkable
class Groups(Protocol):
    """Cache of the newest known version of each group, and writes of groups."""

    def view(self, group: GroupId) -> VersionedGroup | None:
        """Returns the newest known version, or None if the group is not cached."""
        ...

    async def load(self, group: GroupId) -> VersionedGroup:
        """Returns the newest known version; reads the group from the platform if none is cached.

        Raises:
            ObjectNotFoundError: The group does not exist.
            PlatformUnavailableError: The platform did not respond.
            PlatformAnswerError: The object is malformed.
        """
        ...

    async def refresh(self, group: GroupId) -> VersionedGroup:
        """Reads the group from the platform; raises the errors of `load`."""
        ...

    async def update(self, group: GroupId) -> None:
        """Makes one attempt to fetch a newer version from members or the platform."""
        ...

    async def write(self, base: VersionedGroup, group: Group) -> VersionedGroup:
        """Makes one conditional write that expects the version of `base`.

        Raises:
            VersionConflictError: The group is at another version.
            OutcomeUnknownError: The response was lost; the write may still take effect later.
            PlatformUnavailableError: The write had no effect.
            UnwritableGroupError: No agent could read the group, so it was not written.
        """
        ...

    async def edit(
        self, group: GroupId, change: GroupChange, member_count: int = 1
    ) -> VersionedGroup:
        """Repeats read, change and write until a write succeeds or `change` returns None.

        Args:
            group: Group to change; `change` gets an empty group if it does not exist.
            change: Returns the changed group, or None if nothing is left to change. It may be
                called several times and must be idempotent.
            member_count: Number of members that the edit is for. After a conflict, an edit for
                more members waits for less time.

        Raises:
            PlatformError: The platform did not respond. After an `OutcomeUnknownError` the
                change may have taken effect.
        """
        ...

    def observe(self, group: VersionedGroup) -> bool:
        """Caches a version if it is newer than the cached one; returns whether it was cached."""
        ...

    def subscribe(self, listener: GroupListener) -> None:
        """Calls the listener for each newer version from now on."""
        ...

    def versions(self) -> Versions:
        """Returns the versions that this agent has, for renewals and their acknowledgements."""
        ...

    def fetch_newer(self, member: Member, member_versions: Versions) -> None:
        """Fetches objects from a member of this agent's group whose versions are newer."""
        ...

    async def wait_until_newer(self, group: GroupId, version: int, timeout_s: float) -> bool:
        """Waits for a version above `version`; returns False after `timeout_s` seconds."""
        ...


@runtime_checkable
class Recorder(Protocol):
    """Writes of edits through one member that writes those of many."""

    async def record(self, edit: MemberEdit) -> bool | None:
        """Writes an edit of this agent through another member, or with those of others.

        Args:
            edit: The edit.

        Returns:
            Whether the group object has the edit; if not, it may still be written later. None if
            no recorder responds, so that this agent has to write the edit itself.
        """
        ...
