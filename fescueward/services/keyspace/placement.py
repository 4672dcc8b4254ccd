"""Placement of numeric key ranges: first assignment, lost and leaving members, hot blocks."""

from __future__ import annotations

from dataclasses import replace

from ...interfaces import EvacuationState, Groups, Lease, Membership, Routes
from ...interfaces.placement import BlockReports
from ...kernel import Clock, Event, Kernel, Level, Registry
from ...kernel.errors import PlatformError
from ...kernel.settings import Settings
from ...messages import Group, Member, MemberState, VersionedGroup
from ...messages.era import era_of
from ...messages.peer import RangeLoad
from ..evacuation import NoEvacuations, find_evacuations
from . import moves
from .consolidation import consolidated, is_cold, is_small
from .evacuees import with_evacuees_moved
from .rebalancing import rebalanced
from .recovery import RecoveryWait
from .shares import evened
from .usable_slots import usable_shares_of

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
# Pause after a move to a member, so that the effect shows in its report before the next one.
_MOVE_PAUSE_S = 1.2
# Pause after a move from a member. Work on blocks that it has handed over no longer counts for it.
_SOURCE_PAUSE_S = 0.8
# Time that lasting utilisation takes to show the effect of a move.
_LASTING_PAUSE_S = 7.0
# A small range is returned once it has been cold for this time. Each return and a second move of
# keys that become hot again cost a time without an owner.
_COLD_TIME_S = 4.0
# Small ranges that become cold within this time are returned together.
_RETURN_PERIOD_S = 2.0
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
        # Time of the last move, times until which members rest, and times of moves of wide parts
        # by their old and their new owner.
        self._moved_at = 0.0
        # Members whose rate was limited when they joined, and which have part of their share.
        self._growing_ids: set[str] = set()
        self._evacuations: EvacuationState = NoEvacuations()
        # Ranges that this member still owned in the last version while its domain is evacuated.
        self._evacuated_ranges = 0
        self._rests_until: dict[str, float] = {}
        self._given_at: dict[str, float] = {}
        self._received_at: dict[str, float] = {}
        # Time since which each small range has been cold, by first and last key.
        self._cold_since: dict[tuple[int, int], float] = {}
        self._returned_at = 0.0

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
        marked = group.with_member(leaving)
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
        self._record_moves(written.group)
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
        if self._planned_moves(view.group, reports) is None:
            return None

        def move(group: Group) -> Group | None:
            # Handovers that ended meanwhile must not cost the round.
            return self._planned_moves(group, reports)

        return await self._groups.edit(view.group.id, move)

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
        self._observe_cold_ranges(group, reports)
        reports = self._settled_reports(_without_members_in_handover(group, reports))
        base = group
        if now - self._moved_at >= _MOVE_PAUSE_S:
            # The ranges of the last move were granted since then, so their handover tokens are
            # used.
            base = moves.compacted(group)
        domains = self._evacuations.domains
        planned = rebalanced(base, reports, domains)
        givers, receivers = (
            {id_ for id_, moved_at in times.items() if now - moved_at < _LASTING_PAUSE_S}
            for times in (self._given_at, self._received_at)
        )
        settled_reports = _without_members_in_handover(planned, reports)
        if planned == base:
            planned = evened(planned, settled_reports, givers, receivers, domains)
        settled = {
            bounds for bounds, since in self._cold_since.items() if now - since >= _COLD_TIME_S
        }
        if now - self._returned_at >= _RETURN_PERIOD_S:
            planned = consolidated(planned, reports, settled, domains)
        if planned == base and len(group.ranges) - len(base.ranges) < _MIN_MERGED_RANGES:
            return None
        return planned

    def _observe_cold_ranges(self, group: Group, reports: dict[str, RangeLoad]) -> None:
        now = self._clock.now()
        self._cold_since = {
            bounds: self._cold_since.get(bounds, now)
            for key_range in group.ranges
            if is_small(key_range) and is_cold(key_range, reports)
            for bounds in ((key_range.first, key_range.last),)
        }

    def _settled_reports(self, reports: dict[str, RangeLoad]) -> dict[str, RangeLoad]:
        """Returns the reports that show the effect of the last moves."""
        now = self._clock.now()
        return {
            member_id: report
            for member_id, report in reports.items()
            if now >= self._rests_until.get(member_id, 0.0)
        }

    def _record_moves(self, group: Group) -> None:
        """Records the members whose ranges move in a group that this planner has written."""
        now = self._moved_at = self._clock.now()
        for key_range in group.ranges:
            if key_range.successor is not None:
                if (key_range.first, key_range.last) in self._cold_since:
                    # The return of a cold range changes no report.
                    self._returned_at = now
                    continue
                owner_id, successor_id = key_range.owner or "", key_range.successor
                self._rest(owner_id, now + _SOURCE_PAUSE_S)
                self._rest(successor_id, now + _MOVE_PAUSE_S)
                if not is_small(key_range):
                    self._given_at[owner_id] = self._received_at[successor_id] = now
        for times in (self._rests_until, self._given_at, self._received_at):
            for member_id in times.keys() - group.members.keys():
                del times[member_id]

    def _rest(self, member_id: str, until: float) -> None:
        self._rests_until[member_id] = max(until, self._rests_until.get(member_id, 0.0))

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
