"""Waits of requests for the next owner of their key."""

from __future__ import annotations

from ...interfaces import Groups
from ...kernel import Clock
from ...messages import GroupId, VersionedGroup
from ...messages.request import Request

# Longest wait for a newer group version before the owner of a key is looked up again.
_OWNER_POLL_S = 0.05
# Longest wait for the next owner while a key is being handed over: its running work, the planner's
# batch and a write. An owner that keeps the key after all is asked again then.
_HANDOVER_WAIT_S = 0.4


class OwnerWaits:
    """Waits until a request may be sent to another owner.

    Args:
        clock: Source of time.
        groups: The groups, whose newer versions name the next owner.
    """

    def __init__(self, clock: Clock, groups: Groups) -> None:
        self._clock = clock
        self._groups = groups

    async def wait(
        self, request: Request, view: VersionedGroup | None, moving: bool, until: float
    ) -> None:
        """Waits until the owner of a key may be another one than in a group version.

        While the key is being handed over, versions that only record other handovers don't end
        the wait: the old owner would refuse the request again.

        Args:
            request: The request that was refused.
            view: The version by which the request was sent, or None.
            moving: Whether the refusal says that the key is being handed over.
            until: Latest end of the wait, in seconds of CLOCK_BOOTTIME.
        """
        group_id = GroupId(request.service, 0)
        key = int(request.key)
        started_at = self._clock.now()
        owner_id = _owner_of(view, key)
        while True:
            key_range = view.group.range_of(key) if view is not None else None
            in_handover = moving and key_range is not None and key_range.successor is not None
            longest_s = _HANDOVER_WAIT_S if in_handover else _OWNER_POLL_S
            timeout_s = min(started_at + longest_s, until) - self._clock.now()
            version = view.version if view is not None else 0
            if timeout_s <= 0:
                return
            if not await self._groups.wait_until_newer(group_id, version, timeout_s):
                return
            view = self._groups.view(group_id)
            if not moving or _owner_of(view, key) != owner_id:
                return


def _owner_of(view: VersionedGroup | None, key: int) -> str | None:
    """Returns the member id of a key's owner in a group version, or None."""
    key_range = view.group.range_of(key) if view is not None else None
    return key_range.owner if key_range is not None else None
