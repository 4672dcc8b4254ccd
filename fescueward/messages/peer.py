"""Messages between agents."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Any

import xxhash
from msgspec import Meta

from .configuration import VersionedConfiguration
from .delta import ConfigurationDelta, GroupDelta
from .entry import VersionedEntry
from .group import Member, VersionedGroup
from .request import Headers, Occupancy

PROTOCOL_VERSION = 3

Count = Annotated[int, Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class Challenge:
    """First message of an accepting agent.

    Attributes:
        nonce: Random bytes that the dialling agent signs.
    """

    nonce: Annotated[bytes, Meta(min_length=16, max_length=64)]


@dataclass(frozen=True, slots=True)
class Hello:
    """Answer to `Challenge`: who dials.

    Attributes:
        name: Name of the agent or routing client.
        incarnation: Its incarnation.
        protocol: Version of this protocol.
        mac: HMAC-SHA256 over nonce, name, incarnation and protocol, with the peer secret.
        wanted: Member id that is dialled; empty for an address whose agent is not known.
    """

    name: Annotated[str, Meta(min_length=1, max_length=200)]
    incarnation: Count
    protocol: int
    mac: bytes
    wanted: str = ""


@dataclass(frozen=True, slots=True)
class Welcome:
    """The acceptor agrees to the handshake.

    Attributes:
        name: Name of the accepting agent.
        incarnation: Its incarnation.
    """

    name: str
    incarnation: Count


def version_digest(versions: dict[str, int]) -> int:
    """Returns a hash of versions by name, the same for the same content."""
    text = ",".join(f"{name}={version}" for name, version in sorted(versions.items()))
    # 53 bits, so that it stays exact in JSON readers that use floating point.
    return xxhash.xxh64_intdigest(text.encode()) >> 11


@dataclass(frozen=True, slots=True)
class Versions:
    """What an agent knows, so that whoever is behind can fetch.

    Attributes:
        group: Version of the group object that both sides belong to.
        entries: Digest of all entry versions.
    """

    group: Count = 0
    entries: Count = 0


@dataclass(frozen=True, slots=True)
class Renew:
    """Heartbeat of a member to one of its monitors.

    Attributes:
        member_id: The member whose lease is renewed.
        sequence: Number of the renewal; the member remembers when it sent it.
        versions: What the member knows.
    """

    member_id: str
    sequence: Count
    versions: Versions = field(default_factory=Versions)


@dataclass(frozen=True, slots=True)
class RenewAck:
    """Acknowledgement of a renewal by a monitor.

    Attributes:
        monitor_id: The monitor.
        member_id: The member whose lease is extended.
        sequence: The renewal's number.
        granted: Whether the renewal counts.
        versions: What the monitor knows.
    """

    monitor_id: str
    member_id: str
    sequence: Count
    granted: bool
    versions: Versions = field(default_factory=Versions)


@dataclass(frozen=True, slots=True)
class PromiseQuery:
    """A monitor asks the other monitor of a member for its promise before a takeover.

    Attributes:
        call: Number that the reply repeats.
        service: Service of the group.
        number: Number of the group.
        member_id: The silent member.
        version: Version of the group object that the takeover is conditional on.
    """

    call: Count
    service: str
    number: Count
    member_id: str
    version: Count


@dataclass(frozen=True, slots=True)
class Promise:
    """Reply to `PromiseQuery`.

    Attributes:
        call: The query's number.
        member_id: The silent member.
        version: The query's version.
        granted: Whether the promise is given.
    """

    call: Count
    member_id: str
    version: Count
    granted: bool


@dataclass(frozen=True, slots=True)
class PromiseRelease:
    """Withdraws a `PromiseQuery`: no takeover write was or will be made under it.

    Attributes:
        call: The query's number.
        member_id: The member that was to be taken over.
    """

    call: Count
    member_id: str


@dataclass(frozen=True, slots=True)
class WatchStatus:
    """A watcher of the group tells whether its watch of the platform works.

    Attributes:
        member_id: The watcher.
        healthy: Whether its last watch call was answered.
        versions: What it knows.
    """

    member_id: str
    healthy: bool
    versions: Versions = Versions()


@dataclass(frozen=True, slots=True)
class Publish:
    """Newer versions of objects.

    Attributes:
        groups: Group objects.
        entries: Catalogue entries.
        configuration: The operator's configuration, or None.
        deltas: Changes of groups; whoever has another version asks for the whole group.
        configuration_delta: Change of the configuration, or None; whoever has another version asks
            for the whole.
    """

    groups: tuple[VersionedGroup, ...] = ()
    entries: tuple[VersionedEntry, ...] = ()
    configuration: VersionedConfiguration | None = None
    deltas: tuple[GroupDelta, ...] = ()
    configuration_delta: ConfigurationDelta | None = None


@dataclass(frozen=True, slots=True)
class Fetch:
    """Asks for objects newer than what the sender has; the answer is a `Publish`.

    Attributes:
        service: Service of the group that is wanted, or empty.
        number: Number of that group.
        group_version: Version that the sender has.
        entries: Versions of the entries that the sender has, by service, or None.
        objects: Versions of all objects that the sender has, by platform key, or None.
    """

    service: str = ""
    number: Count = 0
    group_version: Count = 0
    entries: dict[str, int] | None = None
    objects: dict[str, int] | None = None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Measured work of a member, sent to the planner.

    Work is in microseconds of upstream time per second: whole numbers take 2 to 5 bytes in
    msgpack, and a float takes 9.

    Attributes:
        member_id: The member.
        work: Work by shard id, only of shards that have any.
        hot_keys: Work of the hottest keys.
        applied_entries: Digest of the entry versions that the member applies.
        capacity: Share of its slots that it can use now, 1.0 when warm.
    """

    member_id: str
    work: dict[Count, Count]
    hot_keys: dict[str, Count] = field(default_factory=dict)
    applied_entries: Count = 0
    capacity: Annotated[float, Meta(ge=0.0, le=1.0)] = 1.0


@dataclass(frozen=True, slots=True)
class RangeLoad:
    """Measured work of a member that owns key ranges, sent to the planner.

    Attributes:
        member_id: The member.
        utilisation: Mean share of its slots in use, waiting requests included.
        work: Mean slots in use by key block, only of blocks that have any.
    """

    member_id: str
    utilisation: Annotated[float, Meta(ge=0.0)]
    work: dict[Count, Annotated[float, Meta(ge=0.0)]]


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Requests that were in flight when an upstream crashed.

    Attributes:
        member_id: Member whose upstream crashed; the sender may pass on what it was told.
        fingerprints: Fingerprints of the requests in flight.
        quarantined: Fingerprints that are refused from now on.
        cleared: Fingerprints of former suspects that have run to the end.
        crash: Number of the crash at that member.
        number: Number of the report, for its confirmation.
    """

    member_id: str
    fingerprints: tuple[int, ...] = ()
    quarantined: tuple[int, ...] = ()
    cleared: tuple[int, ...] = ()
    crash: Count = 0
    number: Count = 0


@dataclass(frozen=True, slots=True)
class CrashNoted:
    """Confirms a `CrashReport`.

    Attributes:
        number: Number of the report.
    """

    number: Count


@dataclass(frozen=True, slots=True)
class RetainedOutcome:
    """The outcome of one token.

    Attributes:
        token: The token.
        state: `done`, `lost` (may have run) or `too_large` (ran, response not kept).
        status: HTTP status of the response.
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
    """The owner has stopped serving a shard and hands it to its successor.

    Attributes:
        call: Number that the reply repeats.
        service: Service of the group.
        number: Number of the group.
        shard: The shard id.
        epoch: Epoch that ends.
        from_id: Member id of the old owner.
        to_id: Member id of the successor.
        lineage: Epochs whose outcomes are complete in `outcomes`.
        next_sequence: First token sequence that the successor may issue.
        floor: Lowest token sequence whose outcome is retained.
        outcomes: Outcomes of the shard's tokens.
    """

    call: Count
    service: str
    number: Count
    shard: Count
    epoch: Count
    from_id: str
    to_id: str
    lineage: tuple[int, ...] = ()
    next_sequence: Count = 0
    floor: Count = 0
    outcomes: tuple[RetainedOutcome, ...] = ()


@dataclass(frozen=True, slots=True)
class Released:
    """Reply to `Release`: the successor has taken the shard.

    Attributes:
        call: The release's number.
        accepted: False if the successor does not know of the handover.
    """

    call: Count
    accepted: bool


@dataclass(frozen=True, slots=True)
class ReleasedRange:
    """A key range that its owner's upstream has given back.

    Attributes:
        first: Lowest key.
        last: Highest key.
        epoch: Epoch that ends.
        handover: Token with which the keys arrive warm.
    """

    first: Count
    last: Count
    epoch: Count
    handover: str = ""


@dataclass(frozen=True, slots=True)
class RangesReleased:
    """The owner has released ranges and cannot record it; the receiver does that in its place.

    Attributes:
        service: Service of the group.
        number: Number of the group.
        owner_id: Member id of the owner.
        ranges: The released ranges.
    """

    service: str
    number: Count
    owner_id: str
    ranges: tuple[ReleasedRange, ...]


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """Asks a member of a group to record the sender as a member with its next write.

    Attributes:
        call: Number that the reply repeats.
        service: Service of the group.
        number: Number of the group.
        member: The sender.
    """

    call: Count
    service: str
    number: Count
    member: Member


@dataclass(frozen=True, slots=True)
class JoinReply:
    """Reply to `JoinRequest`.

    Attributes:
        call: The request's number.
        group: The group with the sender, or None if it was not and will not be recorded.
    """

    call: Count
    group: VersionedGroup | None = None


@dataclass(frozen=True, slots=True)
class StatusQuery:
    """Asks an agent for its own status.

    Attributes:
        call: Number that the reply repeats.
    """

    call: Count


@dataclass(frozen=True, slots=True)
class StatusReply:
    """Reply to `StatusQuery`.

    Attributes:
        call: The query's number.
        status: The agent's status as in the administration API.
    """

    call: Count
    status: dict[str, Any]


@dataclass(frozen=True, slots=True)
class StreamOpen:
    """Forwards a request to the owner.

    Attributes:
        stream: Number of the stream, chosen by the sender.
        request_id: Id of the request.
        service: Service.
        key: Key.
        method: HTTP method.
        path: Path and query.
        headers: Headers.
        remaining_ms: Time left until the deadline when this was sent.
        token: Idempotency token, or None.
        length: Length of the body if it is known.
        data: First part of the body.
        end: Whether `data` is the whole body.
        caller: Service beside which the request began.
        priority: Rank of the request.
        repeatable: Whether it may run more than once.
        repeated: Whether an upstream may have seen it before.
        useful_ms: Time left in which an answer has its full value, or None.
        route: Name of the route that it matched.
    """

    stream: Count
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
    priority: Count = 0
    repeatable: bool = False
    repeated: bool = False
    useful_ms: Count | None = None
    route: str = ""


@dataclass(frozen=True, slots=True)
class StreamHead:
    """Status and headers of the response to a forwarded request.

    Attributes:
        stream: The stream.
        request_id: Id of the request it answers.
        status: HTTP status.
        headers: Headers.
        served_by: Member id of the owner.
        epoch: Epoch it ran under.
        length: Length of the body if it is known.
        data: First part of the body.
        end: Whether `data` is the whole body.
        occupancy: Load of the owner's upstream, or None.
    """

    stream: Count
    request_id: str
    status: Annotated[int, Meta(ge=100, le=599)]
    headers: Headers
    served_by: str
    epoch: Count
    length: int | None = None
    data: bytes = b""
    end: bool = True
    occupancy: Occupancy | None = None


@dataclass(frozen=True, slots=True)
class StreamData:
    """A further part of a body.

    Attributes:
        stream: The stream.
        data: The bytes.
        end: Whether the body ends here.
    """

    stream: Count
    data: bytes
    end: bool = False


@dataclass(frozen=True, slots=True)
class StreamCredit:
    """Permits the other side to send more bytes of a body.

    Attributes:
        stream: The stream.
        size: Number of bytes.
    """

    stream: Count
    size: Count


@dataclass(frozen=True, slots=True)
class StreamReset:
    """Ends a stream early, in either direction; a body cut by it is not whole.

    Attributes:
        stream: The stream.
        reason: Why, for the log.
    """

    stream: Count
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StreamRefused:
    """The owner refuses a forwarded request.

    Attributes:
        stream: The stream.
        label: Label of the refusal's type.
        message: Its text.
        owner_id: Owner as far as the refusing agent knows, or None.
        token: Token to send with the request, or None.
        retry_after_ms: When a retry is useful, or None.
        occupancy: Load of the refusing agent's upstream, or None.
    """

    stream: Count
    label: str
    message: str
    owner_id: str | None = None
    token: str | None = None
    retry_after_ms: int | None = None
    occupancy: Occupancy | None = None


# The position is the kind on the wire: append only.
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
)
