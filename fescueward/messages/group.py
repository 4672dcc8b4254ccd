"""Groups: members, shards, epochs and single-key exceptions."""

from __future__ import annotations

import enum
from bisect import bisect_right
from dataclasses import dataclass, field, replace
from typing import Annotated

import xxhash
from msgspec import Meta

from .era import era_of

Port = Annotated[int, Meta(ge=1, le=65_535)]
# A number that fits into 64 bits with a sign, so that every agent and upstream can read it.
Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]
# Hash of a request.
Fingerprint = Annotated[int, Meta(ge=0)]
# Highest numeric key of a service whose keys are divided into ranges.
LAST_KEY = 65_535


def _first_key(key_range: KeyRange) -> int:
    return key_range.first


class MemberState(enum.StrEnum):
    """Whether a member is assigned new shards."""

    ACTIVE = "active"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class GroupId:
    """Identity of a group.

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
        """Key of the group's platform object."""
        return f"groups/{self.service}/{self.number}"


@dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of an agent with its upstream.

    Attributes:
        id: Member id, `NAME:INCARNATION`.
        name: Name of the agent from its settings.
        incarnation: Number that increases with each start of the agent.
        boot_id: Identifier of the VM's boot.
        peer_host: Address that accepts peer streams.
        peer_port: Port that accepts peer streams.
        caller_host: Address that accepts requests of callers.
        caller_port: Port that accepts requests of callers.
        failure_domain: Failure domain of the VM.
        slots: Requests that the upstream runs concurrently.
        connections: Connections that the upstream accepts.
        checks_grants: Whether the upstream rejects requests without a valid grant.
        state: Whether the member is assigned new shards.
        monitors: Member ids of the member's monitors.
        stamp: Number of renewals that the member has written to the group object itself.
        instance: Identity of the upstream's current start, empty if upstreams have none.
        restarted: Whether the member replaced one of an earlier process of its agent, whose grants
            to the upstream may still be in force.
        records_edits: Whether the member takes a `RecordRequest`; earlier versions do not.
    """

    id: str
    name: str
    incarnation: Count
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
    stamp: Count = 0
    instance: str = ""
    restarted: bool = False
    records_edits: bool = False

    def any_incarnation(self) -> Member:
        """Returns this member with incarnation 0, which matches any incarnation at its address.

        The agent there may be a later incarnation that has not been able to join the group yet.
        """
        return replace(self, id=f"{self.name}:0", incarnation=0)


@dataclass(frozen=True, slots=True)
class Shard:
    """Ownership of one shard.

    Attributes:
        owner: Member id of the owner, or None.
        epoch: Fencing token; increases with each change of owner.
        successor: Member id that the shard is being handed over to, or None.
        hold_ms: Time in milliseconds that the owner waits after it receives this epoch before it
            activates the shard, because the upstream of the previous owner checks no grants, or
            may have grants of a process that has ended.
    """

    owner: str | None = None
    epoch: Count = 0
    successor: str | None = None
    hold_ms: Count = 0


@dataclass(frozen=True, slots=True)
class RecordedCrashes:
    """Upstream crashes during which a request was in flight.

    Attributes:
        crashes: Each crash as member id of the agent and number of the crash at that agent.
        until_ms: When the record expires, in Unix milliseconds.
    """

    crashes: tuple[tuple[str, Count], ...]
    until_ms: Count


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Ownership of a range of numeric keys.

    Attributes:
        first: Lowest key.
        last: Highest key.
        owner: Member id of the owner, or None.
        epoch: Fencing token; higher than that of every earlier owner of these keys.
        successor: Member id that the range is being handed over to, or None.
        handover: Handover token from the previous owner's upstream; with it the new owner's
            upstream starts with warm keys.
    """

    first: Annotated[int, Meta(ge=0, le=LAST_KEY)]
    last: Annotated[int, Meta(ge=0, le=LAST_KEY)]
    owner: str | None = None
    epoch: Count = 0
    successor: str | None = None
    handover: str = ""

    @property
    def width(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1


@dataclass(frozen=True, slots=True)
class Group:
    """One group of a service, stored as a platform object and changed by conditional writes.

    Attributes:
        service: Name of the service.
        number: Number of the group in the service.
        shard_count: Number of hash shards.
        members: Members by id.
        shards: Hash shards, followed by the shards of exceptions.
        exceptions: Shard id by key, for keys with a shard of their own.
        recovery: Value of the entry's `recovery` that has been applied to this group.
        edit_id: Identifier of the last edit; it shows whether a write whose response was lost
            took effect.
        ranges: Ranges of numeric keys in ascending order without gaps; empty for a service
            whose keys are hashed or that has no keys.
        fence: Highest epoch of any range so far.
        era: Era of the store in which this content was written.
        written_on: Version that this content was written on, which orders the contents of an era.
        recovering: Lowest epoch that was given after the store lost writes of an earlier era, or
            0 once all grants have ended that these writes may have led to.
        departures: Time of the latest start that has left, in Unix milliseconds, by instance id of
            the upstream; the oldest departure comes first.
        crashes: Crashes of requests that were in flight in several, by fingerprint.
    """

    service: str
    number: Count
    shard_count: Annotated[int, Meta(ge=1, le=4096)]
    members: dict[str, Member] = field(default_factory=dict)
    shards: tuple[Shard, ...] = ()
    exceptions: dict[str, Count] = field(default_factory=dict)
    recovery: Count = 0
    edit_id: str = ""
    ranges: tuple[KeyRange, ...] = ()
    fence: Count = 0
    era: Count = 0
    written_on: Count = 0
    recovering: Count = 0
    departures: dict[str, Count] = field(default_factory=dict)
    crashes: dict[Fingerprint, RecordedCrashes] = field(default_factory=dict)

    @property
    def id(self) -> GroupId:
        """Identity of this group: service and number."""
        return GroupId(self.service, self.number)

    def with_member(self, member: Member) -> Group:
        """Returns the group with a member added, or in place of the one with its id."""
        return replace(self, members={**self.members, member.id: member})

    def range_of(self, key: int) -> KeyRange | None:
        """Returns the range that contains a numeric key, or None if there are no ranges."""
        index = bisect_right(self.ranges, key, key=_first_key) - 1
        return self.ranges[index] if index >= 0 else None

    def shard_of(self, key: str, group_count: int) -> int:
        """Returns the shard id of a key.

        Args:
            key: The key.
            group_count: Number of groups of the service.
        """
        exception = self.exceptions.get(key)
        if exception is not None:
            return exception
        return (key_hash(key) // group_count) % self.shard_count


@dataclass(frozen=True, slots=True)
class VersionedGroup:
    """A group with the version of its platform object.

    Attributes:
        version: Version of the platform object.
        group: The group.
    """

    version: int
    group: Group

    @property
    def confirmed(self) -> bool:
        """Whether the content was written in the era of its version.

        Otherwise it is of a copy that the store was restored from, or of a write that expected a
        version of an earlier era. Newer content may be known to members.
        """
        return self.group.era == era_of(self.version)


def key_hash(key: str) -> int:
    """Returns the 64-bit hash of a key, which determines its group and shard."""
    return xxhash.xxh64_intdigest(key.encode())


def group_of(service: str, key: str, group_count: int) -> GroupId:
    """Returns the group that a key belongs to, for a service with `group_count` groups."""
    return GroupId(service, key_hash(key) % group_count)


def entry_object_key(service: str) -> str:
    """Returns the key of a catalogue entry's platform object."""
    return f"entries/{service}"
