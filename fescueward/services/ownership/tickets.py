"""Shards that are held here, and the permission to run a request on one."""

from __future__ import annotations

import asyncio
import enum
from types import TracebackType
from typing import Protocol


class ShardState(enum.Enum):
    """Whether requests run on a shard."""

    ACTIVATING = enum.auto()
    ACTIVE = enum.auto()
    RELEASING = enum.auto()


class HeldShard:
    """A shard that this agent owns at `epoch`."""

    def __init__(self, epoch: int, ready_at: float) -> None:
        self.epoch = epoch
        self.ready_at = ready_at
        self.state = ShardState.ACTIVATING
        self.in_flight = 0
        self.idle = asyncio.Event()
        self.idle.set()


class TicketOwner(Protocol):
    """What a ticket goes back to."""

    def check(self, shard: int, held: HeldShard) -> None:
        """Raises `LeaseExpiredError` unless the lease is held and `held` is still current."""
        ...

    def give_back(self, held: HeldShard, key: str) -> None:
        """Counts a request as finished."""
        ...


class ShardTicket:
    """Permission to run one request; see `Ticket`."""

    __slots__ = ("_held", "_key", "_owner", "epoch", "shard")

    def __init__(self, owner: TicketOwner, shard: int, held: HeldShard, key: str) -> None:
        self.shard = shard
        self.epoch = held.epoch
        self._owner = owner
        self._held = held
        self._key = key

    def __enter__(self) -> ShardTicket:
        """Returns the ticket."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Gives the ticket back."""
        self._owner.give_back(self._held, self._key)

    def check(self) -> None:
        """Raises `LeaseExpiredError` unless the lease is held and the shard still active."""
        self._owner.check(self.shard, self._held)
