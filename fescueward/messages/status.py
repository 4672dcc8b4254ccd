"""Answers of the administration API.

Times are given as seconds before the answer was made, because VMs share no clock.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from .entry import Limits, RequestClass, ServiceName, Weight


class AgentState(enum.StrEnum):
    """What an agent is doing."""

    WAITING = "waiting_for_upstream"
    JOINING = "joining"
    ACTIVE = "active"
    LEAVING = "leaving"


class LeaseState(enum.StrEnum):
    """State of a member's lease as told by the member itself."""

    HELD = "held"
    ENDED = "ended"
    NOT_TOLD = "not_told"


class ProblemKind(enum.StrEnum):
    """Stable names of what can be wrong."""

    PLATFORM_UNAVAILABLE = "platform_unavailable"
    NO_MEMBERS = "no_members"
    GROUP_UNREADABLE = "group_unreadable"
    NO_OWNER = "no_owner"
    MEMBER_SILENT = "member_silent"
    LEASE_ENDED = "lease_ended"
    MOVE_SLOW = "move_slow"
    ENTRY_NOT_APPLIED = "entry_not_applied"
    NO_WATCHER = "no_watcher"


@dataclass(frozen=True, slots=True)
class EntryDocument:
    """A catalogue entry as operators write it; see `Entry` for the fields."""

    service: ServiceName
    owner: Annotated[str, Meta(min_length=1, max_length=200)]
    request_class: RequestClass = RequestClass.REPEATABLE
    groups: Annotated[int, Meta(ge=1, le=100_000)] = 1
    shard_count: Annotated[int, Meta(ge=1, le=4096)] = 256
    limits: Limits = field(default_factory=Limits)
    weight: Weight = Weight.UNAVAILABILITY
    recovery: Annotated[int, Meta(ge=0, le=1_000_000)] = 0


@dataclass(frozen=True, slots=True)
class EntryAnswer:
    """An entry with its version.

    Attributes:
        version: Version to name in the next change.
        entry: The entry.
    """

    version: int
    entry: EntryDocument


@dataclass(frozen=True, slots=True)
class EntryList:
    """All entries.

    Attributes:
        entries: The entries by service name.
    """

    entries: tuple[EntryAnswer, ...]


@dataclass(frozen=True, slots=True)
class DeletedAnswer:
    """An accepted deletion.

    Attributes:
        service: Name of the service.
        version: Version of the tombstone.
    """

    service: str
    version: int


@dataclass(frozen=True, slots=True)
class ErrorDetail:
    """A failure.

    Attributes:
        code: Number of the error type.
        label: Stable name of the error type.
        message: What was wrong and what is allowed.
        version: Present version of the entry, for a conflict.
        entry: Present entry, for a conflict; None if there is none.
    """

    code: int
    label: str
    message: str
    version: int | None = None
    entry: EntryDocument | None = None


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """Body of every failure.

    Attributes:
        error: The failure.
    """

    error: ErrorDetail


@dataclass(frozen=True, slots=True)
class OriginStatus:
    """How a shard got its present owner.

    Attributes:
        before: Owner before, or None.
        taken_over: Whether that owner was lost; otherwise it handed the shard over.
        since_s: Seconds since the change was seen.
    """

    before: str | None
    taken_over: bool
    since_s: float


@dataclass(frozen=True, slots=True)
class AgentStatus:
    """What one agent says of itself.

    Attributes:
        member_id: `NAME:INCARNATION`.
        failure_domain: Failure domain of its VM.
        group: `SERVICE/NUMBER`, empty before its upstream has announced itself.
        state: What it is doing.
        uptime_s: Seconds since its start.
        lease_held: Whether it may serve its shards.
        lease_remaining_s: Seconds until its lease ends if it is not renewed.
        monitors: Members that renew its lease.
        monitored_s: Seconds since it last acknowledged a renewal, by monitored member.
        shards: Epoch of each active shard by shard id.
        origins: How a shard got its present owner, by shard id, where this agent saw the change.
        in_flight: Requests that run or wait on its upstream.
        platform_unavailable_s: Seconds since the platform stopped answering it, or None.
        watching: Whether it watches the platform for its group.
        group_version: Version of its group that it applies.
        entry_versions: Version of each entry that it applies, by service.
        entry_versions_complete: Whether that is all of them; in a large catalogue only the one of
            its own service is told.
    """

    member_id: str
    failure_domain: str
    group: str
    state: AgentState
    uptime_s: float
    lease_held: bool
    lease_remaining_s: float
    monitors: tuple[str, ...] = ()
    monitored_s: dict[str, float] = field(default_factory=dict)
    shards: dict[int, int] = field(default_factory=dict)
    origins: dict[int, OriginStatus] = field(default_factory=dict)
    in_flight: int = 0
    platform_unavailable_s: float | None = None
    watching: bool = False
    group_version: int = 0
    entry_versions: dict[str, int] = field(default_factory=dict)
    entry_versions_complete: bool = True


@dataclass(frozen=True, slots=True)
class Problem:
    """Something that is wrong.

    Attributes:
        kind: Stable name.
        text: What is wrong, since when, and what happens next, in words.
        since_s: Seconds since it began or was first seen, or None if that is not known.
    """

    kind: ProblemKind
    text: str
    since_s: float | None = None


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """One member of a group.

    Attributes:
        id: Member id.
        failure_domain: Failure domain of its VM.
        state: `active` or `leaving`, from the group object.
        slots: Requests that its upstream runs at a time.
        shards: Number of shards it owns by the group object.
        answered: Whether its agent answered the query for this status.
        lease: State of its lease as told by itself.
        in_flight: Requests on its upstream, or None if it did not answer.
        entry_version: Version of the service's entry that it applies, or None.
        uptime_s: Seconds since its agent started, or None.
    """

    id: str
    failure_domain: str
    state: str
    slots: int
    shards: int
    answered: bool
    lease: LeaseState
    in_flight: int | None = None
    entry_version: int | None = None
    uptime_s: float | None = None


@dataclass(frozen=True, slots=True)
class MoveStatus:
    """One shard that is being handed over.

    Attributes:
        shard: Shard id.
        from_id: Present owner.
        to_id: Successor.
        since_s: Seconds since this agent first saw the move.
    """

    shard: int
    from_id: str | None
    to_id: str
    since_s: float


@dataclass(frozen=True, slots=True)
class GroupStatus:
    """One group of a service.

    Attributes:
        group: `SERVICE/NUMBER`.
        version: Version of the group object.
        fresh: Whether it is kept up to date here or was read from the platform just now.
        members: Its members by id.
        shards: Number of shards, those of single keys included.
        exceptions: Number of keys that are placed singly.
        moves: Shards that are being handed over.
        watchers: Members that watch the platform for this group.
    """

    group: str
    version: int
    fresh: bool
    members: tuple[MemberStatus, ...]
    shards: int
    exceptions: int
    moves: tuple[MoveStatus, ...]
    watchers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """One service.

    Attributes:
        service: Its name.
        owner: Team that answers for it.
        request_class: Whether requests may run more than once.
        weight: Measure that placement weighs most.
        version: Accepted version of its entry.
        agents_asked: Agents that were asked which version they apply.
        agents_applying: How many of them apply the accepted version.
        groups: Its groups; only the first ones if `groups_total` is larger.
        groups_total: Number of its groups.
        problems: What is wrong with it.
    """

    service: str
    owner: str
    request_class: RequestClass
    weight: Weight
    version: int
    agents_asked: int
    agents_applying: int
    groups: tuple[GroupStatus, ...]
    groups_total: int
    problems: tuple[Problem, ...]


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """Answer to a status query.

    Attributes:
        told_by: Member id of the agent that made the answer.
        platform_unavailable_s: Seconds since the platform stopped answering that agent, or None.
        agents_asked: Agents that were asked, this one included.
        agents_answered: Agents that answered.
        services: The services.
        problems: What is wrong with the platform and with all services.
    """

    told_by: str
    platform_unavailable_s: float | None
    agents_asked: int
    agents_answered: int
    services: tuple[ServiceStatus, ...]
    problems: tuple[Problem, ...]


class Reason(enum.StrEnum):
    """Why a key is where it is, or what happens to its shard."""

    PLACED = "placed"
    EXCEPTION = "exception"
    MOVING = "moving"
    HOLD = "hold"
    TAKEN_OVER = "taken_over"
    HANDED_OVER = "handed_over"
    NO_OWNER = "no_owner"


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where a key is and why.

    Attributes:
        service: Name of the service.
        key: The key.
        group: `SERVICE/NUMBER`.
        shard: Shard id.
        owner: Member id of the owner, or None.
        failure_domain: Failure domain of the owner, or None.
        epoch: Epoch of the shard.
        successor: Member id that the shard is being handed over to, or None.
        reasons: Why, by stable names.
        text: Why, in words.
        served: Whether a request to the key would be served now.
        refusal: Label of the refusal that it would get, or None.
        told_by: Member id of the agent that made the answer.
    """

    service: str
    key: str
    group: str
    shard: int
    owner: str | None
    failure_domain: str | None
    epoch: int
    successor: str | None
    reasons: tuple[Reason, ...]
    text: str
    served: bool
    refusal: str | None
    told_by: str
