"""Responses of the administration API.

Times are given in seconds before the response was made, because VMs share no clock.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from .entry import Limits, RequestClass, ServiceName, Weight


class AgentState(enum.StrEnum):
    """Stage of an agent's membership in its group."""

    WAITING = "waiting_for_upstream"
    JOINING = "joining"
    ACTIVE = "active"
    LEAVING = "leaving"


class LeaseState(enum.StrEnum):
    """State of a member's lease as reported by the member itself."""

    HELD = "held"
    ENDED = "ended"
    NOT_TOLD = "not_told"


class ProblemKind(enum.StrEnum):
    """Stable names of the kinds of problems."""

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
    """Catalogue entry as written by operators; see `Entry` for the fields."""

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
        version: Version of the entry, which the next change must name.
        entry: The entry.
    """

    version: int
    entry: EntryDocument


@dataclass(frozen=True, slots=True)
class EntryList:
    """All catalogue entries.

    Attributes:
        entries: Entries in the order of service names.
    """

    entries: tuple[EntryAnswer, ...]


@dataclass(frozen=True, slots=True)
class DeletedAnswer:
    """Response to an accepted deletion of an entry.

    Attributes:
        service: Name of the service.
        version: Version of the tombstone.
    """

    service: str
    version: int


@dataclass(frozen=True, slots=True)
class ErrorDetail:
    """Description of an error.

    Attributes:
        code: Number of the error type.
        label: Stable name of the error type.
        message: What is wrong and what is allowed.
        version: Current version of the entry after a conflict, otherwise None.
        entry: Current entry after a conflict; None if there is none.
    """

    code: int
    label: str
    message: str
    version: int | None = None
    entry: EntryDocument | None = None


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """Body of every error response.

    Attributes:
        error: The error.
    """

    error: ErrorDetail


@dataclass(frozen=True, slots=True)
class OriginStatus:
    """Last change of a shard's owner.

    Attributes:
        before: Member id of the previous owner, or None.
        taken_over: Whether the previous owner was lost; otherwise it handed the shard over.
        since_s: Seconds since this agent received the change.
    """

    before: str | None
    taken_over: bool
    since_s: float


@dataclass(frozen=True, slots=True)
class AgentStatus:
    """Status of one agent, reported by itself.

    Attributes:
        member_id: Member id, `NAME:INCARNATION`.
        failure_domain: Failure domain of its VM.
        group: `SERVICE/NUMBER`, empty before the first announcement of its upstream.
        state: Stage of its membership.
        uptime_s: Seconds since its start.
        lease_held: Whether it holds its lease and so may serve its shards.
        lease_remaining_s: Seconds until its lease ends if it is not renewed.
        monitors: Ids of the members that acknowledge its renewals.
        monitored_s: Seconds since it last acknowledged a renewal, by monitored member.
        shards: Epoch of each active shard by shard id.
        origins: Last change of owner by shard id, for changes that this agent has received.
        in_flight: Requests that run on its upstream or wait for a slot.
        platform_unavailable_s: Seconds since the platform stopped answering this agent, or None.
        watching: Whether it watches the platform for its group.
        group_version: Version of its group that it applies.
        entry_versions: Version of each entry that it applies, by service.
        entry_versions_complete: Whether `entry_versions` covers all entries; in a large catalogue
            it contains only the entry of the agent's own service.
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
    """A problem of the platform, a service, a group or a member.

    Attributes:
        kind: Stable name of the kind of problem.
        text: Description: what is wrong, since when, and what happens next.
        since_s: Seconds since the problem began or was detected, or None if unknown.
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
        slots: Requests that its upstream runs concurrently.
        shards: Number of shards that it owns, from the group object.
        answered: Whether its agent answered the status query.
        lease: State of its lease as reported by itself.
        in_flight: Requests that run or wait on its upstream, or None if it did not answer.
        entry_version: Version of the service's entry that it applies, or None if unknown.
        uptime_s: Seconds since its agent started, or None if unknown.
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
        from_id: Member id of the current owner, or None.
        to_id: Member id of the successor.
        since_s: Seconds since this agent received the first group version with the move.
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
        fresh: Whether this agent receives updates of the group or has just read it from the
            platform.
        members: Members of the group in the order of their ids.
        shards: Number of shards, including shards of single keys.
        exceptions: Number of keys with a shard of their own.
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
    """Status of one service.

    Attributes:
        service: Name of the service.
        owner: Team that is responsible for the service.
        request_class: Whether requests may run more than once.
        weight: Measure that placement weighs most.
        version: Accepted version of its entry.
        agents_asked: Number of agents queried for the version that they apply.
        agents_applying: Number of queried agents that apply the accepted version.
        groups: Groups of the service; only the first ones if `groups_total` is larger.
        groups_total: Number of its groups.
        problems: Problems of the service.
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
    """Status of one service or of all services.

    Attributes:
        told_by: Member id of the agent that made this status.
        platform_unavailable_s: Seconds since the platform stopped answering that agent, or None.
        agents_asked: Number of queried agents, including that agent.
        agents_answered: Number of agents that answered.
        services: Status of each service.
        problems: Problems of the platform and of all services.
    """

    told_by: str
    platform_unavailable_s: float | None
    agents_asked: int
    agents_answered: int
    services: tuple[ServiceStatus, ...]
    problems: tuple[Problem, ...]


class Reason(enum.StrEnum):
    """Stable names of reasons for the placement of a key or for the state of its shard."""

    PLACED = "placed"
    EXCEPTION = "exception"
    MOVING = "moving"
    HOLD = "hold"
    TAKEN_OVER = "taken_over"
    HANDED_OVER = "handed_over"
    NO_OWNER = "no_owner"


@dataclass(frozen=True, slots=True)
class Explanation:
    """Owner of a key, with the reasons for its placement.

    Attributes:
        service: Name of the service.
        key: The key.
        group: `SERVICE/NUMBER`.
        shard: Shard id.
        owner: Member id of the owner, or None.
        failure_domain: Failure domain of the owner, or None.
        epoch: Epoch of the shard.
        successor: Member id that the shard is being handed over to, or None.
        reasons: Stable names of the reasons.
        text: Description of the reasons.
        served: Whether a request to the key would be served now.
        refusal: Label of the error that such a request would be refused with, or None.
        told_by: Member id of the agent that made this explanation.
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
