"""Protocols of membership, leases and monitors."""

from __future__ import annotations

from typing import Protocol, runtime_checkable

from ..messages import Announcement, Group, GroupId, Member


@runtime_checkable
class Membership(Protocol):
    """Membership of this agent in its group."""

    @property
    def member_id(self) -> str:
        """Member id of this agent, `NAME:INCARNATION`."""
        ...

    @property
    def own_group_id(self) -> GroupId | None:
        """Group of this agent, or None before the first announcement of its upstream."""
        ...

    @property
    def announcement(self) -> Announcement | None:
        """Last announcement of the upstream, or None before the first."""
        ...

    @property
    def leaving(self) -> bool:
        """Whether the upstream or the agent is leaving, so that no new requests are admitted."""
        ...

    @property
    def stopped_acknowledging(self) -> bool:
        """Whether this agent has stopped acknowledging renewals, because it leaves the group."""
        ...

    def own_member(self) -> Member | None:
        """Returns this agent as a member of the newest known group, or None if it is no member."""
        ...

    def fill_monitors(self, group: Group) -> Group:
        """Returns the group with monitors added for members that have fewer than two."""
        ...

    def announce(self, announcement: Announcement) -> None:
        """Applies an announcement of the upstream.

        Raises:
            InvalidAnnouncementError: It names another service or group than the previous one.
        """
        ...

    async def leave(self, reason: str) -> None:
        """Hands over all shards, waits for requests in flight and leaves the group.

        Args:
            reason: Reason to log.
        """
        ...


@runtime_checkable
class DepartureRecord(Protocol):
    """Record of starts of the upstream that leave."""

    @property
    def announcement(self) -> Announcement | None:
        """Last announcement of the upstream, or None before the first."""
        ...

    def upstream_leaves(self, start: str) -> None:
        """Takes a start of the upstream as leaving, whatever later announcements of it say.

        Args:
            start: Identity of the start; see `Announcement.start`.
        """
        ...

    def instance_leaves(self, group_id: GroupId, instance: str) -> None:
        """Takes all starts of an instance up to now as leaving.

        Args:
            group_id: Group of the upstream, which may not have announced itself to this process.
            instance: Instance id of the upstream.
        """
        ...

    async def departure_recorded(self, instance: str) -> bool:
        """Waits until a later process of this agent can know of the departures of an instance.

        Args:
            instance: Instance id of the upstream.

        Returns:
            False if a departure could not be recorded within a bounded time.
        """
        ...


@runtime_checkable
class Departure(Protocol):
    """Whether the upstream on this VM still accepts requests."""

    @property
    def closed(self) -> bool:
        """Whether the upstream gets no more requests, because it is leaving or has stopped."""
        ...


@runtime_checkable
class Lease(Protocol):
    """Lease of this agent on its shards."""

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
        """Counts the join of a member as its first renewal, once a group version lists it.

        A monitor counts the time without renewals from the write that lists the member, or from
        later, and that write comes after `sent`, whichever agent makes it.

        Args:
            member_id: Member id that this agent will have.
            sent: A time before the join is sent, in seconds of CLOCK_BOOTTIME.
        """
        ...

    async def write_stamp(self) -> bool:
        """Renews the lease by a conditional write of a new stamp.

        It does so even while monitors acknowledge renewals.

        Returns:
            Whether the write was made.

        Raises:
            PlatformError: The platform did not respond.
        """
        ...


@runtime_checkable
class Monitor(Protocol):
    """Members whose renewals this agent acknowledges, and its promises for takeovers."""

    def monitored(self) -> dict[str, float]:
        """Returns the seconds since the last acknowledged renewal, by member id."""
        ...

    def promise(self, member_id: str, version: int, to: str, call: int) -> bool:
        """Grants or refuses a promise for a takeover conditional on a version of the group.

        A promise means that this agent's last acknowledgement to the member is older than the
        lease and the drift margin, and that it acknowledges no renewal of the member until it
        has received a later version of the group.

        Args:
            member_id: Member to take over.
            version: Version of the group that the takeover is conditional on.
            to: Member id of the requesting agent.
            call: Call number of the query.

        Returns:
            Whether the promise is granted.
        """
        ...

    def withdraw_promise(self, member_id: str, to: str, call: int) -> None:
        """Withdraws a promise under which no takeover write was or will be made."""
        ...
