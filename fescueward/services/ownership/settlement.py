"""Records of handovers in the group object."""

from __future__ import annotations

import asyncio

from ...interfaces import Groups, Membership
from ...interfaces.groups import GroupChange
from ...kernel import Clock, Event, Level
from ...kernel.errors import PlatformError

_SETTLED = Event(2706, "handovers_settled", Level.INFO, "Handovers are recorded in the group.")
_SETTLE_FAILED = Event(2707, "settle_failed", Level.WARNING, "A record failed; it is retried.")

_SETTLE_DELAY_S = 0.02
_SETTLE_RETRY_S = 0.25


class HandoverSettlement:
    """Records which shards this agent has taken over, until a record is written.

    Args:
        clock: Clock of the delays.
        groups: The `groups` service.
        membership: The `membership` service.
        settle: Edit that makes this agent the owner of the shards that it has taken over.
    """

    def __init__(
        self, clock: Clock, groups: Groups, membership: Membership, settle: GroupChange
    ) -> None:
        self._clock, self._groups, self._membership = clock, groups, membership
        self._settle = settle
        self._wanted = asyncio.Event()

    def request(self) -> None:
        """Asks for a record of what was taken over."""
        self._wanted.set()

    async def run(self) -> None:
        """Writes records when they are asked for."""
        while True:
            await self._wanted.wait()
            # A short delay puts the shards of one move into one write.
            await self._clock.sleep(_SETTLE_DELAY_S)
            self._wanted.clear()
            home = self._membership.home
            if home is None:
                continue
            try:
                settled = await self._groups.edit(home, self._settle)
                _SETTLED.emit(version=settled.version)
            except PlatformError as error:
                _SETTLE_FAILED.emit(error=error)
                self._wanted.set()
                await self._clock.sleep(_SETTLE_RETRY_S)
