"""Placement of shards on members: the planner of moves and the log of its decisions."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace

from ..interfaces import Catalogue, Groups, Lease, Load, Membership
from ..interfaces.placement import GroupLoad
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.errors import PlatformError, UnknownNameError, UnknownServiceError
from ..kernel.settings import Settings
from ..messages import Entry, Group, GroupId, Member, MemberState, VersionedGroup
from .policies import POLICIES

_ROUND = Event(2801, "placement_round", Level.INFO, "The planner completed a round.")
_PLAN_FAILED = Event(2802, "plan_failed", Level.WARNING, "A placement round failed.")
_MOVED = Event(2803, "shard_placed", Level.INFO, "A shard is assigned to another owner.")
_ISOLATED = Event(2804, "key_isolated", Level.INFO, "A hot key gets a shard of its own.")
_REJOINED = Event(
    2805, "key_rejoined", Level.INFO, "A key that is no longer hot returned to its hash shard."
)
_WAITING = Event(2806, "loads_incomplete", Level.DEBUG, "The planner waits for load reports.")

# A round that changed exceptions is followed by an extra round after this time, so that a hot key
# gets capacity within seconds. The members need the time to receive the new exception.
_EXTRA_ROUND_DELAY_S = 0.3
_MAX_PROPOSALS = 16


@dataclass(frozen=True, slots=True)
class _Proposal:
    """A decision that is logged once a version of the group contains it.

    Attributes:
        before: The group that the decision was made on.
        after: The group that it leads to.
        reason: Reason of the moves in the log.
    """

    before: Group
    after: Group
    reason: str


class ShardPlacement:
    """The `placement` service.

    Every member can place the shards of lost members. Only the planner, the active member with
    the lowest id, plans moves; the conditional write of a second planner would fail.
    """

    name = "placement"
    requires = ("catalogue", "groups")

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._proposals: deque[_Proposal] = deque(maxlen=_MAX_PROPOSALS)
        self._last_entry: Entry | None = None

    def bind(self, registry: Registry) -> None:
        """Looks up the services that this one uses."""
        self._clock = registry.find("clock", Clock)
        self._catalogue = registry.find("catalogue", Catalogue)
        self._groups = registry.find("groups", Groups)
        self._membership = registry.find("membership", Membership)
        self._lease = registry.find("lease", Lease)
        self._load = registry.find("load", Load)
        section = registry.find("settings", Settings).placement
        self._round_s = section.round_ms / 1000
        if section.policy not in POLICIES:
            raise UnknownNameError("placement policy", section.policy, tuple(POLICIES))
        self._policy = POLICIES[section.policy]()
        self._groups.subscribe(self)

    async def start(self) -> None:
        """Starts the task that runs the planner's rounds."""
        self._tasks.spawn("planner", self._run())

    async def stop(self) -> None:
        """Cancels the task that runs the planner's rounds."""
        await self._tasks.cancel()

    def assign(self, group: Group, lost: frozenset[str]) -> Group:
        """Removes lost members and places their shards."""
        assigned = self._policy.assign(
            group, lost, self._complete_load(), self._entry(group.service)
        )
        self._add_proposal(group, assigned, "loss" if lost else "unowned")
        return assigned

    def drain_member(self, group: Group, member_id: str) -> Group:
        """Marks a member as leaving and sets successors for all its shards."""
        leaving = replace(group.members[member_id], state=MemberState.LEAVING)
        marked = group.with_member(leaving)
        entry = self._entry(group.service)
        drained = self._policy.drain_member(marked, member_id, self._complete_load(), entry)
        self._add_proposal(group, drained, "leave")
        return drained

    def planner(self, group: Group) -> Member | None:
        """Returns the active member with the lowest id, which plans moves, or None."""
        active = [
            member for member in group.members.values() if member.state is MemberState.ACTIVE
        ]
        return min(active, key=lambda member: member.id, default=None)

    def group_changed(self, group: VersionedGroup) -> None:
        """Logs decisions of this agent that a version of the group contains."""
        if group.group.id != self._membership.own_group_id:
            return
        for proposal in tuple(self._proposals):
            after = proposal.after
            if (after.shards, after.exceptions) == (group.group.shards, group.group.exceptions):
                self._proposals.clear()
                _log_decisions(proposal, group)
                return

    async def plan(self, load: GroupLoad | None = None) -> bool:
        """Runs one round if this agent is the planner.

        Args:
            load: Load to plan with; None adds up the load reports of the round.

        Returns:
            Whether exceptions changed, so that another round should follow at once.
        """
        own_group_id = self._membership.own_group_id
        if own_group_id is None or not self._is_planner(own_group_id):
            return False
        before = self._groups.view(own_group_id)
        assert before is not None
        if not (load or self._load.end_round()).complete:
            _WAITING.emit(group=own_group_id)
            return False
        try:
            after = await self._groups.edit(own_group_id, self._plan_moves)
        except (PlatformError, UnknownServiceError) as error:
            _PLAN_FAILED.emit(group=own_group_id, error=error)
            return False
        moving_count = sum(shard.successor is not None for shard in after.group.shards)
        _ROUND.emit(
            group=own_group_id,
            version=after.version,
            changed=after.version > before.version,
            moving=moving_count,
            exceptions=len(after.group.exceptions),
            imbalance=round(imbalance(after.group, self._load.group_load()), 3),
        )
        return after.group.exceptions != before.group.exceptions

    def _plan_moves(self, group: Group) -> Group | None:
        load = self._load.group_load()
        planned = self._policy.rebalance(group, load, self._entry(group.service))
        if planned == group:
            return None
        self._add_proposal(group, planned, "balance")
        return planned

    def _add_proposal(self, before: Group, after: Group, reason: str) -> None:
        if (before.shards, before.exceptions) != (after.shards, after.exceptions):
            self._proposals.append(_Proposal(before, after, reason))

    def _complete_load(self) -> GroupLoad:
        # Only the planner has the load reports of all members; others place shards by count.
        load = self._load.group_load()
        return load if load.complete else GroupLoad()

    def _is_planner(self, own_group_id: GroupId) -> bool:
        view = self._groups.view(own_group_id)
        if view is None or not self._lease.held:
            return False
        planner = self.planner(view.group)
        return planner is not None and planner.id == self._membership.member_id

    def _entry(self, service: str) -> Entry:
        try:
            self._last_entry = self._catalogue.entry(service).entry
        except UnknownServiceError:
            # Members of a service whose entry was deleted can still leave and be taken over.
            if self._last_entry is None or self._last_entry.service != service:
                return Entry(service, "unknown")
        return self._last_entry

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(self._round_s)
            if await self.plan():
                await self._clock.sleep(_EXTRA_ROUND_DELAY_S)
                await self.plan(self._load.group_load())


def imbalance(group: Group, load: GroupLoad) -> float:
    """Returns the highest measured work per slot of an active member, divided by the mean.

    Shards that are being handed over count for their successors. The result is 1.0 without work.
    """
    work = {
        member.id: 0.0 for member in group.members.values() if member.state is MemberState.ACTIVE
    }
    for shard_id, shard in enumerate(group.shards):
        target = shard.successor or shard.owner
        if target in work:
            work[target] += load.work.get(shard_id, 0.0)
    total = sum(work.values())
    if not total:
        return 1.0
    slots = sum(group.members[member_id].slots for member_id in work)
    mean = total / slots
    return (
        max(
            member_work / group.members[member_id].slots for member_id, member_work in work.items()
        )
        / mean
    )


def _log_decisions(proposal: _Proposal, written: VersionedGroup) -> None:
    before, after = proposal.before, proposal.after
    new_shard_ids = set()
    for key, shard_id in after.exceptions.items():
        if before.exceptions.get(key) != shard_id:
            new_shard_ids.add(shard_id)
            owner = after.shards[shard_id].owner
            epoch = after.shards[shard_id].epoch
            _ISOLATED.emit(
                group=after.id,
                version=written.version,
                key=key,
                shard=shard_id,
                owner=owner,
                epoch=epoch,
            )
    for key, shard_id in before.exceptions.items():
        if key not in after.exceptions:
            _REJOINED.emit(group=after.id, version=written.version, key=key, shard=shard_id)
    # A new exception stays with the owner of its hash shard, and its shard is logged above.
    for shard_id, (previous, shard) in enumerate(zip(before.shards, after.shards, strict=False)):
        source, target = previous.successor or previous.owner, shard.successor or shard.owner
        if source == target or shard_id in new_shard_ids:
            continue
        _MOVED.emit(
            group=after.id,
            version=written.version,
            shard=shard_id,
            reason=proposal.reason,
            source=source,
            target=target,
            epoch=shard.epoch,
        )
