"""Loads and fair shares of members, as one placement decision counts them."""

from __future__ import annotations

import math
from collections.abc import Mapping

from ...interfaces.placement import GroupLoad
from ...messages import Group, Member, Shard
from .losses import active_members, unused_slots
from .rendezvous import rendezvous_order

# Each hash shard weighs this much besides its measured work, so that idle services spread by
# count: a share of all measured work, and a share of all slots.
_BASE_OF_WORK = 0.01
_BASE_OF_SLOTS = 0.002
# A member's upstream time cannot exceed its slots by much; a report above that is cut.
_MOST_OF_SLOTS = 2.0
# A cold server takes at least this share of its part, so that it warms up at all.
_LEAST_CAPACITY = 0.1


def clean_work(work: Mapping[int, float], group: Group) -> dict[int, float]:
    """Returns measured work with absurd values removed: NaN, negative, infinite, too large.

    Args:
        work: Seconds of upstream time per second by shard id.
        group: The group.
    """
    largest = max((member.slots for member in group.members.values()), default=1)
    return {
        shard_id: min(value, largest * _MOST_OF_SLOTS)
        for shard_id, value in work.items()
        if 0 <= shard_id < len(group.shards) and math.isfinite(value) and value > 0
    }


class Ledger:
    """Weights of shards, and load, fair share and room of each active member.

    A shard that is being handed over counts for its successor. A share is the part of the whole
    load that the member's slots stand for. A member whose heaviest shard exceeds that part has
    this shard alone as its share, and the others divide the rest.

    Args:
        group: The group.
        load: Measured work.
    """

    def __init__(self, group: Group, load: GroupLoad) -> None:
        self.members: dict[str, Member] = {member.id: member for member in active_members(group)}
        slots = sum(member.slots for member in self.members.values())
        work = clean_work(load.work, group)
        self.measured = sum(work.values())
        base = (_BASE_OF_WORK * self.measured + _BASE_OF_SLOTS * max(slots, 1)) / group.shard_count
        unused = unused_slots(group)
        self.weights = [
            0.0
            if shard_id in unused
            else work.get(shard_id, 0.0) + (base if shard_id < group.shard_count else 0.0)
            for shard_id in range(len(group.shards))
        ]
        self.loads = {member_id: 0.0 for member_id in self.members}
        self._largest = {member_id: 0.0 for member_id in self.members}
        self._ranks: dict[int, dict[str, int]] = {}
        owning = set()
        for shard_id, shard in enumerate(group.shards):
            target = target_of(shard)
            if target in self.loads:
                owning.add(target)
                weight = self.weights[shard_id]
                self.loads[target] += weight
                self._largest[target] = max(self._largest[target], weight)
        self._capacity = {
            member_id: _capacity(load, member_id, member_id in owning)
            for member_id in self.members
        }
        self.shares = self._fair_shares()

    def ratio(self, member_id: str) -> float:
        """Returns the load of a member divided by its share; 1.0 is even."""
        return self.loads[member_id] / self.shares[member_id]

    def worst(self) -> float:
        """Returns the highest ratio of any member, 0.0 without members."""
        return max(map(self.ratio, self.members), default=0.0)

    def ramped_share(self, member_id: str) -> float:
        """Returns the share that a member may be filled up to while it is cold."""
        return self.shares[member_id] * self._capacity[member_id]

    def rank(self, shard_id: int, member_id: str) -> int:
        """Returns the place of a member in the rendezvous order of a shard, 0 for the first."""
        ranks = self._ranks.get(shard_id)
        if ranks is None:
            ordered = rendezvous_order(shard_id, self.members.values())
            ranks = {member.id: place for place, member in enumerate(ordered)}
            self._ranks[shard_id] = ranks
        return ranks[member_id]

    def move(self, shard_id: int, source: str | None, target: str) -> None:
        """Counts a shard for another member."""
        if source in self.loads:
            self.loads[source] -= self.weights[shard_id]
        self.loads[target] += self.weights[shard_id]

    def _fair_shares(self) -> dict[str, float]:
        shares: dict[str, float] = {}
        remaining = dict(self.members)
        total = sum(self.weights)
        while remaining:
            per_slot = total / sum(member.slots for member in remaining.values())
            alone = [
                member_id
                for member_id, member in remaining.items()
                if self._largest[member_id] > per_slot * member.slots
            ]
            # The last one or two members have nobody to divide the rest with.
            if not alone or len(alone) == len(remaining):
                break
            for member_id in alone:
                shares[member_id] = self._largest[member_id]
                total -= self._largest[member_id]
                del remaining[member_id]
        slots = sum(member.slots for member in remaining.values()) or 1
        for member_id, member in remaining.items():
            shares[member_id] = max(total * member.slots / slots, 1e-12)
        return shares


def target_of(shard: Shard) -> str | None:
    """Returns the member that owns a shard once its handover is done."""
    return shard.successor or shard.owner


def _capacity(load: GroupLoad, member_id: str, owning: bool) -> float:
    reported = load.capacity.get(member_id)
    if reported is None:
        # A member that just joined among reporting ones is cold until it says otherwise.
        return _LEAST_CAPACITY if load.capacity and not owning else 1.0
    if not math.isfinite(reported):
        return _LEAST_CAPACITY
    return min(max(reported, _LEAST_CAPACITY), 1.0)
