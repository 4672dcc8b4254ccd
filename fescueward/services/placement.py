"""Placement of shards on members: policies by name, and the planner of moves."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import xxhash

from ..interfaces import Catalogue, Groups, Lease, Load, Membership, PlacementPolicy
from ..interfaces.placement import GroupLoad
from ..kernel import Clock, Event, Kernel, Level, Registry
from ..kernel.errors import PlatformError, UnknownNameError, UnknownServiceError
from ..kernel.settings import Settings
from ..messages import Entry, Group, GroupId, Member, MemberState, Shard

_PLANNED = Event(2801, "moves_planned", Level.INFO, "The planner moves shards between members.")
_PLAN_FAILED = Event(2802, "plan_failed", Level.WARNING, "A placement round failed.")

# Moves of one round as a share of the shards; a larger budget shortens a spread after a join and
# makes more keys wait at the same time.
_MOVE_BUDGET = 0.05


def _rendezvous(shard: int, member: Member) -> int:
    return xxhash.xxh64_intdigest(f"{member.name}/{shard}".encode())


def _active(group: Group) -> list[Member]:
    return [member for member in group.members.values() if member.state is MemberState.ACTIVE]


class BoundedLoadPolicy:
    """The policy `bounded-load`: rendezvous order with a bound on the load of each member."""

    def assign(self, group: Group, lost: frozenset[str], entry: Entry) -> Group:
        """Places the shards of lost members; see `PlacementPolicy.assign`."""
        members = {
            member.id: replace(
                member, monitors=tuple(other for other in member.monitors if other not in lost)
            )
            for member in group.members.values()
            if member.id not in lost
        }
        held_back = {
            member_id: entry.limits.max_request_ms
            for member_id in lost
            if member_id in group.members and not group.members[member_id].checks_grants
        }
        remaining = replace(group, members=members)
        active = _active(remaining)
        counts = {member.id: 0 for member in active}
        for shard in group.shards:
            target = shard.successor or shard.owner
            if target in counts:
                counts[target] += 1
        total_slots = sum(member.slots for member in active) or 1
        shards = []
        for shard_id, shard in enumerate(group.shards):
            placed = _settle_lost(shard, lost, held_back)
            if placed is None:
                limit = len(group.shards) / total_slots
                placed = _place(shard_id, shard, active, counts, limit, held_back)
            shards.append(placed)
        return replace(remaining, shards=tuple(shards))

    def rebalance(self, group: Group, load: GroupLoad, entry: Entry) -> Group:
        """Moves shards from members above their share to members below it."""
        active = _active(group)
        if not active:
            return group
        total_slots = sum(member.slots for member in active)
        share = {member.id: len(group.shards) * member.slots / total_slots for member in active}
        counts = {member.id: 0.0 for member in active}
        for shard in group.shards:
            target = shard.successor or shard.owner
            if target in counts:
                counts[target] += 1
        budget = max(1, int(len(group.shards) * _MOVE_BUDGET))
        shards = list(group.shards)
        for shard_id, shard in enumerate(shards):
            if budget == 0:
                break
            owner = shard.owner
            if owner not in counts or shard.successor is not None:
                continue
            target = min(active, key=lambda member: counts[member.id] / share[member.id])
            if counts[owner] - 1 < share[owner] or counts[target.id] + 1 > share[target.id] + 0.5:
                continue
            shards[shard_id] = replace(shard, successor=target.id)
            counts[owner] -= 1
            counts[target.id] += 1
            budget -= 1
        if tuple(shards) == group.shards:
            return group
        return replace(group, shards=tuple(shards))


def _settle_lost(shard: Shard, lost: frozenset[str], held_back: dict[str, int]) -> Shard | None:
    """Returns a shard that needs no new place, with a handover ended if one side is lost."""
    owner, successor = shard.owner, shard.successor
    if owner is not None and owner not in lost:
        if successor is not None and successor in lost:
            # The successor may have been active at epoch + 1.
            hold_ms = max(shard.hold_ms, held_back.get(successor, 0))
            return Shard(owner, shard.epoch + 2, None, hold_ms)
        return shard
    if owner is not None and successor is not None and successor not in lost:
        # The successor may be active at epoch + 1 already.
        return Shard(successor, shard.epoch + 1, None, max(shard.hold_ms, held_back.get(owner, 0)))
    return None


def _place(
    shard_id: int,
    shard: Shard,
    active: list[Member],
    counts: dict[str, int],
    per_slot: float,
    held_back: dict[str, int],
) -> Shard:
    epoch = shard.epoch + (2 if shard.successor is not None else 1)
    hold_ms = max(
        held_back.get(shard.owner or "", 0),
        held_back.get(shard.successor or "", 0),
        # The lost owner may itself have been waiting for the runs of an earlier one.
        shard.hold_ms,
    )
    if not active:
        return Shard(None, epoch, None, hold_ms)
    ordered = sorted(active, key=lambda member: _rendezvous(shard_id, member), reverse=True)
    below = [member for member in ordered if counts[member.id] < per_slot * member.slots]
    chosen = (below or ordered)[0]
    counts[chosen.id] += 1
    return Shard(chosen.id, epoch, None, hold_ms)


POLICIES: dict[str, Callable[[], PlacementPolicy]] = {"bounded-load": BoundedLoadPolicy}


class ShardPlacement:
    """The `placement` service.

    Every member can place the shards of lost members. Only the planner, the active member with
    the lowest id, plans moves; a second planner would lose the conditional write.
    """

    name = "placement"
    requires = ("catalogue",)

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = kernel.task_owner(self.name)
        self._known: Entry | None = None

    def bind(self, registry: Registry) -> None:
        """Finds the services that this one uses."""
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

    async def start(self) -> None:
        """Starts the rounds of the planner."""
        self._tasks.spawn("planner", self._run())

    async def stop(self) -> None:
        """Ends the rounds."""
        await self._tasks.cancel()

    def assign(self, group: Group, lost: frozenset[str]) -> Group:
        """Removes lost members and places their shards."""
        return self._policy.assign(group, lost, self._entry(group.service))

    def vacate(self, group: Group, member_id: str) -> Group:
        """Marks a member as leaving and sets successors for all its shards."""
        leaving = replace(group.members[member_id], state=MemberState.LEAVING)
        members = {**group.members, member_id: leaving}
        without = self._policy.assign(
            replace(group, members=members), frozenset({member_id}), self._entry(group.service)
        )
        shards = tuple(
            replace(shard, successor=new.owner)
            if shard.owner == member_id and shard.successor is None
            else shard
            for shard, new in zip(group.shards, without.shards, strict=True)
        )
        return replace(group, members=members, shards=shards)

    async def plan(self) -> bool:
        """Runs one round if this agent is the planner.

        Returns:
            Whether moves were written.
        """
        home = self._membership.home
        if home is None or not self._is_planner(home):
            return False
        before = self._groups.view(home)
        assert before is not None
        try:
            after = await self._groups.edit(home, self._planned)
        except (PlatformError, UnknownServiceError) as error:
            _PLAN_FAILED.emit(group=home, error=error)
            return False
        if after.version <= before.version:
            return False
        moves = sum(shard.successor is not None for shard in after.group.shards)
        _PLANNED.emit(group=home, version=after.version, moving=moves)
        return True

    def _planned(self, group: Group) -> Group | None:
        if any(shard.successor is not None for shard in group.shards):
            return None
        planned = self._policy.rebalance(
            group, self._load.group_load(), self._entry(group.service)
        )
        return None if planned == group else planned

    def _is_planner(self, home: GroupId) -> bool:
        view = self._groups.view(home)
        if view is None or not self._lease.held:
            return False
        active = sorted(member.id for member in _active(view.group))
        return bool(active) and active[0] == self._membership.member_id

    def _entry(self, service: str) -> Entry:
        try:
            self._known = self._catalogue.entry(service).entry
        except UnknownServiceError:
            # Members of a service whose entry was deleted still leave and are taken over.
            if self._known is None or self._known.service != service:
                return Entry(service, "unknown")
        return self._known

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(self._round_s)
            await self.plan()
