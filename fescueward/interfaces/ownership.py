"""Active shards as the services see them."""

from __future__ import annotations

from types import TracebackType
from typing import Protocol, runtime_checkable


class Ticket(Protocol):
    """Permission to run one request; the shard is not handed over while it is held.

    Attributes:
        shard: Shard id.
        epoch: Epoch of the shard.
    """

    shard: int
    epoch: int

    def __enter__(self) -> Ticket:
        """Returns the ticket."""
        ...

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Gives the ticket back."""
        ...

    def check(self) -> None:
        """Raises `LeaseExpiredError` unless the lease is held and the shard is still active."""
        ...


@runtime_checkable
class Ownership(Protocol):
    """Which shards this agent serves now."""

    async def admit(self, service: str, key: str, deadline: float) -> Ticket:
        """Waits while the shard of the key is being handed over or activated.

        Args:
            service: Service of the request.
            key: Key of the request.
            deadline: Latest time to wait for, in seconds of CLOCK_BOOTTIME.

        Raises:
            NotOwnerError: Another member owns the shard.
            LeaseExpiredError: The lease of this agent has ended.
            ShardMovingError: The deadline passed first.
            DrainingError: This server is leaving and nobody takes its shards.
        """
        ...

    def active(self) -> dict[int, int]:
        """Returns the epoch of each active shard by shard id."""
        ...

    def owned(self) -> dict[int, int]:
        """Returns the epoch of each shard that is active or being activated."""
        ...

    async def wait_until_drained(self) -> None:
        """Waits until no shard is active here and no request is in flight."""
        ...


@runtime_checkable
class Grants(Protocol):
    """Grants of the upstream for the shards that are owned here."""

    def send_soon(self) -> None:
        """Sends the present grants without waiting for the next renewal."""
        ...

    async def confirmed(self) -> None:
        """Waits until the upstream has confirmed what is owned now."""
        ...

    async def revoked(self) -> None:
        """Waits until the upstream holds no grant that is not owned now."""
        ...
