"""State of the shards that this agent owns, and the tickets of requests on them."""

from __future__ import annotations

import asyncio
import enum
from types import TracebackType
from typing import Protocol


class ShardState(enum.Enum):
    """Whether a shard admits requests."""

    ACTIVATING = enum.auto()
    ACTIVE = enum.auto()
    RELEASING = enum.auto()


class OwnedShard:
    """A shard that this agent owns.

    Attributes:
        epoch: Epoch at which it is owned.
        ready_at: Earliest activation, in seconds of CLOCK_BOOTTIME; 0.0 for no wait.
        state: Whether it admits requests.
        in_flight: Number of requests in flight.
        idle: Set while no request is in flight.
    """

    def __init__(self, epoch: int, ready_at: float) -> None:
        self.epoch = epoch
        self.ready_at = ready_at
        self.state = ShardState.ACTIVATING
        self.in_flight = 0
        self.idle = asyncio.Event()
        self.idle.set()


class TicketOwner(Protocol):
    """Service that issues tickets and counts the requests in flight."""

    def check(self, shard: int, owned_shard: OwnedShard) -> None:
        """Raises `LeaseExpiredError` unless the lease is held and `owned_shard` is current."""
        ...

    def finish_request(self, owned_shard: OwnedShard, key: str) -> None:
        """Counts a request as finished."""
        ...


class ShardTicket:
    """Permission to run one request; see `Ticket`."""

    __slots__ = ("_key", "_owned_shard", "_owner", "epoch", "shard")

    def __init__(self, owner: TicketOwner, shard: int, owned_shard: OwnedShard, key: str) -> None:
        self.shard = shard
        self.epoch = owned_shard.epoch
        self._owner = owner
        self._owned_shard = owned_shard
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
        """Ends the request of the ticket."""
        self._owner.finish_request(self._owned_shard, self._key)

    def check(self) -> None:
        """Raises `LeaseExpiredError` unless the lease is held and the shard still active."""
        self._owner.check(self.shard, self._owned_shard)
