"""Records of completed handovers in the group object."""

from __future__ import annotations

import asyncio

from ...interfaces import Groups, Membership
from ...interfaces.groups import GroupChange
from ...kernel import Clock, Event, Level
from ...kernel.errors import PlatformError

_RECORDED = Event(2706, "handovers_settled", Level.INFO, "Handovers are recorded in the group.")
_RECORD_FAILED = Event(
    2707, "settle_failed", Level.WARNING, "Recording handovers failed; it is retried."
)

_RECORD_DELAY_S = 0.02
_RECORD_RETRY_S = 0.25


class HandoverRecorder:
    """Writes which shards this agent has taken over to the group object, with retries.

    Args:
        clock: Clock for the delays.
        groups: The `groups` service.
        membership: The `membership` service.
        record_handovers: Edit that makes this agent the owner of shards that it has taken over.
    """

    def __init__(
        self, clock: Clock, groups: Groups, membership: Membership, record_handovers: GroupChange
    ) -> None:
        self._clock, self._groups, self._membership = clock, groups, membership
        self._record_handovers = record_handovers
        self._requested = asyncio.Event()

    def request(self) -> None:
        """Requests a write that records the shards taken over so far."""
        self._requested.set()

    async def run(self) -> None:
        """Writes the requested records; runs until it is cancelled."""
        while True:
            await self._requested.wait()
            # A short delay collects the shards of one move in one write.
            await self._clock.sleep(_RECORD_DELAY_S)
            self._requested.clear()
            own_group_id = self._membership.own_group_id
            if own_group_id is None:
                continue
            try:
                recorded = await self._groups.edit(own_group_id, self._record_handovers)
                _RECORDED.emit(version=recorded.version)
            except PlatformError as error:
                _RECORD_FAILED.emit(error=error)
                self._requested.set()
                await self._clock.sleep(_RECORD_RETRY_S)
