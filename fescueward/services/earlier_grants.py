"""Grants to the upstream that an earlier process of this agent has sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..kernel import Clock, TaskOwner
from ..messages import Member


class EarlierGrants:
    """The time at which the grants of an earlier process have ended.

    A process knows of them only that each was sent before its own start and ends with the lease of
    its sender at that time. The upstream shows no end: while it works on the keys it responds to
    no release, and it may apply a grant late that it received before a release.

    Args:
        clock: Source of time.
        lease_s: Length of a lease in seconds.
        tasks: Owner of the task that waits for the end.
    """

    def __init__(self, clock: Clock, lease_s: float, tasks: TaskOwner) -> None:
        self._clock = clock
        self._lease_s = lease_s
        self._tasks = tasks
        self._started_at = 0.0
        self._end = 0.0
        self._postponed: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Records that earlier processes have ended: this one has bound the port of its agent."""
        self._started_at = self._clock.now()

    def observe(self, member: Member | None) -> None:
        """Learns from the member record of this agent whether there was an earlier process."""
        if member is not None and member.restarted:
            self._end = self._started_at + self._lease_s

    def postpone(self, action: Callable[[], None]) -> bool:
        """Calls an action once the grants have ended, if they are in force.

        Later calls before that time add nothing.

        Returns:
            Whether the action is postponed.
        """
        if self._clock.now() >= self._end:
            return False
        if self._postponed is None:
            self._postponed = self._tasks.spawn("postponed", self._call_after_end(action))
        return True

    async def _call_after_end(self, action: Callable[[], None]) -> None:
        await self.wait_until_ended()
        action()

    async def wait_until_ended(self) -> None:
        """Waits until no grant of an earlier process is in force."""
        while (remaining_s := self._end - self._clock.now()) > 0:
            await self._clock.sleep(remaining_s)
