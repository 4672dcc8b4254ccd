"""Grants to the upstream that an earlier process of this agent has sent."""

from __future__ import annotations

from ..kernel import Clock
from ..messages import Member


class EarlierGrants:
    """The time at which the grants of an earlier process have ended.

    A process knows of them only that each was sent before its own start and ends with the lease of
    its sender at that time. The upstream shows no end: while it works on the keys it responds to
    no release, and it may apply a grant late that it received before a release.

    Args:
        clock: Source of time.
        lease_s: Length of a lease in seconds.
    """

    def __init__(self, clock: Clock, lease_s: float) -> None:
        self._clock = clock
        self._lease_s = lease_s
        self._started_at = 0.0
        self._end = 0.0

    @property
    def in_force(self) -> bool:
        """Whether an earlier process has sent grants that may not have ended."""
        return self._clock.now() < self._end

    def start(self) -> None:
        """Records that earlier processes have ended: this one has bound the port of its agent."""
        self._started_at = self._clock.now()

    def observe(self, member: Member | None) -> None:
        """Learns from the member record of this agent whether there was an earlier process."""
        if member is not None and member.restarted:
            self._end = self._started_at + self._lease_s

    async def wait_until_ended(self) -> None:
        """Waits until no grant of an earlier process is in force."""
        while (remaining_s := self._end - self._clock.now()) > 0:
            await self._clock.sleep(remaining_s)
