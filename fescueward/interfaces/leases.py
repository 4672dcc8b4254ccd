"""Leases, monitors and membership as the services see them."""

from __future__ import annotations

from typing import Protocol, runtime_checkable

from ..messages import Announcement, Group, GroupId, Member


@runtime_checkable
class Membership(Protocol):
    """This agent's place in its group."""

    @property
    def member_id(self) -> str:
        """`NAME:INCARNATION` of this agent."""
        ...

    @property
    def home(self) -> GroupId | None:
        """Group that the agent belongs to, or None before its upstream announced itself."""
        ...

    @property
    def announcement(self) -> Announcement | None:
        """What the upstream last said of itself."""
        ...

    @property
    def leaving(self) -> bool:
        """Whether the upstream or the agent leaves, so that no new work is admitted."""
        ...

    @property
    def resigned(self) -> bool:
        """Whether this agent acknowledges no renewals any more, because it leaves the group."""
        ...

    def own_member(self) -> Member | None:
        """Returns this agent's member in the newest group seen, or None."""
        ...

    def fill_monitors(self, group: Group) -> Group:
        """Returns the group with monitors added for members that have fewer than two."""
        ...

    def announce(self, announcement: Announcement) -> None:
        """Acts on an announcement of the upstream.

        Raises:
            InvalidAnnouncementError: It names another service or group than before.
        """
        ...

    async def leave(self, reason: str) -> None:
        """Hands all shards over, finishes what is in flight and leaves the group."""
        ...


@runtime_checkable
class Departure(Protocol):
    """Whether the upstream beside this agent still takes work."""

    @property
    def closed(self) -> bool:
        """Whether the upstream gets no more requests, because it leaves or is gone."""
        ...


@runtime_checkable
class Lease(Protocol):
    """This agent's lease of its shards."""

    @property
    def held(self) -> bool:
        """Whether the lease is held now."""
        ...

    @property
    def expires_at(self) -> float:
        """End of the lease in seconds of CLOCK_BOOTTIME."""
        ...

    async def wait_until_held(self) -> None:
        """Waits until the lease is held."""
        ...

    def check(self) -> None:
        """Raises `LeaseExpiredError` unless the lease is held now."""
        ...

    def start_from_join(self, member_id: str, sent: float) -> None:
        """Makes the join of a member its first renewal, once a group names it.

        No monitor waits from an earlier moment than the write that names the member, and that
        write comes after `sent`, whoever makes it.

        Args:
            member_id: The member that this agent will be.
            sent: A time before the join is sent, in seconds of CLOCK_BOOTTIME.
        """
        ...

    async def write_stamp(self) -> bool:
        """Renews by a conditional write of a new stamp, also while monitors acknowledge.

        Returns:
            Whether the write was made.

        Raises:
            PlatformError: The platform did not answer.
        """
        ...


@runtime_checkable
class Monitor(Protocol):
    """The leases that this agent acknowledges."""

    def monitored(self) -> dict[str, float]:
        """Returns seconds since the last acknowledgement by member id."""
        ...

    def promise(self, member_id: str, version: int, to: str, call: int) -> bool:
        """Agrees to a takeover that is conditional on a version of the group, or refuses.

        A promise means that this agent's last acknowledgement to the member is older than the
        lease and the margin, and that it acknowledges nothing until it has seen a later version.

        Args:
            member_id: The member to take over.
            version: Version that the takeover is conditional on.
            to: Member id of the agent that asks.
            call: Number of the query.
        """
        ...

    def withdraw_promise(self, member_id: str, to: str, call: int) -> None:
        """Takes a promise back because no write was or will be made under it."""
        ...
