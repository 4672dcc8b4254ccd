"""What is wrong with groups and services, in words; decided from group objects and answers."""

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

# A handover waits for the requests in flight; one that takes longer deserves a look.
_SLOW_MOVE_S = 5.0
# Entries reach every agent within this time (design, invariant 8).
_APPLY_S = 5.0
_SHOWN_SHARDS = 8


@dataclass(frozen=True, slots=True)
class GroupView:
    """A group as far as this agent knows it.

    Attributes:
        id: Which group.
        group: The group, or None if it does not exist or was never seen.
        fresh: Whether it is kept up to date here or was read just now.
        error: Why it could not be read, or empty.
    """

    id: GroupId
    group: VersionedGroup | None
    fresh: bool
    error: str


@dataclass(frozen=True, slots=True)
class Answers:
    """What the agents that were asked told.

    Attributes:
        me: Member id of this agent.
        asked: Member ids of the agents that were asked, this one included.
        told: Answers by member id.
    """

    own_member: str
    asked: frozenset[str] = frozenset()
    told: dict[str, AgentStatus] = field(default_factory=dict)

    def silent_since_s(self, member_id: str) -> float | None:
        """Returns the least time since a monitor acknowledged a renewal of a member."""
        times = [
            status.monitored_s[member_id]
            for status in self.told.values()
            if member_id in status.monitored_s
        ]
        return min(times, default=None)


def fleet_problems(answers: Answers, unavailable_s: float | None) -> tuple[Problem, ...]:
    """Returns what is wrong with the platform, as told by all agents that answered."""
    times = [
        status.platform_unavailable_s
        for status in answers.told.values()
        if status.platform_unavailable_s is not None
    ]
    if unavailable_s is not None and not times:
        times = [unavailable_s]
    if not times:
        return ()
    text = (
        f"the platform does not answer {len(times)} of {len(answers.told)} agents since "
        f"{max(times):.1f} s: edits, moves and takeovers wait; live agents keep serving"
    )
    return (Problem(ProblemKind.PLATFORM_UNAVAILABLE, text, max(times)),)


def service_status(
    entry: VersionedEntry,
    views: tuple[GroupView, ...],
    answers: Answers,
    histories: GroupHistories,
    now: float,
) -> ServiceStatus:
    """Returns the status of one service.

    Args:
        entry: Its entry at the accepted version.
        views: Its groups as far as they were read.
        answers: Answers of the agents.
        histories: What this agent has seen happen.
        now: Present time in seconds of CLOCK_BOOTTIME.
    """
    service = entry.entry.service
    problems: list[Problem] = []
    groups: list[GroupStatus] = []
    for view in views:
        history = histories.of(view.id)
        if view.error:
            problems.append(_unreadable(view))
        if view.group is None:
            if not view.error:
                problems.append(_no_members(view.id))
            continue
        groups.append(_group_status(view, view.group, service, answers, history, now))
        problems.extend(_group_problems(view.group.group, answers, history, now))
    # Others may have heard of a newer version than this agent.
    told = [status.entry_versions.get(service, 0) for status in answers.told.values()]
    version = max([entry.version, *told])
    behind = _behind(service, version, answers)
    if behind:
        problems.append(_not_applied(service, version, behind, answers))
    return ServiceStatus(
        service=service,
        owner=entry.entry.owner,
        request_class=entry.entry.request_class,
        weight=entry.entry.weight,
        version=version,
        agents_asked=len(answers.asked),
        agents_applying=told.count(version),
        groups=tuple(groups),
        groups_total=entry.entry.groups,
        problems=tuple(problems),
    )


def _group_status(
    view: GroupView,
    held: VersionedGroup,
    service: str,
    answers: Answers,
    history: GroupHistory,
    now: float,
) -> GroupStatus:
    group = held.group
    counts: dict[str | None, int] = defaultdict(int)
    for shard in group.shards:
        counts[shard.owner] += 1
    members = tuple(
        _member_status(group.members[member_id], counts[member_id], service, answers)
        for member_id in sorted(group.members)
    )
    moves = tuple(
        MoveStatus(
            shard_id,
            shard.owner,
            shard.successor,
            _age(history.moving_since(shard_id), now) or 0.0,
        )
        for shard_id, shard in enumerate(group.shards)
        if shard.successor is not None
    )
    return GroupStatus(
        group=str(view.id),
        version=held.version,
        fresh=view.fresh,
        members=members,
        shards=len(group.shards),
        exceptions=len(group.exceptions),
        moves=moves,
        watchers=_watchers(group, answers),
    )


def _member_status(member: Member, shards: int, service: str, answers: Answers) -> MemberStatus:
    told = answers.told.get(member.id)
    status = MemberStatus(
        id=member.id,
        failure_domain=member.failure_domain,
        state=member.state.value,
        slots=member.slots,
        shards=shards,
        answered=told is not None,
        lease=LeaseState.NOT_TOLD,
    )
    if told is None:
        return status
    return MemberStatus(
        id=status.id,
        failure_domain=status.failure_domain,
        state=status.state,
        slots=status.slots,
        shards=status.shards,
        answered=True,
        lease=LeaseState.HELD if told.lease_held else LeaseState.ENDED,
        in_flight=told.in_flight,
        entry_version=told.entry_versions.get(service),
        uptime_s=told.uptime_s,
    )


def _group_problems(
    group: Group, answers: Answers, history: GroupHistory, now: float
) -> Iterable[Problem]:
    if not group.members:
        yield _no_members(group.id)
    yield from _unowned(group, history, now)
    yield from _slow_moves(group, history, now)
    for member in sorted(group.members.values(), key=lambda member: member.id):
        owned = sum(shard.owner == member.id for shard in group.shards)
        told = answers.told.get(member.id)
        if told is None and member.id in answers.asked:
            yield _silent(group, member, owned, answers)
        elif told is not None and not told.lease_held and owned:
            text = (
                f"{member.id} ({member.failure_domain}) says that its lease has ended: its "
                f"{owned} shards of {group.service} are refused until it is renewed or taken over"
            )
            yield Problem(ProblemKind.LEASE_ENDED, text, answers.silent_since_s(member.id))
    told_members = [member for member in group.members if member in answers.told]
    if told_members and not _watchers(group, answers):
        text = (
            f"no member of {group.id} watches the platform: edits and moves may arrive late; "
            "the next members take over after 3 s if the platform answers"
        )
        yield Problem(ProblemKind.NO_WATCHER, text)


def _silent(group: Group, member: Member, owned: int, answers: Answers) -> Problem:
    since_s = answers.silent_since_s(member.id)
    when = f" since {since_s:.1f} s" if since_s is not None else ""
    text = (
        f"{member.id} ({member.failure_domain}) does not answer{when}: its {owned} shards of "
        f"{group.service} are not served if it is lost, until its monitors take it over"
    )
    return Problem(ProblemKind.MEMBER_SILENT, text, since_s)


def _unowned(group: Group, history: GroupHistory, now: float) -> Iterable[Problem]:
    causes: dict[tuple[float | None, str | None], list[int]] = defaultdict(list)
    for shard_id, shard in enumerate(group.shards):
        if shard.owner is None:
            causes[history.unowned_since(shard_id) or (None, None)].append(shard_id)
    losses = {loss.member_id for loss in history.losses}
    for (since, before), shards in causes.items():
        since_s = _age(since, now)
        subject = "shard" if len(shards) == 1 else "shards"
        verb = "has" if len(shards) == 1 else "have"
        when = f" since {since_s:.1f} s" if since_s is not None else ""
        text = f"{subject} {_listed(shards)} of {group.service} {verb} no owner{when}"
        if before is not None:
            text += f": agent {before} was lost" if before in losses else f": {before} left"
        elif not group.members:
            text += ": the group has no members"
        yield Problem(ProblemKind.NO_OWNER, text, since_s)


def _slow_moves(group: Group, history: GroupHistory, now: float) -> Iterable[Problem]:
    moves: dict[tuple[str | None, str], list[int]] = defaultdict(list)
    oldest: dict[tuple[str | None, str], float] = defaultdict(float)
    for shard_id, shard in enumerate(group.shards):
        since_s = _age(history.moving_since(shard_id), now)
        if shard.successor is None or since_s is None or since_s < _SLOW_MOVE_S:
            continue
        move = (shard.owner, shard.successor)
        moves[move].append(shard_id)
        oldest[move] = max(oldest[move], since_s)
    for (owner, successor), shards in moves.items():
        subject, verb = ("shard", "moves") if len(shards) == 1 else ("shards", "move")
        since_s = oldest[owner, successor]
        text = (
            f"{subject} {_listed(shards)} of {group.service} {verb} from {owner} to {successor} "
            f"since {since_s:.1f} s: requests in flight, an unreachable successor or an outage of "
            "the platform holds it"
        )
        yield Problem(ProblemKind.MOVE_SLOW, text, since_s)


def _unreadable(view: GroupView) -> Problem:
    shown = "the last version seen is shown" if view.group is not None else "nothing is known"
    text = f"group {view.id} could not be read, {shown}: {view.error}"
    return Problem(ProblemKind.GROUP_UNREADABLE, text)


def _no_members(group: GroupId) -> Problem:
    text = f"group {group} has no members: no upstream has announced itself for it"
    return Problem(ProblemKind.NO_MEMBERS, text)


def _behind(service: str, version: int, answers: Answers) -> list[str]:
    return sorted(
        member_id
        for member_id, status in answers.told.items()
        if status.entry_versions.get(service, 0) < version
        and (status.entry_versions_complete or service in status.entry_versions)
    )


def _not_applied(service: str, version: int, behind: list[str], answers: Answers) -> Problem:
    text = (
        f"version {version} of {service} is not in effect on {len(behind)} of "
        f"{len(answers.told)} agents yet ({', '.join(behind[:_SHOWN_SHARDS])}); it reaches every "
        f"agent within {_APPLY_S:.0f} s while the platform answers"
    )
    return Problem(ProblemKind.ENTRY_NOT_APPLIED, text)


def _watchers(group: Group, answers: Answers) -> tuple[str, ...]:
    return tuple(
        member_id
        for member_id in sorted(group.members)
        if member_id in answers.told and answers.told[member_id].watching
    )


def _age(since: float | None, now: float) -> float | None:
    return round(now - since, 3) if since is not None else None


def _listed(shards: list[int]) -> str:
    text = ", ".join(str(shard) for shard in shards[:_SHOWN_SHARDS])
    more = len(shards) - _SHOWN_SHARDS
    return f"{text} and {more} more" if more > 0 else text
