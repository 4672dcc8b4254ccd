"""The policy `static-hash`: rendezvous hashing alone, the baseline of the benchmarks."""

from __future__ import annotations

from dataclasses import replace

from ...interfaces.placement import GroupLoad
from ...messages import Entry, Group
from .losses import active_members, reassign_lost, unused_slots, with_successors, without_members
from .rendezvous import rendezvous_order


class StaticHashPolicy:
    """Assigns each shard to the first member of its rendezvous order, regardless of load."""

    def assign(self, group: Group, lost: frozenset[str], load: GroupLoad, entry: Entry) -> Group:
        """Places the shards of lost members; see `PlacementPolicy.assign`."""
        remaining_group = without_members(group, lost)
        return reassign_lost(
            group,
            remaining_group,
            lost,
            entry,
            lambda shard, _: _first_member_id(remaining_group, shard),
        )

    def drain_member(self, group: Group, member_id: str, load: GroupLoad, entry: Entry) -> Group:
        """Sets successors for a leaving member; see `PlacementPolicy.drain_member`."""
        return with_successors(group, member_id, lambda shard, _: _first_member_id(group, shard))

    def rebalance(self, group: Group, load: GroupLoad, entry: Entry) -> Group:
        """Moves shards to the first member of their order, so that joined members get shards."""
        members = active_members(group)
        unused = unused_slots(group)
        shards = list(group.shards)
        for shard_id, shard in enumerate(shards):
            if not members or shard_id in unused or shard.successor is not None:
                continue
            first_id = _first_member_id(group, shard_id)
            if shard.owner is not None and shard.owner != first_id:
                shards[shard_id] = replace(shard, successor=first_id)
        return replace(group, shards=tuple(shards))


def _first_member_id(group: Group, shard_id: int) -> str | None:
    members = active_members(group)
    return rendezvous_order(shard_id, members)[0].id if members else None
