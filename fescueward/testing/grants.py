"""Fencing at the upstream: which shards and epochs it may run requests of."""

from __future__ import annotations

import enum

from ..messages import GrantSet


class GrantState(enum.StrEnum):
    """Whether requests of a shard and epoch may run."""

    VALID = "valid"
    MISSING = "missing"
    WRONG_EPOCH = "wrong_epoch"
    EXPIRED = "expired"


class GrantTable:
    """Stores the newest set of grants.

    Sets of an older incarnation of the agent, sets with an older sequence and epochs below one
    that was granted before are ignored: they come from a process that was paused or from a
    delayed connection.
    """

    def __init__(self) -> None:
        self._grants = GrantSet(holder="", sequence=0, expires_ns=0, epochs={})
        self._received = False
        self._highest_epochs: dict[int, int] = {}

    @property
    def grants(self) -> GrantSet:
        """The newest set of grants; before the first one, a set without grants."""
        return self._grants

    def replace(self, grants: GrantSet) -> bool:
        """Replaces the set of grants by a newer one.

        Args:
            grants: A set that was received.

        Returns:
            Whether the set is newer than the stored one and has replaced it.
        """
        if self._received and _version(grants) <= _version(self._grants):
            return False
        accepted_epochs = {
            shard: epoch
            for shard, epoch in grants.epochs.items()
            if epoch >= self._highest_epochs.get(shard, 0)
        }
        self._highest_epochs.update(accepted_epochs)
        self._grants = GrantSet(grants.holder, grants.sequence, grants.expires_ns, accepted_epochs)
        self._received = True
        return True

    def state(self, shard: int | None, epoch: int | None, now_ns: int) -> GrantState:
        """Returns whether a request may run under the newest grants.

        Args:
            shard: Shard that the request names, or None.
            epoch: Epoch that the request names, or None.
            now_ns: Current time of CLOCK_BOOTTIME in nanoseconds.
        """
        granted_epoch = None if shard is None else self._grants.epochs.get(shard)
        if granted_epoch is None:
            return GrantState.MISSING
        if granted_epoch != epoch:
            return GrantState.WRONG_EPOCH
        return GrantState.VALID if now_ns < self._grants.expires_ns else GrantState.EXPIRED


def _version(grants: GrantSet) -> tuple[int, int]:
    incarnation = grants.holder.rpartition(":")[2]
    return (int(incarnation) if incarnation.isdecimal() else 0, grants.sequence)
