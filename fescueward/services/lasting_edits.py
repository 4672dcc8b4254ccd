"""Edits of a group object that are repeated until they are written."""

from __future__ import annotations

from ..interfaces import Groups
from ..interfaces.groups import GroupChange
from ..kernel import Clock, Event
from ..kernel.errors import PlatformError, UnknownServiceError
from ..messages import GroupId, VersionedGroup

_WRITE_RETRY_S = 0.2


async def edit_until_written(
    groups: Groups,
    clock: Clock,
    group_id: GroupId,
    change: GroupChange,
    failed: Event,
    **details: object,
) -> VersionedGroup:
    """Edits a group, and tries again while the platform is unavailable.

    Args:
        groups: Reads and writes the group.
        clock: Source of time.
        group_id: The group.
        change: Edit of the group; see `Groups.edit`.
        failed: Event that is logged for the first failure.
        **details: Values of the event.

    Returns:
        A version of the group that has the change.
    """
    failure_logged = False
    while True:
        try:
            return await groups.edit(group_id, change)
        except (PlatformError, UnknownServiceError) as error:
            if not failure_logged:
                failed.emit(**details, error=error)
            failure_logged = True
            await clock.sleep(_WRITE_RETRY_S)
