"""Placement of numeric key ranges: first assignment, losses, departures and hot blocks."""

from __future__ import annotations

from dataclasses import replace

from ...interfaces import Groups, Lease, Membership, Routes
from ...interfaces.placement import BlockReports
from ...kernel import Clock, Event, Kernel, Level, Registry
from ...kernel.errors import PlatformError
from ...messages import Group, Member, MemberState, VersionedGroup
from ...messages.group import KeyRange
from ...messages.peer import RangeLoad
from . import moves
from .moves import BLOCK_KEYS

_MOVED = Event(2830, "ranges_moving", Level.INFO, "Key ranges get another owner.")
_PLAN_FAILED = Event(2831, "range_plan_failed", Level.WARNING, "A round of placement failed.")

_ROUND_S = 0.4
# The first keys are given out once the members have not changed for this long, in seconds.
_SETTLED_S = 0.5
# They are given out after this long, in seconds, also while members still join: half of the time
# within which a key must be served again.
_UNSETTLED_LIMIT_S = 2.0
# A member above this utilisation gives work away if it is also well above the mean.
_BUSY = 0.7
_ABOVE_MEAN = 1.3
# Utilisation up to which a member takes work from others.
_TARGET_USAGE = 0.8
# A member at this utilisation has given enough work away.
_RELIEVED = 0.55
# Time for a move to show in the reports before the next one, in seconds.
_MOVE_PAUSE_S = 1.2
# Most blocks that one round moves from one member and from all; each is a release and a grant.
_MOST_BLOCKS = 40
_MOST_BLOCKS_TOGETHER = 120
# Largest share of a member's widest range that moves when no block stands out.
_FLAT_SHARE = 0.25
# A range of at most this many blocks goes back to the owner of its neighbourhood once its work, in
# slots, is below this: each range costs its owner a renewal of the grant and all agents memory.
_SMALL_BLOCKS = 8
_COLD_WORK = 0.05
# Most ranges that go back in one round.
_MOST_RETURNS = 60
# Ranges that can be joined before the group is written for them alone.
_WORTH_JOINING = 8


class RangePlacement:
    """The `placement` service for services with numeric keys and services without keys."""

    name = "placement"
    requires = ("groups",)

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._members: frozenset[str] = frozenset()
        self._members_since = 0.0
        # Since when the group has members and no keys were given out, as far as it is so.
        self._unplaced_since: float | None = None
        self._moved_at = 0.0

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._groups = registry.find("groups", Groups)
        self._routes = registry.find("routes", Routes)
        self._membership = registry.find("membership", Membership)
        self._lease = registry.find("lease", Lease)
        self._load = registry.find("load", BlockReports)
        self._groups.subscribe(self)

    async def start(self) -> None:
        """Starts the rounds of the planner."""
        self._tasks.spawn("planner", self._run())

    async def stop(self) -> None:
        """Ends the rounds."""
        await self._tasks.cancel()

    def assign(self, group: Group, lost: frozenset[str]) -> Group:
        """Removes lost members and places their ranges."""
        return moves.without_members(group, lost)

    def drain_member(self, group: Group, member_id: str) -> Group:
        """Marks a member as leaving and sets successors for all its ranges."""
        leaving = replace(group.members[member_id], state=MemberState.LEAVING)
        marked = replace(group, members={**group.members, member_id: leaving})
        return moves.vacated(marked, member_id)

    def planner(self, group: Group) -> Member | None:
        """Returns the member that plans moves: the active one with the lowest id."""
        return next(iter(moves.active_members(group)), None)

    def group_changed(self, group: VersionedGroup) -> None:
        """Notes when the members of this agent's group last changed."""
        if group.group.id == self._membership.home:
            members = frozenset(group.group.members)
            if members != self._members:
                self._members = members
                self._members_since = self._clock.now()
            if group.group.ranges or not members:
                self._unplaced_since = None
            elif self._unplaced_since is None:
                self._unplaced_since = self._clock.now()

    async def plan(self) -> None:
        """Runs one round if this agent is the planner of a service with keys."""
        view = self._planned_view()
        if view is None:
            return
        reports = self._load.reports()
        try:
            written = await self._deal(view, reports) or await self._rebalance(view, reports)
        except PlatformError as error:
            _PLAN_FAILED.emit(group=view.group.id, version=view.version, error=error)
            return
        if written is None:
            return
        self._moved_at = self._clock.now()
        moving = [found for found in written.group.ranges if found.successor is not None]
        _MOVED.emit(
            group=view.group.id,
            version=written.version,
            ranges=len(written.group.ranges),
            moving=[(one.first, one.last, one.owner, one.successor) for one in moving],
        )

    def _planned_view(self) -> VersionedGroup | None:
        home = self._membership.home
        view = self._groups.view(home) if home is not None else None
        if view is None or not self._lease.held:
            return None
        configured = self._routes.current
        spec = (
            configured.configuration.services.get(view.group.service)
            if configured is not None
            else None
        )
        if spec is None or not spec.keyed:
            return None
        planner = self.planner(view.group)
        if planner is None or planner.id != self._membership.member_id:
            return None
        return view

    async def _deal(
        self, view: VersionedGroup, reports: dict[str, RangeLoad]
    ) -> VersionedGroup | None:
        """Gives keys to members that hold none; returns None if there is nothing to give.

        It does not depend on measured work, so it waits neither for that nor for other writers.
        """

        def deal(group: Group) -> Group | None:
            if not group.ranges and not self._settled():
                return None
            if not group.ranges or any(found.owner is None for found in group.ranges):
                changed = moves.assigned(group)
            else:
                changed = moves.levelled(group, reports)
            return None if changed == group else changed

        if deal(view.group) is None:
            return None
        return await self._groups.edit(view.group.id, deal)

    async def _rebalance(
        self, view: VersionedGroup, reports: dict[str, RangeLoad]
    ) -> VersionedGroup | None:
        """Moves work as it was measured; returns None if nothing should move."""
        planned = self._planned(view.group, reports)
        return await self._groups.write(view, planned) if planned is not None else None

    def _settled(self) -> bool:
        now = self._clock.now()
        unplaced_since = now if self._unplaced_since is None else self._unplaced_since
        return (
            now - self._members_since >= _SETTLED_S or now - unplaced_since >= _UNSETTLED_LIMIT_S
        )

    def _planned(self, group: Group, reports: dict[str, RangeLoad]) -> Group | None:
        now = self._clock.now()
        if not group.ranges:
            return None
        if now - self._moved_at < _MOVE_PAUSE_S:
            return None
        reports = _without_moving(group, reports)
        # The last moves were granted a while ago, so their handover tokens are used up.
        joined = moves.compacted(group)
        planned = gathered(rebalanced(joined, reports), reports)
        if planned == joined and len(group.ranges) - len(joined.ranges) < _WORTH_JOINING:
            return None
        return planned

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(_ROUND_S)
            await self.plan()


def _without_moving(group: Group, reports: dict[str, RangeLoad]) -> dict[str, RangeLoad]:
    """Returns the reports of the members that neither give nor take a range now.

    A handover can last as long as its member is cut off; the others must not wait for it.
    """
    moving = {
        member_id
        for found in group.ranges
        if found.successor is not None
        for member_id in (found.owner, found.successor)
    }
    return {member_id: report for member_id, report in reports.items() if member_id not in moving}


def rebalanced(group: Group, reports: dict[str, RangeLoad]) -> Group:
    """Returns the group with successors set for work that should move.

    Args:
        group: The group.
        reports: Measured work by member id; members without a report are left alone, and those
            that are giving or taking ranges must have none.
    """
    members = [member for member in moves.active_members(group) if member.id in reports]
    if len(members) < 2:
        return group
    usage = {member.id: reports[member.id].utilisation for member in members}
    mean = sum(usage.values()) / len(usage)
    limit = max(_BUSY, mean * _ABOVE_MEAN)
    sources = sorted(
        (member for member in members if usage[member.id] >= limit),
        key=lambda member: (-usage[member.id], member.id),
    )
    others = {member.id: member for member in members if usage[member.id] < limit}
    if not sources or not others:
        return group
    ranges, left = group.ranges, _MOST_BLOCKS_TOGETHER
    for source in sources:
        most = min(_MOST_BLOCKS, left)
        chosen = _dealt_blocks(group, source, others, usage, reports[source.id].work, most)
        left -= len(chosen)
        for first, last, target_id in _runs(chosen):
            ranges = moves.cut(ranges, first, last, _handing_over(source.id, target_id))
    if ranges != group.ranges:
        return moves.with_ranges(group, ranges)
    target = min(others.values(), key=lambda member: usage[member.id])
    if usage[target.id] >= _TARGET_USAGE:
        return group
    return _moved_flat(group, sources[0], target, _FLAT_SHARE)


def gathered(group: Group, reports: dict[str, RangeLoad]) -> Group:
    """Returns the group with successors set for small ranges that are cold now.

    A hot spot leaves its blocks with many owners when it moves on. Each goes to the owner of the
    next wide range below it.

    Args:
        group: The group.
        reports: Measured work by member id; ranges of members without a report stay.
    """
    active = {member.id for member in moves.active_members(group)}
    width = _SMALL_BLOCKS * BLOCK_KEYS
    wide_owner: str | None = None
    returns = 0
    ranges: list[KeyRange] = []
    for found in group.ranges:
        if found.width > width:
            wide_owner = found.owner
        elif (
            found.successor is None
            and found.owner != wide_owner
            and wide_owner in active
            and returns < _MOST_RETURNS
            and found.owner in reports
            and _work_of(found, reports[found.owner]) < _COLD_WORK
        ):
            found = replace(found, successor=wide_owner)
            returns += 1
        ranges.append(found)
    return replace(group, ranges=tuple(ranges)) if returns else group


def _work_of(found: KeyRange, report: RangeLoad) -> float:
    blocks = range(found.first // BLOCK_KEYS, found.last // BLOCK_KEYS + 1)
    return sum(report.work.get(block, 0.0) for block in blocks)


def _handing_over(source_id: str, target_id: str) -> moves.Change:
    def change(part: KeyRange) -> KeyRange:
        return replace(part, successor=target_id) if part.owner == source_id else part

    return change


def _dealt_blocks(
    group: Group,
    source: Member,
    others: dict[str, Member],
    usage: dict[str, float],
    work: dict[int, float],
    most: int,
) -> dict[int, str]:
    """Deals the source's hottest blocks to members with room until it is near the mean.

    A member without room would give its blocks back in the next round, so it gets none.

    Args:
        group: The group.
        source: The member that gives.
        others: The members that may get blocks, by id.
        usage: Utilisation by member id; it is changed by what moves.
        work: Work of the source by block.
        most: Most blocks to deal.

    Returns:
        The new owner by block.
    """
    mean = sum(usage.values()) / len(usage)
    chosen: dict[int, str] = {}
    for block, value in sorted(work.items(), key=lambda item: -item[1]):
        if usage[source.id] <= max(mean, _RELIEVED) or len(chosen) >= most:
            break
        found = group.range_of(block * BLOCK_KEYS)
        if found is None or found.owner != source.id:
            continue
        # Neighbours go to the same member while it has room, so that ranges stay few.
        target_id = chosen.get(block - 1) or chosen.get(block + 1)
        if target_id is None or usage[target_id] + value / others[target_id].slots > mean:
            target_id = min(others, key=lambda member_id: usage[member_id])
        after = usage[target_id] + value / others[target_id].slots
        if after > min(_TARGET_USAGE, usage[source.id]):
            continue
        chosen[block] = target_id
        usage[target_id] = after
        usage[source.id] -= value / source.slots
    return chosen


def _runs(blocks: dict[int, str]) -> list[tuple[int, int, str]]:
    """Joins neighbouring blocks with the same new owner to key ranges."""
    runs: list[tuple[int, int, str]] = []
    for block in sorted(blocks):
        first, last = block * BLOCK_KEYS, (block + 1) * BLOCK_KEYS - 1
        if runs and runs[-1][1] + 1 == first and runs[-1][2] == blocks[block]:
            runs[-1] = (runs[-1][0], last, blocks[block])
        else:
            runs.append((first, last, blocks[block]))
    return runs


def _moved_flat(group: Group, source: Member, target: Member, share: float) -> Group:
    """Moves the end of the source's widest range."""
    owned = [found for found in group.ranges if found.owner == source.id]
    widest = max(owned, key=lambda found: found.width, default=None)
    if widest is None or widest.width < 2 * BLOCK_KEYS:
        return group
    width = max(int(widest.width * share), BLOCK_KEYS)

    first = widest.last - width + 1
    change = _handing_over(source.id, target.id)
    return moves.with_ranges(group, moves.cut(group.ranges, first, widest.last, change))
