"""Group objects as the services see them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, runtime_checkable

from ..messages import Group, GroupId, Member, VersionedGroup
from ..messages.peer import Versions

GroupChange = Callable[[Group], Group | None]


@runtime_checkable
class GroupListener(Protocol):
    """A service that is told of newer group objects."""

    def group_changed(self, group: VersionedGroup) -> None:
        """Called once for each newer version, in the order of versions."""
        ...


@runtime_checkable
class Directory(Protocol):
    """All groups of the fleet, where every agent holds them."""

    @property
    def complete(self) -> bool:
        """Whether all groups have been read or received once."""
        ...

    def views(self) -> tuple[VersionedGroup, ...]:
        """Returns the newest version of every group that was seen."""
        ...


@runtime_checkable
class Groups(Protocol):
    """The newest group object of each group that was seen."""

    def view(self, group: GroupId) -> VersionedGroup | None:
        """Returns the newest version seen, or None."""
        ...

    async def load(self, group: GroupId) -> VersionedGroup:
        """Returns the newest version seen, and reads the group if none was.

        Raises:
            ObjectNotFoundError: The group does not exist.
            PlatformUnavailableError: It could not be read.
            PlatformAnswerError: The object is malformed.
        """
        ...

    async def refresh(self, group: GroupId) -> VersionedGroup:
        """Reads the group from the platform; raises as `load`."""
        ...

    async def update(self, group: GroupId) -> None:
        """Asks members or the platform for a newer version and returns after one attempt."""
        ...

    async def write(self, base: VersionedGroup, group: Group) -> VersionedGroup:
        """Makes one conditional write on the version of `base`.

        Raises:
            VersionConflictError: The group is at another version.
            OutcomeUnknownError: The response was lost; the write may take effect, also later.
            PlatformUnavailableError: The write had no effect.
        """
        ...

    async def edit(self, group: GroupId, change: GroupChange) -> VersionedGroup:
        """Reads, changes and writes until a write succeeds or `change` returns None.

        Args:
            group: The group; `change` gets an empty one if it does not exist.
            change: Returns the changed group, or None if nothing is left to change. It may be
                called several times and must give the same result on its own result.

        Raises:
            PlatformError: The platform did not answer; the change may have taken effect if
                this is an `OutcomeUnknownError`.
        """
        ...

    def observe(self, group: VersionedGroup) -> bool:
        """Takes a version if it is higher than the one held; tells whether it was."""
        ...

    def subscribe(self, listener: GroupListener) -> None:
        """Tells a service of newer versions from now on."""
        ...

    def versions(self) -> Versions:
        """Returns what this agent knows, for renewals and their acknowledgements."""
        ...

    def fetch_newer(self, member: Member, member_versions: Versions) -> None:
        """Fetches from a member of this agent's group that knows newer versions."""
        ...

    async def changed(self, group: GroupId, version: int, timeout_s: float) -> bool:
        """Waits until a version above `version` is seen; tells whether it was."""
        ...
