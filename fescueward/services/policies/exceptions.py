"""Exceptions: hot keys that have a shard of their own."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from ...interfaces.placement import GroupLoad
from ...messages import Group, MemberState, Shard
from ...messages.group import group_of, key_hash
from .ledger import clean_work
from .losses import active_members, unused_slots

MAX_EXCEPTIONS = 64
# The keys of exceptions are stored in the group object, which has to stay small.
MAX_KEY_BYTES = 200
# A key is hot if its work exceeds a fraction of its owner's slots and a fraction of the mean work
# of a member. The first threshold keeps idle services free of exceptions.
_HOT_FRACTION_OF_SLOTS = 0.005
_HOT_FRACTION_OF_MEAN = 0.05
# An exception below this fraction of the threshold is cool. The gap prevents a key close to the
# threshold from gaining and losing its shard repeatedly.
_COOL_FRACTION = 0.5
# Most exceptions created in one write; requests for each of their keys wait briefly.
_MAX_NEW_PER_ROUND = 8


@dataclass(frozen=True, slots=True)
class _HotKey:
    key: str
    hash_shard: int
    work: float


def place_hot_keys(group: Group, load: GroupLoad, group_count: int) -> Group:
    """Creates exceptions for hot keys, and dissolves those of cool keys if slots are missing.

    A new exception starts with the owner of its hash shard, at an epoch above that of the hash
    shard and above all earlier epochs of its slot. An exception is dissolved only while its owner
    also owns its hash shard, whose epoch then rises above that of the exception.

    Args:
        group: The group.
        load: Measured work.
        group_count: Number of groups of the service.
    """
    group = _clear_unused_slots(group)
    work = clean_work(load.work, group)
    mean_work = sum(work.values()) / max(len(active_members(group)), 1)
    hot_keys = _hot_keys(group, load, group_count, mean_work)[:_MAX_NEW_PER_ROUND]
    if not hot_keys:
        return group
    free_slots = sorted(
        slot
        for slot in unused_slots(group)
        if group.shards[slot] == _without_owner(group.shards[slot])
    )
    unallocated = group.shard_count + MAX_EXCEPTIONS - len(group.shards)
    missing = len(hot_keys) - len(free_slots) - max(unallocated, 0)
    shards, exceptions = list(group.shards), dict(group.exceptions)
    for hot_key in hot_keys:
        parent = shards[hot_key.hash_shard]
        if free_slots:
            slot = free_slots.pop(0)
        elif len(shards) < group.shard_count + MAX_EXCEPTIONS:
            slot = len(shards)
            shards.append(Shard())
        else:
            break
        shards[slot] = Shard(parent.owner, max(shards[slot].epoch, parent.epoch) + 1)
        exceptions[hot_key.key] = slot
    if exceptions != group.exceptions:
        # Slots are freed in a later write: a dissolved exception raises the epoch of its hash
        # shard, which must stay below that of an exception created in the same write.
        return replace(group, shards=tuple(shards), exceptions=exceptions)
    return (
        _dissolve_cool_keys(group, work, group_count, mean_work, missing) if missing > 0 else group
    )


def _threshold(mean_work: float, slots: int) -> float:
    return max(_HOT_FRACTION_OF_SLOTS * slots, _HOT_FRACTION_OF_MEAN * mean_work)


def hash_shard(group: Group, key: str, group_count: int) -> int:
    """Returns the shard that a key has without an exception."""
    return (key_hash(key) // group_count) % group.shard_count


def _clear_unused_slots(group: Group) -> Group:
    # The owner kept the shard for requests that were in flight when the exception was dissolved.
    shards = list(group.shards)
    for slot in unused_slots(group):
        if shards[slot].successor is None:
            shards[slot] = _without_owner(shards[slot])
    return replace(group, shards=tuple(shards))


def _without_owner(shard: Shard) -> Shard:
    return Shard(None, shard.epoch)


def _hot_keys(group: Group, load: GroupLoad, group_count: int, mean_work: float) -> list[_HotKey]:
    hot_keys = []
    for key, work in load.hot_keys.items():
        if key in group.exceptions or not math.isfinite(work):
            continue
        if not key or len(key.encode()) > MAX_KEY_BYTES:
            continue
        if group_of(group.service, key, group_count) != group.id:
            continue
        shard_id = hash_shard(group, key, group_count)
        shard = group.shards[shard_id]
        owner = group.members.get(shard.owner or "")
        if owner is None or owner.state is not MemberState.ACTIVE or shard.successor is not None:
            continue
        # The new owner may still wait for requests of the lost one to end, perhaps for this key.
        if shard.hold_ms:
            continue
        if work > _threshold(mean_work, owner.slots):
            hot_keys.append(_HotKey(key, shard_id, work))
    return sorted(hot_keys, key=lambda hot_key: (-hot_key.work, hot_key.key))


def _dissolve_cool_keys(
    group: Group, work: dict[int, float], group_count: int, mean_work: float, missing: int
) -> Group:
    shards, exceptions = list(group.shards), dict(group.exceptions)
    keys_by_work = sorted(exceptions, key=lambda key: (work.get(exceptions[key], 0.0), key))
    slots = min((member.slots for member in active_members(group)), default=1)
    cool_below = _COOL_FRACTION * _threshold(mean_work, slots)
    for key in keys_by_work:
        slot, parent_id = exceptions[key], hash_shard(group, key, group_count)
        shard, parent = shards[slot], shards[parent_id]
        if missing == 0 or work.get(slot, 0.0) >= cool_below:
            break
        if shard.successor is not None or parent.successor is not None or shard.owner is None:
            continue
        if shard.owner == parent.owner:
            del exceptions[key]
            epoch = max(parent.epoch, shard.epoch) + 1
            shards[parent_id] = replace(parent, epoch=epoch)
        elif parent.owner in {member.id for member in active_members(group)}:
            shards[slot] = replace(shard, successor=parent.owner)
        else:
            continue
        missing -= 1
    return replace(group, shards=tuple(shards), exceptions=exceptions)
