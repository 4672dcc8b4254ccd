"""Groups: members, shards, epochs and single-key exceptions."""

from __future__ import annotations

import enum
from bisect import bisect_right
from dataclasses import dataclass, field, replace
from typing import Annotated

import xxhash
from msgspec import Meta

Port = Annotated[int, Meta(ge=1, le=65_535)]
# Highest numeric key of a service that is divided into ranges.
LAST_KEY = 65_535


def _first_key(found: KeyRange) -> int:
    return found.first


class MemberState(enum.StrEnum):
    """Whether a member takes new shards."""

    ACTIVE = "active"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class GroupId:
    """Names one group.

    Attributes:
        service: Name of the service.
        number: Number of the group in the service.
    """

    service: str
    number: int

    def __str__(self) -> str:
        return f"{self.service}/{self.number}"

    @property
    def object_key(self) -> str:
        """Platform key of the group."""
        return f"groups/{self.service}/{self.number}"


@dataclass(frozen=True, slots=True)
class Member:
    """One agent with its upstream, in one incarnation.

    Attributes:
        id: `NAME:INCARNATION`.
        name: Name of the agent from its settings.
        incarnation: Number that grows with each start of the agent.
        boot_id: Identifier of the VM's boot.
        peer_host: Address of the peer streams.
        peer_port: Port of the peer streams.
        caller_host: Address of the callers' HTTP.
        caller_port: Port of the callers' HTTP.
        failure_domain: Failure domain of the VM.
        slots: Requests that the upstream runs at a time.
        connections: Connections that the upstream accepts.
        checks_grants: Whether the upstream rejects requests without a valid grant.
        state: Whether it takes new shards.
        monitors: Member ids of its monitors.
        stamp: Number of renewals it has written itself.
        instance: Identity of the upstream's present start, empty if upstreams have none.
    """

    id: str
    name: str
    incarnation: Annotated[int, Meta(ge=0)]
    boot_id: str
    peer_host: str
    peer_port: Port
    caller_host: str
    caller_port: Port
    failure_domain: str
    slots: Annotated[int, Meta(ge=1, le=100_000)]
    connections: Annotated[int, Meta(ge=1, le=1_000_000)]
    checks_grants: bool = True
    state: MemberState = MemberState.ACTIVE
    monitors: tuple[str, ...] = ()
    stamp: Annotated[int, Meta(ge=0)] = 0
    instance: str = ""

    def any_incarnation(self) -> Member:
        """Returns whichever agent listens at the address of this member.

        It may be a later incarnation that could not join the group yet.
        """
        return replace(self, id=f"{self.name}:0", incarnation=0)


@dataclass(frozen=True, slots=True)
class Shard:
    """Ownership of one shard.

    Attributes:
        owner: Member id of the owner, or None.
        epoch: Grows with each change of owner.
        successor: Member id that the shard is being handed over to, or None.
        hold_ms: Time the owner waits, from when it sees this epoch, before it activates the
            shard, because the lost owner's upstream checks no grants.
    """

    owner: str | None = None
    epoch: Annotated[int, Meta(ge=0)] = 0
    successor: str | None = None
    hold_ms: Annotated[int, Meta(ge=0)] = 0


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Ownership of neighbouring numeric keys.

    Attributes:
        first: Lowest key.
        last: Highest key.
        owner: Member id of the owner, or None.
        epoch: Fencing token; above that of every earlier owner of these keys.
        successor: Member id that the range is being handed over to, or None.
        handover: Token of the last owner's upstream, with which the keys arrive warm.
    """

    first: Annotated[int, Meta(ge=0, le=LAST_KEY)]
    last: Annotated[int, Meta(ge=0, le=LAST_KEY)]
    owner: str | None = None
    epoch: Annotated[int, Meta(ge=0)] = 0
    successor: str | None = None
    handover: str = ""

    @property
    def width(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1


@dataclass(frozen=True, slots=True)
class Group:
    """One group of a service: a platform object that changes only by conditional update.

    Attributes:
        service: Name of the service.
        number: Number of the group in the service.
        shard_count: Number of hash shards.
        members: Members by id.
        shards: Hash shards, followed by the shards of exceptions.
        exceptions: Shard id by key, for keys with a shard of their own.
        recovery: The entry's `recovery` that this group has acted on.
        edit_id: Identifier of the last edit, by which a lost response is read back.
        ranges: Ranges of numeric keys in ascending order without gaps; empty for a service
            whose keys are hashed or that has none.
        fence: Highest epoch that any range has had.
    """

    service: str
    number: int
    shard_count: int
    members: dict[str, Member] = field(default_factory=dict)
    shards: tuple[Shard, ...] = ()
    exceptions: dict[str, int] = field(default_factory=dict)
    recovery: int = 0
    edit_id: str = ""
    ranges: tuple[KeyRange, ...] = ()
    fence: Annotated[int, Meta(ge=0)] = 0

    @property
    def id(self) -> GroupId:
        """Service and number of this group."""
        return GroupId(self.service, self.number)

    def range_of(self, key: int) -> KeyRange | None:
        """Returns the range that holds a numeric key, or None if there are no ranges."""
        index = bisect_right(self.ranges, key, key=_first_key) - 1
        return self.ranges[index] if index >= 0 else None

    def shard_of(self, key: str, groups: int) -> int:
        """Returns the shard id of a key.

        Args:
            key: The key.
            groups: Number of groups of the service.
        """
        exception = self.exceptions.get(key)
        if exception is not None:
            return exception
        return (key_hash(key) // groups) % self.shard_count


@dataclass(frozen=True, slots=True)
class VersionedGroup:
    """A group with the platform version it was read at.

    Attributes:
        version: Version of the platform object.
        group: The group.
    """

    version: int
    group: Group


def key_hash(key: str) -> int:
    """Returns the 64-bit hash that divides keys into groups and shards."""
    return xxhash.xxh64_intdigest(key.encode())


def group_of(service: str, key: str, groups: int) -> GroupId:
    """Returns the group that a key belongs to."""
    return GroupId(service, key_hash(key) % groups)


def entry_object_key(service: str) -> str:
    """Returns the platform key of a catalogue entry."""
    return f"entries/{service}"
