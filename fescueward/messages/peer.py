"""Messages of the peer streams between agents."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Any

import xxhash
from msgspec import Meta

from .configuration import CONFIGURATION_KEY, VersionedConfiguration
from .delta import ConfigurationDelta, GroupDelta
from .entry import VersionedEntry
from .evacuations import Evacuations
from .group import Member, VersionedGroup
from .request import Headers, Occupancy

PROTOCOL_VERSION = 3

NonNegativeInt = Annotated[int, Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class Challenge:
    """First message of the accepting agent in a handshake.

    Attributes:
        nonce: Random bytes that the dialling agent signs.
    """

    nonce: Annotated[bytes, Meta(min_length=16, max_length=64)]


@dataclass(frozen=True, slots=True)
class Hello:
    """Reply to `Challenge` that identifies and authenticates the dialling side.

    Attributes:
        name: Name of the agent or routing client.
        incarnation: Incarnation of the agent or routing client.
        protocol: Version of this protocol.
        mac: HMAC-SHA256 over nonce, name, incarnation and protocol, with the peer secret.
        wanted: Member id that the sender dials; empty if it does not know which agent listens
            at the address.
        sent_ms: Time of sending in milliseconds of the sender's CLOCK_BOOTTIME, or None from
            earlier versions of the agent.
        takes_parts: Whether the sender takes a `MessagePart`; earlier versions do not.
    """

    name: Annotated[str, Meta(min_length=1, max_length=200)]
    incarnation: NonNegativeInt
    protocol: int
    mac: bytes
    wanted: str = ""
    sent_ms: NonNegativeInt | None = None
    takes_parts: bool = False


@dataclass(frozen=True, slots=True)
class Welcome:
    """Reply to `Hello` that completes the handshake.

    Attributes:
        name: Name of the accepting agent.
        incarnation: Incarnation of the accepting agent.
        takes_parts: Whether the accepting agent takes a `MessagePart`.
    """

    name: str
    incarnation: NonNegativeInt
    takes_parts: bool = False


def version_digest(versions: dict[str, int]) -> int:
    """Returns a hash of versions by name; equal content gives equal hashes."""
    text = ",".join(f"{name}={version}" for name, version in sorted(versions.items()))
    # 53 bits, so that it is exact in JSON readers that use floating point.
    return xxhash.xxh64_intdigest(text.encode()) >> 11


@dataclass(frozen=True, slots=True)
class Versions:
    """Versions that an agent has, so that an agent with older versions can fetch newer objects.

    Attributes:
        group: Version of the object of the group that both sides belong to.
        entries: Digest of all entry versions.
    """

    group: NonNegativeInt = 0
    entries: NonNegativeInt = 0


@dataclass(frozen=True, slots=True)
class Renew:
    """Heartbeat of a member to one of its monitors.

    Attributes:
        member_id: Member whose lease is renewed.
        sequence: Number of the renewal; the member records the time at which it sent it.
        versions: Versions that the member has.
        era: Era of the version that the member has of its group.
    """

    member_id: str
    sequence: NonNegativeInt
    versions: Versions = field(default_factory=Versions)
    era: NonNegativeInt = 0


@dataclass(frozen=True, slots=True)
class RenewAck:
    """Acknowledgement of a renewal by a monitor.

    Attributes:
        monitor_id: Member id of the monitor.
        member_id: Member whose lease is extended.
        sequence: Number of the renewal.
        granted: Whether the renewal extends the lease.
        versions: Versions that the monitor has.
    """

    monitor_id: str
    member_id: str
    sequence: NonNegativeInt
    granted: bool
    versions: Versions = field(default_factory=Versions)


@dataclass(frozen=True, slots=True)
class PromiseQuery:
    """Request of one monitor of a member to the other for a promise before a takeover.

    Attributes:
        call: Call number, which the reply repeats.
        service: Service of the group.
        number: Number of the group.
        member_id: Member to take over, whose renewals have stopped arriving.
        version: Version of the group object that the takeover is conditional on.
    """

    call: NonNegativeInt
    service: str
    number: NonNegativeInt
    member_id: str
    version: NonNegativeInt


@dataclass(frozen=True, slots=True)
class Promise:
    """Reply to `PromiseQuery`.

    Attributes:
        call: Call number of the query.
        member_id: Member to take over.
        version: Version of the query.
        granted: Whether the promise is granted.
    """

    call: NonNegativeInt
    member_id: str
    version: NonNegativeInt
    granted: bool


@dataclass(frozen=True, slots=True)
class PromiseRelease:
    """Withdraws a `PromiseQuery`: no takeover write was or will be made under it.

    Attributes:
        call: Call number of the query.
        member_id: Member that was to be taken over.
    """

    call: NonNegativeInt
    member_id: str


@dataclass(frozen=True, slots=True)
class WatchStatus:
    """Report of a watcher on its watch of the platform.

    Attributes:
        member_id: Member id of the watcher.
        healthy: Whether its last watch call was answered.
        versions: Versions that the watcher has.
        timeout_ms: Time after which the watcher counts as silent without a further status; 0 if
            the sender does not watch and only reports its versions.
    """

    member_id: str
    healthy: bool
    versions: Versions = Versions()
    timeout_ms: NonNegativeInt = 3000


@dataclass(frozen=True, slots=True)
class Publish:
    """Newer versions of objects.

    Attributes:
        groups: Group objects.
        entries: Catalogue entries.
        configuration: The operator's configuration, or None.
        deltas: Changes of groups; a receiver with another base version fetches the whole group.
        configuration_delta: Change of the configuration, or None; a receiver with another base
            version fetches the whole configuration.
        relay: Whether the receiver passes the message on to the members of its failure domain.
        evacuations: Evacuations of failure domains, or None.
        unsent: Platform keys of objects that are too large for a message; the receiver reads them
            from the platform.
    """

    groups: tuple[VersionedGroup, ...] = ()
    entries: tuple[VersionedEntry, ...] = ()
    configuration: VersionedConfiguration | None = None
    deltas: tuple[GroupDelta, ...] = ()
    configuration_delta: ConfigurationDelta | None = None
    relay: bool = False
    evacuations: Evacuations | None = None
    unsent: tuple[str, ...] = ()

    @property
    def object_keys(self) -> tuple[str, ...]:
        """Platform keys of the groups and of the configuration in this message."""
        keys = [newer.group.id.object_key for newer in self.groups]
        keys += [delta.group.object_key for delta in self.deltas]
        if self.configuration is not None or self.configuration_delta is not None:
            keys.append(CONFIGURATION_KEY)
        return tuple(keys)


@dataclass(frozen=True, slots=True)
class Fetch:
    """Request for objects newer than those of the sender; the reply is a `Publish`.

    Attributes:
        service: Service of the requested group, or empty.
        number: Number of that group.
        group_version: Version of that group that the sender has.
        entries: Versions of the sender's entries by service, or None if it requests none.
        objects: Versions of all of the sender's objects by platform key, or None.
        confirming: Whether the sender confirms the group after a restore of the store, so that it
            gets a reply in any case.
    """

    service: str = ""
    number: NonNegativeInt = 0
    group_version: NonNegativeInt = 0
    entries: dict[str, int] | None = None
    objects: dict[str, int] | None = None
    confirming: bool = False


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Measured load of a member, sent to the planner.

    Work is in microseconds of upstream time per second, because integers take 2 to 5 bytes in
    msgpack and floats take 9.

    Attributes:
        member_id: Member id of the sender.
        work: Work by shard id; shards without work are omitted.
        hot_keys: Work of the hottest keys, by key.
        applied_entries: Digest of the entry versions that the member applies.
        capacity: Usable share of its slots, 1.0 when warm.
    """

    member_id: str
    work: dict[NonNegativeInt, NonNegativeInt]
    hot_keys: dict[str, NonNegativeInt] = field(default_factory=dict)
    applied_entries: NonNegativeInt = 0
    capacity: Annotated[float, Meta(ge=0.0, le=1.0)] = 1.0


@dataclass(frozen=True, slots=True)
class RangeLoad:
    """Measured load of a member that owns key ranges, sent to the planner.

    Attributes:
        member_id: Member id of the sender.
        utilisation: Mean share of its slots in use, including waiting requests.
        work: Mean number of slots in use by key block; blocks without work are omitted.
        era: Era of the version that the sender has of its group.
        run_ms: Time that a request takes in its upstream, in milliseconds, without changes that
            pass within seconds; 0.0 if unknown.
        lasting_utilisation: Share of its slots that the requests of the last seconds take at this
            run time, or None if unknown.
        usable_slots: Slots that are in use on average when the upstream gets all that it takes;
            None for all of its slots.
    """

    member_id: str
    utilisation: Annotated[float, Meta(ge=0.0)]
    work: dict[NonNegativeInt, Annotated[float, Meta(ge=0.0)]]
    era: NonNegativeInt = 0
    run_ms: Annotated[float, Meta(ge=0.0)] = 0.0
    lasting_utilisation: Annotated[float, Meta(ge=0.0)] | None = None
    usable_slots: Annotated[float, Meta(gt=0.0)] | None = None


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Requests that were in flight when an upstream crashed.

    Attributes:
        member_id: Member whose upstream crashed; the report may be relayed by another member.
        fingerprints: Fingerprints of the requests in flight.
        quarantined: Fingerprints of requests that are refused from now on.
        cleared: Fingerprints of former suspects that have run to completion.
        crash: Number of the crash at that member.
        number: Number of the report, which its confirmation repeats.
    """

    member_id: str
    fingerprints: tuple[int, ...] = ()
    quarantined: tuple[int, ...] = ()
    cleared: tuple[int, ...] = ()
    crash: NonNegativeInt = 0
    number: NonNegativeInt = 0


@dataclass(frozen=True, slots=True)
class CrashNoted:
    """Acknowledgement of a `CrashReport`.

    Attributes:
        number: Number of the report.
    """

    number: NonNegativeInt


@dataclass(frozen=True, slots=True)
class RetainedOutcome:
    """Outcome of the request with one token.

    Attributes:
        token: Idempotency token.
        state: `done`, `lost` (may have run) or `too_large` (ran, response not retained).
        status: HTTP status code of the response.
        headers: Headers of the response.
        body: Body of the response.
        fingerprint: Hash of the request that the token was used for.
    """

    token: str
    state: str
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    fingerprint: int = 0


@dataclass(frozen=True, slots=True)
class Release:
    """Handover of a shard that its owner has stopped serving, sent to the successor.

    Attributes:
        call: Call number, which the reply repeats.
        service: Service of the group.
        number: Number of the group.
        shard: Shard id.
        epoch: Epoch that ends.
        from_id: Member id of the previous owner.
        to_id: Member id of the successor.
        lineage: Epochs whose outcomes are complete in `outcomes`.
        next_sequence: First token sequence that the successor may issue.
        floor: Lowest token sequence whose outcome is retained.
        outcomes: Outcomes of the shard's tokens.
    """

    call: NonNegativeInt
    service: str
    number: NonNegativeInt
    shard: NonNegativeInt
    epoch: NonNegativeInt
    from_id: str
    to_id: str
    lineage: tuple[int, ...] = ()
    next_sequence: NonNegativeInt = 0
    floor: NonNegativeInt = 0
    outcomes: tuple[RetainedOutcome, ...] = ()


@dataclass(frozen=True, slots=True)
class Released:
    """Reply of the successor to `Release`.

    Attributes:
        call: Call number of the release.
        accepted: Whether the successor has taken the shard; False if it has no record of the
            handover.
    """

    call: NonNegativeInt
    accepted: bool


@dataclass(frozen=True, slots=True)
class ReleasedRange:
    """A key range that its owner's upstream has released.

    Attributes:
        first: Lowest key.
        last: Highest key.
        epoch: Epoch that ends.
        handover: Handover token, with which the next owner's upstream starts with warm keys.
    """

    first: NonNegativeInt
    last: NonNegativeInt
    epoch: NonNegativeInt
    handover: str = ""


@dataclass(frozen=True, slots=True)
class RangesReleased:
    """Released ranges that the owner cannot record in the group; the receiver records them.

    Attributes:
        service: Service of the group.
        number: Number of the group.
        owner_id: Member id of the owner.
        ranges: The released ranges.
    """

    service: str
    number: NonNegativeInt
    owner_id: str
    ranges: tuple[ReleasedRange, ...]


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """Request to a member of a group to add the sender to the group with its next write.

    Attributes:
        call: Call number, which the reply repeats.
        service: Service of the group.
        number: Number of the group.
        member: The sender.
    """

    call: NonNegativeInt
    service: str
    number: NonNegativeInt
    member: Member


@dataclass(frozen=True, slots=True)
class JoinReply:
    """Reply to `JoinRequest`.

    Attributes:
        call: Call number of the request.
        group: The group with the sender, or None if the sender was not and will not be added.
    """

    call: NonNegativeInt
    group: VersionedGroup | None = None


@dataclass(frozen=True, slots=True)
class StatusQuery:
    """Request for the status of an agent.

    Attributes:
        call: Call number, which the reply repeats.
    """

    call: NonNegativeInt


@dataclass(frozen=True, slots=True)
class StatusReply:
    """Reply to `StatusQuery`.

    Attributes:
        call: Call number of the query.
        status: Status of the agent, an `AgentStatus` as a map.
    """

    call: NonNegativeInt
    status: dict[str, Any]


@dataclass(frozen=True, slots=True)
class StreamOpen:
    """Request that is forwarded to the owner; opens a stream for its body and the response.

    Attributes:
        stream: Number of the stream, chosen by the sender.
        request_id: Id of the request.
        service: Name of the service.
        key: Key of the request.
        method: HTTP method.
        path: Path and query below the service.
        headers: Headers of the request.
        remaining_ms: Time from sending until the deadline, in milliseconds.
        token: Idempotency token, or None.
        length: Length of the body in bytes, or None if it is unknown.
        data: First part of the body.
        end: Whether `data` is the whole body.
        caller: Service on whose VM the request originated, or empty.
        priority: Rank of the request; 0 is served first.
        repeatable: Whether the request may run more than once.
        repeated: Whether an upstream may have received the request before.
        useful_ms: Time from sending in which a response has its full value, in milliseconds, or
            None.
        route: Name of the matching route, or empty.
        has_alternatives: Whether other upstreams may serve the request.
        departed_start: Start of the receiver's upstream that is known to leave, or empty.
        sent_ms: Time of sending in milliseconds of the sender's CLOCK_BOOTTIME, or None from
            earlier versions of the agent.
        seeks_free_slot: Whether the request is left to others instead of waiting for a slot.
        inner: Whether a run on the upstream of the VM where the request originated has made it.
        returning: Whether its caller was told to come back at about this time.
    """

    stream: NonNegativeInt
    request_id: str
    service: str
    key: str
    method: str
    path: str
    headers: Headers
    remaining_ms: Annotated[int, Meta(ge=0, le=600_000)]
    token: str | None = None
    length: int | None = None
    data: bytes = b""
    end: bool = True
    caller: str = ""
    priority: NonNegativeInt = 0
    repeatable: bool = False
    repeated: bool = False
    useful_ms: NonNegativeInt | None = None
    route: str = ""
    has_alternatives: bool = False
    departed_start: str = ""
    sent_ms: NonNegativeInt | None = None
    seeks_free_slot: bool = False
    inner: bool = False
    returning: bool = False


@dataclass(frozen=True, slots=True)
class StreamHead:
    """Status and headers of the response to a forwarded request.

    Attributes:
        stream: Number of the stream.
        request_id: Id of the request.
        status: HTTP status code.
        headers: Headers of the response.
        served_by: Member id of the owner.
        epoch: Epoch of the shard when the request ran.
        length: Length of the body in bytes, or None if it is unknown.
        data: First part of the body.
        end: Whether `data` is the whole body.
        occupancy: Load of the owner's upstream, or None.
    """

    stream: NonNegativeInt
    request_id: str
    status: Annotated[int, Meta(ge=100, le=599)]
    headers: Headers
    served_by: str
    epoch: NonNegativeInt
    length: int | None = None
    data: bytes = b""
    end: bool = True
    occupancy: Occupancy | None = None


@dataclass(frozen=True, slots=True)
class StreamData:
    """Further part of the body of a forwarded request or of its response.

    Attributes:
        stream: Number of the stream.
        data: Bytes of the body.
        end: Whether this is the last part.
    """

    stream: NonNegativeInt
    data: bytes
    end: bool = False


@dataclass(frozen=True, slots=True)
class StreamCredit:
    """Flow control credit: permits the other side to send more bytes of a body.

    Attributes:
        stream: Number of the stream.
        size: Number of bytes.
    """

    stream: NonNegativeInt
    size: NonNegativeInt


@dataclass(frozen=True, slots=True)
class StreamReset:
    """Aborts a stream, in either direction; a body that it interrupts is incomplete.

    Attributes:
        stream: Number of the stream.
        reason: Reason for the log.
    """

    stream: NonNegativeInt
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StreamRefused:
    """Refusal of a forwarded request.

    Attributes:
        stream: Number of the stream.
        label: Label of the refusal's type.
        message: Text of the refusal.
        owner_id: Member id of the owner according to the refusing agent, or None.
        token: Idempotency token to send with the request, or None.
        retry_after_ms: Time in milliseconds after which a retry is useful, or None.
        occupancy: Load of the refusing agent's upstream, or None.
    """

    stream: NonNegativeInt
    label: str
    message: str
    owner_id: str | None = None
    token: str | None = None
    retry_after_ms: int | None = None
    occupancy: Occupancy | None = None


# The index of a type is its kind on the wire, so types are only appended.
@dataclass(frozen=True, slots=True)
class MessagePart:
    """Part of a long message; the parts of a message follow each other.

    Attributes:
        kind: Index of the type of the message in `PEER_MESSAGES`.
        data: Part of the compressed message.
        end: Whether this is the last part.
    """

    kind: NonNegativeInt
    data: bytes = b""
    end: bool = False


@dataclass(frozen=True, slots=True)
class PartReceived:
    """Reply to `MessagePart`.

    Attributes:
        size: Number of bytes of the part.
    """

    size: NonNegativeInt


@dataclass(frozen=True, slots=True)
class MemberEdit:
    """Edit of a group that concerns one member.

    Attributes:
        member_id: The member.
        stamp: Stamp of a renewal, above all that the member has used before; 0 for none.
        instance: Instance id of an upstream that has left, empty for none.
        started_until_ms: Time of its latest start that has left, in Unix milliseconds.
        leaves: Whether the member hands over its keys and leaves.
        removed: Whether the member has left; it has given up its lease and its id.
    """

    member_id: str
    stamp: NonNegativeInt = 0
    instance: str = ""
    started_until_ms: int = 0
    leaves: bool = False
    removed: bool = False


@dataclass(frozen=True, slots=True)
class RecordRequest:
    """Request to a member of a group to write an edit of the sender with its next write.

    Attributes:
        call: Call number, which the replies repeat.
        service: Service of the group.
        number: Number of the group.
        era: Era of the group that the sender knows.
        edit: The edit.
    """

    call: NonNegativeInt
    service: str
    number: NonNegativeInt
    era: NonNegativeInt
    edit: MemberEdit


@dataclass(frozen=True, slots=True)
class RecordAccepted:
    """First reply to `RecordRequest` or `JoinRequest`: the next write contains its change.

    Attributes:
        call: Call number of the request.
    """

    call: NonNegativeInt


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Second reply to `RecordRequest`, or the only one if the request is refused.

    Attributes:
        call: Call number of the request.
        recorded: Whether the group object has the edit.
    """

    call: NonNegativeInt
    recorded: bool


PEER_MESSAGES: tuple[type[Any], ...] = (
    Challenge,
    Hello,
    Welcome,
    Renew,
    RenewAck,
    PromiseQuery,
    Promise,
    Publish,
    Fetch,
    LoadReport,
    CrashReport,
    Release,
    Released,
    StatusQuery,
    StatusReply,
    StreamOpen,
    StreamHead,
    StreamData,
    StreamCredit,
    StreamReset,
    StreamRefused,
    PromiseRelease,
    WatchStatus,
    RangeLoad,
    RangesReleased,
    CrashNoted,
    JoinRequest,
    JoinReply,
    MessagePart,
    PartReceived,
    RecordRequest,
    RecordAccepted,
    RecordOutcome,
)
