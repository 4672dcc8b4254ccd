"""Loads and fair shares of members during one placement decision."""

from __future__ import annotations

import math
from collections.abc import Mapping

from ...interfaces.placement import GroupLoad
from ...messages import Group, Member, Shard
from .losses import active_members, unused_slots
from .rendezvous import rendezvous_order

# Weight of all hash shards together besides their measured work, so that idle services spread by
# count: a fraction of all measured work and a fraction of all slots.
_BASE_WEIGHT_OF_WORK = 0.01
_BASE_WEIGHT_OF_SLOTS = 0.002
# The upstream time of a member per second cannot exceed its slots by much; a report above this
# multiple of the slots is capped.
_MAX_WORK_PER_SLOT = 2.0
# A cold server gets at least this fraction of its share, because it warms up only under work.
_MIN_CAPACITY = 0.1


def clean_work(work: Mapping[int, float], group: Group) -> dict[int, float]:
    """Returns measured work without NaN, infinite and negative values, and caps large ones.

    Args:
        work: Seconds of upstream time per second by shard id.
        group: The group.
    """
    max_slots = max((member.slots for member in group.members.values()), default=1)
    return {
        shard_id: min(value, max_slots * _MAX_WORK_PER_SLOT)
        for shard_id, value in work.items()
        if 0 <= shard_id < len(group.shards) and math.isfinite(value) and value > 0
    }


class LoadTable:
    """Weights of shards, and the load, fair share and capacity of each active member.

    A shard that is being handed over counts for its successor. A share is the fraction of the
    total load that is in proportion to the slots of the member. If the heaviest shard of a member
    exceeds that, its share is the weight of this shard, and the other members divide the rest.

    Args:
        group: The group.
        load: Measured work.
    """

    def __init__(self, group: Group, load: GroupLoad) -> None:
        self.members: dict[str, Member] = {member.id: member for member in active_members(group)}
        slots = sum(member.slots for member in self.members.values())
        work = clean_work(load.work, group)
        self.measured_work = sum(work.values())
        base_weight = (
            _BASE_WEIGHT_OF_WORK * self.measured_work + _BASE_WEIGHT_OF_SLOTS * max(slots, 1)
        ) / group.shard_count
        unused = unused_slots(group)
        self.weights = [
            0.0
            if shard_id in unused
            else work.get(shard_id, 0.0) + (base_weight if shard_id < group.shard_count else 0.0)
            for shard_id in range(len(group.shards))
        ]
        self.loads = {member_id: 0.0 for member_id in self.members}
        self._heaviest_weight = {member_id: 0.0 for member_id in self.members}
        self._ranks: dict[int, dict[str, int]] = {}
        owner_ids = set()
        for shard_id, shard in enumerate(group.shards):
            target = target_of(shard)
            if target in self.loads:
                owner_ids.add(target)
                weight = self.weights[shard_id]
                self.loads[target] += weight
                self._heaviest_weight[target] = max(self._heaviest_weight[target], weight)
        self._capacity = {
            member_id: _capacity(load, member_id, member_id in owner_ids)
            for member_id in self.members
        }
        self.shares = self._fair_shares()

    def ratio(self, member_id: str) -> float:
        """Returns the load of a member divided by its share; 1.0 is balanced."""
        return self.loads[member_id] / self.shares[member_id]

    def max_ratio(self) -> float:
        """Returns the highest ratio of any member, 0.0 without members."""
        return max(map(self.ratio, self.members), default=0.0)

    def ramped_share(self, member_id: str) -> float:
        """Returns the share of a member, reduced to its capacity while its server is cold."""
        return self.shares[member_id] * self._capacity[member_id]

    def rank(self, shard_id: int, member_id: str) -> int:
        """Returns the position of a member in the rendezvous order of a shard, 0 for the first."""
        ranks = self._ranks.get(shard_id)
        if ranks is None:
            ordered = rendezvous_order(shard_id, self.members.values())
            ranks = {member.id: position for position, member in enumerate(ordered)}
            self._ranks[shard_id] = ranks
        return ranks[member_id]

    def move(self, shard_id: int, source: str | None, target: str) -> None:
        """Moves the weight of a shard to the load of another member."""
        if source in self.loads:
            self.loads[source] -= self.weights[shard_id]
        self.loads[target] += self.weights[shard_id]

    def _fair_shares(self) -> dict[str, float]:
        shares: dict[str, float] = {}
        remaining_members = dict(self.members)
        total = sum(self.weights)
        while remaining_members:
            per_slot = total / sum(member.slots for member in remaining_members.values())
            single_shard_ids = [
                member_id
                for member_id, member in remaining_members.items()
                if self._heaviest_weight[member_id] > per_slot * member.slots
            ]
            # The last one or two members have no other member to divide the rest with.
            if not single_shard_ids or len(single_shard_ids) == len(remaining_members):
                break
            for member_id in single_shard_ids:
                shares[member_id] = self._heaviest_weight[member_id]
                total -= self._heaviest_weight[member_id]
                del remaining_members[member_id]
        slots = sum(member.slots for member in remaining_members.values()) or 1
        for member_id, member in remaining_members.items():
            shares[member_id] = max(total * member.slots / slots, 1e-12)
        return shares


def target_of(shard: Shard) -> str | None:
    """Returns the member that owns a shard after its handover, or None."""
    return shard.successor or shard.owner


def _capacity(load: GroupLoad, member_id: str, owns_shards: bool) -> float:
    reported = load.capacity.get(member_id)
    if reported is None:
        # A member that has just joined is treated as cold until it reports, if others report.
        return _MIN_CAPACITY if load.capacity and not owns_shards else 1.0
    if not math.isfinite(reported):
        return _MIN_CAPACITY
    return min(max(reported, _MIN_CAPACITY), 1.0)
