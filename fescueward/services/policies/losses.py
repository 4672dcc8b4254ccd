"""Reassignment of the shards of members that are lost or leave."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from ...messages import Entry, Group, Member, MemberState, Shard

Chooser = Callable[[int, str | None], str | None]


def active_members(group: Group) -> list[Member]:
    """Returns the members that may be assigned shards."""
    return [member for member in group.members.values() if member.state is MemberState.ACTIVE]


def unused_slots(group: Group) -> frozenset[int]:
    """Returns the ids of exception shards that no key maps to."""
    return frozenset(range(group.shard_count, len(group.shards))) - frozenset(
        group.exceptions.values()
    )


def without_members(group: Group, lost: frozenset[str]) -> Group:
    """Returns the group without the lost members, also as monitors of others."""
    members = {
        member.id: replace(
            member, monitors=tuple(other for other in member.monitors if other not in lost)
        )
        for member in group.members.values()
        if member.id not in lost
    }
    return replace(group, members=members)


def reassign_lost(
    group: Group, remaining_group: Group, lost: frozenset[str], entry: Entry, choose: Chooser
) -> Group:
    """Ends the handovers of lost members and places the shards that have no owner left.

    Args:
        group: The group with the lost members.
        remaining_group: The group without them.
        lost: Their ids.
        entry: Entry of the service.
        choose: Returns the new owner of a shard id, given the old one; None if there is none.
    """
    # An upstream that checks no grants may run requests it has received for up to this time.
    hold_ms_by_member = {
        member_id: entry.limits.max_request_ms
        for member_id in lost
        if member_id in group.members and not group.members[member_id].checks_grants
    }
    unused = unused_slots(group)
    shards = list(group.shards)
    unowned_ids = []
    for shard_id, shard in enumerate(shards):
        updated = _after_loss(shard, lost, hold_ms_by_member)
        if updated is not None:
            shards[shard_id] = updated
        elif shard_id in unused:
            shards[shard_id] = Shard(None, shard.epoch + (2 if shard.successor else 0))
        else:
            unowned_ids.append(shard_id)
    for shard_id in unowned_ids:
        shard = shards[shard_id]
        # A lost successor may have been active at epoch + 1.
        epoch = shard.epoch + (2 if shard.successor is not None else 1)
        hold_ms = max(
            hold_ms_by_member.get(shard.owner or "", 0),
            hold_ms_by_member.get(shard.successor or "", 0),
            # The lost owner may itself have been waiting for requests of an earlier owner to end.
            shard.hold_ms,
        )
        shards[shard_id] = Shard(choose(shard_id, shard.owner), epoch, None, hold_ms)
    return replace(remaining_group, shards=tuple(shards))


def with_successors(group: Group, member_id: str, choose: Chooser) -> Group:
    """Sets successors for all shards of a leaving member that have none.

    Args:
        group: The group, in which the member is leaving already.
        member_id: The member.
        choose: See `reassign_lost`.
    """
    unused = unused_slots(group)
    shards = list(group.shards)
    for shard_id, shard in enumerate(shards):
        if shard.owner != member_id or shard.successor is not None:
            continue
        if shard_id in unused:
            shards[shard_id] = Shard(None, shard.epoch)
        else:
            shards[shard_id] = replace(shard, successor=choose(shard_id, member_id))
    return replace(group, shards=tuple(shards))


def _after_loss(
    shard: Shard, lost: frozenset[str], hold_ms_by_member: dict[str, int]
) -> Shard | None:
    owner, successor = shard.owner, shard.successor
    if owner is not None and owner not in lost:
        if successor is not None and successor in lost:
            # The successor may have been active at epoch + 1.
            hold_ms = max(shard.hold_ms, hold_ms_by_member.get(successor, 0))
            return Shard(owner, shard.epoch + 2, None, hold_ms)
        return shard
    if owner is not None and successor is not None and successor not in lost:
        # The successor may be active at epoch + 1 already.
        return Shard(
            successor, shard.epoch + 1, None, max(shard.hold_ms, hold_ms_by_member.get(owner, 0))
        )
    return None
