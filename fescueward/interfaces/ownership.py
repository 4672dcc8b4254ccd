"""Protocols of shard ownership and of the grants that follow from it."""

from __future__ import annotations

from types import TracebackType
from typing import Protocol, runtime_checkable


class Ticket(Protocol):
    """Permission to run one request; its shard is not handed over until it is released.

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
        """Releases the ticket."""
        ...

    def check(self) -> None:
        """Raises `LeaseExpiredError` unless the lease is held and the shard is still active."""
        ...


@runtime_checkable
class Ownership(Protocol):
    """Shards that this agent owns and serves."""

    async def admit(self, service: str, key: str, deadline: float) -> Ticket:
        """Returns a ticket, after any handover or activation of the key's shard has ended.

        Args:
            service: Service of the request.
            key: Key of the request.
            deadline: Time until which to wait, in seconds of CLOCK_BOOTTIME.

        Raises:
            NotOwnerError: Another member owns the shard.
            LeaseExpiredError: The lease of this agent has ended.
            ShardMovingError: The deadline passed first.
            DrainingError: This server is leaving and no member takes its shards.
        """
        ...

    def active(self) -> dict[int, int]:
        """Returns the epoch of each active shard by shard id."""
        ...

    def owned(self) -> dict[int, int]:
        """Returns the epoch of each shard that is active or being activated."""
        ...

    async def wait_until_drained(self) -> None:
        """Waits until no shard is active on this agent and no request is in flight."""
        ...


@runtime_checkable
class Grants(Protocol):
    """Grants that allow the upstream to serve the shards that this agent owns."""

    def send_soon(self) -> None:
        """Sends the current grants without waiting for the next renewal."""
        ...

    async def wait_until_confirmed(self) -> None:
        """Waits until the upstream has confirmed the grants of all shards owned now."""
        ...

    async def wait_until_revoked(self) -> None:
        """Waits until the upstream holds no grant of a shard that is not owned now."""
        ...
