"""The upstream's side of fencing: which shard and epoch may run."""

from __future__ import annotations

import enum

from ..messages import GrantSet


class GrantState(enum.StrEnum):
    """Whether a shard and epoch may run."""

    VALID = "valid"
    MISSING = "missing"
    WRONG_EPOCH = "wrong_epoch"
    EXPIRED = "expired"


class GrantTable:
    """Holds the newest set of grants.

    Sets of an older incarnation of the agent, sets with an older sequence and epochs below one
    that was granted before are ignored: they come from a process that was paused or from a
    delayed connection.
    """

    def __init__(self) -> None:
        self._grants = GrantSet(holder="", sequence=0, expires_ns=0, epochs={})
        self._received = False
        self._highest: dict[int, int] = {}

    @property
    def grants(self) -> GrantSet:
        """The newest set."""
        return self._grants

    def replace(self, grants: GrantSet) -> bool:
        """Takes a set of grants.

        Args:
            grants: The set.

        Returns:
            Whether it is newer than the one held.
        """
        if self._received and _age(grants) <= _age(self._grants):
            return False
        current = {
            shard: epoch
            for shard, epoch in grants.epochs.items()
            if epoch >= self._highest.get(shard, 0)
        }
        self._highest.update(current)
        self._grants = GrantSet(grants.holder, grants.sequence, grants.expires_ns, current)
        self._received = True
        return True

    def state(self, shard: int | None, epoch: int | None, now_ns: int) -> GrantState:
        """Judges a request.

        Args:
            shard: Shard that the request names.
            epoch: Epoch that the request names.
            now_ns: Present CLOCK_BOOTTIME in nanoseconds.
        """
        granted = None if shard is None else self._grants.epochs.get(shard)
        if granted is None:
            return GrantState.MISSING
        if granted != epoch:
            return GrantState.WRONG_EPOCH
        return GrantState.VALID if now_ns < self._grants.expires_ns else GrantState.EXPIRED


def _age(grants: GrantSet) -> tuple[int, int]:
    incarnation = grants.holder.rpartition(":")[2]
    return (int(incarnation) if incarnation.isdecimal() else 0, grants.sequence)
