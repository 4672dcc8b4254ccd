"""Wait for the end of grants that a restored store no longer shows."""

from __future__ import annotations

from ...kernel import Clock
from ...kernel.settings import LeaseSection
from ...messages import Group

# Time within which the monitors of a member learn of a new era from a watcher's status, after
# which they extend no lease of a member that has not learned of it.
_NOTICE_S = 1.2


class RecoveryWait:
    """Time after the confirmation of a group in which lost grants may still be valid.

    A store that was restored from an older copy may have lost the write that gave a member its
    ranges. The member ends its grants when it receives the confirmed group; if it does not receive
    it, its lease ends.

    Args:
        clock: Source of time.
        lease: Lease settings.
    """

    def __init__(self, clock: Clock, lease: LeaseSection) -> None:
        self._clock = clock
        self._wait_s = (lease.lease_ms + lease.drift_margin_ms) / 1000 + _NOTICE_S
        self._recovering = 0
        self._until = 0.0

    @property
    def active(self) -> bool:
        """Whether lost grants may still be valid, because the group does not record their end."""
        return self._recovering != 0

    @property
    def over(self) -> bool:
        """Whether grants have ended that no member of an earlier era extends."""
        return self._clock.now() >= self._until

    def observe(self, group: Group) -> None:
        """Starts the wait with a group that was confirmed since the last one."""
        if group.recovering not in (0, self._recovering):
            self._until = self._clock.now() + self._wait_s
        self._recovering = group.recovering
