"""Placement of numeric key ranges: first assignment, lost and leaving members, hot blocks."""

from __future__ import annotations

from dataclasses import replace

from ...interfaces import Groups, Lease, Membership, Routes
from ...interfaces.placement import BlockReports
from ...kernel import Clock, Event, Kernel, Level, Registry
from ...kernel.errors import PlatformError
from ...kernel.settings import Settings
from ...messages import Group, Member, MemberState, VersionedGroup
from ...messages.era import era_of
from ...messages.group import KeyRange
from ...messages.peer import RangeLoad
from ..evacuation import find_evacuations
from . import moves
from .evacuees import with_evacuees_moved
from .moves import BLOCK_KEYS
from .recovery import RecoveryWait
from .usable_slots import usable_shares_of, usable_slots

_RANGES_MOVING = Event(
    2830, "ranges_moving", Level.INFO, "Key ranges are being moved to other owners."
)
_PLAN_FAILED = Event(
    2831, "range_plan_failed", Level.WARNING, "A placement round failed; the next one retries."
)
_EVACUATED = Event(
    2832,
    "evacuation_complete",
    Level.INFO,
    "The failure domain of this agent is evacuated, and its last key range has moved elsewhere.",
)

_ROUND_PERIOD_S = 0.4
# Keys are first assigned once the members have not changed for this time.
_MEMBERS_SETTLED_S = 0.5
# Keys are first assigned after this time even if members still join: half of the time within which
# a key must be served again.
_MAX_UNPLACED_S = 2.0
# A member is a source of moves at this utilisation, if it is also above the mean by this factor.
_HIGH_UTILISATION = 0.7
_MEAN_FACTOR = 1.3
# A member accepts work from others up to this utilisation.
_MAX_TARGET_UTILISATION = 0.8
# A source moves no more work once it is at or below the larger of this utilisation and the mean.
_RELIEVED_UTILISATION = 0.55
# Pause between moves, so that the effect of one shows in the reports before the next.
_MOVE_PAUSE_S = 1.2
# Maximum blocks that one round moves from one member and in total. Each costs a release and a
# grant.
_MAX_BLOCKS_PER_MEMBER = 40
_MAX_BLOCKS_PER_ROUND = 120
# Fraction of a member's widest range that is moved when no hot block can be moved.
_FALLBACK_SHARE = 0.25
# A range of at most this many blocks is returned to the owner of the surrounding keys once its
# work, in slots, is below this. Each range costs its owner grant renewals and all agents memory.
_SMALL_RANGE_BLOCKS = 8
_COLD_WORK_SLOTS = 0.05
# Maximum ranges that are returned in one round.
_MAX_RETURNS_PER_ROUND = 60
# Number of ranges that merging must save before the group is written for that alone.
_MIN_MERGED_RANGES = 8


class RangePlacement:
    """The `placement` service for services with numeric keys and services without keys."""

    name = "placement"
    requires = ("groups",)

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._member_ids: frozenset[str] = frozenset()
        self._members_changed_at = 0.0
        # Time since which the group has members but no assigned keys, or None.
        self._unplaced_since: float | None = None
        self._moved_at = 0.0
        # Members whose rate was limited when they joined, and which have part of their share.
        self._growing_ids: set[str] = set()
        # Ranges that this member still owned in the last version while its domain is evacuated.
        self._evacuated_ranges = 0

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses and subscribes to group changes."""
        self._clock = registry.find("clock", Clock)
        self._groups = registry.find("groups", Groups)
        self._routes = registry.find("routes", Routes)
        self._membership = registry.find("membership", Membership)
        self._lease = registry.find("lease", Lease)
        self._load = registry.find("load", BlockReports)
        self._evacuations = find_evacuations(registry)
        lease_section = registry.find("settings", Settings).lease
        self._recovery_wait = RecoveryWait(self._clock, lease_section)
        self._groups.subscribe(self)

    async def start(self) -> None:
        """Starts the task that runs the placement rounds."""
        self._tasks.spawn("planner", self._run())

    async def stop(self) -> None:
        """Cancels the tasks of the service."""
        await self._tasks.cancel()

    def assign(self, group: Group, lost: frozenset[str]) -> Group:
        """Returns the group without lost members and with their ranges assigned to others."""
        return moves.without_members(group, lost, self._evacuations.domains)

    def drain_member(self, group: Group, member_id: str) -> Group:
        """Returns the group with a member in the state `leaving` and successors for its ranges."""
        leaving = replace(group.members[member_id], state=MemberState.LEAVING)
        marked = replace(group, members={**group.members, member_id: leaving})
        return moves.with_successors(marked, member_id, self._evacuations.domains)

    def planner(self, group: Group) -> Member | None:
        """Returns the member that plans moves, the active one with the lowest id, or None."""
        return next(iter(moves.active_members(group)), None)

    def group_changed(self, group: VersionedGroup) -> None:
        """Records when the members of this agent's group changed and whether keys are assigned."""
        if group.group.id == self._membership.own_group_id:
            self._recovery_wait.observe(group.group)
            member_ids = frozenset(group.group.members)
            if member_ids != self._member_ids:
                self._member_ids = member_ids
                self._members_changed_at = self._clock.now()
            if group.group.ranges or not member_ids:
                self._unplaced_since = None
            elif self._unplaced_since is None:
                self._unplaced_since = self._clock.now()
            self._observe_evacuation(group.group)

    def _observe_evacuation(self, group: Group) -> None:
        own_id = self._membership.member_id
        left = 0
        if moves.is_evacuated(group, own_id, self._evacuations.domains):
            left = sum(key_range.owner == own_id for key_range in group.ranges)
            if self._evacuated_ranges and not left:
                _EVACUATED.emit(group=group.id)
        self._evacuated_ranges = left

    async def plan(self) -> None:
        """Runs one placement round if this agent is the planner of a service with numeric keys."""
        view = self._view_as_planner()
        if view is None:
            return
        reports = self._load.reports()
        try:
            written = (
                await self._end_recovery(view, reports)
                or await self._evacuate(view, reports)
                or await self._assign_keys(view, reports)
                or await self._rebalance(view, reports)
            )
        except PlatformError as error:
            _PLAN_FAILED.emit(group=view.group.id, version=view.version, error=error)
            return
        if written is None:
            return
        self._moved_at = self._clock.now()
        moving_ranges = [
            key_range for key_range in written.group.ranges if key_range.successor is not None
        ]
        _RANGES_MOVING.emit(
            group=view.group.id,
            version=written.version,
            ranges=len(written.group.ranges),
            moving=[
                (moved.first, moved.last, moved.owner, moved.successor) for moved in moving_ranges
            ],
        )

    def _view_as_planner(self) -> VersionedGroup | None:
        own_group_id = self._membership.own_group_id
        view = self._groups.view(own_group_id) if own_group_id is not None else None
        if view is None or not self._lease.held:
            return None
        current = self._routes.current
        spec = (
            current.configuration.services.get(view.group.service) if current is not None else None
        )
        if spec is None or not spec.keyed:
            return None
        planner = self.planner(view.group)
        if planner is None or planner.id != self._membership.member_id:
            return None
        return view

    async def _end_recovery(
        self, view: VersionedGroup, reports: dict[str, RangeLoad]
    ) -> VersionedGroup | None:
        """Records that all grants have ended that a restored store has lost.

        A member that has not received the confirmed group may still have such a grant, as long as
        a monitor that has not received it either extends its lease.
        """
        recovering = view.group.recovering
        if not recovering or not self._recovery_wait.over:
            return None
        era = era_of(view.version)
        informed_ids = {id_ for id_, report in reports.items() if report.era == era}
        if not informed_ids >= view.group.members.keys():
            return None

        def end_recovery(group: Group) -> Group | None:
            return replace(group, recovering=0) if group.recovering == recovering else None

        return await self._groups.edit(view.group.id, end_recovery)

    async def _evacuate(
        self, view: VersionedGroup, reports: dict[str, RangeLoad]
    ) -> VersionedGroup | None:
        """Sets successors for ranges of evacuated domains; returns None if there are none."""

        def evacuate(group: Group) -> Group | None:
            changed = with_evacuees_moved(group, self._evacuations.domains, reports)
            return None if changed == group else changed

        if evacuate(view.group) is None:
            return None
        return await self._groups.edit(view.group.id, evacuate)

    async def _assign_keys(
        self, view: VersionedGroup, reports: dict[str, RangeLoad]
    ) -> VersionedGroup | None:
        """Assigns keys to members that have none; returns None if there is nothing to assign.

        This does not depend on measured work, so it neither waits for reports nor fails if other
        members write the group at the same time.
        """
        usable_shares = usable_shares_of(view.group, reports)
        placed_ids = {key_range.successor or key_range.owner for key_range in view.group.ranges}
        self._growing_ids |= usable_shares.keys() - placed_ids
        domains = self._evacuations.domains

        def assign_keys(group: Group) -> Group | None:
            if not group.ranges and not self._may_place_first_keys():
                return None
            if not group.ranges or any(key_range.owner is None for key_range in group.ranges):
                changed = moves.assigned(group, domains)
            else:
                changed = moves.with_new_member_shares(
                    group, reports, usable_shares, self._growing_ids, domains
                )
            return None if changed == group else changed

        if assign_keys(view.group) is None:
            self._growing_ids -= reports.keys() - usable_shares.keys()
            return None
        return await self._groups.edit(view.group.id, assign_keys)

    async def _rebalance(
        self, view: VersionedGroup, reports: dict[str, RangeLoad]
    ) -> VersionedGroup | None:
        """Moves ranges according to their measured work; returns None if nothing should move."""
        if self._recovery_wait.active:
            return None
        planned = self._planned_moves(view.group, reports)
        return await self._groups.write(view, planned) if planned is not None else None

    def _may_place_first_keys(self) -> bool:
        now = self._clock.now()
        unplaced_since = now if self._unplaced_since is None else self._unplaced_since
        return (
            now - self._members_changed_at >= _MEMBERS_SETTLED_S
            or now - unplaced_since >= _MAX_UNPLACED_S
        )

    def _planned_moves(self, group: Group, reports: dict[str, RangeLoad]) -> Group | None:
        now = self._clock.now()
        if not group.ranges:
            return None
        if now - self._moved_at < _MOVE_PAUSE_S:
            return None
        reports = _without_members_in_handover(group, reports)
        # The ranges of the last move were granted since then, so their handover tokens are used.
        compacted_group = moves.compacted(group)
        domains = self._evacuations.domains
        balanced = rebalanced(compacted_group, reports, domains)
        planned = consolidated(balanced, reports, domains)
        if (
            planned == compacted_group
            and len(group.ranges) - len(compacted_group.ranges) < _MIN_MERGED_RANGES
        ):
            return None
        return planned

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(_ROUND_PERIOD_S)
            await self.plan()


def _without_members_in_handover(
    group: Group, reports: dict[str, RangeLoad]
) -> dict[str, RangeLoad]:
    """Returns the reports of the members that take part in no handover.

    A handover can last as long as its member is cut off from the network. Moves between the other
    members must not wait for it.
    """
    moving_ids = {
        member_id
        for key_range in group.ranges
        if key_range.successor is not None
        for member_id in (key_range.owner, key_range.successor)
    }
    return {
        member_id: report for member_id, report in reports.items() if member_id not in moving_ids
    }


def rebalanced(
    group: Group, reports: dict[str, RangeLoad], evacuated: frozenset[str] = moves.NO_DOMAINS
) -> Group:
    """Returns the group with successors set so that overloaded members move work to others.

    Args:
        group: The group.
        reports: Measured work by member id. Members without a report take part in no move; a
            member that takes part in a handover must have none.
        evacuated: Failure domains whose members take part in no move.
    """
    active = moves.active_members(group, evacuated)
    members = [member for member in active if member.id in reports]
    if len(members) < 2:
        return group
    utilisation = {member.id: reports[member.id].utilisation for member in members}
    mean = sum(utilisation.values()) / len(utilisation)
    limit = max(_HIGH_UTILISATION, mean * _MEAN_FACTOR)
    sources = sorted(
        (member for member in members if utilisation[member.id] >= limit),
        key=lambda member: (-utilisation[member.id], member.id),
    )
    others = {member.id: member for member in members if utilisation[member.id] < limit}
    slots = {member.id: usable_slots(member, reports) for member in members}
    if not sources or not others:
        return group
    ranges, blocks_left = group.ranges, _MAX_BLOCKS_PER_ROUND
    for source in sources:
        max_blocks = min(_MAX_BLOCKS_PER_MEMBER, blocks_left)
        target_by_block = _assign_hot_blocks(
            group, source, others, slots, utilisation, reports[source.id].work, max_blocks
        )
        blocks_left -= len(target_by_block)
        for first, last, target_id in _contiguous_ranges(target_by_block):
            ranges = moves.change_keys(ranges, first, last, _set_successor(source.id, target_id))
    if ranges != group.ranges:
        return moves.with_ranges(group, ranges)
    target = min(others.values(), key=lambda member: utilisation[member.id])
    if utilisation[target.id] >= _MAX_TARGET_UTILISATION:
        return group
    return _with_part_of_widest_range_moved(group, sources[0], target, _FALLBACK_SHARE)


def consolidated(
    group: Group, reports: dict[str, RangeLoad], evacuated: frozenset[str] = moves.NO_DOMAINS
) -> Group:
    """Returns the group with successors set so that small cold ranges are returned.

    When a hot spot moves to other keys, its former blocks remain with many owners. Each of them is
    returned to the owner of the nearest wide range below it.

    Args:
        group: The group.
        reports: Measured work by member id; ranges of members without a report stay.
        evacuated: Failure domains whose members get no ranges.
    """
    active_ids = {member.id for member in moves.active_members(group, evacuated)}
    max_width = _SMALL_RANGE_BLOCKS * BLOCK_KEYS
    wide_owner: str | None = None
    return_count = 0
    ranges: list[KeyRange] = []
    for key_range in group.ranges:
        if key_range.width > max_width:
            wide_owner = key_range.owner
        elif (
            key_range.successor is None
            and key_range.owner != wide_owner
            and wide_owner in active_ids
            and return_count < _MAX_RETURNS_PER_ROUND
            and key_range.owner in reports
            and _range_work(key_range, reports[key_range.owner]) < _COLD_WORK_SLOTS
        ):
            key_range = replace(key_range, successor=wide_owner)
            return_count += 1
        ranges.append(key_range)
    return replace(group, ranges=tuple(ranges)) if return_count else group


def _range_work(key_range: KeyRange, report: RangeLoad) -> float:
    blocks = range(key_range.first // BLOCK_KEYS, key_range.last // BLOCK_KEYS + 1)
    return sum(report.work.get(block, 0.0) for block in blocks)


def _set_successor(source_id: str, target_id: str) -> moves.RangeChange:
    def change(part: KeyRange) -> KeyRange:
        return replace(part, successor=target_id) if part.owner == source_id else part

    return change


def _assign_hot_blocks(
    group: Group,
    source: Member,
    others: dict[str, Member],
    slots: dict[str, float],
    utilisation: dict[str, float],
    work: dict[int, float],
    max_blocks: int,
) -> dict[int, str]:
    """Assigns the source's hottest blocks to other members until it is close to the mean.

    A member that would exceed the allowed utilisation gets no block, since it would return it in
    the next round.

    Args:
        group: The group.
        source: The member whose blocks are moved.
        others: The members that may get blocks, by member id.
        slots: Usable slots by member id.
        utilisation: Utilisation by member id; updated in place for each assigned block.
        work: Work of the source by block, in slots.
        max_blocks: Maximum number of blocks to assign.

    Returns:
        The member id of the new owner, by block.
    """
    mean = sum(utilisation.values()) / len(utilisation)
    target_by_block: dict[int, str] = {}
    for block, block_work in sorted(work.items(), key=lambda item: -item[1]):
        if (
            utilisation[source.id] <= max(mean, _RELIEVED_UTILISATION)
            or len(target_by_block) >= max_blocks
        ):
            break
        key_range = group.range_of(block * BLOCK_KEYS)
        if key_range is None or key_range.owner != source.id:
            continue
        # Adjacent blocks go to the same member while it has capacity, which keeps ranges few.
        target_id = target_by_block.get(block - 1) or target_by_block.get(block + 1)
        if target_id is None or utilisation[target_id] + block_work / slots[target_id] > mean:
            target_id = min(others, key=lambda member_id: utilisation[member_id])
        new_utilisation = utilisation[target_id] + block_work / slots[target_id]
        if new_utilisation > min(_MAX_TARGET_UTILISATION, utilisation[source.id]):
            continue
        target_by_block[block] = target_id
        utilisation[target_id] = new_utilisation
        utilisation[source.id] -= block_work / slots[source.id]
    return target_by_block


def _contiguous_ranges(target_by_block: dict[int, str]) -> list[tuple[int, int, str]]:
    """Merges adjacent blocks with the same new owner; returns first key, last key and owner id."""
    runs: list[tuple[int, int, str]] = []
    for block in sorted(target_by_block):
        first, last = block * BLOCK_KEYS, (block + 1) * BLOCK_KEYS - 1
        if runs and runs[-1][1] + 1 == first and runs[-1][2] == target_by_block[block]:
            runs[-1] = (runs[-1][0], last, target_by_block[block])
        else:
            runs.append((first, last, target_by_block[block]))
    return runs


def _with_part_of_widest_range_moved(
    group: Group, source: Member, target: Member, share: float
) -> Group:
    """Returns the group with the target as successor of the end of the source's widest range."""
    owned = [key_range for key_range in group.ranges if key_range.owner == source.id]
    widest = max(owned, key=lambda key_range: key_range.width, default=None)
    if widest is None or widest.width < 2 * BLOCK_KEYS:
        return group
    width = max(int(widest.width * share), BLOCK_KEYS)

    first = widest.last - width + 1
    change = _set_successor(source.id, target.id)
    return moves.with_ranges(group, moves.change_keys(group.ranges, first, widest.last, change))
