"""Derives the problems of groups and services from group objects and agents' responses."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..messages import Group, GroupId, Member, VersionedEntry, VersionedGroup
from ..messages.status import (
    AgentStatus,
    GroupStatus,
    LeaseState,
    MemberStatus,
    MoveStatus,
    Problem,
    ProblemKind,
    ServiceStatus,
)
from .history import GroupHistories, GroupHistory

# A handover waits for the requests in flight; one that takes longer is reported as a problem.
_SLOW_MOVE_THRESHOLD_S = 5.0
# Bound on the propagation of an entry to every agent (design, invariant 8).
_MAX_PROPAGATION_S = 5.0
_MAX_LISTED_IDS = 8


@dataclass(frozen=True, slots=True)
class GroupView:
    """The state of a group as this agent could read it.

    Attributes:
        id: Id of the group.
        group: The group, or None if it does not exist or no version of it is known.
        fresh: Whether this agent watches the group or has just read it from the platform.
        error: Why the group could not be read, or empty.
    """

    id: GroupId
    group: VersionedGroup | None
    fresh: bool
    error: str


@dataclass(frozen=True, slots=True)
class AgentResponses:
    """Responses of the agents to a status query.

    Attributes:
        local_id: Member id of this agent.
        queried: Member ids of the agents that were queried, this one included.
        statuses: Status of each agent that responded, by member id.
    """

    local_id: str
    queried: frozenset[str] = frozenset()
    statuses: dict[str, AgentStatus] = field(default_factory=dict)

    def since_acknowledged_s(self, member_id: str) -> float | None:
        """Returns the seconds since any monitor last acknowledged a member, None if unknown."""
        times = [
            status.monitored_s[member_id]
            for status in self.statuses.values()
            if member_id in status.monitored_s
        ]
        return min(times, default=None)


def fleet_problems(responses: AgentResponses, unavailable_s: float | None) -> tuple[Problem, ...]:
    """Returns the problems of the platform, as reported by the agents that responded.

    Args:
        responses: Responses of the agents.
        unavailable_s: Seconds since the platform stopped responding to this agent, or None; used
            if no response reports an outage.
    """
    times = [
        status.platform_unavailable_s
        for status in responses.statuses.values()
        if status.platform_unavailable_s is not None
    ]
    if unavailable_s is not None and not times:
        times = [unavailable_s]
    if not times:
        return ()
    text = (
        f"the platform has not responded to {len(times)} of {len(responses.statuses)} agents for "
        f"{max(times):.1f} s: edits, moves and takeovers wait; live agents keep serving"
    )
    return (Problem(ProblemKind.PLATFORM_UNAVAILABLE, text, max(times)),)


def service_status(
    entry: VersionedEntry,
    views: tuple[GroupView, ...],
    responses: AgentResponses,
    histories: GroupHistories,
    now: float,
) -> ServiceStatus:
    """Returns the status of one service.

    Args:
        entry: Catalogue entry of the service.
        views: Groups of the service.
        responses: Responses of the agents.
        histories: Changes of the groups that this agent observed.
        now: Current time in seconds of CLOCK_BOOTTIME.
    """
    service = entry.entry.service
    problems: list[Problem] = []
    groups: list[GroupStatus] = []
    for view in views:
        history = histories.of(view.id)
        if view.error:
            problems.append(_group_unreadable_problem(view))
        if view.group is None:
            if not view.error:
                problems.append(_no_members_problem(view.id))
            continue
        groups.append(_group_status(view, view.group, service, responses, history, now))
        problems.extend(_group_problems(view.group.group, responses, history, now))
    # Other agents may have received a newer version than this one.
    applied_versions = [
        status.entry_versions.get(service, 0) for status in responses.statuses.values()
    ]
    version = max([entry.version, *applied_versions])
    outdated_agents = _outdated_agents(service, version, responses)
    if outdated_agents:
        problems.append(_entry_not_applied_problem(service, version, outdated_agents, responses))
    return ServiceStatus(
        service=service,
        owner=entry.entry.owner,
        request_class=entry.entry.request_class,
        weight=entry.entry.weight,
        version=version,
        agents_asked=len(responses.queried),
        agents_applying=applied_versions.count(version),
        groups=tuple(groups),
        groups_total=entry.entry.groups,
        problems=tuple(problems),
    )


def _group_status(
    view: GroupView,
    versioned_group: VersionedGroup,
    service: str,
    responses: AgentResponses,
    history: GroupHistory,
    now: float,
) -> GroupStatus:
    group = versioned_group.group
    counts: dict[str | None, int] = defaultdict(int)
    for shard in group.shards:
        counts[shard.owner] += 1
    members = tuple(
        _member_status(group.members[member_id], counts[member_id], service, responses)
        for member_id in sorted(group.members)
    )
    moves = tuple(
        MoveStatus(
            shard_id,
            shard.owner,
            shard.successor,
            _elapsed_s(history.moving_since(shard_id), now) or 0.0,
        )
        for shard_id, shard in enumerate(group.shards)
        if shard.successor is not None
    )
    return GroupStatus(
        group=str(view.id),
        version=versioned_group.version,
        fresh=view.fresh,
        members=members,
        shards=len(group.shards),
        exceptions=len(group.exceptions),
        moves=moves,
        watchers=_watchers(group, responses),
    )


def _member_status(
    member: Member, shards: int, service: str, responses: AgentResponses
) -> MemberStatus:
    agent_status = responses.statuses.get(member.id)
    status = MemberStatus(
        id=member.id,
        failure_domain=member.failure_domain,
        state=member.state.value,
        slots=member.slots,
        shards=shards,
        answered=agent_status is not None,
        lease=LeaseState.NOT_TOLD,
    )
    if agent_status is None:
        return status
    return MemberStatus(
        id=status.id,
        failure_domain=status.failure_domain,
        state=status.state,
        slots=status.slots,
        shards=status.shards,
        answered=True,
        lease=LeaseState.HELD if agent_status.lease_held else LeaseState.ENDED,
        in_flight=agent_status.in_flight,
        entry_version=agent_status.entry_versions.get(service),
        uptime_s=agent_status.uptime_s,
    )


def _group_problems(
    group: Group, responses: AgentResponses, history: GroupHistory, now: float
) -> Iterable[Problem]:
    if not group.members:
        yield _no_members_problem(group.id)
    yield from _no_owner_problems(group, history, now)
    yield from _slow_move_problems(group, history, now)
    for member in sorted(group.members.values(), key=lambda member: member.id):
        owned = sum(shard.owner == member.id for shard in group.shards)
        agent_status = responses.statuses.get(member.id)
        if agent_status is None and member.id in responses.queried:
            yield _member_silent_problem(group, member, owned, responses)
        elif agent_status is not None and not agent_status.lease_held and owned:
            text = (
                f"{member.id} ({member.failure_domain}) reports that its lease has ended: its "
                f"{owned} shards of {group.service} are refused until it is renewed or taken over"
            )
            yield Problem(ProblemKind.LEASE_ENDED, text, responses.since_acknowledged_s(member.id))
    responding_members = [member for member in group.members if member in responses.statuses]
    if responding_members and not _watchers(group, responses):
        text = (
            f"no member of {group.id} watches the platform: edits and moves may be applied late; "
            "other members take over the watch after 3 s if the platform responds"
        )
        yield Problem(ProblemKind.NO_WATCHER, text)


def _member_silent_problem(
    group: Group, member: Member, owned: int, responses: AgentResponses
) -> Problem:
    duration_s = responses.since_acknowledged_s(member.id)
    duration = f" for {duration_s:.1f} s" if duration_s is not None else ""
    text = (
        f"{member.id} ({member.failure_domain}) has not responded{duration}: its {owned} shards "
        f"of {group.service} are not served if it is lost, until its monitors take it over"
    )
    return Problem(ProblemKind.MEMBER_SILENT, text, duration_s)


def _no_owner_problems(group: Group, history: GroupHistory, now: float) -> Iterable[Problem]:
    shards_by_cause: dict[tuple[float | None, str | None], list[int]] = defaultdict(list)
    for shard_id, shard in enumerate(group.shards):
        if shard.owner is None:
            shards_by_cause[history.unowned_since(shard_id) or (None, None)].append(shard_id)
    lost_member_ids = {loss.member_id for loss in history.losses}
    for (unowned_since, previous_owner), shards in shards_by_cause.items():
        duration_s = _elapsed_s(unowned_since, now)
        subject = "shard" if len(shards) == 1 else "shards"
        verb = "has" if len(shards) == 1 else "have"
        duration = f" for {duration_s:.1f} s" if duration_s is not None else ""
        text = f"{subject} {_format_ids(shards)} of {group.service} {verb} had no owner{duration}"
        if previous_owner is not None:
            text += (
                f": agent {previous_owner} was lost"
                if previous_owner in lost_member_ids
                else f": {previous_owner} left"
            )
        elif not group.members:
            text += ": the group has no members"
        yield Problem(ProblemKind.NO_OWNER, text, duration_s)


def _slow_move_problems(group: Group, history: GroupHistory, now: float) -> Iterable[Problem]:
    moves: dict[tuple[str | None, str], list[int]] = defaultdict(list)
    oldest: dict[tuple[str | None, str], float] = defaultdict(float)
    for shard_id, shard in enumerate(group.shards):
        duration_s = _elapsed_s(history.moving_since(shard_id), now)
        if shard.successor is None or duration_s is None or duration_s < _SLOW_MOVE_THRESHOLD_S:
            continue
        move = (shard.owner, shard.successor)
        moves[move].append(shard_id)
        oldest[move] = max(oldest[move], duration_s)
    for (owner, successor), shards in moves.items():
        subject, verb = ("shard", "moves") if len(shards) == 1 else ("shards", "move")
        duration_s = oldest[owner, successor]
        text = (
            f"{subject} {_format_ids(shards)} of {group.service} {verb} from {owner} to "
            f"{successor}, started {duration_s:.1f} s ago: requests in flight, an unreachable "
            "successor or an outage of the platform delays the handover"
        )
        yield Problem(ProblemKind.MOVE_SLOW, text, duration_s)


def _group_unreadable_problem(view: GroupView) -> Problem:
    shown_version = (
        "the last known version is shown" if view.group is not None else "no version is known"
    )
    text = f"group {view.id} could not be read, {shown_version}: {view.error}"
    return Problem(ProblemKind.GROUP_UNREADABLE, text)


def _no_members_problem(group: GroupId) -> Problem:
    text = f"group {group} has no members: no upstream has announced itself for it"
    return Problem(ProblemKind.NO_MEMBERS, text)


def _outdated_agents(service: str, version: int, responses: AgentResponses) -> list[str]:
    return sorted(
        member_id
        for member_id, status in responses.statuses.items()
        if status.entry_versions.get(service, 0) < version
        and (status.entry_versions_complete or service in status.entry_versions)
    )


def _entry_not_applied_problem(
    service: str, version: int, outdated_agents: list[str], responses: AgentResponses
) -> Problem:
    text = (
        f"version {version} of {service} is not in effect on {len(outdated_agents)} of "
        f"{len(responses.statuses)} agents yet "
        f"({', '.join(outdated_agents[:_MAX_LISTED_IDS])}); it reaches every agent within "
        f"{_MAX_PROPAGATION_S:.0f} s while the platform responds"
    )
    return Problem(ProblemKind.ENTRY_NOT_APPLIED, text)


def _watchers(group: Group, responses: AgentResponses) -> tuple[str, ...]:
    return tuple(
        member_id
        for member_id in sorted(group.members)
        if member_id in responses.statuses and responses.statuses[member_id].watching
    )


def _elapsed_s(since: float | None, now: float) -> float | None:
    return round(now - since, 3) if since is not None else None


def _format_ids(shards: list[int]) -> str:
    text = ", ".join(str(shard) for shard in shards[:_MAX_LISTED_IDS])
    more = len(shards) - _MAX_LISTED_IDS
    return f"{text} and {more} more" if more > 0 else text
